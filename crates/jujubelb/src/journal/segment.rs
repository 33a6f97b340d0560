//! Segments: the entries of a shard's log.

use serde::{Deserialize, Serialize};

use crate::model::{
    Attempt, Cause, Checkpoint, Epoch, Incarnation, JobName, JobSpec, NodeName, Record, Resources,
    ShardName, TaskId, WorkerName,
};

/// Identifies the writer of a segment. Shows whose write took effect after the response
/// of an append was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterId {
    /// Process that wrote the segment.
    pub node: NodeName,
    /// Incarnation of that process.
    pub incarnation: Incarnation,
}

/// Outcome of an attempt to run a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The task completed.
    Success,
    /// The attempt failed. The task is queued for another attempt.
    Failure,
    /// The attempt wrote a checkpoint and was stopped. The task will resume.
    Eviction,
    /// The attempt has certainly stopped, because its worker restarted or its lease
    /// expired.
    Loss,
    /// The worker has certainly never started the attempt.
    NotStarted,
}

/// One change of a shard's durable state. Encoded with postcard: the order of variants
/// and fields is part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A job was accepted. All its tasks are queued.
    Accepted {
        /// Job as submitted.
        job: JobSpec,
    },
    /// An attempt was assigned to a worker. Stored before the start command is sent.
    Assigned {
        /// Task that was assigned.
        task: TaskId,
        /// Number of the new attempt.
        attempt: Attempt,
        /// Worker that is to run the attempt.
        worker: WorkerName,
        /// Resource limit of the attempt, which the worker enforces.
        limit: Resources,
    },
    /// The resource limit of a running attempt changed.
    Resized {
        /// Task whose limit changed.
        task: TaskId,
        /// New limit.
        limit: Resources,
    },
    /// An attempt wrote a checkpoint.
    Checkpointed {
        /// Task that was checkpointed.
        task: TaskId,
        /// Attempt that wrote the checkpoint.
        attempt: Attempt,
        /// Name of the checkpoint.
        checkpoint: Checkpoint,
    },
    /// An attempt ended. Stored before the worker is told to forget the attempt.
    Ended {
        /// Task whose attempt ended.
        task: TaskId,
        /// Attempt that ended.
        attempt: Attempt,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// A job was cancelled. Its queued tasks are dropped and its running ones are stopped.
    Cancelled {
        /// Name of the job.
        job: JobName,
    },
    /// A job was parked: its tasks are not started any more.
    Parked {
        /// Name of the job.
        job: JobName,
        /// Reason for which the job was parked.
        cause: Cause,
    },
    /// A queued task was offered to another shard. It can't start here unless the offer is
    /// refused.
    Offered {
        /// Task that was offered.
        task: TaskId,
        /// Number of attempts made so far.
        attempt: Attempt,
        /// Shard to which the task was offered.
        to: ShardName,
    },
    /// An offered task was accepted from another shard and is queued here.
    Received {
        /// Specification of the job that the task belongs to. Only this task of it is received.
        job: JobSpec,
        /// Task that was received.
        task: TaskId,
        /// Number of attempts made so far.
        attempt: Attempt,
        /// Checkpoint to resume from; absent if there is none.
        checkpoint: Option<Checkpoint>,
        /// Shard that offered the task.
        from: ShardName,
        /// Epoch of the offering shard's owner. Offers of lower epochs are stale from now on.
        epoch: Epoch,
    },
    /// An offer of another shard was refused. Stored before the response is sent, so that a
    /// delayed repetition of the offer is refused too.
    Declined {
        /// Task whose offer was refused.
        task: TaskId,
        /// Number of attempts made so far.
        attempt: Attempt,
        /// Shard that offered the task.
        from: ShardName,
        /// Epoch of the offering shard's owner. Offers of lower epochs are stale from now on.
        epoch: Epoch,
    },
    /// The other shard accepted the offered task, which is dropped here.
    Released {
        /// Task that was handed off.
        task: TaskId,
        /// Number of attempts made so far.
        attempt: Attempt,
    },
    /// The other shard refused the offered task, which is queued here again.
    Withdrawn {
        /// Task that is queued again.
        task: TaskId,
        /// Number of attempts made so far.
        attempt: Attempt,
    },
    /// A worker entered or left quarantine, in which it gets no new tasks.
    Quarantined {
        /// Name of the worker.
        worker: WorkerName,
        /// Whether the worker is in quarantine now.
        on: bool,
    },
    /// All owners with lower epochs have certainly stopped renewing leases.
    OwnersRetired {
        /// Lowest epoch whose owner may still renew leases.
        below: Epoch,
    },
    /// The shard's owner ended its term in a planned stop. It renews no leases any more.
    SteppedDown,
    /// An attempt that had been recorded as lost was found to have succeeded, before the
    /// task was assigned again. Stored before the worker is told to forget the attempt.
    LateSuccess {
        /// Task whose attempt succeeded.
        task: TaskId,
        /// Attempt that succeeded.
        attempt: Attempt,
    },
}

/// One entry of a shard's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Epoch of the writer. Never lower than that of the previous segment.
    pub epoch: Epoch,
    /// Process that wrote the segment.
    pub writer: WriterId,
    /// Sequence number of the writer. Together with `writer` it identifies the append.
    pub seq: u64,
    /// Changes, in the order in which they are applied.
    pub changes: Vec<Change>,
    /// Records of the decisions behind the changes.
    pub records: Vec<Record>,
}
