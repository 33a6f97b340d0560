//! What a shard's owner takes in and gives out.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::journal::{Segment, WriterId};
use crate::model::{
    Attempt, Checkpoint, Code, DomainName, Epoch, Incarnation, JobName, JobSpec, NodeName,
    Priority, Record, RecordId, Resources, ShardName, TaskId, TeamName, Time, WorkerName,
};
use crate::store::StoreError;
use crate::worker::{SyncRequest, SyncResponse};

/// Identifies a question until its answer is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// A job to accept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Home shard, as fixed by the job's claim in the store.
    pub shard: ShardName,
    /// The job.
    pub job: JobSpec,
}

/// A job to cancel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancellation {
    /// Home shard.
    pub shard: ShardName,
    /// The job.
    pub job: JobName,
}

/// A queued task that one shard offers to another. Idempotent by task and attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The source.
    pub from: ShardName,
    /// The target.
    pub to: ShardName,
    /// Epoch of the source's owner. The target refuses offers of an owner that was replaced.
    pub epoch: Epoch,
    /// The job, as accepted.
    pub job: JobSpec,
    /// The task.
    pub task: TaskId,
    /// Attempts made so far.
    pub attempt: Attempt,
    /// Where to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Record of the handoff at the source.
    pub parent: Option<RecordId>,
}

/// The target's answer to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OfferReply {
    /// The receipt is stored; the source has to forget the task.
    Received,
    /// The task was not taken and never will be under this attempt.
    Refused,
}

/// What is known of the owner before this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FormerOwnerStatus {
    /// It answered that it no longer renews leases of this shard.
    StoppedRenewing,
    /// Its address answers with another incarnation.
    Restarted(Incarnation),
}

/// Use of a team's quota in one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamName,
    /// What its assigned tasks may use.
    pub used: Resources,
    /// Its share of the quota in this shard.
    pub share: Resources,
}

/// What an owner tells the peers about its shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSummary {
    /// The shard.
    pub shard: ShardName,
    /// Its domain.
    pub domain: DomainName,
    /// The owner.
    pub owner: NodeName,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Sum of what is free on its workers.
    pub free: Resources,
    /// The largest free amounts on a single worker.
    pub largest: Resources,
    /// Queued tasks.
    pub queued: u32,
    /// Assigned and running tasks.
    pub running: u32,
}

/// What an owner takes in.
#[derive(Debug, Clone)]
pub enum Input {
    /// A configuration came into force.
    Config(Arc<Config>),
    /// A successful read of the head that began at this time confirmed the configuration in force.
    Evidence(Time),
    /// The store answered a call that began at this time; ends the wait after a
    /// failed append. The renewal authority is extended by confirmed appends
    /// only: a replaced owner may still reach the store.
    StoreReachable(Time),
    /// A job to accept; answered by `Output::Submitted`.
    Submit(RequestId, Submission),
    /// A job to cancel; answered by `Output::Cancelled`.
    Cancel(RequestId, Cancellation),
    /// The answer of an exchange with a worker.
    SyncReply(WorkerName, SyncResponse),
    /// An exchange failed; its commands may have been obeyed.
    SyncFailed(WorkerName),
    /// The result of the append with this sequence number. `Unknown` never appears: the journal resolves it.
    Appended(u64, Result<(), StoreError>),
    /// A higher epoch was found in the log.
    Fenced(Epoch),
    /// An offer from another shard; answered by `Output::OfferReply`.
    Offer(RequestId, Offer),
    /// The answer to an offer of this shard; absent if none came.
    OfferReply(TaskId, Attempt, Option<OfferReply>),
    /// Another shard's answer to a cancellation that was passed on; absent if none came.
    CancelReply(Cancellation, Option<Code>),
    /// Summaries of all shards known from peers.
    PeerSummaries(Vec<ShardSummary>),
    /// News of one former owner, as listed by `Owner::former_owners`.
    FormerOwner(WriterId, FormerOwnerStatus),
    /// An operator confirms that a worker's host is dead.
    ConfirmDead(WorkerName),
    /// Latency of a service's endpoints on a worker, as seen by entry processes.
    Latency(crate::place::LatencyReport),
    /// Decision records of entry processes, to be stored.
    Records(Vec<Record>),
    /// Planned stop: hand the shard off.
    Stop,
    /// Time has passed.
    Tick,
}

/// What an owner gives out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Append this segment; at most one is outstanding.
    Append(Segment),
    /// Carry out this exchange; at most one is outstanding for each worker.
    Sync(WorkerName, SyncRequest),
    /// Answer to a submission.
    Submitted(RequestId, Code),
    /// Answer to a cancellation.
    Cancelled(RequestId, Code),
    /// Offer a task to another shard's owner.
    Offer(Offer),
    /// Pass a cancellation on to a shard to which tasks were handed off.
    ForwardCancel(Cancellation),
    /// Answer to an offer.
    OfferReply(RequestId, Code, Option<OfferReply>),
    /// The owner's term has ended; it only answers further questions with `Code::NotOwner`.
    StepDown(StepDownReason),
}

/// Why an owner's term ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// A higher epoch exists.
    Fenced(Epoch),
    /// A planned stop; the last segment is stored.
    Stopped,
}

/// A task as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// Team.
    pub team: TeamName,
    /// Queue order.
    pub priority: Priority,
    /// State, for example `running`.
    pub state: String,
    /// Attempts made.
    pub attempt: Attempt,
    /// Worker, if any.
    pub worker: Option<WorkerName>,
    /// Limit in force.
    pub limit: Resources,
    /// Newest checkpoint.
    pub checkpoint: Option<Checkpoint>,
}
