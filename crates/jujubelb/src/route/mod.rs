//! Request routing: tracking of endpoints, load balancing, admission, deadlines,
//! retries, hedging and their budgets.
//!
//! [`Router`] does no I/O and reads no clock. Each entry process holds one behind
//! a lock and calls it with the current time:
//!
//! 1. `configure`, `update_host_list`, `update_peer_load` and `peer_stopped` update its view.
//! 2. `admit` returns a [`Ticket`] or a [`Refusal`].
//! 3. `next_step` returns the [`Step`] to take for the ticket.
//!    - `Claim`: claim the request key, then call `claim_finished`.
//!    - `Send`: send the attempt, then call `next_step` again. When the attempt
//!      ends, call `attempt_finished` in every case, even if the request was
//!      given up in the meantime.
//!    - `Wait`: call `next_step` again at the given time, or as soon as
//!      `take_wakeups` returns the ticket. The caller checks `take_wakeups` after
//!      each call.
//! 4. `attempt_finished` tells whether to forward the response, to call
//!    `next_step` or to discard the response.
//! 5. `cancel_request` invalidates the ticket of a caller that disconnected.

pub mod balance;
mod budget;
mod decision;
mod endpoint;
mod health;
mod latency;
mod link;
mod queue;
mod rate;
mod request;
mod router;
mod service;
mod share;

#[cfg(test)]
mod tests;

pub use decision::AggregatedDecision;
pub use request::{
    AttemptId, AttemptOutcome, ClaimResult, Delivery, Dispatch, Refusal, RequestInfo, Step, Ticket,
};
pub use router::{EndpointState, Router, RouterState, ServiceState};
