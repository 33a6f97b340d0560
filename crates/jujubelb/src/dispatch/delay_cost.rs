//! What a delay of a step costs its caller, for each core-second of room that it needs.
//!
//! Depends only on what callers and operators declare, so that every leader decides alike;
//! `docs/design/delay-cost.md` says what was weighed.

use std::cmp::Ordering;

use crate::model::{Resources, Span};

/// Factor between the values of results of two neighbouring priorities. With it a late urgent job
/// of mean size precedes a batch of two priorities below that can be in time.
const PRIORITY_FACTOR: f64 = 4.0;

/// Value of a late result relative to one in time. Low, since the room that a late job takes lets a
/// job miss its objective that could be in time; above none, since callers still wait for it.
const LATE_VALUE: f64 = 1.0 / 32.0;

/// Time for which a long-running task counts as work. It is longer than most finite jobs, because
/// the task keeps its room until it is cancelled: one of ten cores goes after a late urgent job
/// of mean size.
const LONG_RUNNING_TIME: Span = Span::from_secs(300);

/// Number of doublings after which the cost no longer rises. The cost is then above that of any
/// finite work with a declared size, and stays finite.
const MAX_DOUBLINGS: f64 = 40.0;

/// Millicores as which an accelerator counts. It is worth several cores, and a step that needs
/// few cores besides must not count as small.
const ACCELERATOR_MILLICORES: u64 = 8_000;

/// Time without a run in which the cost of a long-running task doubles. A wait behind any finite
/// work ends, and bursts of a few seconds pass first.
const PAUSE_DOUBLING: Span = Span::from_secs(6);

/// Least work that is assumed, in core-milliseconds, so that the cost of steps without a declared
/// size is finite.
const MIN_WORK: u64 = 1;

/// What can still be had for a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Timeliness {
    /// It can be there within the objective.
    OnTime,
    /// It misses the objective, but callers still wait for it.
    Late,
    /// Callers no longer wait for it.
    Overdue,
}

/// Cost of a delay per core-second, relative to that of others; not negative.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct DelayCost(f64);

impl Eq for DelayCost {}

impl PartialOrd for DelayCost {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayCost {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl DelayCost {
    pub(super) const NONE: Self = Self(0.0);

    /// The cost for a result of a priority, 0 being the highest, that needs `work`
    /// core-milliseconds.
    pub(super) fn new(priority: u8, timeliness: Timeliness, work: u64) -> Self {
        let value = match timeliness {
            Timeliness::OnTime => 1.0,
            Timeliness::Late => LATE_VALUE,
            Timeliness::Overdue => 0.0,
        };
        let core_secs = work.max(MIN_WORK) as f64 / 1_000.0;
        Self(value / PRIORITY_FACTOR.powi(priority.into()) / core_secs)
    }

    /// The cost for long-running tasks after a time without a run.
    pub(super) fn after_pause(self, pause: Span) -> Self {
        let doublings = pause.as_secs_f64() / PAUSE_DOUBLING.as_secs_f64();
        Self(self.0 * doublings.min(MAX_DOUBLINGS).exp2())
    }
}

/// Work of a task of a size for a time, in core-milliseconds.
pub(super) fn work(size: Resources, time: Span) -> u64 {
    let accelerators = u64::from(size.accelerators).saturating_mul(ACCELERATOR_MILLICORES);
    let millicores = size.cpu.0.saturating_add(accelerators);
    millicores.saturating_mul(time.as_millis()) / 1_000
}

/// Work that counts for a long-running task of a size, in core-milliseconds.
pub(super) fn long_running_work(size: Resources) -> u64 {
    work(size, LONG_RUNNING_TIME)
}

#[cfg(test)]
mod tests {
    use super::*;

    const URGENT: u64 = 80_000;
    const BATCH: u64 = 500_000;

    /// Guards against late urgent jobs that wait behind batches of several times their work.
    #[test]
    fn a_late_urgent_job_precedes_a_batch_that_can_be_in_time() {
        let urgent = DelayCost::new(0, Timeliness::Late, URGENT);
        assert!(urgent > DelayCost::new(2, Timeliness::OnTime, BATCH));
    }

    /// Guards against late jobs that take the room of large ones of their priority that can
    /// be in time.
    #[test]
    fn a_large_job_in_time_precedes_a_late_one_of_mean_size() {
        let large = DelayCost::new(0, Timeliness::OnTime, 10 * URGENT);
        assert!(large > DelayCost::new(0, Timeliness::Late, URGENT));
    }

    /// Guards against long-running tasks that keep the room of finite urgent work.
    #[test]
    fn late_urgent_work_precedes_long_running_tasks() {
        let work = long_running_work(Resources::new(13_000, 0, 0));
        let long_running = DelayCost::new(0, Timeliness::OnTime, work);
        assert!(long_running < DelayCost::new(0, Timeliness::Late, URGENT));
        assert!(long_running > DelayCost::new(2, Timeliness::Late, BATCH));
    }

    /// Guards against an infinite cost, or none, at the ends of what can be declared.
    #[test]
    fn the_cost_is_finite_and_ordered_at_extremes() {
        let none = DelayCost::new(0, Timeliness::OnTime, 0);
        assert!(none.0.is_finite());
        assert!(DelayCost::new(u8::MAX, Timeliness::Late, u64::MAX).0 > 0.0);
        assert_eq!(DelayCost::new(0, Timeliness::Overdue, 1).0, 0.0);
        assert!(none.after_pause(Span::from_secs(1_000_000)).0.is_finite());
    }
}
