//! What the router is asked and what it answers.

use std::net::SocketAddr;

use arcstr::ArcStr;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::model::{Bytes, Code, EndpointName, Priority, ServiceName, Span, Time};

/// A caller's request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// The service.
    pub service: ServiceName,
    /// Time until the answer has to be complete; the service's own deadline if absent.
    pub deadline: Option<Span>,
    /// Queue order.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The caller's request key, the same in each retry of the caller.
    pub key: Option<ArcStr>,
    /// Who calls, for the rate limit; unlimited if absent.
    pub caller: Option<ArcStr>,
    /// Size of the request.
    pub bytes: Bytes,
}

impl RequestInfo {
    /// Whether the request has to be claimed at the holders before it is sent.
    pub fn needs_claim(&self) -> bool {
        !self.idempotent && self.key.is_some()
    }
}

/// An admitted request. Valid until `next_step` gave up, `attempt_finished` delivered or `cancel_request`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ticket(pub(super) u64);

/// One sending of a request. Never reused in a process.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AttemptId(pub(super) u64);

/// A request that ends without an endpoint's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The result for the caller.
    pub code: Code,
    /// When a retry may succeed, for `Retry-After`.
    pub retry_after: Option<Span>,
    /// Whether the claim has to be released at its holders, because the request was certainly not sent.
    pub release_claim: bool,
}

/// What to do next for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Claim the request key, then report the result with `Router::claim_finished`.
    Claim {
        /// When to stop waiting for holders.
        until: Time,
    },
    /// Send the request, then report the end with `Router::attempt_finished`; ask `next_step` again at once.
    Send(Dispatch),
    /// Ask again at this time, or earlier when `Router::take_wakeups` names the ticket.
    Wait {
        /// Latest time of the next question.
        until: Time,
    },
    /// The request ended; the ticket is no longer valid.
    GiveUp(Refusal),
}

/// An attempt to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its address.
    pub address: SocketAddr,
    /// The request's deadline. The attempt is given up then, and reported as timed out.
    pub deadline: Time,
    /// Whether it repeats an attempt that is still in flight.
    pub hedge: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint's complete answer is there.
    Answered {
        /// HTTP status.
        status: u16,
        /// Size of the answer.
        bytes: Bytes,
        /// Whether the endpoint said that it is leaving.
        leaving: bool,
    },
    /// No connection was made, hence the request did not run.
    Unconnected,
    /// The endpoint said that it is leaving and did not run the request.
    Declined,
    /// The connection failed after a part of the request was sent.
    Broken,
    /// No complete answer came before the attempt's end.
    TimedOut,
}

impl AttemptOutcome {
    /// Whether the request certainly did not run.
    pub const fn not_run(self) -> bool {
        matches!(self, Self::Unconnected | Self::Declined)
    }
}

/// What to do with the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Forward this complete answer; the request is finished.
    Deliver(Ticket),
    /// The request is still open: ask `next_step`.
    Pending(Ticket),
    /// The attempt was abandoned or is unknown; drop what it brought.
    Discard,
}

/// Result of claiming a request key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimResult {
    /// A majority granted it.
    Granted,
    /// An earlier attempt holds it.
    Held,
    /// There was no majority.
    Unavailable,
}
