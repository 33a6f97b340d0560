//! The operators' configuration: declarations, checks, differences, the head in
//! the store and the evidence that it is in force.

mod snapshot;

pub use snapshot::{Config, Domain, Endpoint, Host, Limits, Rack, Service, Shard, Team, Worker};
