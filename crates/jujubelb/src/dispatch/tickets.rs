//! Tickets of a queue's policy service, which alone knows the workers that may
//! run a step.
//!
//! Answers the load of steps that wait for a slow policy service: it is asked
//! about the workers that would be chosen first, a few at a time, and an answer
//! is kept for as long as it holds.

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};

use super::Dispatcher;
use super::job_spec::StepKey;
use super::placement::{self, Need};
use super::rank;
use super::worker::{Incarnation, Worker};
use crate::model::{Span, Time, WorkerName};

/// Workers in one question. The service needs time for each; a step seldom has
/// more tasks than these take.
const MOST_ASKED: usize = 30;

/// Kept back from a ticket's time for the way of a start.
const TICKET_MARGIN: Span = Span::from_millis(300);

/// A question to the policy service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketRequest {
    /// The step.
    pub step: StepKey,
    /// The workers that it is about.
    pub workers: Vec<WorkerName>,
}

/// Its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketGrant {
    /// The workers that may run the step, each with its ticket.
    pub tickets: Vec<(WorkerName, ArcStr)>,
    /// How long the tickets hold.
    pub lifetime: Span,
}

#[derive(Debug, Clone)]
struct Ticket {
    text: ArcStr,
    until: Time,
    /// A ticket holds for one incarnation of the worker.
    incarnation: Option<Incarnation>,
}

/// What is known of the workers that may run a step.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    tickets: IndexMap<WorkerName, Ticket>,
    /// Never changes for a step.
    denied: IndexSet<WorkerName>,
}

impl Permits {
    /// The ticket for a worker, if there is one that holds.
    pub(crate) fn ticket(&self, worker: &Worker, now: Time) -> Option<&ArcStr> {
        let ticket = self.tickets.get(&worker.report.name)?;
        let holds = now < ticket.until && ticket.incarnation == worker.report.incarnation;
        holds.then_some(&ticket.text)
    }

    /// Forgets a ticket that a worker has refused.
    pub(crate) fn refused(&mut self, worker: &WorkerName) {
        self.tickets.shift_remove(worker);
    }
}

impl Dispatcher {
    /// The next question to the policy service, if a step waits for one.
    pub fn next_ticket_request(&self, now: Time) -> Option<TicketRequest> {
        let waits = |key: &&StepKey| {
            let job = self.jobs.get(&key.job);
            job.is_some_and(|j| j.record.queue.ticket_lifetime.is_some() && j.outcome.is_none())
        };
        let mut steps: Vec<_> = self
            .ready
            .iter()
            .filter(waits)
            .filter_map(|key| {
                let job = self.jobs.get(&key.job)?;
                let occurrence = job.occurrence(key.occurrence)?;
                let step = usize::from(key.step);
                let open =
                    occurrence.steps.get(step)?.waiting > 0 && job.is_step_open(occurrence, step);
                open.then(|| (rank::rank(job, occurrence, step, now), *key))
            })
            .collect();
        steps.sort_unstable_by(|(a, _), (b, _)| rank::compare(a, b));
        steps
            .into_iter()
            .find_map(|(_, key)| self.question_on(key, now))
    }

    fn question_on(&self, key: StepKey, now: Time) -> Option<TicketRequest> {
        let record = self.job_record(key.job)?;
        let step = record.spec.steps.get(usize::from(key.step))?;
        let need = Need {
            key,
            step,
            service: &record.queue.service,
            rack: None,
            patient: false,
            advised: true,
        };
        let permits = self.permits.get(&key);
        let usable = |w: &&Worker| placement::admits(w, &need, &self.evacuated, now);
        let ticketed = |w: &&Worker| permits.is_some_and(|p| p.ticket(w, now).is_some());
        let denied = |w: &&Worker| permits.is_some_and(|p| p.denied.contains(&w.report.name));
        if !step.gang && self.workers.values().filter(usable).any(|w| ticketed(&w)) {
            // These are filled first.
            return None;
        }
        let mut workers: Vec<&Worker> = self
            .workers
            .values()
            .filter(|w| usable(w) && !ticketed(w) && !denied(w))
            .collect();
        workers.sort_by(|a, b| placement::cost(a, &need).total_cmp(&placement::cost(b, &need)));
        let names = workers.iter().take(MOST_ASKED);
        let workers: Vec<_> = names.map(|w| w.report.name.clone()).collect();
        (!workers.is_empty()).then_some(TicketRequest { step: key, workers })
    }

    /// Takes the answer to a question that was sent at `sent`.
    pub fn tickets_granted(&mut self, question: &TicketRequest, grant: &TicketGrant, sent: Time) {
        log::info!(step:% = question.step, asked = question.workers.len(), granted = grant.tickets.len(), valid:% = grant.lifetime; "policy service has answered");
        let permits = self.permits.entry(question.step).or_default();
        for name in &question.workers {
            let granted = grant.tickets.iter().find(|(n, _)| n == name);
            match (granted, self.workers.get(name)) {
                (Some((_, text)), Some(worker)) => {
                    let ticket = Ticket {
                        text: text.clone(),
                        until: sent + grant.lifetime.saturating_sub(TICKET_MARGIN),
                        incarnation: worker.report.incarnation,
                    };
                    permits.tickets.insert(name.clone(), ticket);
                }
                (Some(_), None) => {}
                (None, _) => {
                    permits.denied.insert(name.clone());
                }
            }
        }
    }

    /// Forgets what is known of steps whose jobs have ended.
    pub(super) fn drop_permits(&mut self) {
        let jobs = &self.jobs;
        let live = |key: &StepKey| jobs.get(&key.job).is_some_and(|j| j.outcome.is_none());
        self.permits.retain(|key, _| live(key));
    }
}
