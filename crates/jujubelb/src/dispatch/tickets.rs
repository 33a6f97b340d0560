//! Tickets of a queue's policy service, which decides on which workers a step may run.
//!
//! The policy service is slow. It is therefore asked only about the workers that would be
//! chosen first, a limited number at a time, and its decisions are cached while they are
//! valid.

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};

use super::Dispatcher;
use super::crash::Isolation;
use super::job_spec::StepKey;
use super::placement::PlacementRequest;
use super::rank;
use super::worker::{Incarnation, Worker};
use crate::model::{Span, Time, WorkerName};

/// Maximum number of workers in a request. The service needs time for each of them, and a
/// step seldom has more tasks than that many workers can run.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// Subtracted from the lifetime of a ticket for the transit of the start order.
const TICKET_MARGIN: Span = Span::from_millis(300);

/// A request for tickets to the policy service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketRequest {
    /// Step that is to run.
    pub step: StepKey,
    /// Workers for which tickets are requested.
    pub workers: Vec<WorkerName>,
}

/// Answer of the policy service to a [`TicketRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketGrant {
    /// Workers that may run the step, each with its ticket. The other workers of the request
    /// are denied.
    pub tickets: Vec<(WorkerName, ArcStr)>,
    /// How long the tickets are valid.
    pub lifetime: Span,
}

#[derive(Debug, Clone)]
struct Ticket {
    text: ArcStr,
    expires: Time,
    /// Incarnation of the worker; the ticket is not valid for any other one.
    incarnation: Option<Incarnation>,
}

/// Decisions of the policy service on one step.
#[derive(Debug, Default)]
pub(crate) struct StepTickets {
    tickets: IndexMap<WorkerName, Ticket>,
    /// Workers that must not run the step; such a decision is final.
    denied: IndexSet<WorkerName>,
    /// When the last request that was answered was sent.
    answered: Time,
}

impl StepTickets {
    /// Valid ticket for a worker.
    pub(crate) fn ticket(&self, worker: &Worker, now: Time) -> Option<&ArcStr> {
        let ticket = self.tickets.get(&worker.report.name)?;
        let valid = now < ticket.expires && ticket.incarnation == worker.report.incarnation;
        valid.then_some(&ticket.text)
    }

    /// Removes a ticket that the worker has refused.
    pub(crate) fn remove(&mut self, worker: &WorkerName) {
        self.tickets.shift_remove(worker);
    }
}

impl Dispatcher {
    /// Next request to the policy service; `None` if no step needs tickets. Steps are
    /// considered in the order of their ranks.
    pub fn next_ticket_request(&self, now: Time) -> Option<TicketRequest> {
        let needs_ticket = |key: &&StepKey| {
            let job = self.jobs.get(&key.job);
            job.is_some_and(|j| j.record.queue.ticket_lifetime.is_some() && j.outcome.is_none())
        };
        let spare = self.spare_services();
        let mut steps: Vec<_> = self
            .ready
            .iter()
            .filter(needs_ticket)
            .filter_map(|key| {
                let job = self.jobs.get(&key.job)?;
                let occurrence = job.occurrence(key.occurrence)?;
                let step = usize::from(key.step);
                let open =
                    occurrence.steps.get(step)?.waiting > 0 && job.is_step_ready(occurrence, step);
                let open = open && !self.is_step_limited(*key);
                open.then(|| {
                    let context = self.rank_context(job, *key, &spare, now);
                    (rank::rank(job, occurrence, step, context, now), *key)
                })
            })
            .collect();
        steps.sort_unstable_by(rank::compare);
        let mut renewal: Option<(Time, TicketRequest)> = None;
        for (rank, key) in steps {
            let starved = self.needs_run(&rank, key, now);
            let Some(request) = self.ticket_request_for(key, starved, now) else {
                continue;
            };
            match self.renewed_at(&request) {
                None => return Some(request),
                Some(at) if renewal.as_ref().is_none_or(|(first, _)| at < *first) => {
                    renewal = Some((at, request));
                }
                Some(_) => {}
            }
        }
        renewal.map(|(_, request)| request)
    }

    /// When a gang last got an answer, if the request only renews its tickets; `None` for other
    /// requests. A gang waits with its tickets until all members fit, so its renewals have no end
    /// and come after the requests of other steps.
    fn renewed_at(&self, request: &TicketRequest) -> Option<Time> {
        let job = self.jobs.get(&request.step.job)?;
        let steps = &job.record.spec.steps;
        let is_gang = steps.get(usize::from(request.step.step))?.gang;
        let step_tickets = self.step_tickets.get(&request.step)?;
        let mut workers = request.workers.iter();
        let is_renewal = is_gang && workers.all(|w| step_tickets.tickets.contains_key(w));
        is_renewal.then_some(step_tickets.answered)
    }

    fn ticket_request_for(&self, key: StepKey, starved: bool, now: Time) -> Option<TicketRequest> {
        let record = self.job_record(key.job)?;
        let step = record.spec.steps.get(usize::from(key.step))?;
        let mut request = PlacementRequest {
            key,
            step,
            service: &record.queue.service,
            rack: None,
            keep_reserve: false,
            probe_after: None,
            isolation: Isolation::None,
            needs_ticket: false,
            starved,
        };
        let step_tickets = self.step_tickets.get(&key);
        let has_ticket = |w: &Worker| step_tickets.is_some_and(|p| p.ticket(w, now).is_some());
        let denied = |w: &Worker| step_tickets.is_some_and(|p| p.denied.contains(&w.report.name));
        let mut usable = self.usable_workers(&request, now);
        if !step.gang && usable.any(|(_, w)| has_ticket(w)) {
            // Workers that have a ticket already are filled first.
            return None;
        }
        drop(usable);
        // A gang asks about each worker once before it renews a ticket.
        let is_renewed = |w: &Worker| {
            step.gang && step_tickets.is_some_and(|p| p.tickets.contains_key(&w.report.name))
        };
        // Unhealthy workers come last. Without tickets no task could be their probe.
        request.probe_after = Some(Span::ZERO);
        let mut workers: Vec<(f64, &Worker)> = self
            .usable_workers(&request, now)
            .filter(|(_, w)| !has_ticket(w) && !denied(w))
            .collect();
        workers.sort_by(|(cost, a), (other_cost, b)| {
            let by_health = a.health.is_unhealthy().cmp(&b.health.is_unhealthy());
            let by_renewal = is_renewed(a).cmp(&is_renewed(b));
            by_health.then(by_renewal).then(cost.total_cmp(other_cost))
        });
        let names = workers.iter().take(MAX_WORKERS_PER_REQUEST);
        let workers: Vec<_> = names.map(|(_, w)| w.report.name.clone()).collect();
        (!workers.is_empty()).then_some(TicketRequest { step: key, workers })
    }

    /// Stores the answer to a request that was sent at `sent`.
    pub fn tickets_granted(&mut self, request: &TicketRequest, grant: &TicketGrant, sent: Time) {
        log::info!(step:% = request.step, asked = request.workers.len(), granted = grant.tickets.len(), valid:% = grant.lifetime; "policy service answered");
        let step_tickets = self.step_tickets.entry(request.step).or_default();
        step_tickets.answered = sent;
        for name in &request.workers {
            let granted = grant.tickets.iter().find(|(n, _)| n == name);
            match (granted, self.workers.get(name)) {
                (Some((_, text)), Some(worker)) => {
                    let ticket = Ticket {
                        text: text.clone(),
                        expires: sent + grant.lifetime.saturating_sub(TICKET_MARGIN),
                        incarnation: worker.report.incarnation,
                    };
                    step_tickets.tickets.insert(name.clone(), ticket);
                }
                (Some(_), None) => {}
                (None, _) => {
                    step_tickets.denied.insert(name.clone());
                }
            }
        }
    }

    /// Drops the decisions on steps whose jobs have ended.
    pub(super) fn drop_tickets(&mut self) {
        let jobs = &self.jobs;
        let live = |key: &StepKey| jobs.get(&key.job).is_some_and(|j| j.outcome.is_none());
        self.step_tickets.retain(|key, _| live(key));
    }
}
