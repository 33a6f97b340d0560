//! Messages between the leader and its relays.

use std::net::SocketAddr;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use crate::dispatch::{PollReply, PollRequest, StartAnswer, StartReply, StopReply, WorkerOrder};
use crate::model::{DomainName, HostName, WorkerName};

/// Description of a host that may become a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostReport {
    pub(crate) host: HostName,
    pub(crate) domain: DomainName,
    pub(crate) peer_address: SocketAddr,
    /// Processor capacity in cores.
    pub(crate) cores: f64,
    /// Whether the host is about to stop.
    pub(crate) draining: bool,
}

/// What a relay does for the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Action {
    Poll(WorkerName, PollRequest),
    /// An order. The payload of a start is left out and replaced by its index in
    /// [`RelayBatch::payloads`].
    Order(WorkerOrder, Option<u32>),
}

/// A call to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Call {
    /// Identifies the result; unique within a term.
    pub(crate) id: u64,
    pub(crate) action: Action,
}

/// Calls that a relay is to make at once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RelayBatch {
    /// Address to which the results are sent.
    pub(crate) leader: SocketAddr,
    /// Nonce of the leader's term.
    pub(crate) nonce: u64,
    /// Fencing token of the leader when it sends the batch.
    pub(crate) token: u64,
    /// Payloads of the start orders. One that several orders share is sent once.
    pub(crate) payloads: Vec<ArcStr>,
    pub(crate) calls: Vec<Call>,
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum CallResult {
    /// The worker has answered a poll.
    Polled(PollReply),
    /// The worker has refused a poll because it has seen a higher token.
    PollFenced,
    /// A poll has failed. It had no effect if the value is true.
    PollFailed(bool),
    /// Result of a start order, from a relay of an older version.
    Started(StartReply),
    Stopped(StopReply),
    /// The worker has accepted a pace order. Relays of an older version say so whether or not it
    /// has.
    Paced,
    /// The call was not made and will not be made.
    NotSent,
    /// Answer to a start order.
    StartAnswered(StartAnswer),
    /// A poll was answered by another worker at the same address.
    PollReplaced,
    /// The worker has not accepted a pace order, or has not answered it.
    PaceFailed,
}

/// Results of a relay's calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RelayResults {
    /// Nonce of the term for which the calls were made.
    pub(crate) nonce: u64,
    pub(crate) results: Vec<(u64, CallResult)>,
}
