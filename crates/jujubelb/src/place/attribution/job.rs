//! Failures and successes of one job.

use indexmap::{IndexMap, IndexSet};

use crate::model::{Time, WorkerName};

/// Tasks of one job whose failures are kept apart; more change no verdict.
const MAX_TRACKED_TASKS: usize = 64;

/// Failures of one task.
#[derive(Debug, Default)]
struct TaskFailures {
    workers: IndexSet<WorkerName>,
    failures: u32,
}

/// How much points at the job.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FailureEvidence {
    /// Workers on which it, or one of its tasks, failed without a success since.
    pub(super) workers: usize,
    /// Those of them on which other jobs succeed.
    pub(super) healthy: usize,
    /// Most failures of one task.
    pub(super) max_failures: u32,
}

/// Failures and successes of one job.
#[derive(Debug, Default)]
pub(super) struct JobHistory {
    /// Workers on which it failed since its last success, with the last failure.
    failed_on: IndexMap<WorkerName, Time>,
    tasks: IndexMap<u32, TaskFailures>,
    /// Workers of the last two successes on different workers.
    recent_successes: [Option<WorkerName>; 2],
    last_outcome: Time,
}

impl JobHistory {
    pub(super) fn record_success(&mut self, now: Time, worker: &WorkerName) {
        self.failed_on.clear();
        self.last_outcome = now;
        if self.recent_successes[0].as_ref() != Some(worker) {
            self.recent_successes[1] = self.recent_successes[0].replace(worker.clone());
        }
    }

    pub(super) fn record_failure(&mut self, now: Time, worker: &WorkerName, index: u32) {
        self.failed_on.insert(worker.clone(), now);
        self.last_outcome = now;
        if self.tasks.len() < MAX_TRACKED_TASKS || self.tasks.contains_key(&index) {
            let task = self.tasks.entry(index).or_default();
            task.workers.insert(worker.clone());
            task.failures += 1;
        }
    }

    pub(super) fn has_failed_on(&self, worker: &WorkerName) -> bool {
        self.failed_on.contains_key(worker)
            || self.tasks.values().any(|t| t.workers.contains(worker))
    }

    pub(super) fn has_failures(&self) -> bool {
        !self.failed_on.is_empty() || !self.tasks.is_empty()
    }

    /// Whether nothing points at the job itself, seen from `worker`: it
    /// succeeded on another worker, or failed on no other.
    pub(super) fn succeeds_elsewhere(&self, worker: &WorkerName) -> bool {
        let mut successes = self.recent_successes.iter().flatten();
        successes.any(|w| w != worker) || self.failed_on.keys().all(|w| w == worker)
    }

    /// The strongest evidence among the job as a whole and each of its tasks.
    pub(super) fn evidence(&self, healthy: impl Fn(&WorkerName) -> bool) -> FailureEvidence {
        let job = FailureEvidence {
            workers: self.failed_on.len(),
            healthy: self.failed_on.keys().filter(|w| healthy(w)).count(),
            max_failures: 0,
        };
        self.tasks
            .values()
            .fold(job, |worst, task| FailureEvidence {
                workers: worst.workers.max(task.workers.len()),
                healthy: worst
                    .healthy
                    .max(task.workers.iter().filter(|w| healthy(w)).count()),
                max_failures: worst.max_failures.max(task.failures),
            })
    }

    /// Drops failures that are put down to the domain.
    pub(super) fn discard_since(&mut self, since: Time) {
        self.failed_on.retain(|_, at| *at < since);
        self.tasks.clear();
    }

    pub(super) fn is_idle(&self, since: Time) -> bool {
        self.last_outcome < since
    }
}
