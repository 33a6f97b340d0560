use rand::Rng;

use super::{Balance, Candidate, Outlook};

/// An endpoint whose expected latency is above this multiple of the best one's
/// counts as slow. Ordinary endpoints differ by less than this in their
/// estimates, so that the load stays spread over all of them.
const SLOW: f64 = 1.5;

/// The product's choice: the least loaded of the endpoints that are not slow.
/// Slow endpoints are used only if waiting for another one takes longer.
#[derive(Debug, Clone, Default)]
pub struct Adaptive;

impl Balance for Adaptive {
    const MANAGED: bool = true;

    fn pick<R: Rng>(
        &mut self,
        candidates: &[Candidate],
        outlook: Outlook,
        rng: &mut R,
    ) -> Option<usize> {
        let best = candidates.iter().map(|c| c.latency).reduce(f64::min)?;
        if best > SLOW * outlook.typical && best > outlook.wait + outlook.typical {
            return None;
        }
        let limit = SLOW * best.max(outlook.typical);
        let load = |c: &Candidate| f64::from(c.known) / f64::from(c.slots.max(1));
        let mut chosen: Option<(f64, u32, usize)> = None;
        for (place, candidate) in candidates.iter().enumerate() {
            if candidate.latency > limit {
                continue;
            }
            let key = (load(candidate), rng.random::<u32>(), place);
            if chosen.is_none_or(|c| (key.0, key.1) < (c.0, c.1)) {
                chosen = Some(key);
            }
        }
        chosen.map(|(_, _, place)| place)
    }
}
