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
    Cancel, FormerOwner, Input, Offer, OfferAnswer, Output, ShardSummary, StepDown, Submission,
    TaskView, TeamUse, Ticket,
};
pub use link::{LEASE, LEASE_WAIT};
pub use owner::{EVIDENCE_VALID, Identity, Owner, RENEWAL_AUTHORITY};
pub use policy::{Choice, Decision, News, Occupant, Policy, View, WorkerView};
pub use state::{EndedJob, Inapplicable, Job, State, Task, TaskState, digest};
