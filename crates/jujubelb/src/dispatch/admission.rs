//! Bounds the number of best-effort jobs that are accepted.
//!
//! Best-effort jobs use what other work leaves idle, so without a bound they pile up for as long as
//! more arrive than the workers can do, and the wait of the oldest grows with the overload. A run
//! takes memory even while it is paused, so memory bounds how many jobs can have a run each. Beyond
//! that number a job is accepted only if it has a chance of being done in time: small jobs go
//! before large ones, so one that is larger than jobs that are late already, and of which nothing
//! has started, can only wait. It is refused before it is stored.
//!
//! The leader keeps the numbers and sends the pools that are full with its answers to other hosts,
//! which take submissions without it. Jobs that are on their way between a host and the leader are
//! not counted, so the limit is below what the workers hold, by [`MARGIN_PERCENT`].

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Dispatcher;
use super::job::Job;
use super::job_spec::{JobSpec, QueueSettings, Step};
use super::rank;
use super::worker::Worker;
use crate::model::{ServiceName, Span, Time};

/// Part of the runs that the workers hold which is left free for jobs that hosts accept before
/// they learn that a pool is full, and for serving tasks that start later. A host learns of it
/// with the answer to its notification of the first such job, within 600 ms; the watch of the
/// store tells the leader within 1.5 s. At 1 job a second for each 20 that fit, that is a tenth.
const MARGIN_PERCENT: u64 = 10;

/// Part of the limit to which the number of jobs has to fall before a full pool accepts again.
/// Hysteresis keeps the answer from changing with every job that ends.
const REOPEN_PERCENT: u64 = 90;

/// Least limit of a pool. A few jobs more than fit do no harm, and a pool whose memory is
/// taken for a moment would otherwise refuse its first job.
const MIN_LIMIT: u32 = 16;

/// Interval of counting jobs and memory anew. Each count visits all jobs; what comes and ends in
/// between is added and subtracted.
const COUNT_INTERVAL: Span = Span::from_millis(500);

/// Time from the beginning of a term to the first estimate. Before, workers that have not
/// answered the new leader would count as missing.
const FIRST_ESTIMATE: Span = Span::from_secs(3);

/// Age from which an estimate is not used any more. Longer than the interval of the hosts'
/// announcements, 5 s, whose answers renew it on a host that gets no submissions.
const MAX_ESTIMATE_AGE: Span = Span::from_secs(6);

/// Time over which ends of jobs are counted to estimate when a full pool accepts again.
const RATE_WINDOW: Span = Span::from_secs(5);

/// Shortest and longest time after which a refused caller is asked to come back. The longest
/// bounds the cost of an estimate that is wrong.
const MIN_RETRY: Span = Span::from_secs(1);
const MAX_RETRY: Span = Span::from_secs(10);

/// Part of the late jobs without a start that are smaller than those refused by a full pool, in
/// percent. The smallest ones of all may have waited for another reason than their size.
const SMALLER_LATE_PERCENT: usize = 25;

/// Priority of queues whose jobs are never refused for load.
const URGENT_PRIORITY: u8 = 0;

/// Best-effort jobs of the workers of one service.
#[derive(Debug, Clone, Default)]
struct Pool {
    /// Jobs with best-effort tasks that have not ended.
    jobs: u32,
    /// Most jobs; `None` while there are none whose tasks could be measured.
    limit: Option<u32>,
    /// Whether new jobs are refused.
    full: bool,
    /// What a full pool refuses, by priority.
    size_limits: Vec<SizeLimit>,
    /// Jobs that ended in the present window.
    ended: u32,
    /// Jobs that ended in the last whole window; `None` before the first.
    rate: Option<u32>,
}

impl Pool {
    fn update(&mut self) {
        self.full = self.limit.is_some_and(|limit| match self.full {
            true => self.jobs > reopen_at(limit),
            false => self.jobs >= limit,
        });
    }

    /// Time until the pool accepts again, if jobs go on ending at the present rate.
    fn retry_after(&self) -> Span {
        let excess = self
            .limit
            .map_or(0, |l| self.jobs.saturating_sub(reopen_at(l)));
        let rate = self.rate.unwrap_or(self.ended).max(1);
        let wait = RATE_WINDOW.scale_up(excess.into(), rate.into());
        wait.clamp(MIN_RETRY, MAX_RETRY)
    }
}

/// Number of jobs at which a full pool accepts again.
fn reopen_at(limit: u32) -> u32 {
    (u64::from(limit) * REOPEN_PERCENT / 100) as u32
}

/// Best-effort jobs by service, and what is counted of them.
#[derive(Debug, Default)]
pub(super) struct Admission {
    pools: IndexMap<ServiceName, Pool>,
    /// When jobs and memory were last counted; `None` before the first time in this term.
    counted: Option<Time>,
    /// When the present window of the rates began.
    window: Time,
}

impl Admission {
    /// Counts a job that has just been accepted.
    pub(super) fn job_accepted(&mut self, queue: &QueueSettings, spec: &JobSpec) {
        // A job with a schedule is counted once an occurrence is due.
        if spec.schedule.is_none() && spec.steps.iter().any(|s| s.best_effort) {
            let pool = self.pools.entry(queue.service.clone()).or_default();
            pool.jobs += 1;
            pool.update();
        }
    }

    /// Counts a job that has ended.
    pub(super) fn job_ended(&mut self, queue: &QueueSettings, spec: &JobSpec) {
        if spec.steps.iter().any(|s| s.best_effort)
            && let Some(pool) = self.pools.get_mut(&queue.service)
        {
            pool.jobs = pool.jobs.saturating_sub(1);
            pool.ended += 1;
            pool.update();
        }
    }

    fn turn_window(&mut self, now: Time) {
        if now.since(self.window) < RATE_WINDOW {
            return;
        }
        self.window = now;
        for pool in self.pools.values_mut() {
            pool.rate = Some(std::mem::take(&mut pool.ended));
        }
    }
}

/// Size from which jobs of a priority have no chance of being done in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SizeLimit {
    /// Priority of the queues whose jobs were compared.
    pub priority: u8,
    /// Estimated processor time of an occurrence in core-milliseconds.
    pub work: u64,
}

/// A pool of workers with as many best-effort jobs as can have a run each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullPool {
    /// Service whose workers form the pool.
    pub service: ServiceName,
    /// Best-effort jobs that have not ended.
    pub jobs: u32,
    /// Most best-effort jobs that may be accepted at a time.
    pub limit: u32,
    /// What is refused; jobs of other priorities and smaller ones are accepted.
    pub size_limits: Vec<SizeLimit>,
    /// Time after which a refused caller is asked to come back.
    pub retry_after: Span,
}

/// Which pools are full, as the leader sends it to other hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEstimate {
    /// Time since the jobs were counted.
    pub age: Span,
    /// The pools that refuse best-effort jobs; all others accept them.
    pub full: Vec<FullPool>,
}

impl LoadEstimate {
    /// The full pool because of which a submission is to be refused; `None` if it is to be
    /// accepted. `held` is how long the estimate has been held since the leader sent it.
    pub(crate) fn refuses(
        &self,
        queue: &QueueSettings,
        spec: &JobSpec,
        held: Span,
    ) -> Option<&FullPool> {
        let is_bounded =
            queue.priority != URGENT_PRIORITY && spec.steps.iter().all(|s| s.best_effort);
        if !is_bounded || self.age + held > MAX_ESTIMATE_AGE {
            return None;
        }
        let pool = self.full.iter().find(|p| p.service == queue.service)?;
        let limit = pool
            .size_limits
            .iter()
            .find(|c| c.priority == queue.priority)?;
        (work(&spec.steps) >= limit.work).then_some(pool)
    }
}

/// Current numbers of a pool of workers, for the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolLoad {
    /// Service whose workers form the pool.
    pub service: ServiceName,
    /// Best-effort jobs that have not ended.
    pub jobs: u32,
    /// Most best-effort jobs that may be accepted at a time; `None` without such jobs.
    pub limit: Option<u32>,
}

impl Dispatcher {
    /// Which pools accept no best-effort jobs now; `None` as long as this term can't tell.
    pub fn load_estimate(&self, now: Time) -> Option<LoadEstimate> {
        let counted = self.admission.counted?;
        let pools = self.admission.pools.iter().filter(|(_, p)| p.full);
        let full = pools.map(|(service, pool)| FullPool {
            service: service.clone(),
            jobs: pool.jobs,
            limit: pool.limit.unwrap_or_default(),
            size_limits: pool.size_limits.clone(),
            retry_after: pool.retry_after(),
        });
        Some(LoadEstimate {
            age: now.since(counted),
            full: full.collect(),
        })
    }

    /// Current numbers of all pools of workers.
    pub fn pool_loads(&self) -> Vec<PoolLoad> {
        let load = |(service, pool): (&ServiceName, &Pool)| PoolLoad {
            service: service.clone(),
            jobs: pool.jobs,
            limit: pool.limit,
        };
        self.admission.pools.iter().map(load).collect()
    }

    /// Counts best-effort jobs and the runs that the workers can hold.
    pub(super) fn count_load(&mut self, now: Time) {
        let is_recent = |at| now.since(at) < COUNT_INTERVAL;
        if now.since(self.began) < FIRST_ESTIMATE || self.admission.counted.is_some_and(is_recent) {
            return;
        }
        self.admission.counted = Some(now);
        self.admission.turn_window(now);
        let mut demands: IndexMap<ServiceName, Demand> = IndexMap::new();
        for job in self.jobs.values().filter(|j| j.outcome.is_none()) {
            if let Some(memory) = needed_memory(job) {
                let service = job.record.queue.service.clone();
                let demand = demands.entry(service).or_default();
                demand.add(memory);
                if is_late_unstarted(job, now) {
                    let priority = job.record.queue.priority;
                    let late_works = demand.late_works.entry(priority).or_default();
                    late_works.push(work(&job.record.spec.steps));
                }
            }
        }
        for service in demands.keys() {
            self.admission.pools.entry(service.clone()).or_default();
        }
        for (service, pool) in &mut self.admission.pools {
            let demand = demands.shift_remove(service).unwrap_or_default();
            pool.jobs = demand.jobs;
            pool.limit = demand.mean().map(|task| {
                let in_use = self.workers.values().filter(|w| {
                    w.report.service == *service
                        && w.is_lasting()
                        && !self.evacuated.contains(&w.report.domain)
                });
                let runs: u64 = in_use.map(|w| w.best_effort_memory() / task).sum();
                let limit = runs * (100 - MARGIN_PERCENT) / 100;
                u32::try_from(limit).unwrap_or(u32::MAX).max(MIN_LIMIT)
            });
            pool.size_limits = demand.size_limits();
            let was_full = pool.full;
            pool.update();
            if pool.full != was_full {
                log::info!(service:% = service, full = pool.full, jobs = pool.jobs, limit:? = pool.limit, retry:% = pool.retry_after(); "bound on best-effort jobs");
            }
        }
    }
}

/// Best-effort jobs of a pool and the memory that one run of each needs.
#[derive(Debug, Default)]
struct Demand {
    jobs: u32,
    memory: u64,
    /// Work of the late jobs without a start, by priority.
    late_works: IndexMap<u8, Vec<u64>>,
}

impl Demand {
    fn add(&mut self, memory: u64) {
        self.jobs += 1;
        self.memory = self.memory.saturating_add(memory);
    }

    /// Mean memory of a run; `None` without jobs.
    fn mean(&self) -> Option<u64> {
        (self.jobs > 0).then(|| (self.memory / u64::from(self.jobs)).max(1))
    }

    /// Sizes from which jobs have no chance, by the sizes of late ones without a start.
    fn size_limits(self) -> Vec<SizeLimit> {
        let limit = |(priority, mut works): (u8, Vec<u64>)| {
            works.sort_unstable();
            let work = *works.get(works.len() * SMALLER_LATE_PERCENT / 100)?;
            Some(SizeLimit { priority, work })
        };
        self.late_works.into_iter().filter_map(limit).collect()
    }
}

/// Whether a job has missed its objective before any task of it has started.
fn is_late_unstarted(job: &Job, now: Time) -> bool {
    let due = job.occurrences.iter().map(|o| o.since).min();
    !job.started && due.is_some_and(|due| now.since(due) > rank::objective(job))
}

/// Estimated processor time of an occurrence, in core-milliseconds.
fn work(steps: &[Step]) -> u64 {
    let work = |s: &Step| {
        let cores = u64::from(s.count).saturating_mul(s.size.cpu.0);
        cores.saturating_mul(s.estimate.as_millis()) / 1_000
    };
    steps.iter().map(work).fold(0, u64::saturating_add)
}

/// Least memory in bytes with which a job can have a run now: that of the smallest best-effort task
/// of its open steps that wait for no other; `None` if the job has no best-effort tasks, or no
/// occurrence is due. The steps of
/// many jobs are at different points, so later, larger ones are in the mean as well.
fn needed_memory(job: &Job) -> Option<u64> {
    if job.occurrences.is_empty() {
        return None;
    }
    let steps = &job.record.spec.steps;
    let best_effort = || steps.iter().filter(|s| s.best_effort);
    let smallest = best_effort().map(|s| s.size.memory.0).min()?;
    let ready = job.occurrences.iter().flat_map(|o| {
        let states = steps.iter().zip(&o.steps).enumerate();
        states.filter(|(i, (spec, state))| {
            spec.best_effort && !state.is_done() && job.is_step_ready(o, *i)
        })
    });
    let now = ready.map(|(_, (spec, _))| spec.size.memory.0).min();
    Some(now.unwrap_or(smallest))
}

impl Worker {
    /// Whether the worker answers this term and goes on to.
    fn is_lasting(&self) -> bool {
        self.fenced && self.listed && self.drain_deadline.is_none()
    }

    /// Memory in bytes that runs which are not best-effort leave.
    fn best_effort_memory(&self) -> u64 {
        let others = self.runs.values().filter(|r| !r.best_effort);
        let taken: u64 = others.map(|r| r.size.memory.0).sum();
        self.report.capacity.memory.0.saturating_sub(taken)
    }
}
