use rand::Rng;

use super::{BalancePolicy, Candidate};

/// Chooses the endpoint with the fewest requests in flight from this process, at random
/// among equals.
#[derive(Debug, Clone, Default)]
pub struct LeastRequests;

impl BalancePolicy for LeastRequests {
    const USES_SHARES: bool = false;

    fn pick<R: Rng>(
        &mut self,
        candidates: &[Candidate],
        _typical: f64,
        rng: &mut R,
    ) -> Option<usize> {
        let least = candidates.iter().map(|c| c.inflight).min()?;
        let equals = candidates.iter().filter(|c| c.inflight == least).count();
        let chosen = rng.random_range(0..equals);
        candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| c.inflight == least)
            .nth(chosen)
            .map(|(position, _)| position)
    }
}
