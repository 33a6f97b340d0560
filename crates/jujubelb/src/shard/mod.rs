//! One shard's owner: a deterministic state machine over the shard's tasks.

mod first_fit;
mod home;
mod io;
mod policy;
mod state;

pub use first_fit::FirstFit;
pub use home::home_shard;
pub use io::{
    Cancel, FormerOwner, Input, Offer, OfferAnswer, Output, ShardSummary, StepDown, Submission,
    TaskView, TeamUse, Ticket,
};
pub use policy::{Choice, Decision, News, Occupant, Policy, View, WorkerView};
pub use state::{EndedJob, Inapplicable, Job, State, Task, TaskState, digest};
