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
    pub own: u32,
    /// Requests in flight from all entry processes, as far as known.
    pub known: u32,
    /// Requests that it serves at a time.
    pub slots: u32,
    /// Expected latency in microseconds, with the network.
    pub latency: f64,
}

/// What the choice may take into account besides the candidates.
#[derive(Debug, Clone, Copy)]
pub struct Outlook {
    /// Median latency of the service in microseconds.
    pub typical: f64,
    /// Expected time in microseconds until an endpoint without a candidate has
    /// room; infinite if none is busy.
    pub wait: f64,
}

/// A way to choose an endpoint.
pub trait Balance: Default {
    /// Whether this way includes the limits by shares and the hedges of the
    /// product; the simple ways only limit their own requests by the slots.
    const MANAGED: bool;

    /// The place in `candidates` of the choice, or `None` to wait for a better one.
    fn pick<R: Rng>(
        &mut self,
        candidates: &[Candidate],
        outlook: Outlook,
        rng: &mut R,
    ) -> Option<usize>;
}
