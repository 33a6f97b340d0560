use rand::Rng;

use super::{BalancePolicy, Candidate};

/// An expected latency below this multiple of the typical one is ignored:
/// estimates of equally fast endpoints differ by as much.
const LATENCY_TOLERANCE: f64 = 1.3;

/// A request in flight for longer than this multiple of the typical latency marks
/// its endpoint as slow before the response arrives.
const OVERDUE_FACTOR: f64 = 2.0;

/// Default policy: chooses the endpoint with the lowest product of load and
/// latency, at random among equals. Load is relative to the share of this process;
/// latency counts only above [`LATENCY_TOLERANCE`].
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
