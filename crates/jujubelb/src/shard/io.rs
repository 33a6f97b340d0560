//! Inputs and outputs of a shard's owner, and the messages in them.

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

/// Matches the reply to a submission, cancellation or offer with its request.
/// Unique within a term of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// Request to accept a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Home shard, as the job's claim in the store has it.
    pub shard: ShardName,
    /// Specification of the job.
    pub job: JobSpec,
}

/// Request to cancel a job in one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancellation {
    /// Home shard, or a shard to which tasks of the job were handed off.
    pub shard: ShardName,
    /// Job to cancel.
    pub job: JobName,
}

/// A queued task that one shard offers to hand off to another. Idempotent: repeats
/// have the same task and attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Shard that offers the task.
    pub from: ShardName,
    /// Shard that is to receive the task.
    pub to: ShardName,
    /// Epoch of the source's owner. The target rejects offers of an owner that was replaced.
    pub epoch: Epoch,
    /// Specification of the task's job, as accepted.
    pub job: JobSpec,
    /// Offered task.
    pub task: TaskId,
    /// Newest attempt of the task at the source.
    pub attempt: Attempt,
    /// Newest stored checkpoint, from which the task resumes.
    pub checkpoint: Option<Checkpoint>,
    /// Decision record of the handoff at the source.
    pub parent: Option<RecordId>,
}

/// Final reply of the target shard to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OfferReply {
    /// The target has stored the task; the source removes it.
    Received,
    /// The target did not take the task and will never take it under this attempt.
    Refused,
}

/// State of a former owner of a shard, as its process or its address reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FormerOwnerStatus {
    /// The process replied that it no longer renews leases of this shard.
    StoppedRenewing,
    /// The process at its address has another incarnation, so the former owner's process has ended.
    Restarted(Incarnation),
}

/// Usage of a team's quota in one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Team that has the quota.
    pub team: TeamName,
    /// Sum of the limits of its assigned tasks.
    pub used: Resources,
    /// Part of the team's quota that applies in this shard.
    pub share: Resources,
}

/// Load and free capacity of a shard, as its owner reports them to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSummary {
    /// Reported shard.
    pub shard: ShardName,
    /// Failure domain of the shard.
    pub domain: DomainName,
    /// Node of the shard's owner.
    pub owner: NodeName,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Sum of the free capacity of workers that accept tasks.
    pub free: Resources,
    /// Largest free amount of each resource on a single worker; the amounts may be
    /// those of different workers.
    pub largest: Resources,
    /// Number of queued tasks.
    pub queued: u32,
    /// Number of tasks that are assigned to a worker.
    pub running: u32,
}

/// An event that the process passes to an owner.
#[derive(Debug, Clone)]
pub enum Input {
    /// A configuration became active.
    Config(Arc<Config>),
    /// A successful read of the configuration's head that began at this time
    /// confirmed the active configuration. Starts need recent evidence of this kind.
    Evidence(Time),
    /// The store answered a call that began at this time, which ends the wait
    /// after a failed append. Only confirmed appends extend the lease renewal
    /// window, because a replaced owner may still reach the store.
    StoreReachable(Time),
    /// Request to accept a job; answered by `Output::Submitted`.
    Submit(RequestId, Submission),
    /// Request to cancel a job; answered by `Output::Cancelled`.
    Cancel(RequestId, Cancellation),
    /// Reply of a worker to the request of an `Output::Sync`.
    SyncReply(WorkerName, SyncResponse),
    /// An exchange with a worker failed. The worker may have carried out its commands.
    SyncFailed(WorkerName),
    /// Result of the append with this sequence number. The journal resolves `Unknown`
    /// results, so they never occur here.
    Appended(u64, Result<(), StoreError>),
    /// The log contains a higher epoch.
    Fenced(Epoch),
    /// Offer from another shard; answered by `Output::OfferReply`.
    Offer(RequestId, Offer),
    /// Reply to an offer of this shard; `None` if the call failed.
    OfferReply(TaskId, Attempt, Option<OfferReply>),
    /// Reply of another shard to a forwarded cancellation; `None` if the call failed.
    CancelReply(Cancellation, Option<Code>),
    /// Summaries of all shards of which peers have reported.
    PeerSummaries(Vec<ShardSummary>),
    /// State of a former owner that `Owner::former_owners` lists.
    FormerOwner(WriterId, FormerOwnerStatus),
    /// Confirmation by an operator that a worker's host is dead.
    ConfirmDead(WorkerName),
    /// Latency of a service's endpoints on a worker, as entry processes measure it.
    Latency(crate::place::LatencyReport),
    /// Decision records of entry processes to be stored in the shard's log.
    Records(Vec<Record>),
    /// Planned stop: end the term so that another process can take the shard over.
    Stop,
    /// Lets the owner do what has become due.
    Tick,
}

/// An action that an owner requests from the process.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Append a segment to the log. At most one append is in flight.
    Append(Segment),
    /// Send a request to a worker. At most one is in flight for each worker.
    Sync(WorkerName, SyncRequest),
    /// Reply to `Input::Submit`.
    Submitted(RequestId, Code),
    /// Reply to `Input::Cancel`.
    Cancelled(RequestId, Code),
    /// Offer a task to another shard's owner.
    Offer(Offer),
    /// Forward a cancellation to a shard to which tasks of the job were handed off.
    ForwardCancel(Cancellation),
    /// Reply to `Input::Offer`; without an `OfferReply` the offer is not resolved and is repeated.
    OfferReply(RequestId, Code, Option<OfferReply>),
    /// The owner's term has ended. It answers all further requests with `Code::NotOwner`.
    StepDown(StepDownReason),
}

/// Reason for the end of an owner's term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// A higher epoch exists. With the owner's own epoch: a stored segment did not
    /// apply to its state.
    Fenced(Epoch),
    /// Planned stop. The last segment is stored.
    Stopped,
}

/// A task that has not ended, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// Identity of the task.
    pub task: TaskId,
    /// Team of the task's job.
    pub team: TeamName,
    /// Priority of the task's job.
    pub priority: Priority,
    /// State, for example `running`.
    pub state: String,
    /// Newest attempt.
    pub attempt: Attempt,
    /// Worker to which the task is assigned.
    pub worker: Option<WorkerName>,
    /// Limit of the assignment; zero if the task is not assigned.
    pub limit: Resources,
    /// Newest stored checkpoint.
    pub checkpoint: Option<Checkpoint>,
}
