//! What one segment of a shard's log holds.

use serde::{Deserialize, Serialize};

use crate::model::{
    Attempt, Cause, Checkpoint, Epoch, Incarnation, JobName, JobSpec, NodeName, Record, Resources,
    ShardName, TaskId, WorkerName,
};

/// The writer of a segment. Tells whose write took effect after a lost answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterId {
    /// The process.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The task is done.
    Success,
    /// The attempt failed; the task is tried again.
    Failure,
    /// The attempt was checkpointed and stopped; the task resumes.
    Eviction,
    /// The attempt certainly runs no more, because its worker restarted or its lease ended.
    Loss,
    /// The worker certainly never started it.
    NotStarted,
}

/// One change of a shard's durable state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A job was accepted; all its tasks are queued.
    Accepted {
        /// The job.
        job: JobSpec,
    },
    /// An attempt was assigned to a worker. Stored before the start command is sent.
    Assigned {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: WorkerName,
        /// Limit of the attempt.
        limit: Resources,
    },
    /// The limit of a running attempt changed.
    Resized {
        /// The task.
        task: TaskId,
        /// The limit.
        limit: Resources,
    },
    /// A checkpoint was written.
    Checkpointed {
        /// The task.
        task: TaskId,
        /// The attempt that wrote it.
        attempt: Attempt,
        /// Its name.
        checkpoint: Checkpoint,
    },
    /// An attempt ended. Stored before the worker is told to forget it.
    Ended {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A job was cancelled; its queued tasks are dropped and running ones are stopped.
    Cancelled {
        /// The job.
        job: JobName,
    },
    /// A job is no longer tried.
    Parked {
        /// The job.
        job: JobName,
        /// Why.
        cause: Cause,
    },
    /// A queued task was offered to another shard. It can't start here until the offer is refused.
    Offered {
        /// The task.
        task: TaskId,
        /// Attempts made so far.
        attempt: Attempt,
        /// The target.
        to: ShardName,
    },
    /// A task was received from another shard and is queued here.
    Received {
        /// The job, with the single task's number in `task`.
        job: JobSpec,
        /// The task.
        task: TaskId,
        /// Attempts made so far.
        attempt: Attempt,
        /// Where to resume from.
        checkpoint: Option<Checkpoint>,
        /// The source.
        from: ShardName,
        /// Epoch of the source's owner. Offers of lower epochs are stale from now on.
        epoch: Epoch,
    },
    /// An offer was refused. Stored before the answer, so that a delayed repeat is refused too.
    Declined {
        /// The task.
        task: TaskId,
        /// Attempts made so far.
        attempt: Attempt,
        /// The source.
        from: ShardName,
        /// Epoch of the source's owner. Offers of lower epochs are stale from now on.
        epoch: Epoch,
    },
    /// The target has the offered task; the source forgets it.
    Released {
        /// The task.
        task: TaskId,
        /// Attempts made so far.
        attempt: Attempt,
    },
    /// The target refused the offered task; it is queued here again.
    Withdrawn {
        /// The task.
        task: TaskId,
        /// Attempts made so far.
        attempt: Attempt,
    },
    /// A worker gets no new tasks, or may get them again.
    Quarantined {
        /// The worker.
        worker: WorkerName,
        /// Whether it is in quarantine.
        on: bool,
    },
    /// All owners below this epoch certainly renew no lease any more.
    OwnersRetired {
        /// The lowest epoch whose owner may still renew leases.
        below: Epoch,
    },
    /// The shard's owner gave up its term in a planned stop: it renews no lease any more.
    SteppedDown,
    /// An attempt that was given up as lost turned out to have ended well before
    /// the task was assigned again. Stored before the worker is told to forget it.
    LateSuccess {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
}

/// One entry of a shard's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The writer's epoch. Never lower than that of the segment before.
    pub epoch: Epoch,
    /// The writer.
    pub writer: WriterId,
    /// Counted by the writer; with `writer` it identifies the append.
    pub seq: u64,
    /// Changes, in order.
    pub changes: Vec<Change>,
    /// Decision records that go with them.
    pub records: Vec<Record>,
}
