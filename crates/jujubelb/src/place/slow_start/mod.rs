//! Slow start: limits the rate of task starts on a worker that has returned.
//!
//! Without it, a returning failure domain would get all queued tasks at once: its
//! workers would load all checkpoints at the same time, and if the fault that took the
//! domain out of service persists, all of these tasks would fail again.

use crate::model::{Span, Time};

#[cfg(test)]
mod tests;

/// Number of tasks that may start on a worker as soon as it returns.
const INITIAL_STARTS: u64 = 4;

/// Further starts per second on a returned worker. 16 workers with 20 tasks each are
/// full after 8 s.
const STARTS_PER_SECOND: u64 = 2;

/// Time after the return during which starts are limited.
const SLOW_START_PERIOD: Span = Span::from_secs(30);

/// Start limit of one worker since its return.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowStart {
    returned: Time,
    starts: u64,
}

impl SlowStart {
    /// Creates the limit for a worker that returns at `now`.
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            returned: now,
            starts: 0,
        }
    }

    /// Whether another task may start at `now`.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        let age = now.since(self.returned);
        age >= SLOW_START_PERIOD
            || self.starts < INITIAL_STARTS + STARTS_PER_SECOND * age.as_micros() / 1_000_000
    }

    /// Counts a start.
    pub(crate) fn record_start(&mut self) {
        self.starts += 1;
    }
}
