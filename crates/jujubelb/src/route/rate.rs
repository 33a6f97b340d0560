//! Rate limit per caller.

use arcstr::ArcStr;
use indexmap::IndexMap;

use crate::model::Time;

/// Maximum number of tracked callers. Beyond it the one that called least recently
/// is dropped, which at worst gives it one full bucket again.
const MAX_CALLERS: usize = 4_096;

/// One token bucket per caller, holding at most the requests of one second.
#[derive(Debug, Clone, Default)]
pub(super) struct CallerRates {
    /// Requests per second of each caller; 0 means no limit.
    rate: u32,
    callers: IndexMap<ArcStr, Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    /// Time of the last refill.
    refilled: Time,
}

impl CallerRates {
    /// Sets the requests per second of each caller; 0 means no limit.
    pub(super) fn configure(&mut self, rate: u32) {
        self.rate = rate;
        if rate == 0 {
            self.callers.clear();
        }
    }

    /// Takes a token of a caller. Returns false if the caller is above its limit.
    pub(super) fn take(&mut self, now: Time, caller: &ArcStr) -> bool {
        if self.rate == 0 {
            return true;
        }
        let capacity = f64::from(self.rate);
        if self.callers.len() >= MAX_CALLERS && !self.callers.contains_key(caller) {
            self.forget_oldest();
        }
        let bucket = self.callers.entry(caller.clone()).or_insert(Bucket {
            tokens: capacity,
            refilled: now,
        });
        let earned = now.since(bucket.refilled).as_secs_f64() * capacity;
        bucket.tokens = (bucket.tokens + earned).min(capacity);
        bucket.refilled = now;
        let allowed = bucket.tokens >= 1.0;
        if allowed {
            bucket.tokens -= 1.0;
        }
        allowed
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .callers
            .values()
            .enumerate()
            .min_by_key(|(_, b)| b.refilled);
        if let Some((index, _)) = oldest {
            self.callers.swap_remove_index(index);
        }
    }
}
