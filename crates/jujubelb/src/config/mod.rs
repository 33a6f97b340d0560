//! The operators' configuration: declarations, checks, differences, the head in
//! the store and the evidence that it is in force.

pub mod declare;
pub mod diff;
mod evidence;
pub mod format;
pub mod head;
mod snapshot;
#[cfg(test)]
mod tests;

pub use evidence::{Evidence, MAX_EVIDENCE_AGE};
pub use snapshot::{
    Config, Domain, Drained, Endpoint, Host, Limits, Rack, Service, Shard, Team, Worker,
};
