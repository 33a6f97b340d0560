//! Failures and successes of one job.

use indexmap::{IndexMap, IndexSet};

use crate::model::{Time, WorkerName};

/// Tasks of one job whose failures are kept apart; more change no verdict.
const KEPT: usize = 64;

/// Failures of one task.
#[derive(Debug, Default)]
struct TaskHistory {
    workers: IndexSet<WorkerName>,
    failures: u32,
}

/// How much points at the job.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Suspicion {
    /// Workers on which it, or one of its tasks, failed without a success since.
    pub(super) workers: usize,
    /// Those of them on which other jobs succeed.
    pub(super) healthy: usize,
    /// Most failures of one task.
    pub(super) worst: u32,
}

/// Failures and successes of one job.
#[derive(Debug, Default)]
pub(super) struct JobHistory {
    /// Workers on which it failed since its last success, with the last failure.
    failed: IndexMap<WorkerName, Time>,
    tasks: IndexMap<u32, TaskHistory>,
    /// Workers of the last two successes on different workers.
    succeeded: [Option<WorkerName>; 2],
    last: Time,
}

impl JobHistory {
    pub(super) fn succeeded(&mut self, now: Time, worker: &WorkerName) {
        self.failed.clear();
        self.last = now;
        if self.succeeded[0].as_ref() != Some(worker) {
            self.succeeded[1] = self.succeeded[0].replace(worker.clone());
        }
    }

    pub(super) fn failed(&mut self, now: Time, worker: &WorkerName, index: u32) {
        self.failed.insert(worker.clone(), now);
        self.last = now;
        if self.tasks.len() < KEPT || self.tasks.contains_key(&index) {
            let task = self.tasks.entry(index).or_default();
            task.workers.insert(worker.clone());
            task.failures += 1;
        }
    }

    pub(super) fn has_failed_on(&self, worker: &WorkerName) -> bool {
        self.failed.contains_key(worker) || self.tasks.values().any(|t| t.workers.contains(worker))
    }

    pub(super) fn has_failures(&self) -> bool {
        !self.failed.is_empty() || !self.tasks.is_empty()
    }

    /// Whether nothing points at the job itself, seen from `worker`: it
    /// succeeded on another worker, or failed on no other.
    pub(super) fn succeeds_elsewhere(&self, worker: &WorkerName) -> bool {
        let mut successes = self.succeeded.iter().flatten();
        successes.any(|w| w != worker) || self.failed.keys().all(|w| w == worker)
    }

    /// The strongest evidence among the job as a whole and each of its tasks.
    pub(super) fn suspicion(&self, healthy: impl Fn(&WorkerName) -> bool) -> Suspicion {
        let whole = Suspicion {
            workers: self.failed.len(),
            healthy: self.failed.keys().filter(|w| healthy(w)).count(),
            worst: 0,
        };
        self.tasks.values().fold(whole, |worst, task| Suspicion {
            workers: worst.workers.max(task.workers.len()),
            healthy: worst
                .healthy
                .max(task.workers.iter().filter(|w| healthy(w)).count()),
            worst: worst.worst.max(task.failures),
        })
    }

    /// Drops failures that are put down to the domain.
    pub(super) fn forgive(&mut self, since: Time) {
        self.failed.retain(|_, at| *at < since);
        self.tasks.clear();
    }

    pub(super) fn is_idle(&self, since: Time) -> bool {
        self.last < since
    }
}
