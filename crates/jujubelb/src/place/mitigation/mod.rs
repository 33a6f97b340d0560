//! Mitigation of interference with a service: batch tasks are throttled first, then
//! checkpointed and evicted, the cheapest ones first and with hysteresis.

mod cost;

pub(crate) use cost::{EvictionCandidate, cheapest};

use crate::model::{Span, Time};

#[cfg(test)]
mod tests;

/// Weight of a report in the moving mean of the slowdown. Reports of 40 requests have a
/// relative deviation of 16 %; the mean of about seven of them has one of 6 %.
const REPORT_WEIGHT: f64 = 0.25;

/// Number of consecutive reports with the mean above the allowed slowdown before the
/// next step, since one report may be an outlier.
const ESCALATE_AFTER_REPORTS: u32 = 2;

/// Number of consecutive reports with the mean below half of the allowed slowdown
/// before throttled tasks get their limits back.
const RELAX_AFTER_REPORTS: u32 = 4;

/// Wait after a step until its effect is evaluated: reports are up to 5 s late and
/// cover one second.
const EFFECT_DELAY: Span = Span::from_secs(7);

/// Maximum wait before a throttled task gets its limit back. The wait doubles with each
/// further throttling for the same service.
const MAX_THROTTLE_HOLD: Span = Span::from_secs(600);

/// Step to take for the tasks on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mitigation {
    /// Lower the processor limits.
    Throttle,
    /// Checkpoint and stop tasks.
    Evict,
    /// Give throttled tasks their limits back.
    Unthrottle,
}

/// State of the mitigation for one service on one worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MitigationState {
    throttled: bool,
    /// Mean slowdown since the last step.
    mean: Option<f64>,
    high_reports: u32,
    low_reports: u32,
    /// The next step is not before this time.
    next_step: Time,
    /// Minimum duration of the next throttling.
    throttle_hold: Span,
    /// Throttled tasks don't get their limits back before this time.
    throttled_until: Time,
}

impl Default for MitigationState {
    fn default() -> Self {
        Self {
            throttled: false,
            mean: None,
            high_reports: 0,
            low_reports: 0,
            next_step: Time::ZERO,
            throttle_hold: EFFECT_DELAY,
            throttled_until: Time::ZERO,
        }
    }
}

impl MitigationState {
    /// Processes the slowdown of a report measured at `measured`. Returns the next step
    /// if one is due.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        measured: Time,
        slowdown: f64,
        allowed: f64,
    ) -> Option<Mitigation> {
        // A report from before the last step doesn't show its effect.
        if measured < self.next_step - EFFECT_DELAY || now < self.next_step {
            return None;
        }
        let before = self.mean.unwrap_or(slowdown);
        let mean = before + REPORT_WEIGHT * (slowdown - before);
        self.mean = Some(mean);
        let (high, low) = (mean > allowed, mean < allowed / 2.0);
        self.high_reports = if high { self.high_reports + 1 } else { 0 };
        self.low_reports = if low { self.low_reports + 1 } else { 0 };
        if self.high_reports >= ESCALATE_AFTER_REPORTS {
            return Some(self.escalate(now));
        }
        if self.throttled && self.low_reports >= RELAX_AFTER_REPORTS && now >= self.throttled_until
        {
            self.throttled = false;
            self.reset(now);
            return Some(Mitigation::Unthrottle);
        }
        None
    }

    fn escalate(&mut self, now: Time) -> Mitigation {
        self.reset(now);
        if self.throttled {
            return Mitigation::Evict;
        }
        self.throttled = true;
        self.throttled_until = now + self.throttle_hold;
        let doubled = Span::from_micros(self.throttle_hold.as_micros() * 2);
        self.throttle_hold = doubled.min(MAX_THROTTLE_HOLD);
        Mitigation::Throttle
    }

    fn reset(&mut self, now: Time) {
        self.high_reports = 0;
        self.low_reports = 0;
        self.mean = None;
        self.next_step = now + EFFECT_DELAY;
    }
}
