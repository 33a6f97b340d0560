//! The worker protocol: in one exchange the owner of a shard sends a worker its lease
//! and commands, and receives the worker's report.
//!
//! Over HTTP it is `POST /v1/sync` at the worker's address. The request body is a
//! [`SyncRequest`] and the body of the response, with status 200, a [`SyncResponse`],
//! both as JSON.

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

/// A command to a worker. Commands are idempotent by task and attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Start an attempt.
    Start {
        /// Addressed task.
        task: TaskId,
        /// Attempt to start. The worker refuses it if it is not newer than the last one that
        /// it has seen of the task.
        attempt: Attempt,
        /// Requirements of the task.
        spec: TaskSpec,
        /// Resource limit that the worker enforces. The sum over a worker's tasks never
        /// exceeds its capacity.
        limit: Resources,
        /// Latest time at which the task may start, by the worker's clock.
        start_by: WorkerTime,
        /// Checkpoint from which to resume, if any.
        checkpoint: Option<Checkpoint>,
    },
    /// Write a checkpoint and continue.
    Checkpoint {
        /// Addressed task.
        task: TaskId,
        /// Addressed attempt of the task.
        attempt: Attempt,
    },
    /// Write a checkpoint, then stop.
    Evict {
        /// Addressed task.
        task: TaskId,
        /// Addressed attempt of the task.
        attempt: Attempt,
    },
    /// Change the resource limit that the worker enforces.
    Resize {
        /// Addressed task.
        task: TaskId,
        /// Addressed attempt of the task.
        attempt: Attempt,
        /// New resource limit.
        limit: Resources,
    },
    /// Stop without a checkpoint.
    Stop {
        /// Addressed task.
        task: TaskId,
        /// Addressed attempt of the task.
        attempt: Attempt,
    },
    /// Forget an attempt that has ended; its outcome has been stored.
    Forget {
        /// Addressed task.
        task: TaskId,
        /// Addressed attempt of the task.
        attempt: Attempt,
    },
}

/// Request of an exchange, sent by the owner of the worker's shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Shard of the owner.
    pub shard: ShardName,
    /// Epoch of the owner. The worker refuses one that is lower than the highest that it
    /// has seen of this shard.
    pub epoch: Epoch,
    /// Sequence number of the exchange with this worker in the owner's term. The worker
    /// executes a request only if its epoch and number are above those of the last
    /// executed one, so a delayed or duplicated request has no effect.
    pub seq: u64,
    /// Time until which the worker's tasks may run, by the worker's clock. Never later
    /// than the timestamp of the worker's last report plus the lease duration. `None`
    /// grants no lease.
    pub lease: Option<WorkerTime>,
    /// Incarnation and version of the inventory that the owner has. The worker applies
    /// the lease and the commands only if the incarnation is its own: a request from
    /// before a restart refers to another clock.
    #[serde(rename = "have")]
    pub known_inventory: Option<(Incarnation, u64)>,
    /// Commands, in order of execution.
    pub commands: Vec<Command>,
}

/// State of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Phase {
    /// The attempt is running.
    Running,
    /// The attempt ended successfully.
    Succeeded,
    /// The attempt ended with an error of the task.
    Failed,
    /// The worker stopped the attempt because it exceeded its limit.
    OverLimit,
    /// The attempt was checkpointed and stopped by a command.
    Evicted,
    /// The attempt was stopped by a command without a checkpoint.
    Stopped,
    /// The worker stopped the attempt when the lease ended.
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
    /// Identifier of the task.
    pub task: TaskId,
    /// Attempt of the task.
    pub attempt: Attempt,
    /// State of the attempt.
    pub phase: Phase,
    /// Resource limit that the worker enforces.
    pub limit: Resources,
    /// Newest checkpoint, if one has been written.
    pub checkpoint: Option<Checkpoint>,
}

/// Measured resource usage of one task, some seconds old.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// Identifier of the task.
    pub task: TaskId,
    /// Attempt of the task.
    pub attempt: Attempt,
    /// Resources used.
    pub used: Resources,
    /// Processor time that the task would have used without its limit.
    pub wanted: Millicores,
}

/// Reason why a worker refused a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The command arrived after `start_by`.
    TooLate,
    /// The attempt is not newer than one that the worker has seen.
    OldAttempt,
    /// The sum of the limits would exceed the worker's capacity.
    #[serde(rename = "no-room")]
    #[display("no-room")]
    InsufficientCapacity,
    /// The worker is leaving and accepts no new tasks.
    Leaving,
    /// The worker does not know the attempt.
    Unknown,
}

/// A command that the worker refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedCommand {
    /// Identifier of the task.
    pub task: TaskId,
    /// Attempt of the task.
    pub attempt: Attempt,
    /// Reason of the refusal.
    pub reason: RefusalReason,
}

/// State of a worker, reported in an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReport {
    /// Reporting worker.
    pub worker: WorkerName,
    /// Incarnation of the worker; changes with each restart, which loses all tasks.
    pub incarnation: Incarnation,
    /// Time of the report by the worker's clock.
    pub at: WorkerTime,
    /// Time until which the tasks may run, by the worker's clock.
    pub lease: Option<WorkerTime>,
    /// Version of the inventory; increases with each change of a phase, limit or checkpoint.
    pub version: u64,
    /// All attempts that the worker knows, or `None` if the owner has this version already.
    pub inventory: Option<Vec<TaskReport>>,
    /// Measured resource usage; empty if there is no new measurement.
    pub usage: Vec<TaskUsage>,
    /// Age of the measured usage.
    pub lag: Span,
    /// Commands of the request that the worker refused.
    pub refused: Vec<RefusedCommand>,
    /// Whether the worker is leaving and accepts no new tasks.
    pub leaving: bool,
}

/// Response of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SyncResponse {
    /// The request was executed.
    Report(SyncReport),
    /// The request was ignored: the worker has executed a request with a higher epoch or
    /// number, or belongs to another shard.
    Fenced {
        /// Shard to which the worker belongs.
        shard: ShardName,
        /// Highest epoch that the worker has seen.
        epoch: Epoch,
    },
}

/// Error of an exchange. The commands may have been executed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// No complete response arrived.
    #[error("no response from the worker: {0}")]
    Unreachable(String),
    /// The response could not be decoded.
    #[error("the worker's response is malformed: {0}")]
    Malformed(String),
}

/// Client of the worker protocol. Calls block until the response arrives or the timeout
/// expires.
pub trait WorkerClient: Send + Sync {
    /// Carries out one exchange with the worker at `address`.
    fn sync(
        &self,
        address: std::net::SocketAddr,
        request: &SyncRequest,
    ) -> Result<SyncResponse, WorkerError>;
}
