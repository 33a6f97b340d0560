use rand::Rng;

use super::{BalancePolicy, Candidate};

/// An expected latency below this multiple of the typical one does not matter:
/// estimates of like endpoints differ by as much.
const LATENCY_TOLERANCE: f64 = 1.3;

/// A request that has been running for this multiple of the typical latency is
/// evidence of a slow endpoint before its answer is there.
const OVERDUE_FACTOR: f64 = 2.0;

/// The product's choice: the endpoint with the lowest product of load and
/// latency. Load is relative to the share of this process, and latency counts
/// only if it is clearly above the ordinary.
#[derive(Debug, Clone, Default)]
pub struct Adaptive;

impl BalancePolicy for Adaptive {
    const USES_SHARES: bool = true;

    fn pick<R: Rng>(
        &mut self,
        candidates: &[Candidate],
        typical: f64,
        rng: &mut R,
    ) -> Option<usize> {
        let mut best: Option<(f64, u32, usize)> = None;
        for (position, candidate) in candidates.iter().enumerate() {
            let load = f64::from(candidate.inflight + 1) / f64::from(candidate.share + 1);
            let latency = candidate.latency / LATENCY_TOLERANCE;
            let latency = latency.max(candidate.oldest_age / OVERDUE_FACTOR) / typical;
            let latency = latency.max(1.0);
            let key = (load * latency, rng.random::<u32>(), position);
            if best.is_none_or(|b| (key.0, key.1) < (b.0, b.1)) {
                best = Some(key);
            }
        }
        best.map(|(_, _, position)| position)
    }
}
