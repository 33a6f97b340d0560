//! Load-balancing policies.

mod adaptive;
mod least_requests;
mod round_robin;
mod two_choices;

use rand::Rng;

pub use adaptive::Adaptive;
pub use least_requests::LeastRequests;
pub use round_robin::RoundRobin;
pub use two_choices::TwoChoices;

/// An endpoint that has free capacity for the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Index among the endpoints of the service.
    pub index: usize,
    /// Requests in flight from this process.
    pub inflight: u32,
    /// This process's share of the requests that the endpoint serves at a time.
    pub share: u32,
    /// Expected latency in microseconds, including the network.
    pub latency: f64,
    /// Age of the oldest request in flight in microseconds; 0 without requests.
    pub oldest_age: f64,
}

/// A policy that chooses an endpoint for a request.
pub trait BalancePolicy: Default {
    /// Whether requests in flight are limited by this process's shares and slow
    /// requests are hedged. Without it there are no hedges, and each process limits
    /// its own requests by the full capacity of an endpoint.
    const USES_SHARES: bool;

    /// Returns the position of the chosen endpoint in `candidates`, or `None` if there are none.
    /// `typical` is the median latency of the service in microseconds.
    fn pick<R: Rng>(
        &mut self,
        candidates: &[Candidate],
        typical: f64,
        rng: &mut R,
    ) -> Option<usize>;
}
