//! Choice of an endpoint, one file for each variant.

mod adaptive;
mod least_requests;
mod round_robin;
mod two_choices;

use rand::Rng;

pub use adaptive::Adaptive;
pub use least_requests::LeastRequests;
pub use round_robin::RoundRobin;
pub use two_choices::TwoChoices;

/// An endpoint that may get the request now.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Its place among the endpoints of the service.
    pub index: usize,
    /// Requests in flight from this process.
    pub inflight: u32,
    /// This process's part of the requests that it serves at a time.
    pub share: u32,
    /// Expected latency in microseconds, with the network.
    pub latency: f64,
    /// For how long the oldest request in flight has been running, in microseconds.
    pub oldest_age: f64,
}

/// A way to choose an endpoint.
pub trait BalancePolicy: Default {
    /// Whether this way includes the limits by shares and the hedges of the
    /// product; the simple ways only limit their own requests by the slots.
    const USES_SHARES: bool;

    /// The place in `candidates` of the choice, or `None` if there are none.
    /// `typical` is the median latency of the service in microseconds.
    fn pick<R: Rng>(
        &mut self,
        candidates: &[Candidate],
        typical: f64,
        rng: &mut R,
    ) -> Option<usize>;
}
