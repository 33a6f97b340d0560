use rand::Rng;

use super::{BalancePolicy, Candidate};

/// Draws two endpoints at random and chooses the one with fewer requests in flight
/// from this process.
#[derive(Debug, Clone, Default)]
pub struct TwoChoices;

impl BalancePolicy for TwoChoices {
    const USES_SHARES: bool = false;

    fn pick<R: Rng>(
        &mut self,
        candidates: &[Candidate],
        _typical: f64,
        rng: &mut R,
    ) -> Option<usize> {
        if candidates.len() < 2 {
            return (!candidates.is_empty()).then_some(0);
        }
        let first = rng.random_range(0..candidates.len());
        // Draws the second from the remaining endpoints by skipping the first.
        let second = rng.random_range(0..candidates.len() - 1);
        let second = second + usize::from(second >= first);
        let fewer = candidates[second].inflight < candidates[first].inflight;
        Some(if fewer { second } else { first })
    }
}
