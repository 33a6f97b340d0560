//! Requests to the router and its replies.

use std::net::SocketAddr;

use arcstr::ArcStr;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::model::{Bytes, Code, EndpointName, Priority, ServiceName, Span, Time};

/// A caller's request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// The addressed service.
    pub service: ServiceName,
    /// Time from admission until the response has to be complete; the service's
    /// default if absent.
    pub deadline: Option<Span>,
    /// Priority in the queue and on the link between regions.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key, the same in each retry of the caller.
    pub key: Option<ArcStr>,
    /// Name of the caller for the rate limit; not limited if absent.
    pub caller: Option<ArcStr>,
    /// Size of the request's body.
    pub bytes: Bytes,
}

impl RequestInfo {
    /// Whether the request's key has to be claimed at its holders before the request is sent.
    pub fn needs_claim(&self) -> bool {
        !self.idempotent && self.key.is_some()
    }
}

/// Identifier of an admitted request, unique in a process. Valid until `next_step`
/// returns `GiveUp`, `attempt_finished` returns `Deliver` or `cancel_request` is called.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ticket(pub(super) u64);

/// Identifier of an attempt to send a request, unique in a process. It grows with
/// each attempt.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AttemptId(pub(super) u64);

/// The result of a request that ends without a response from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The result code for the caller.
    pub code: Code,
    /// Time after which a retry may succeed, for `Retry-After`.
    pub retry_after: Option<Span>,
    /// Whether the claim has to be released at its holders, because the request
    /// certainly did not run.
    pub release_claim: bool,
}

/// What to do next for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Claim the request key, then call `Router::claim_finished`.
    Claim {
        /// Time from which an undecided claim counts as unavailable.
        until: Time,
    },
    /// Send the request and call `next_step` again at once; call
    /// `Router::attempt_finished` when the attempt ends.
    Send(Dispatch),
    /// Call `next_step` again at this time, or earlier when `Router::take_wakeups`
    /// returns the ticket.
    Wait {
        /// Latest time of the next call.
        until: Time,
    },
    /// The request ended without a response; the ticket is no longer valid.
    GiveUp(Refusal),
}

/// An attempt to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Identifier to report the outcome with.
    pub attempt: AttemptId,
    /// The endpoint to send to.
    pub endpoint: EndpointName,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// The request's deadline. An attempt without a response by then is abandoned
    /// and reported as timed out.
    pub deadline: Time,
    /// Whether another attempt of the request is still in flight.
    pub hedge: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint's complete response was received.
    Answered {
        /// HTTP status.
        status: u16,
        /// Size of the response's body.
        bytes: Bytes,
        /// Whether the endpoint announced that it is leaving.
        leaving: bool,
    },
    /// No connection was established, hence the request did not run.
    Unconnected,
    /// The endpoint is leaving and did not run the request.
    Declined,
    /// The exchange failed after the request may have been sent, and no complete
    /// response was received.
    Broken,
    /// No complete response was received before the deadline.
    TimedOut,
}

impl AttemptOutcome {
    /// Whether the request certainly did not run.
    pub const fn not_run(self) -> bool {
        matches!(self, Self::Unconnected | Self::Declined)
    }
}

/// What to do after the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Forward this attempt's response to the caller; the request is finished.
    Deliver(Ticket),
    /// The request is still open: call `next_step`.
    Pending(Ticket),
    /// The request ended earlier, or the attempt is unknown: discard any response.
    Discard,
}

/// Result of claiming a request key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimResult {
    /// A majority of the holders of each host set granted it.
    Granted,
    /// In a host set, a majority of the holders reported an earlier claim of the key.
    Held,
    /// Neither majority can be reached, or none was reached in time.
    Unavailable,
}
