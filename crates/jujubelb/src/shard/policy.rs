//! The decisions that a shard's owner leaves to a placement policy.
//!
//! The owner asks the policy what to do and checks each answer against rules
//! that no policy can override: capacity, domain in service, worker known and
//! reached, evidence fresh. A decision that breaks a rule is dropped and counted.

use indexmap::IndexMap;

use super::state::State;
use super::{ShardSummary, TeamUsage};
use crate::config::Config;
use crate::journal::AttemptOutcome;
use crate::model::{
    Attempt, Cause, DomainName, Fact, JobName, JobSpec, RecordId, Resources, ShardName, Span,
    TaskId, Time, WorkerName,
};
use crate::place::LatencyReport;
use crate::worker::{Phase, TaskUsage};

/// One assigned task as the policy sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssignedTask {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// Room counted for it: the largest of the stored, the planned and the reported limit.
    pub limit: Resources,
    /// Limit that the worker last reported, if it knows the attempt.
    pub reported_limit: Option<Resources>,
    /// Whether the worker reported that it runs.
    pub running: bool,
    /// Whether it is being evicted or stopped.
    pub stopping: bool,
}

/// One worker as the policy sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// Failure domain.
    pub domain: DomainName,
    /// What the host has.
    pub capacity: Resources,
    /// What services on the host need.
    pub reserved: Resources,
    /// Capacity minus the reserved part and the room counted for all occupants.
    pub free: Resources,
    /// Whether the worker enforces limits.
    pub protection: bool,
    /// Whether the owner would accept an assignment: declared, reached, not
    /// leaving and its domain in service. Quarantine is the policy's concern.
    pub usable: bool,
    /// Whether it is in quarantine.
    pub quarantined: bool,
    /// Assigned tasks.
    pub assigned: Vec<AssignedTask>,
}

/// What the policy decides on. All changes that are planned but not stored yet are included.
pub struct ShardView<'a> {
    /// The present.
    pub now: Time,
    /// The shard.
    pub shard: &'a ShardName,
    /// The configuration in force.
    pub config: &'a Config,
    /// Jobs and tasks. `State::queued_tasks` lists the tasks that may be assigned, handed off or parked.
    pub state: &'a State,
    /// Workers of the shard.
    pub workers: &'a IndexMap<WorkerName, WorkerView>,
    /// Queued tasks that may not be tried again before this time.
    pub backoff_until: &'a IndexMap<TaskId, Time>,
    /// Time at which each queued task was queued, as far as this owner knows.
    pub queued_since: &'a IndexMap<TaskId, Time>,
    /// All shards known from peers, with this one if it was reported back.
    pub peers: &'a [ShardSummary],
    /// Whether starts are possible at present: the evidence is fresh and the store answers.
    pub can_start: bool,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Start a queued task.
    Assign {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerName,
        /// Limit of the attempt.
        limit: Resources,
    },
    /// Checkpoint and stop an assigned task; it is queued again.
    Evict {
        /// The task.
        task: TaskId,
    },
    /// Change the limit of an assigned task.
    Resize {
        /// The task.
        task: TaskId,
        /// The new limit.
        limit: Resources,
    },
    /// Offer a queued task to another shard.
    HandOff {
        /// The task.
        task: TaskId,
        /// The target.
        to: ShardName,
    },
    /// Leave a task queued. Recorded once for each task and cause.
    Delay {
        /// The task.
        task: TaskId,
    },
    /// Give a worker no new tasks.
    Quarantine {
        /// The worker.
        worker: WorkerName,
    },
    /// Let a worker have tasks again.
    Readmit {
        /// The worker.
        worker: WorkerName,
    },
    /// Try a job no longer.
    Park {
        /// The job.
        job: JobName,
    },
}

/// A choice with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// What to do.
    pub choice: Choice,
    /// Why.
    pub cause: Cause,
    /// The numbers compared.
    pub facts: Vec<Fact>,
    /// The record that caused this decision, if the policy knows it. Otherwise
    /// the owner links to the latest record about the task.
    pub parent: Option<RecordId>,
}

/// What a policy is told between decisions.
#[derive(Debug)]
pub enum PolicyEvent<'a> {
    /// A configuration came into force.
    ConfigApplied(&'a Config),
    /// A worker reported measured use.
    UsageReported {
        /// The worker.
        worker: &'a WorkerName,
        /// Measured use.
        usage: &'a [TaskUsage],
        /// How old it is.
        lag: Span,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The task.
        task: &'a TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Its job.
        job: &'a JobSpec,
        /// Where it was assigned.
        worker: &'a WorkerName,
        /// Its limit.
        limit: Resources,
        /// How it ended.
        outcome: AttemptOutcome,
        /// What the worker reported; absent if it never reported the end.
        phase: Option<Phase>,
    },
    /// Latency of a service on a worker.
    LatencyReported(&'a LatencyReport),
    /// A worker started anew.
    WorkerRestarted(&'a WorkerName),
}

/// A placement policy. It does no I/O and reads no clock.
pub trait Policy {
    /// Decides what to do now. Called after each change and at least every 100 ms.
    fn choose(&mut self, view: &ShardView<'_>) -> Vec<Decision>;

    /// Takes in what happened.
    fn on_event(&mut self, now: Time, event: PolicyEvent<'_>);

    /// Estimates to keep in the snapshot. Their loss costs efficiency only.
    fn save(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Takes back what `save` gave; ignores what it can't read.
    fn restore(&mut self, _saved: &[u8]) {}

    /// Use of each team's quota in this shard.
    fn team_usage(&self, _view: &ShardView<'_>) -> Vec<TeamUsage> {
        Vec::new()
    }

    /// State for the dump.
    fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}
