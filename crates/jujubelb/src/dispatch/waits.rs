//! Reports why ready steps wait for a worker.

use indexmap::IndexMap;

use super::Dispatcher;
use super::crash::Isolation;
use super::job::{Job, StepState, Task};
use super::job_spec::{Step, StepKey};
use super::placement::{Obstacle, PlacementRequest};
use super::rank;
use crate::model::{Span, Time};

/// Wait of a step's oldest task at which the first line is logged; each further one is due when
/// the wait has doubled.
const FIRST_REPORT: Span = Span::from_secs(2);

/// Time between two lines on a starved step. Its wait is bounded by nothing but the tails of serving
/// tasks, and what they were near its end can't be told from a line at half of it.
const STARVED_INTERVAL: Span = Span::from_secs(2);

/// Shortest time between two lines, which bounds the log while thousands of steps wait.
const REPORT_INTERVAL: Span = Span::from_millis(500);

/// What a ready step waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Hold {
    /// The proof that the term is still the newest, since the leader learned of the job.
    Confirmation,
    /// Workers that may run tasks of earlier terms.
    EarlierTerms,
    /// The end of the pause after a failure.
    Pause,
    /// The first configuration that the leader reads, which has the limit of the customer.
    Configuration,
    /// The limit of the customer.
    CustomerLimit,
    /// A worker; the number of workers by what rules them out. Without any, the step waits for
    /// steps before it, or for the other members of its gang.
    Workers(IndexMap<Obstacle, usize>),
}

impl std::fmt::Display for Hold {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Confirmation => f.write_str("confirmation of the term"),
            Self::EarlierTerms => f.write_str("earlier terms"),
            Self::Pause => f.write_str("pause after a failure"),
            Self::Configuration => f.write_str("configuration"),
            Self::CustomerLimit => f.write_str("customer limit"),
            Self::Workers(counts) if counts.is_empty() => f.write_str("steps before it"),
            Self::Workers(counts) => {
                f.write_str("workers:")?;
                for (obstacle, count) in counts {
                    write!(f, " {obstacle}={count}")?;
                }
                Ok(())
            }
        }
    }
}

/// Why the task of a starved step does not start.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct StarvedRefusals {
    /// Number of workers that admit the task, which then waits for its turn.
    admits: usize,
    /// Number of workers by what rules them out.
    obstacles: IndexMap<Obstacle, usize>,
    /// Workers that admit the task and have a serving task above its target, so that it is soon
    /// paused there.
    above: usize,
    /// Runs of starved steps on all workers, and those of them at pace 0.
    runs: usize,
    paused: usize,
}

impl std::fmt::Display for StarvedRefusals {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "admits={} above={}", self.admits, self.above)?;
        for (obstacle, count) in &self.obstacles {
            write!(f, " {obstacle}={count}")?;
        }
        write!(f, "; runs={} paused={}", self.runs, self.paused)
    }
}

/// The wait at which a line is due after one at `reported`.
fn next_report(reported: Span) -> Span {
    reported.scale_up(2, 1).max(FIRST_REPORT)
}

impl Dispatcher {
    /// Logs what the step waits for that has waited longest of those whose line is due.
    pub(super) fn report_waits(&mut self, now: Time) {
        if now.since(self.waits_reported) < REPORT_INTERVAL {
            return;
        }
        self.waits_reported = now;
        let due = self.ready.iter().filter_map(|key| {
            let (_, state) = self.ready_step(*key)?;
            let wait = state.longest_wait(now)?;
            // The longest wait is shorter than the reported one after its task has started.
            let reported = Some(state.wait_reported).filter(|r| *r <= wait);
            let reported = reported.unwrap_or_default();
            let mut next = next_report(reported);
            if self.is_starved(*key, now) {
                next = next.min(reported + STARVED_INTERVAL);
            }
            // Steps that wait for a limit must not crowd out those that wait for workers.
            (wait >= next).then(|| (!self.is_step_limited(*key), wait, *key))
        });
        let Some((_, wait, key)) = due.max() else {
            return;
        };
        let Some((job, state)) = self.ready_step(key) else {
            return;
        };
        let hold = self.hold(key, now).unwrap_or(Hold::Pause);
        let spare = self.spare_services();
        let rank_of = |key: &StepKey| {
            let (job, _) = self.ready_step(*key)?;
            let occurrence = job.occurrence(key.occurrence)?;
            let context = self.rank_context(job, *key, &spare, now);
            let step = usize::from(key.step);
            Some(rank::rank(job, occurrence, step, context, now))
        };
        let rank = rank_of(&key);
        let ranks = self.ready.iter().filter_map(rank_of);
        let before = ranks.filter(|r| rank.is_some_and(|own| *r < own)).count();
        let age = now.since(job.accepted);
        let starved = self.starved_refusals(key, now);
        let starved = starved.map_or_else(|| "no".to_owned(), |s| s.to_string());
        let (placed, paused) = self.placed_runs(key);
        let timely = self.timely_demand.highest();
        log::info!(step:% = key, queue:% = job.record.queue.prefix, tasks = state.waiting, placed = placed, paused = paused, waited:% = wait, age:% = age, rank:? = rank, before = before, hold:% = hold, starved:% = starved, timely = timely; "step waits");
        if let Some(state) = self
            .jobs
            .get_mut(&key.job)
            .and_then(|j| j.step_mut(key.occurrence, key.step))
        {
            state.wait_reported = wait;
        }
    }

    /// The longest time for which a task that could start has waited for a worker.
    pub(super) fn longest_ready_wait(&self, now: Time) -> Span {
        let ready = self.ready.iter().filter(|k| !self.is_step_limited(**k));
        let ready = ready.filter_map(|key| self.ready_step(*key));
        let waits = ready.filter_map(|(_, state)| state.longest_wait(now));
        waits.max().unwrap_or_default()
    }

    /// A step of a live job with waiting tasks and no open dependencies.
    pub(super) fn ready_step(&self, key: StepKey) -> Option<(&Job, &StepState)> {
        let job = self.jobs.get(&key.job).filter(|j| j.outcome.is_none())?;
        let occurrence = job.occurrence(key.occurrence)?;
        let step = usize::from(key.step);
        let state = occurrence.steps.get(step).filter(|s| s.waiting > 0)?;
        job.is_step_ready(occurrence, step).then_some((job, state))
    }

    /// What a ready step waits for; `None` if no task of it waits.
    pub(super) fn hold(&self, key: StepKey, now: Time) -> Option<Hold> {
        let (job, state) = self.ready_step(key)?;
        if job.arrival > self.confirmed {
            return Some(Hold::Confirmation);
        }
        let mut waiting = state.tasks.iter().zip(0u32..);
        let first = waiting.find(|(t, _)| self.is_startable(t, now));
        let spec = job.record.spec.steps.get(usize::from(key.step));
        let (Some((task, index)), Some(step)) = (first, spec) else {
            return Some(match self.inherited_resolved {
                true => Hold::Pause,
                false => Hold::EarlierTerms,
            });
        };
        if self.is_limited(job, step) {
            return Some(match self.knows_customers() {
                true => Hold::CustomerLimit,
                false => Hold::Configuration,
            });
        }
        let request = self.wait_request(job, key, (task, index), step, now);
        let mut counts: IndexMap<Obstacle, usize> = IndexMap::new();
        for worker in self.workers.values() {
            match self.assess(worker, &request, now) {
                Ok(_) => return Some(Hold::Workers(IndexMap::new())),
                Err(obstacle) => *counts.entry(obstacle).or_default() += 1,
            }
        }
        counts.sort_unstable_by(|_, a, _, b| b.cmp(a));
        Some(Hold::Workers(counts))
    }

    /// The request for the first waiting task of a step.
    fn wait_request<'a>(
        &self,
        job: &'a Job,
        key: StepKey,
        (task, index): (&Task, u32),
        step: &'a Step,
        now: Time,
    ) -> PlacementRequest<'a> {
        let isolation = task.isolation_at(step.long_running, now);
        let may_probe = isolation == Isolation::None && self.may_probe(key, index, &job.record);
        PlacementRequest {
            key,
            step,
            service: &job.record.queue.service,
            rack: None,
            keep_reserve: false,
            probe_after: may_probe.then_some(Span::ZERO),
            isolation,
            needs_ticket: job.record.queue.ticket_lifetime.is_some(),
            starved: false,
        }
    }

    /// Why a task of a step of which nothing runs would not start as one of a starved step; `None`
    /// if something of it runs.
    pub(super) fn starved_refusals(&self, key: StepKey, now: Time) -> Option<StarvedRefusals> {
        let (job, state) = self.ready_step(key).filter(|_| self.is_starved(key, now))?;
        let step = job.record.spec.steps.get(usize::from(key.step))?;
        let mut tasks = state.tasks.iter().zip(0u32..);
        let first = tasks.find(|(t, _)| self.is_startable(t, now))?;
        let request = PlacementRequest {
            starved: true,
            ..self.wait_request(job, key, first, step, now)
        };
        let mut refusals = StarvedRefusals::default();
        for worker in self.workers.values() {
            match self.assess(worker, &request, now) {
                Ok(_) => {
                    refusals.admits += 1;
                    let is_above = worker.runs.values().any(|r| r.above_target.is_some());
                    refusals.above += usize::from(is_above);
                }
                Err(obstacle) => *refusals.obstacles.entry(obstacle).or_default() += 1,
            }
            let starved = worker.runs.values().filter(|r| r.starved);
            refusals.runs += starved.clone().count();
            refusals.paused += starved.filter(|r| r.pace == 0).count();
        }
        Some(refusals)
    }

    /// How many tasks of the step's job are assigned to workers, and how many of these are at pace
    /// 0 there.
    fn placed_runs(&self, key: StepKey) -> (usize, usize) {
        let workers = self.workers.values();
        let runs = workers.flat_map(|w| w.runs.iter());
        let own = runs.filter(|(task, _)| task.step.job == key.job);
        own.fold((0, 0), |(placed, paused), (_, run)| {
            (placed + 1, paused + usize::from(run.pace == 0))
        })
    }
}
