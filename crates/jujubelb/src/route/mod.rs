//! Requests: endpoints in service, load balancing, admission, deadlines,
//! retries, hedging and budgets.
//!
//! The process wiring holds one [`Router`] behind a lock and calls it with the
//! present time:
//!
//! 1. `configure`, `update_host_list`, `update_peer_load` and `peer_stopped` bring news.
//! 2. `admit` gives a [`Ticket`] or a [`Refusal`].
//! 3. `next_step` gives the [`Step`] for the ticket. `Claim` is answered with
//!    `claim_finished`. `Send` is answered with `attempt_finished` when the attempt ends, in
//!    every case and even if the request was given up before; meanwhile `next_step`
//!    is asked again. `Wait` ends at its time or when `take_wakeups` names the
//!    ticket, which the wiring checks after each call.
//! 4. `attempt_finished` tells whether to forward the answer, to ask `next_step` or to drop it.
//! 5. `cancel_request` ends the ticket of a caller that hung up.

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
