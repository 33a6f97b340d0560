use rand::Rng;

use super::{BalancePolicy, Candidate};

/// Each endpoint in turn.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
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
        // The first turn is random, so that processes do not march in step.
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
