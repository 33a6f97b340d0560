//! Other processes of the system: membership, heartbeats, authentication and calls.

mod message;

pub use message::{Call, ClaimAnswer, ClaimKey, EndpointLoad, Heartbeat, Query, Reply, Role, View};
