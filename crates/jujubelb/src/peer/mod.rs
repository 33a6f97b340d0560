//! Communication with the other processes of a deployment: heartbeats over UDP,
//! membership derived from them, authentication of messages, and calls over TCP.

mod client;
mod counters;
mod frame;
mod heartbeat;
mod heartbeat_loop;
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
pub use membership::{Liveness, Member, Membership, PeerEvent};
pub use message::{
    Call, ClaimKey, ClaimReply, EndpointLoad, Heartbeat, NodeView, Query, Reply, Role,
};
pub use seal::DropReason;
pub(crate) use server::Handler;
pub use transport::PeerError;
pub(crate) use transport::SharedState;
pub(crate) use transport::{CallError, Identity, PeerThread, Peers};
