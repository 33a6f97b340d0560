//! Order in which ready steps are placed.
//!
//! Results are of value to callers if they arrive within the objective of the job.
//! Steps that can still meet it are therefore placed before late ones. Within the same
//! class the order is by priority of the queue, then by remaining work, least first,
//! and then by latest start. This keeps urgent jobs responsive during a burst of batch
//! jobs. Steps whose callers no longer wait are placed in the order of their latest starts:
//! with the least work first, the largest would wait for as long as smaller ones follow.

use std::cmp::Ordering;

use super::job::{Job, Occurrence};
use crate::model::{Span, Time};

/// Rank of a step; steps are placed in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StepRank {
    /// Whether the customer uses more than its share. Never set for long-running tasks.
    beyond_share: bool,
    class: RankClass,
    priority: u8,
    /// Estimated processor time that the occurrence still needs, in core-milliseconds; 0 in
    /// the classes that are ordered by time alone.
    remaining_work: u64,
    /// Latest start at which the job can meet its objective.
    latest_start: Time,
}

impl StepRank {
    pub(crate) fn is_long_running(&self) -> bool {
        self.class == RankClass::LongRunning
    }

    /// Whether the objective of the job is missed.
    pub(crate) fn is_late(&self) -> bool {
        matches!(self.class, RankClass::Late | RankClass::Overdue)
    }

    pub(crate) fn latest_start(&self) -> Time {
        self.latest_start
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RankClass {
    /// Long-running tasks. They are few, and every second without them counts.
    LongRunning,
    /// The objective can be met.
    OnTime,
    /// The objective is missed, but callers still wait for the result.
    Late,
    /// Callers no longer wait for the result, but the job still has to finish.
    Overdue,
}

/// Margin added to estimated durations. A step that starts at the last moment because of
/// too low an estimate finishes late, and has taken capacity from steps that would
/// have been in time.
const ESTIMATE_MARGIN_PERCENT: u64 = 30;

/// Multiple of the objective after which callers no longer wait for a result.
const OVERDUE_FACTOR: u64 = 3;

/// Objective for the duration of a job, from the settings of its queue.
pub(crate) fn objective(job: &Job) -> Span {
    let queue = &job.record.queue;
    let scaled = job.critical_path().as_micros() as f64 * queue.slack_factor.max(1.0);
    Span::from_micros(scaled as u64) + queue.target_duration
}

/// Ranks a step of an occurrence. `beyond_share` says that the customer of the job uses more than
/// its share.
pub(crate) fn rank(
    job: &Job,
    occurrence: &Occurrence,
    step: usize,
    beyond_share: bool,
    now: Time,
) -> StepRank {
    let long_running = job
        .record
        .spec
        .steps
        .get(step)
        .is_some_and(|s| s.long_running);
    let objective = objective(job);
    let remaining = job.critical_path_from(step);
    let latest_start =
        occurrence.since + objective - remaining.scale_up(100 + ESTIMATE_MARGIN_PERCENT, 100);
    let useful_until = occurrence.since + objective.scale_up(OVERDUE_FACTOR, 1) - remaining;
    let class = if long_running {
        RankClass::LongRunning
    } else if now <= latest_start {
        RankClass::OnTime
    } else if now <= useful_until {
        RankClass::Late
    } else {
        RankClass::Overdue
    };
    let by_time = matches!(class, RankClass::LongRunning | RankClass::Overdue);
    let remaining_work = if by_time {
        0
    } else {
        job.remaining_work(occurrence)
    };
    StepRank {
        beyond_share: beyond_share && !long_running,
        class,
        priority: job.record.queue.priority,
        remaining_work,
        latest_start,
    }
}

/// Compares two ranks, for sorting.
pub(crate) fn compare(a: &StepRank, b: &StepRank) -> Ordering {
    a.cmp(b)
}
