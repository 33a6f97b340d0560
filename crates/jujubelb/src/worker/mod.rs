//! The worker protocol: one exchange carries the lease and the commands to the
//! worker and brings back its report.
//!
//! Over HTTP it is `POST /v1/sync` at the worker's address with a
//! [`SyncRequest`] as JSON and status 200 with a [`SyncResponse`] as JSON.

mod http;
#[cfg(test)]
mod tests;

pub use http::HttpWorkerClient;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::model::{
    Attempt, Checkpoint, Epoch, Incarnation, Millicores, Resources, ShardName, Span, TaskId,
    TaskSpec, WorkerName, WorkerTime,
};

/// What a worker is asked to do. Each command is idempotent by task and attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Start an attempt.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt. The worker refuses one that is not newer than the last it saw of the task.
        attempt: Attempt,
        /// What the task needs.
        spec: TaskSpec,
        /// Limit that the worker enforces. The sum over a worker's tasks never exceeds its capacity.
        limit: Resources,
        /// Last instant at which the task may start, by the worker's clock.
        start_by: WorkerTime,
        /// Where to resume from.
        checkpoint: Option<Checkpoint>,
    },
    /// Write a checkpoint and go on.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Write a checkpoint, then stop.
    Evict {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Change the limit that the worker enforces.
    Resize {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// The new limit.
        limit: Resources,
    },
    /// Stop without a checkpoint.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Forget an attempt that has ended; its end is stored.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
}

/// Request of an exchange, from the owner of the worker's shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The shard.
    pub shard: ShardName,
    /// The owner's epoch. The worker refuses one lower than the highest it has seen of this shard.
    pub epoch: Epoch,
    /// Counts the owner's exchanges with this worker in its term. The worker
    /// obeys a request only if its epoch and number are above those of the last
    /// one it obeyed, so a delayed or repeated request has no effect.
    pub seq: u64,
    /// Instant until which the worker's tasks may run, by the worker's clock.
    /// Never later than the timestamp of the worker's last report plus the lease.
    pub lease: Option<WorkerTime>,
    /// Incarnation and inventory version that the owner has. The worker obeys the
    /// lease and the commands only if the incarnation is its own: those of a
    /// request that was sent before a restart refer to another clock.
    #[serde(rename = "have")]
    pub known_inventory: Option<(Incarnation, u64)>,
    /// Commands, in order.
    pub commands: Vec<Command>,
}

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Phase {
    /// It runs.
    Running,
    /// It ended well.
    Succeeded,
    /// It ended with an error of its own.
    Failed,
    /// The worker stopped it because it exceeded its limit.
    OverLimit,
    /// It was checkpointed and stopped on command.
    Evicted,
    /// It was stopped on command without a checkpoint.
    Stopped,
    /// The worker stopped it when the lease ended.
    Lapsed,
}

impl Phase {
    /// Whether the attempt no longer runs.
    pub const fn is_ended(self) -> bool {
        !matches!(self, Self::Running)
    }
}

/// One attempt in a worker's inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// Where it stands.
    pub phase: Phase,
    /// The limit in force.
    pub limit: Resources,
    /// The newest checkpoint.
    pub checkpoint: Option<Checkpoint>,
}

/// Measured use of one task, some seconds old.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// What it used.
    pub used: Resources,
    /// Processor time it would have used without its limit.
    pub wanted: Millicores,
}

/// Why a worker refused a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The start came after `start_by`.
    TooLate,
    /// The attempt is not newer than one that the worker has seen.
    OldAttempt,
    /// The sum of limits would exceed the worker's capacity.
    #[serde(rename = "no-room")]
    #[display("no-room")]
    InsufficientCapacity,
    /// The worker is leaving.
    Leaving,
    /// No such attempt.
    Unknown,
}

/// A command that the worker refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedCommand {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// Why.
    pub reason: RefusalReason,
}

/// Answer of an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReport {
    /// The worker.
    pub worker: WorkerName,
    /// Changes with each start of the worker, which loses all tasks.
    pub incarnation: Incarnation,
    /// When the report was made, by the worker's clock.
    pub at: WorkerTime,
    /// Instant until which the tasks may run.
    pub lease: Option<WorkerTime>,
    /// Version of the inventory; grows with each change of a phase, limit or checkpoint.
    pub version: u64,
    /// All attempts that the worker knows, or `None` if the owner has this version.
    pub inventory: Option<Vec<TaskReport>>,
    /// Measured use; absent if nothing new was measured.
    pub usage: Vec<TaskUsage>,
    /// How old the measured use is.
    pub lag: Span,
    /// Commands that were refused.
    pub refused: Vec<RefusedCommand>,
    /// Whether the worker is leaving and takes no new tasks.
    pub leaving: bool,
}

/// Answer to a request that the worker does not obey.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SyncResponse {
    /// The request was obeyed.
    Report(SyncReport),
    /// The worker has obeyed a higher epoch or a later request, or belongs to another shard.
    Fenced {
        /// The shard that the worker obeys.
        shard: ShardName,
        /// The highest epoch that it has seen.
        epoch: Epoch,
    },
}

/// Failure of an exchange. The commands may have been obeyed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// No whole answer came.
    #[error("no answer from the worker: {0}")]
    Unreachable(String),
    /// The answer could not be understood.
    #[error("the worker's answer is malformed: {0}")]
    Malformed(String),
}

/// Exchanges with workers. Calls block until the answer or the adapter's timeout.
pub trait WorkerClient: Send + Sync {
    /// Carries out one exchange with the worker at `address`.
    fn sync(
        &self,
        address: std::net::SocketAddr,
        request: &SyncRequest,
    ) -> Result<SyncResponse, WorkerError>;
}
