//! What the policy remembers of workers and assigned tasks between decisions.

use indexmap::IndexMap;

use crate::config::Config;
use crate::model::{
    Attempt, Checkpoint, Millicores, Resources, ServiceName, Span, TaskId, TeamName, Time,
    WorkerName,
};
use crate::place::capacity::Peak;
use crate::place::interference::History;
use crate::place::ramp::Ramp;
use crate::place::reaction::Reaction;
use crate::worker::TaskUsage;

/// A service with endpoints on a worker.
#[derive(Debug, Clone)]
pub(super) struct Served {
    pub(super) service: ServiceName,
    pub(super) deadline: Span,
    /// Expected slowdown by the present mix.
    pub(super) mean: f64,
    /// Variance of that expectation.
    pub(super) variance: f64,
}

/// What the policy remembers of a worker.
#[derive(Debug)]
pub(super) struct Known {
    pub(super) services: Vec<Served>,
    pub(super) history: History,
    pub(super) reactions: IndexMap<ServiceName, Reaction>,
    /// What each team's tasks on the worker may use, as charged in the queue.
    pub(super) charged: IndexMap<TeamName, Resources>,
    pub(super) ramp: Ramp,
    /// Tasks on the worker, with those started in this pass.
    pub(super) tasks: usize,
    /// Starts in this pass.
    pub(super) starts: u32,
    /// No batch task starts before this time, because a service suffered.
    pub(super) quiet: Time,
    /// The room is kept for this task until then.
    pub(super) hold: Option<(TaskId, Time)>,
    /// The next eviction to make room for growth is not before this time.
    pub(super) settled: Time,
}

impl Known {
    pub(super) fn new(now: Time, worker: &WorkerName, config: &Config) -> Self {
        Self {
            services: services_on(worker, config),
            history: History::default(),
            reactions: IndexMap::new(),
            charged: IndexMap::new(),
            ramp: Ramp::new(now),
            tasks: 0,
            starts: 0,
            quiet: Time::ZERO,
            hold: None,
            settled: Time::ZERO,
        }
    }

    /// Whether the room is kept for another task.
    pub(super) fn is_held(&self, now: Time, task: &TaskId) -> bool {
        self.hold
            .as_ref()
            .is_some_and(|(holder, until)| holder != task && now < *until)
    }
}

/// Services with an endpoint on a worker.
pub(super) fn services_on(worker: &WorkerName, config: &Config) -> Vec<Served> {
    let here = |service: &crate::config::Service| {
        let mut endpoints = service.endpoints.values();
        endpoints.any(|e| e.worker.as_ref() == Some(worker))
    };
    config
        .services
        .iter()
        .filter(|(_, service)| here(service))
        .map(|(name, service)| Served {
            service: name.clone(),
            deadline: service.deadline,
            mean: 0.0,
            variance: 0.0,
        })
        .collect()
}

/// What the policy remembers of an assigned task.
#[derive(Debug, Clone)]
pub(super) struct Seen {
    pub(super) attempt: Attempt,
    /// When the attempt was first seen or last wrote a checkpoint.
    pub(super) saved: Time,
    pub(super) checkpoint: Option<Checkpoint>,
    pub(super) peak: Peak,
    /// Last report, until a decision on the limit has used it.
    pub(super) fresh: Option<(Resources, Millicores)>,
    /// Last reported use.
    pub(super) used: Resources,
    /// Limit before the task was throttled, and the service for which it was.
    pub(super) throttled: Option<(Resources, ServiceName)>,
}

impl Seen {
    pub(super) fn new(now: Time, attempt: Attempt, checkpoint: Option<Checkpoint>) -> Self {
        Self {
            attempt,
            saved: now,
            checkpoint,
            peak: Peak::default(),
            fresh: None,
            used: Resources::ZERO,
            throttled: None,
        }
    }

    pub(super) fn report(&mut self, usage: &TaskUsage) {
        self.peak.add(&usage.used, usage.wanted);
        self.used = usage.used;
        self.fresh = Some((usage.used, usage.wanted));
    }
}
