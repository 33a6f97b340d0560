//! One shard's owner: a deterministic state machine over the shard's tasks.

mod io;

pub use io::{
    Cancel, FormerOwner, Input, Offer, OfferAnswer, Output, ShardSummary, StepDown, Submission,
    TaskView, TeamUse, Ticket,
};
