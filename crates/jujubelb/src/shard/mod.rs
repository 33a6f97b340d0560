//! The owner of a shard: a deterministic state machine over the shard's jobs, tasks and workers.
//!
//! It does no I/O and reads no clock: the process passes events in as [`Input`]
//! and carries out each [`Output`].

mod apply;
mod commit;
mod commit_queue;
mod decide;
mod exchange;
mod first_fit;
mod handoff;
mod home;
mod io;
mod jobs;
mod owner;
mod pending_state;
mod policy;
mod reconcile;
mod recorder;
mod relocation;
mod state;
mod tracked_worker;
mod views;

pub use first_fit::FirstFit;
pub use home::home_shard;
pub use io::{
    Cancellation, FormerOwnerStatus, Input, Offer, OfferReply, Output, RequestId, ShardSummary,
    StepDownReason, Submission, TaskView, TeamUsage,
};
pub use owner::{LEASE_RENEWAL_WINDOW, MAX_EVIDENCE_AGE, Owner, OwnerIdentity};
pub use policy::{AssignedTask, Choice, Decision, Policy, PolicyEvent, ShardView, WorkerView};
pub use state::{EndedJob, InapplicableChange, Job, State, Task, TaskState, job_digest};
pub use tracked_worker::{LEASE_DURATION, LEASE_EXPIRY_WAIT};
