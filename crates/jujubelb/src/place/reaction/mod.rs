//! Reaction to a service that suffers: throttle, then checkpoint and evict, with
//! hysteresis, cheapest work first.

mod cost;

pub(crate) use cost::{Candidate, cheapest};

use crate::model::{Span, Time};

#[cfg(test)]
mod tests;

/// Weight of a report in the mean slowdown. Reports of 40 requests scatter by
/// 16 %; the mean of about seven of them by 6 %.
const WEIGHT: f64 = 0.25;

/// Reports in a row with the mean above the limit before the next step. One
/// report may be an outlier.
const HIGH: u32 = 2;

/// Reports in a row with the mean below half of the limit before a step is taken back.
const LOW: u32 = 4;

/// Wait after a step before its effect is judged: reports are up to 5 s late and
/// cover a second.
const SETTLE: Span = Span::from_secs(7);

/// Longest wait before a throttled task gets its limit back. The wait doubles
/// each time the service suffers again afterwards.
const LONGEST: Span = Span::from_secs(600);

/// What to do about the tasks on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Act {
    /// Lower processor limits.
    Throttle,
    /// Checkpoint and stop.
    Evict,
    /// Give throttled tasks their limits back.
    Unthrottle,
}

/// State of one service on one worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reaction {
    throttled: bool,
    /// Mean slowdown since the last step.
    mean: Option<f64>,
    high: u32,
    low: u32,
    /// The next step is not before this time.
    settled: Time,
    /// Wait after a throttle before it may be taken back.
    hold: Span,
    /// A throttle is not taken back before this time.
    held: Time,
}

impl Default for Reaction {
    fn default() -> Self {
        Self {
            throttled: false,
            mean: None,
            high: 0,
            low: 0,
            settled: Time::ZERO,
            hold: SETTLE,
            held: Time::ZERO,
        }
    }
}

impl Reaction {
    /// Takes in the slowdown of a report that was measured at `measured`.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        measured: Time,
        slowdown: f64,
        allowed: f64,
    ) -> Option<Act> {
        // A report from before the last step says nothing of its effect.
        if measured < self.settled - SETTLE || now < self.settled {
            return None;
        }
        let before = self.mean.unwrap_or(slowdown);
        let mean = before + WEIGHT * (slowdown - before);
        self.mean = Some(mean);
        let (high, low) = (mean > allowed, mean < allowed / 2.0);
        self.high = if high { self.high + 1 } else { 0 };
        self.low = if low { self.low + 1 } else { 0 };
        if self.high >= HIGH {
            return Some(self.escalate(now));
        }
        if self.throttled && self.low >= LOW && now >= self.held {
            self.throttled = false;
            self.step(now);
            return Some(Act::Unthrottle);
        }
        None
    }

    fn escalate(&mut self, now: Time) -> Act {
        self.step(now);
        if self.throttled {
            return Act::Evict;
        }
        self.throttled = true;
        self.held = now + self.hold;
        let doubled = Span::from_micros(self.hold.as_micros() * 2);
        self.hold = doubled.min(LONGEST);
        Act::Throttle
    }

    fn step(&mut self, now: Time) {
        self.high = 0;
        self.low = 0;
        self.mean = None;
        self.settled = now + SETTLE;
    }
}
