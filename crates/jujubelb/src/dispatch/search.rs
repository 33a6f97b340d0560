//! Searches the workers on which a task could start now.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use arcstr::ArcStr;

use super::Dispatcher;
use super::crash::Isolation;
use super::health;
use super::job_spec::{JobRecord, StepKey, TaskKey};
use super::placement::{self, Obstacle, PlacementRequest};
use super::worker::Worker;
use crate::model::{Time, WorkerName};

/// Workers among which the one for a task of a starved step is chosen. Most workers admit such a task,
/// so that a search of a whole large fleet would cost more and find little better.
const SEARCHED_WORKERS: usize = 48;

/// A worker on which a task could start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Candidate {
    cost: f64,
    /// Index into the dispatcher's workers, which decides between equal costs.
    pub(super) worker: usize,
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = self.cost.total_cmp(&other.cost);
        by_cost.then(self.worker.cmp(&other.worker))
    }
}

impl Dispatcher {
    /// The worker with the lowest cost on which a task could start now.
    pub(super) fn choose_worker(
        &self,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Option<WorkerName> {
        let best = (0..self.workers.len())
            .filter_map(|i| self.candidate(i, request, now))
            .min()?;
        Some(self.workers.get_index(best.worker)?.0.clone())
    }

    /// The workers on which a task could start now, with the lowest cost first.
    pub(super) fn candidates(
        &self,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> BinaryHeap<Reverse<Candidate>> {
        (0..self.workers.len())
            .filter_map(|i| self.candidate(i, request, now))
            .map(Reverse)
            .collect()
    }

    /// The same among [`SEARCHED_WORKERS`], other ones with each search; among all if none of
    /// these qualifies.
    pub(super) fn some_candidates(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> BinaryHeap<Reverse<Candidate>> {
        let count = self.workers.len();
        if count <= SEARCHED_WORKERS {
            return self.candidates(request, now);
        }
        let first = self.search_start % count;
        self.search_start = first + SEARCHED_WORKERS;
        let found: BinaryHeap<_> = (first..first + SEARCHED_WORKERS)
            .filter_map(|i| self.candidate(i % count, request, now))
            .map(Reverse)
            .collect();
        match found.is_empty() {
            true => self.candidates(request, now),
            false => found,
        }
    }

    /// The worker with an index, with its cost, if a task could start on it now.
    pub(super) fn candidate(
        &self,
        index: usize,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Option<Candidate> {
        let (_, worker) = self.workers.get_index(index)?;
        let cost = self.assess(worker, request, now).ok()?;
        Some(Candidate {
            cost,
            worker: index,
        })
    }

    /// The cost of starting a task on a worker now, or why it can't start there.
    pub(super) fn assess(
        &self,
        worker: &Worker,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Result<f64, Obstacle> {
        // The worker may have restarted since its last answer. The new incarnation would obey an
        // older leader, and late calls to the former one; the next answer names it.
        if worker.arrival > self.confirmed || !worker.is_answering() {
            return Err(Obstacle::NotReady);
        }
        if let Some(obstacle) = placement::obstacle(worker, request, &self.evacuated, now) {
            return Err(obstacle);
        }
        if request.needs_ticket && self.ticket(request.key, worker, now).is_none() {
            return Err(Obstacle::Ticket);
        }
        let long_running = request.step.long_running;
        if !self.is_up_long_enough(worker, request.isolation, long_running, now) {
            return Err(Obstacle::Isolation);
        }
        let mut cost = placement::cost(worker, request);
        if request.isolation > Isolation::None {
            cost += placement::exposure_cost(worker, now) + worker.loss_cost();
        }
        if request.step.best_effort {
            cost += placement::interference_cost(worker, request, &self.slopes, &self.headrooms)?;
        }
        Ok(cost)
    }

    /// The workers on which a task could start now, with their costs.
    pub(super) fn usable_workers<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> impl Iterator<Item = (f64, &'a Worker)> {
        let workers = self.workers.values();
        workers.filter_map(move |w| Some((self.assess(w, request, now).ok()?, w)))
    }

    /// Valid ticket for running a step on a worker.
    pub(super) fn ticket(&self, step: StepKey, worker: &Worker, now: Time) -> Option<&ArcStr> {
        self.step_tickets.get(&step)?.ticket(worker, now)
    }

    /// Whether a task may test the health of an unhealthy worker as soon as a probe is due. A
    /// probe that fails must not use up the attempts of the task.
    pub(super) fn may_probe(&self, step: StepKey, index: u32, record: &JobRecord) -> bool {
        let spec = record.spec.steps.get(usize::from(step.step));
        let unlimited = spec.is_some_and(|s| s.long_running);
        let task = self
            .jobs
            .get(&step.job)
            .and_then(|j| j.task(TaskKey { step, index }));
        let failures = task.map_or(0, |t| t.failed.len());
        self.probe_slots > 0 && (unlimited || failures + 1 < record.queue.attempts as usize)
    }

    /// How many more workers may be considered unhealthy.
    pub(super) fn ejection_slots(&self) -> usize {
        let in_use = self.workers.values().filter(|w| w.listed);
        let unhealthy = in_use.clone().filter(|w| w.health.is_unhealthy()).count();
        health::ejection_slots(in_use.count(), unhealthy)
    }
}
