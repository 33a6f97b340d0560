//! State of workers and assigned tasks that the policy keeps between passes.

use indexmap::IndexMap;

use crate::config::Config;
use crate::model::{
    Attempt, Checkpoint, ClassName, JobSpec, Millicores, Priority, Resources, ServiceName, Span,
    TaskId, TeamName, Time, WorkerName,
};
use crate::place::capacity::PeakUse;
use crate::place::interference::MixHistory;
use crate::place::mitigation::MitigationState;
use crate::place::slow_start::SlowStart;
use crate::worker::TaskUsage;

/// Time without latency reports after which they are considered missing: twelve
/// times their maximum delay.
const REPORT_TIMEOUT: Span = Span::from_secs(60);

/// A service with endpoints on a worker.
#[derive(Debug, Clone)]
pub(super) struct LocalService {
    pub(super) service: ServiceName,
    pub(super) deadline: Span,
    /// Expected slowdown by the current class mix, as a share of the usual latency.
    pub(super) mean: f64,
    /// Variance of `mean`.
    pub(super) variance: f64,
    /// When the last report arrived, or when the service was first tracked.
    pub(super) last_report: Time,
}

impl LocalService {
    /// Whether reports are missing, because the service gets no requests on this
    /// worker or its reports are lost. Batch tasks don't wait for them.
    pub(super) fn lacks_reports(&self, now: Time) -> bool {
        now.since(self.last_report) >= REPORT_TIMEOUT
    }
}

/// State of one worker.
#[derive(Debug)]
pub(super) struct TrackedWorker {
    pub(super) services: Vec<LocalService>,
    pub(super) history: MixHistory,
    pub(super) mitigations: IndexMap<ServiceName, MitigationState>,
    /// Tasks on the worker, mostly in the order of the owner's view.
    pub(super) tasks: IndexMap<TaskId, TrackedTask>,
    /// Number of comparisons of the worker's tasks with the view; wraps around.
    pub(super) sync_count: u32,
    /// When the worker's tasks were last compared with the view.
    pub(super) synced: Option<Time>,
    pub(super) slow_start: SlowStart,
    /// Number of tasks on the worker, including those started in this pass.
    pub(super) task_count: usize,
    /// Number of tasks started in this pass.
    pub(super) starts: u32,
    /// No batch task starts before this time, because a service was slowed.
    pub(super) batch_paused: Time,
    /// Task for which the free capacity is held, and the end of the hold.
    pub(super) hold: Option<(TaskId, Time)>,
    /// No task is evicted or throttled for the growth of another before this time.
    pub(super) next_eviction: Time,
}

impl TrackedWorker {
    pub(super) fn new(now: Time, worker: &WorkerName, config: &Config) -> Self {
        Self {
            services: services_on(now, worker, config),
            history: MixHistory::default(),
            mitigations: IndexMap::new(),
            tasks: IndexMap::new(),
            sync_count: 0,
            synced: None,
            slow_start: SlowStart::new(now),
            task_count: 0,
            starts: 0,
            batch_paused: Time::ZERO,
            hold: None,
            next_eviction: Time::ZERO,
        }
    }

    /// Whether the free capacity is held for another task.
    pub(super) fn is_held_for_other(&self, now: Time, task: &TaskId) -> bool {
        self.hold
            .as_ref()
            .is_some_and(|(holder, until)| holder != task && now < *until)
    }
}

/// Returns the services with an endpoint on a worker.
pub(super) fn services_on(now: Time, worker: &WorkerName, config: &Config) -> Vec<LocalService> {
    let here = |service: &crate::config::Service| {
        let mut endpoints = service.endpoints.values();
        endpoints.any(|e| e.worker.as_ref() == Some(worker))
    };
    config
        .services
        .iter()
        .filter(|(_, service)| here(service))
        .map(|(name, service)| LocalService {
            service: name.clone(),
            deadline: service.deadline,
            mean: 0.0,
            variance: 0.0,
            last_report: now,
        })
        .collect()
}

/// State of one assigned task.
#[derive(Debug, Clone)]
pub(super) struct TrackedTask {
    pub(super) attempt: Attempt,
    pub(super) team: TeamName,
    pub(super) class: ClassName,
    pub(super) urgent: bool,
    pub(super) reclaimable: bool,
    pub(super) declared: Resources,
    /// Resources charged to the team for the task.
    pub(super) charged: Resources,
    /// When the attempt was first tracked or a new checkpoint was last found.
    pub(super) checkpointed: Time,
    pub(super) checkpoint: Option<Checkpoint>,
    pub(super) peak: PeakUse,
    /// Use and wanted processor time of the last report, until it was considered
    /// for a new limit.
    pub(super) new_report: Option<(Resources, Millicores)>,
    /// Use in the last report.
    pub(super) used: Resources,
    /// Limit before throttling and the service that required it, while throttled.
    pub(super) throttled: Option<(Resources, ServiceName)>,
}

impl TrackedTask {
    pub(super) fn new(now: Time, attempt: Attempt, job: &JobSpec) -> Self {
        Self {
            attempt,
            team: job.team.clone(),
            class: job.task.class.clone(),
            urgent: job.task.priority == Priority::Urgent,
            reclaimable: job.task.reclaimable,
            declared: job.task.size,
            charged: Resources::ZERO,
            checkpointed: now,
            checkpoint: None,
            peak: PeakUse::default(),
            new_report: None,
            used: Resources::ZERO,
            throttled: None,
        }
    }

    /// Resets the measurements of an earlier attempt.
    pub(super) fn restart(&mut self, now: Time, attempt: Attempt) {
        self.attempt = attempt;
        self.checkpointed = now;
        self.peak = PeakUse::default();
        self.new_report = None;
        self.used = Resources::ZERO;
        self.throttled = None;
    }

    pub(super) fn report(&mut self, usage: &TaskUsage) {
        self.peak.add(&usage.used, usage.wanted);
        self.used = usage.used;
        self.new_report = Some((usage.used, usage.wanted));
    }
}
