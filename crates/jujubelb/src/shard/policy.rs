//! The decisions that a shard's owner leaves to a placement policy.
//!
//! The owner asks the policy what to do and checks each answer against rules
//! that no policy can override: enough capacity, the domain in service, the
//! worker declared and reachable, the configuration evidence recent. A decision
//! that breaks a rule is dropped and counted.

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

/// A task that is assigned to a worker, as the policy sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssignedTask {
    /// Identity of the task.
    pub task: TaskId,
    /// Assigned attempt.
    pub attempt: Attempt,
    /// Capacity committed for it: the largest of the stored, planned, reported and sent limits.
    pub limit: Resources,
    /// Limit in the worker's last report; absent if the report lacks the attempt.
    pub reported_limit: Option<Resources>,
    /// Whether the worker's last report lists the attempt as running.
    pub running: bool,
    /// Whether the attempt is being evicted or its job was cancelled.
    pub stopping: bool,
}

/// A worker of the shard, as the policy sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// Failure domain of the worker's host.
    pub domain: DomainName,
    /// Declared capacity of the host.
    pub capacity: Resources,
    /// Part of the capacity that is reserved for services on the host.
    pub reserved: Resources,
    /// Capacity without the reserved part and what is committed for all attempts.
    pub free: Resources,
    /// Whether the worker enforces limits.
    pub protection: bool,
    /// Whether the owner accepts assignments to it: it is declared, reachable and
    /// not leaving, and its domain is in service. The policy itself avoids
    /// workers in quarantine.
    pub usable: bool,
    /// Whether the worker is in quarantine.
    pub quarantined: bool,
    /// Tasks assigned to the worker as planned.
    pub assigned: Vec<AssignedTask>,
}

/// The shard as the policy sees it. Includes all changes that are planned but not stored yet.
pub struct ShardView<'a> {
    /// Current time.
    pub now: Time,
    /// Name of the shard.
    pub shard: &'a ShardName,
    /// Active configuration.
    pub config: &'a Config,
    /// Planned state of jobs and tasks. `State::queued_tasks` lists the tasks that may
    /// be assigned, handed off or parked.
    pub state: &'a State,
    /// Declared workers among those of the shard.
    pub workers: &'a IndexMap<WorkerName, WorkerView>,
    /// Earliest time of the next attempt, for queued tasks that failed.
    pub backoff_until: &'a IndexMap<TaskId, Time>,
    /// Time at which this owner first saw each queued task in the queue.
    pub queued_since: &'a IndexMap<TaskId, Time>,
    /// Summaries of all shards of which peers have reported; may include this shard.
    pub peers: &'a [ShardSummary],
    /// Whether tasks can be started now: the configuration evidence is recent and the
    /// store responds.
    pub can_start: bool,
}

/// An action that the policy chooses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Start a queued task.
    Assign {
        /// Queued task.
        task: TaskId,
        /// Worker that is to run it.
        worker: WorkerName,
        /// Limit of the attempt.
        limit: Resources,
    },
    /// Checkpoint and stop an assigned task, which queues it again.
    Evict {
        /// Assigned task.
        task: TaskId,
    },
    /// Change the limit of an assigned task.
    Resize {
        /// Assigned task.
        task: TaskId,
        /// New limit of the attempt.
        limit: Resources,
    },
    /// Offer a queued task to another shard.
    HandOff {
        /// Queued task.
        task: TaskId,
        /// Shard that is to receive the task.
        to: ShardName,
    },
    /// Leave a task queued. Recorded once per task and cause while it is queued.
    Delay {
        /// Queued task.
        task: TaskId,
    },
    /// Exclude a worker from new assignments.
    Quarantine {
        /// Worker to exclude.
        worker: WorkerName,
    },
    /// End a worker's quarantine.
    Readmit {
        /// Worker in quarantine.
        worker: WorkerName,
    },
    /// Make no further attempts at the tasks of a job.
    Park {
        /// Job whose tasks failed.
        job: JobName,
    },
}

/// A choice of the policy with the reason that is recorded for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Action to carry out.
    pub choice: Choice,
    /// Cause for the decision record.
    pub cause: Cause,
    /// Numbers that the policy compared.
    pub facts: Vec<Fact>,
    /// Record that led to this decision, if the policy knows it. Otherwise the
    /// owner links to the latest record of the task or its job.
    pub parent: Option<RecordId>,
}

/// An event that the owner reports to the policy between decisions.
#[derive(Debug)]
pub enum PolicyEvent<'a> {
    /// A configuration became active.
    ConfigApplied(&'a Config),
    /// A worker reported the measured resource usage of its tasks.
    UsageReported {
        /// Reporting worker.
        worker: &'a WorkerName,
        /// Measured usage of each task.
        usage: &'a [TaskUsage],
        /// Age of the measurement when it was reported.
        lag: Span,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Task of the attempt.
        task: &'a TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Specification of the task's job.
        job: &'a JobSpec,
        /// Worker to which it was assigned.
        worker: &'a WorkerName,
        /// Limit of the assignment.
        limit: Resources,
        /// Kind of end.
        outcome: AttemptOutcome,
        /// Phase that the worker reported; absent if it never reported the end.
        phase: Option<Phase>,
    },
    /// Entry processes measured the latency of a service's endpoints on a worker.
    LatencyReported(&'a LatencyReport),
    /// A worker has a new incarnation.
    WorkerRestarted(&'a WorkerName),
}

/// A placement policy. It does no I/O and reads no clock.
pub trait Policy {
    /// Chooses the actions to carry out now. Called at most every 50 ms after
    /// changes, and otherwise every 100 ms.
    fn choose(&mut self, view: &ShardView<'_>) -> Vec<Decision>;

    /// Handles an event.
    fn on_event(&mut self, now: Time, event: PolicyEvent<'_>);

    /// Serialises the estimates that a snapshot keeps. Losing them costs only efficiency.
    fn save(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Restores the estimates that `save` returned. Ignores bytes that it can't decode.
    fn restore(&mut self, _saved: &[u8]) {}

    /// Returns the usage of each team's quota in this shard.
    fn team_usage(&self, _view: &ShardView<'_>) -> Vec<TeamUsage> {
        Vec::new()
    }

    /// Returns the internal state for the operator's dump.
    fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}
