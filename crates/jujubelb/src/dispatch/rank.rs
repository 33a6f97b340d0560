//! In which order steps get room.
//!
//! Answers the load of a burst of batch jobs beside urgent checks: callers are
//! served by what finishes within its objective, so work that can still make it
//! goes before work that is late, urgent queues before others, and among equals
//! the work with the least time to spare.

use std::cmp::Ordering;

use super::job::{Job, Occurrence};
use crate::model::{Span, Time};

/// Rank of a step; the smallest gets room first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    class: Class,
    priority: u8,
    /// Processor time that the job still needs, in core-milliseconds.
    effort: u64,
    /// When the step has to start at the latest to make the objective.
    latest: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Lasting tasks: each second without them counts, and they are few.
    Lasting,
    /// Can make the objective.
    Timely,
    /// Too late for the objective, but not for callers who wait longer.
    Late,
    /// Too late for any credit; still owed to the caller.
    Overdue,
}

/// Part of the estimate, in percent, by which work is taken to last longer.
/// Work that starts at the last moment by a wrong estimate is late and has
/// taken the room of work that would not have been.
const DOUBT: u64 = 30;

/// Times the objective after which callers no longer wait for a result.
const USELESS_AFTER: u64 = 3;

/// The time a job may take by its queue's terms.
pub(crate) fn objective(job: &Job) -> Span {
    let queue = &job.record.queue;
    let chain = job.chain().as_micros() as f64 * queue.slack_factor.max(1.0);
    Span::from_micros(chain as u64) + queue.target_duration
}

/// Ranks a step of an occurrence.
pub(crate) fn rank(job: &Job, occurrence: &Occurrence, step: usize, now: Time) -> Rank {
    let long_running = job
        .record
        .spec
        .steps
        .get(step)
        .is_some_and(|s| s.long_running);
    let objective = objective(job);
    let left = job.chain_from(step);
    let latest = occurrence.since + objective - left.scale_up(100 + DOUBT, 100);
    let end = occurrence.since + objective.scale_up(USELESS_AFTER, 1) - left;
    let class = if long_running {
        Class::Lasting
    } else if now <= latest {
        Class::Timely
    } else if now <= end {
        Class::Late
    } else {
        Class::Overdue
    };
    let effort = if long_running {
        0
    } else {
        job.effort(occurrence)
    };
    Rank {
        class,
        priority: job.record.queue.priority,
        effort,
        latest,
    }
}

/// Orders two ranks; for sorts.
pub(crate) fn compare(a: &Rank, b: &Rank) -> Ordering {
    a.cmp(b)
}
