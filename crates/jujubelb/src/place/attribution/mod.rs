//! Attribution of failures to workers, jobs or the failure domain.
//!
//! - A worker is to blame if tasks of several jobs fail there, none succeeds
//!   there, and these jobs do not fail elsewhere.
//! - A job is to blame if it fails on several workers on which other jobs succeed.
//! - Neither is to blame if many workers fail many jobs at the same time.

use indexmap::{IndexMap, IndexSet};

use crate::model::{JobName, Span, TaskId, Time, WorkerName};

mod job;
mod worker;

use job::JobHistory;
pub(crate) use worker::PROBATION_TASKS;
use worker::WorkerHistory;

#[cfg(test)]
mod tests;

/// How long a failure counts.
const WINDOW: Span = Span::from_secs(300);

/// Failures of a worker that are looked at together, and the distinct jobs among them.
const WORKER_FAILURES: usize = 3;
const WORKER_JOBS: usize = 2;

/// Time between the first failure and a verdict on a worker. A failure of the
/// whole domain shows on other workers within it.
const HOLDOFF: Span = Span::from_secs(5);

/// Healthy workers on which a job has to fail before it is parked.
const JOB_WORKERS: usize = 3;

/// Workers on which a job may fail while nothing is known of their health, and
/// failures of one task wherever they happened. Nothing is retried for ever.
const JOB_WORKERS_UNKNOWN: usize = 6;
const TASK_FAILURES: u32 = 12;

/// Time within which failures of a whole domain are counted together.
const DOMAIN_WINDOW: Span = Span::from_secs(30);

/// Failing workers, as a share and at least, and failing jobs that point at the
/// domain. 20 % is twice what may be in quarantine.
const DOMAIN_SHARE: usize = 5;
const DOMAIN_WORKERS: usize = 3;
const DOMAIN_JOBS: usize = 3;

/// Largest share of a shard's workers in quarantine: one in this many.
const QUARANTINE_SHARE: usize = 10;

/// What follows from the failures seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Give the worker no new tasks.
    Quarantine {
        /// The worker.
        worker: WorkerName,
        /// Failures there since the last success.
        failures: usize,
        /// Distinct jobs among them.
        jobs: usize,
    },
    /// Let the worker have a few tasks again.
    Readmit {
        /// The worker.
        worker: WorkerName,
        /// How long it was in quarantine.
        after: Span,
    },
    /// Try the job no longer.
    Park {
        /// The job.
        job: JobName,
        /// Workers on which it failed.
        workers: usize,
        /// Those of them on which other jobs succeed.
        healthy: usize,
    },
}

/// Failures and successes seen by one shard's owner.
#[derive(Debug, Default)]
pub(crate) struct Attribution {
    workers: IndexMap<WorkerName, WorkerHistory>,
    jobs: IndexMap<JobName, JobHistory>,
    /// Workers and jobs with news since the last verdicts.
    fresh: IndexSet<WorkerName>,
    fresh_jobs: IndexSet<JobName>,
    /// Until when failures are put down to the domain.
    domain: Time,
}

/// Fewest workers of a shard that can spare one. A shard of one rack has fewer
/// than ten workers and must be protected from a broken one too.
const SPARES_ONE: usize = 4;

/// Workers of a shard that may be in quarantine.
pub(super) fn most_quarantined(total: usize) -> usize {
    (total / QUARANTINE_SHARE).max(usize::from(total >= SPARES_ONE))
}

impl Attribution {
    /// Takes in an attempt that succeeded.
    pub(crate) fn succeeded(&mut self, now: Time, worker: &WorkerName, task: &TaskId) {
        let entry = self.workers.entry(worker.clone()).or_default();
        entry.succeeded(now, &task.job);
        self.jobs
            .entry(task.job.clone())
            .or_default()
            .succeeded(now, worker);
    }

    /// Takes in an attempt that failed by itself.
    pub(crate) fn failed(&mut self, now: Time, worker: &WorkerName, task: &TaskId) {
        let entry = self.workers.entry(worker.clone()).or_default();
        entry.failed(now, &task.job);
        let job = self.jobs.entry(task.job.clone()).or_default();
        job.failed(now, worker, task.index);
        self.fresh.insert(worker.clone());
        self.fresh_jobs.insert(task.job.clone());
    }

    /// Whether a job failed on a worker recently, so that another one is tried first.
    pub(crate) fn has_failed_on(&self, job: &JobName, worker: &WorkerName) -> bool {
        self.jobs.get(job).is_some_and(|j| j.has_failed_on(worker))
    }

    /// Whether any job failed recently: a cheap test before `has_failed_on`.
    pub(crate) fn has_failures(&self, job: &JobName) -> bool {
        self.jobs.get(job).is_some_and(JobHistory::has_failures)
    }

    /// Whether a worker may get only a few tasks, until some have succeeded.
    pub(crate) fn is_on_probation(&self, worker: &WorkerName) -> bool {
        self.workers
            .get(worker)
            .is_some_and(WorkerHistory::is_on_probation)
    }

    /// Whether failures are put down to the domain at present.
    pub(crate) fn is_domain_failing(&self, now: Time) -> bool {
        now < self.domain
    }

    /// What follows by now. `quarantined` are the workers in quarantine, `total`
    /// is the number of workers of the shard.
    pub(crate) fn verdicts(
        &mut self,
        now: Time,
        total: usize,
        quarantined: &IndexSet<WorkerName>,
    ) -> Vec<Verdict> {
        self.detect_domain(now, total);
        let mut verdicts = self.readmissions(now, quarantined);
        let held = quarantined.len() - verdicts.len().min(quarantined.len());
        let room = most_quarantined(total).saturating_sub(held);
        verdicts.extend(self.quarantines(now, room, quarantined));
        verdicts.extend(self.parks(now, quarantined));
        self.prune(now);
        verdicts
    }

    /// Drops the failures of a window in which many workers failed many jobs.
    fn detect_domain(&mut self, now: Time, total: usize) {
        if self.fresh.is_empty() {
            return;
        }
        let since = now - DOMAIN_WINDOW;
        let failing: Vec<_> = self
            .workers
            .values()
            .filter(|w| w.fails_since(since))
            .collect();
        let jobs: IndexSet<_> = failing.iter().flat_map(|w| w.jobs_since(since)).collect();
        let many = failing.len() >= DOMAIN_WORKERS.max(total.div_ceil(DOMAIN_SHARE));
        if many && jobs.len() >= DOMAIN_JOBS {
            self.domain = now + DOMAIN_WINDOW;
        }
        if self.is_domain_failing(now) {
            self.workers.values_mut().for_each(|w| w.forgive(since));
            self.jobs.values_mut().for_each(|j| j.forgive(since));
            self.fresh_jobs.clear();
        }
    }

    fn readmissions(&mut self, now: Time, quarantined: &IndexSet<WorkerName>) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for worker in quarantined {
            let entry = self.workers.entry(worker.clone()).or_default();
            if let Some(after) = entry.readmit(now) {
                verdicts.push(Verdict::Readmit {
                    worker: worker.clone(),
                    after,
                });
            }
        }
        verdicts
    }

    fn quarantines(
        &mut self,
        now: Time,
        room: usize,
        quarantined: &IndexSet<WorkerName>,
    ) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let fresh = std::mem::take(&mut self.fresh);
        for worker in fresh {
            let Some(entry) = self.workers.get(&worker) else {
                continue;
            };
            if quarantined.contains(&worker) || !entry.fails_since(Time::ZERO) {
                continue;
            }
            let (failures, jobs) = self.blame(entry, &worker);
            let enough = failures >= WORKER_FAILURES && jobs >= WORKER_JOBS;
            let ready = (enough && entry.since_first(now) >= HOLDOFF) || entry.is_relapsed();
            if ready && verdicts.len() < room {
                if let Some(entry) = self.workers.get_mut(&worker) {
                    entry.quarantine(now);
                }
                verdicts.push(Verdict::Quarantine {
                    worker,
                    failures,
                    jobs,
                });
            } else {
                // Looked at again: the holdoff passes or room becomes free.
                self.fresh.insert(worker);
            }
        }
        verdicts
    }

    /// Failures since the last success on a worker, and the distinct jobs among
    /// them that don't fail elsewhere.
    fn blame(&self, entry: &WorkerHistory, worker: &WorkerName) -> (usize, usize) {
        let innocent = |job: &&JobName| {
            self.jobs
                .get(*job)
                .is_none_or(|j| j.succeeds_elsewhere(worker))
        };
        let jobs: IndexSet<_> = entry.jobs_since(Time::ZERO).collect();
        (entry.failures(), jobs.into_iter().filter(innocent).count())
    }

    fn parks(&mut self, now: Time, quarantined: &IndexSet<WorkerName>) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for name in std::mem::take(&mut self.fresh_jobs) {
            let Some(job) = self.jobs.get(&name) else {
                continue;
            };
            let healthy = |worker: &WorkerName| {
                let known = self.workers.get(worker);
                !quarantined.contains(worker) && known.is_some_and(|w| w.serves_others(now, &name))
            };
            let found = job.suspicion(healthy);
            let parked = found.healthy >= JOB_WORKERS
                || found.workers >= JOB_WORKERS_UNKNOWN
                || found.worst >= TASK_FAILURES;
            if parked {
                self.jobs.swap_remove(&name);
                verdicts.push(Verdict::Park {
                    job: name,
                    workers: found.workers,
                    healthy: found.healthy,
                });
            }
        }
        verdicts
    }

    /// Forgets what is too old to count.
    fn prune(&mut self, now: Time) {
        let since = now - WINDOW;
        self.workers.values_mut().for_each(|w| w.prune(since));
        self.workers.retain(|_, w| !w.is_idle(since));
        self.jobs.retain(|_, j| !j.is_idle(since));
    }
}
