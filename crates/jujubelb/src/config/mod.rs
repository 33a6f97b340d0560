//! The operators' configuration: declaration files and their checks, differences
//! between revisions, the versioned head in the store, and start evidence.

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
