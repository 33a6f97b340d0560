//! Attribution of failures to workers, jobs or the failure domain.
//!
//! - Failures are attributed to a worker if tasks of several jobs fail there, none
//!   succeeds there, and these jobs don't fail on other workers.
//! - They are attributed to a job if it fails on several workers on which other jobs
//!   succeed.
//! - They are attributed to the failure domain if many jobs fail on many workers at the
//!   same time.

use indexmap::{IndexMap, IndexSet};

use crate::model::{JobName, Span, TaskId, Time, WorkerName};

mod job;
mod worker;

use job::JobHistory;
pub(crate) use worker::MAX_PROBATION_TASKS;
use worker::WorkerHistory;

#[cfg(test)]
mod tests;

/// How long a failure or success counts.
const FAILURE_WINDOW: Span = Span::from_secs(300);

/// Minimum number of failures on a worker before quarantine, and of distinct jobs among
/// them that don't fail on other workers.
const MIN_WORKER_FAILURES: usize = 3;
const MIN_WORKER_JOBS: usize = 2;

/// Minimum time between the first failure on a worker and its quarantine. A failure of
/// the complete domain affects other workers within this time.
const QUARANTINE_HOLDOFF: Span = Span::from_secs(5);

/// Number of healthy workers on which a job fails before it is parked.
const PARK_HEALTHY_WORKERS: usize = 3;

/// Number of workers of any health on which a job fails, and number of failures of one
/// task on any workers, before the job is parked. This limits retries if no worker is
/// known to be healthy.
const PARK_WORKERS: usize = 6;
const PARK_TASK_FAILURES: u32 = 12;

/// Time within which the failures of a complete domain are counted.
const DOMAIN_WINDOW: Span = Span::from_secs(30);

/// Failures are attributed to the domain if one in this many workers fails, at least
/// `MIN_DOMAIN_WORKERS` of them, with at least `MIN_DOMAIN_JOBS` failing jobs. 20 % is
/// twice the share that may be in quarantine.
const DOMAIN_WORKERS_DIVISOR: usize = 5;
const MIN_DOMAIN_WORKERS: usize = 3;
const MIN_DOMAIN_JOBS: usize = 3;

/// At most one in this many of a shard's workers may be in quarantine.
const QUARANTINE_DIVISOR: usize = 10;

/// Action that follows from the recorded failures.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Action {
    /// Give the worker no new tasks.
    Quarantine {
        /// The worker.
        worker: WorkerName,
        /// Number of failures on the worker since the last success.
        failures: usize,
        /// Number of distinct jobs among them that don't fail on other workers.
        jobs: usize,
    },
    /// End the quarantine; the worker gets a few tasks on probation.
    Readmit {
        /// The worker.
        worker: WorkerName,
        /// Duration of the quarantine.
        after: Span,
    },
    /// Stop retrying the job.
    Park {
        /// The job.
        job: JobName,
        /// Number of workers on which it failed.
        workers: usize,
        /// Number of these workers on which other jobs succeed.
        healthy: usize,
    },
}

/// Failures and successes recorded by one shard's owner.
#[derive(Debug, Default)]
pub(crate) struct Attribution {
    workers: IndexMap<WorkerName, WorkerHistory>,
    jobs: IndexMap<JobName, JobHistory>,
    /// Workers with failures to evaluate.
    changed_workers: IndexSet<WorkerName>,
    /// Jobs with failures to evaluate.
    changed_jobs: IndexSet<JobName>,
    /// Failures are attributed to the failure domain until this time.
    domain_failing_until: Time,
}

/// Minimum number of workers in a shard from which one may be in quarantine. A shard of
/// one rack has fewer than ten workers, and a faulty worker needs quarantine there too.
const MIN_WORKERS_TO_QUARANTINE: usize = 4;

/// Maximum number of workers in quarantine in a shard of `total` workers.
pub(super) fn max_quarantined(total: usize) -> usize {
    (total / QUARANTINE_DIVISOR).max(usize::from(total >= MIN_WORKERS_TO_QUARANTINE))
}

impl Attribution {
    /// Records a successful attempt.
    pub(crate) fn record_success(&mut self, now: Time, worker: &WorkerName, task: &TaskId) {
        let entry = self.workers.entry(worker.clone()).or_default();
        entry.record_success(now, &task.job);
        self.jobs
            .entry(task.job.clone())
            .or_default()
            .record_success(now, worker);
    }

    /// Records an attempt that failed by itself.
    pub(crate) fn record_failure(&mut self, now: Time, worker: &WorkerName, task: &TaskId) {
        let entry = self.workers.entry(worker.clone()).or_default();
        entry.record_failure(now, &task.job);
        let job = self.jobs.entry(task.job.clone()).or_default();
        job.record_failure(now, worker, task.index);
        self.changed_workers.insert(worker.clone());
        self.changed_jobs.insert(task.job.clone());
    }

    /// Whether a job failed on a worker recently, so that other workers are preferred.
    pub(crate) fn has_failed_on(&self, job: &JobName, worker: &WorkerName) -> bool {
        self.jobs.get(job).is_some_and(|j| j.has_failed_on(worker))
    }

    /// Whether the job failed on any worker recently: a cheap check before
    /// `has_failed_on`.
    pub(crate) fn has_failures(&self, job: &JobName) -> bool {
        self.jobs.get(job).is_some_and(JobHistory::has_failures)
    }

    /// Whether a worker may have only `MAX_PROBATION_TASKS` tasks until some succeed.
    pub(crate) fn is_on_probation(&self, worker: &WorkerName) -> bool {
        self.workers
            .get(worker)
            .is_some_and(WorkerHistory::is_on_probation)
    }

    /// Whether failures are attributed to the failure domain at `now`.
    pub(crate) fn is_domain_failing(&self, now: Time) -> bool {
        now < self.domain_failing_until
    }

    /// Returns the actions that are due. `quarantined` are the workers in quarantine, and
    /// `total` is the number of workers of the shard.
    pub(crate) fn actions(
        &mut self,
        now: Time,
        total: usize,
        quarantined: &IndexSet<WorkerName>,
    ) -> Vec<Action> {
        self.detect_domain_failure(now, total);
        let mut actions = self.workers_to_readmit(now, quarantined);
        let in_quarantine = quarantined.len() - actions.len().min(quarantined.len());
        let available = max_quarantined(total).saturating_sub(in_quarantine);
        actions.extend(self.workers_to_quarantine(now, available, quarantined));
        actions.extend(self.jobs_to_park(now, quarantined));
        self.prune(now);
        actions
    }

    /// Discards the recent failures if many jobs failed on many workers.
    fn detect_domain_failure(&mut self, now: Time, total: usize) {
        if self.changed_workers.is_empty() {
            return;
        }
        let since = now - DOMAIN_WINDOW;
        let failing: Vec<_> = self
            .workers
            .values()
            .filter(|w| w.has_failed_since(since))
            .collect();
        let jobs: IndexSet<_> = failing
            .iter()
            .flat_map(|w| w.failed_jobs_since(since))
            .collect();
        let enough_workers =
            failing.len() >= MIN_DOMAIN_WORKERS.max(total.div_ceil(DOMAIN_WORKERS_DIVISOR));
        if enough_workers && jobs.len() >= MIN_DOMAIN_JOBS {
            self.domain_failing_until = now + DOMAIN_WINDOW;
        }
        if self.is_domain_failing(now) {
            self.workers
                .values_mut()
                .for_each(|w| w.discard_since(since));
            self.jobs.values_mut().for_each(|j| j.discard_since(since));
            self.changed_jobs.clear();
        }
    }

    fn workers_to_readmit(&mut self, now: Time, quarantined: &IndexSet<WorkerName>) -> Vec<Action> {
        let mut actions = Vec::new();
        for worker in quarantined {
            let entry = self.workers.entry(worker.clone()).or_default();
            if let Some(after) = entry.readmit(now) {
                actions.push(Action::Readmit {
                    worker: worker.clone(),
                    after,
                });
            }
        }
        actions
    }

    fn workers_to_quarantine(
        &mut self,
        now: Time,
        available: usize,
        quarantined: &IndexSet<WorkerName>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let changed_workers = std::mem::take(&mut self.changed_workers);
        for worker in changed_workers {
            let Some(entry) = self.workers.get(&worker) else {
                continue;
            };
            if quarantined.contains(&worker) || !entry.has_failed_since(Time::ZERO) {
                continue;
            }
            let (failures, jobs) = self.attributable_failures(entry, &worker);
            let enough_failures = failures >= MIN_WORKER_FAILURES && jobs >= MIN_WORKER_JOBS;
            let ready = (enough_failures
                && entry.time_since_first_failure(now) >= QUARANTINE_HOLDOFF)
                || entry.has_relapsed();
            if ready && actions.len() < available {
                if let Some(entry) = self.workers.get_mut(&worker) {
                    entry.quarantine(now);
                }
                actions.push(Action::Quarantine {
                    worker,
                    failures,
                    jobs,
                });
            } else {
                // Evaluated again, after the holdoff or when fewer workers are in
                // quarantine.
                self.changed_workers.insert(worker);
            }
        }
        actions
    }

    /// Number of failures on a worker since its last success, and of distinct jobs among
    /// them that don't fail on other workers.
    fn attributable_failures(&self, entry: &WorkerHistory, worker: &WorkerName) -> (usize, usize) {
        let fine_elsewhere = |job: &&JobName| {
            self.jobs
                .get(*job)
                .is_none_or(|j| j.succeeds_elsewhere(worker))
        };
        let jobs: IndexSet<_> = entry.failed_jobs_since(Time::ZERO).collect();
        (
            entry.failures(),
            jobs.into_iter().filter(fine_elsewhere).count(),
        )
    }

    fn jobs_to_park(&mut self, now: Time, quarantined: &IndexSet<WorkerName>) -> Vec<Action> {
        let mut actions = Vec::new();
        for name in std::mem::take(&mut self.changed_jobs) {
            let Some(job) = self.jobs.get(&name) else {
                continue;
            };
            let healthy = |worker: &WorkerName| {
                let worker_history = self.workers.get(worker);
                !quarantined.contains(worker)
                    && worker_history.is_some_and(|w| w.other_jobs_succeed(now, &name))
            };
            let evidence = job.evidence(healthy);
            let parked = evidence.healthy >= PARK_HEALTHY_WORKERS
                || evidence.workers >= PARK_WORKERS
                || evidence.max_failures >= PARK_TASK_FAILURES;
            if parked {
                self.jobs.swap_remove(&name);
                actions.push(Action::Park {
                    job: name,
                    workers: evidence.workers,
                    healthy: evidence.healthy,
                });
            }
        }
        actions
    }

    /// Removes failures and histories that are too old to count.
    fn prune(&mut self, now: Time) {
        let since = now - FAILURE_WINDOW;
        self.workers.values_mut().for_each(|w| w.prune(since));
        self.workers.retain(|_, w| !w.is_idle(since));
        self.jobs.retain(|_, j| !j.is_idle(since));
    }
}
