//! One shard's owner: a deterministic state machine over the shard's tasks.

mod apply;
mod book;
mod commit;
mod decide;
mod exchange;
mod first_fit;
mod handoff;
mod home;
mod io;
mod jobs;
mod link;
mod outbox;
mod owner;
mod policy;
mod reconcile;
mod recorder;
mod recovery;
mod state;
mod views;

pub use first_fit::FirstFit;
pub use home::home_shard;
pub use io::{
    Cancellation, FormerOwnerStatus, Input, Offer, OfferReply, Output, RequestId, ShardSummary,
    StepDownReason, Submission, TaskView, TeamUsage,
};
pub use link::{LEASE_DURATION, LEASE_EXPIRY_WAIT};
pub use owner::{LEASE_RENEWAL_WINDOW, MAX_EVIDENCE_AGE, Owner, OwnerIdentity};
pub use policy::{AssignedTask, Choice, Decision, Policy, PolicyEvent, ShardView, WorkerView};
pub use state::{EndedJob, InapplicableChange, Job, State, Task, TaskState, job_digest};
