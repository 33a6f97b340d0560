use rand::Rng;

use super::{BalancePolicy, Candidate};

/// Chooses the endpoints in turn.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    /// Endpoint index of the last choice.
    last: Option<usize>,
}

impl BalancePolicy for RoundRobin {
    const USES_SHARES: bool = false;

    fn pick<R: Rng>(
        &mut self,
        candidates: &[Candidate],
        _typical: f64,
        rng: &mut R,
    ) -> Option<usize> {
        // The start is random, so that entry processes do not choose the same
        // endpoint at the same time.
        let last = match self.last {
            Some(last) => last,
            None if candidates.is_empty() => return None,
            None => candidates[rng.random_range(0..candidates.len())].index,
        };
        let next = candidates.iter().position(|c| c.index > last).unwrap_or(0);
        self.last = Some(candidates.get(next)?.index);
        Some(next)
    }
}
