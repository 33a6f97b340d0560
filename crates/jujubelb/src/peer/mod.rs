//! Other processes of the system: membership, heartbeats, authentication and calls.

mod beat;
mod client;
mod counters;
mod frame;
mod gossip;
mod key;
mod membership;
mod message;
mod seal;
mod server;
#[cfg(test)]
mod tests;
mod transport;

pub use counters::Counters;
pub use key::KeyError;
pub use membership::{Member, Membership, News, Standing};
pub use message::{Call, ClaimAnswer, ClaimKey, EndpointLoad, Heartbeat, Query, Reply, Role, View};
pub use seal::Dropped;
pub(crate) use server::Handler;
pub use transport::PeerError;
pub(crate) use transport::Shared;
pub(crate) use transport::{CallFailure, Identity, PeerThread, Peers};
