//! Failures and successes of one job.

use indexmap::{IndexMap, IndexSet};

use crate::model::{Time, WorkerName};

/// Maximum number of tasks of one job whose failures are counted separately; more
/// don't change the outcome.
const MAX_TRACKED_TASKS: usize = 64;

/// Failures of one task.
#[derive(Debug, Default)]
struct TaskFailures {
    workers: IndexSet<WorkerName>,
    failures: u32,
}

/// Evidence that the job itself causes its failures.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FailureEvidence {
    /// Number of workers on which the job failed since its last success, or on which one
    /// of its tasks failed, whichever is larger.
    pub(super) workers: usize,
    /// Number of these workers on which other jobs succeed.
    pub(super) healthy: usize,
    /// Highest number of failures of one task.
    pub(super) max_failures: u32,
}

/// Failures and successes of one job.
#[derive(Debug, Default)]
pub(super) struct JobHistory {
    /// Workers on which the job failed since its last success, with the time of the last
    /// failure there.
    failed_on: IndexMap<WorkerName, Time>,
    tasks: IndexMap<u32, TaskFailures>,
    /// Workers of the last two successes on different workers, newest first.
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

    /// Whether the failures on `worker` can't be due to the job: it succeeded on another
    /// worker or failed on no other.
    pub(super) fn succeeds_elsewhere(&self, worker: &WorkerName) -> bool {
        let mut successes = self.recent_successes.iter().flatten();
        successes.any(|w| w != worker) || self.failed_on.keys().all(|w| w == worker)
    }

    /// Strongest evidence from the complete job and from each of its tasks.
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

    /// Discards failures that are attributed to the failure domain.
    pub(super) fn discard_since(&mut self, since: Time) {
        self.failed_on.retain(|_, at| *at < since);
        self.tasks.clear();
    }

    pub(super) fn is_idle(&self, since: Time) -> bool {
        self.last_outcome < since
    }
}
