//! What the policy remembers of workers and assigned tasks between decisions.

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

/// Time without reports after which none are waited for: twelve times their delay.
const REPORT_TIMEOUT: Span = Span::from_secs(60);

/// A service with endpoints on a worker.
#[derive(Debug, Clone)]
pub(super) struct LocalService {
    pub(super) service: ServiceName,
    pub(super) deadline: Span,
    /// Expected slowdown by the present mix.
    pub(super) mean: f64,
    /// Variance of that expectation.
    pub(super) variance: f64,
    /// When the last report came, or when reports were first expected.
    pub(super) last_report: Time,
}

impl LocalService {
    /// Whether no reports come: the service gets no requests here, or its
    /// reports are lost. Batch work is not kept waiting for them.
    pub(super) fn lacks_reports(&self, now: Time) -> bool {
        now.since(self.last_report) >= REPORT_TIMEOUT
    }
}

/// What the policy remembers of a worker.
#[derive(Debug)]
pub(super) struct TrackedWorker {
    pub(super) services: Vec<LocalService>,
    pub(super) history: MixHistory,
    pub(super) mitigations: IndexMap<ServiceName, MitigationState>,
    /// Tasks on the worker, in the order of the owner's view as far as possible.
    pub(super) tasks: IndexMap<TaskId, TrackedTask>,
    /// Comparisons of the worker's tasks with the view so far.
    pub(super) sync_count: u32,
    /// When the worker's tasks were last compared with the owner's view.
    pub(super) synced: Option<Time>,
    pub(super) slow_start: SlowStart,
    /// Tasks on the worker, with those started in this pass.
    pub(super) task_count: usize,
    /// Starts in this pass.
    pub(super) starts: u32,
    /// No batch task starts before this time, because a service suffered.
    pub(super) batch_paused: Time,
    /// The room is kept for this task until then.
    pub(super) hold: Option<(TaskId, Time)>,
    /// The next eviction to make room for growth is not before this time.
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

    /// Whether the room is kept for another task.
    pub(super) fn is_held_for_other(&self, now: Time, task: &TaskId) -> bool {
        self.hold
            .as_ref()
            .is_some_and(|(holder, until)| holder != task && now < *until)
    }
}

/// Services with an endpoint on a worker.
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

/// What the policy remembers of an assigned task.
#[derive(Debug, Clone)]
pub(super) struct TrackedTask {
    pub(super) attempt: Attempt,
    pub(super) team: TeamName,
    pub(super) class: ClassName,
    pub(super) urgent: bool,
    pub(super) reclaimable: bool,
    pub(super) declared: Resources,
    /// What is charged to the team for it.
    pub(super) charged: Resources,
    /// When the attempt was first seen or last wrote a checkpoint.
    pub(super) checkpointed: Time,
    pub(super) checkpoint: Option<Checkpoint>,
    pub(super) peak: PeakUse,
    /// Last report, until a decision on the limit has used it.
    pub(super) new_report: Option<(Resources, Millicores)>,
    /// Last reported use.
    pub(super) used: Resources,
    /// Limit before the task was throttled, and the service for which it was.
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

    /// Forgets what was measured of an earlier attempt.
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
