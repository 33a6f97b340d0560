//! Bounded rate of starts on a worker that has returned.
//!
//! A returning failure domain would otherwise get all queued work at one moment:
//! its workers would load checkpoints at the same time, and a fault that took the
//! domain out would hit all of it again.

use crate::model::{Span, Time};

#[cfg(test)]
mod tests;

/// Starts on a worker at the moment of its return. To be tuned.
const INITIAL_STARTS: u64 = 4;

/// Further starts a second on a returned worker. 16 workers with 20 tasks each
/// are full after 8 s. To be tuned.
const STARTS_PER_SECOND: u64 = 2;

/// Time after the return during which starts are bounded.
const SLOW_START_PERIOD: Span = Span::from_secs(30);

/// Starts on one worker since it returned.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowStart {
    returned: Time,
    starts: u64,
}

impl SlowStart {
    /// The worker returns now.
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            returned: now,
            starts: 0,
        }
    }

    /// Whether a start is within the bound.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        let age = now.since(self.returned);
        age >= SLOW_START_PERIOD
            || self.starts < INITIAL_STARTS + STARTS_PER_SECOND * age.as_micros() / 1_000_000
    }

    /// Notes a start.
    pub(crate) fn record_start(&mut self) {
        self.starts += 1;
    }
}
