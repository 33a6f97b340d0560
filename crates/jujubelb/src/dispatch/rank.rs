//! Order in which ready steps are placed.
//!
//! Steps go in the order of what a delay costs their callers for each core-second of room, see
//! [`delay_cost`](super::delay_cost). Two limits bound the waits that this order leaves open:
//!
//! - Long-running tasks rise while they wait. They go first after [`MAX_LONG_RUNNING_WAIT`] if
//!   there is capacity for them, and one of a step in each pass after [`MAX_FULL_SERVICE_WAIT`].
//! - Steps whose callers no longer wait are placed in the order of their latest starts: with the
//!   least work first, the largest would wait for as long as smaller ones follow.

use std::cmp::{Ordering, Reverse};

use super::delay_cost::{self, DelayCost, Timeliness};
use super::job::{Job, Occurrence};
use super::job_spec::StepKey;
use crate::model::{Span, Time};

/// Wait after which a long-running task goes before all others if the workers have capacity for
/// it. It then has to run again within 6 s of the end of its last run, and the rest is for its
/// start.
const MAX_LONG_RUNNING_WAIT: Span = Span::from_secs(3);

/// Wait after which one task of a long-running step goes first in each pass, whatever the load.
/// Places become free all the time also on a full service, and 2 s are left for one. With all tasks
/// first, those of a full service take the room of urgent jobs at once.
const MAX_FULL_SERVICE_WAIT: Span = Span::from_secs(4);

/// What a rank depends on besides the job itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RankContext {
    /// Whether the customer of the job uses more than its share.
    pub(crate) beyond_share: bool,
    /// Whether the workers of its service that may get starts have more free capacity together
    /// than short tasks need.
    pub(crate) spare_capacity: bool,
    /// How long tasks of a long-running step that may start have waited for a run at most.
    pub(crate) wait: Span,
}

/// Rank of a step; steps are placed in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StepRank {
    /// Whether the customer uses more than its share. Never set for long-running tasks.
    beyond_share: bool,
    turn: Turn,
    /// The lowest for all in the turns that are ordered by time alone.
    cost: Reverse<DelayCost>,
    /// The highest for all in the turn that is ordered by cost, which covers it.
    priority: u8,
    /// Latest start at which the job can meet its objective.
    latest_start: Time,
    long_running: bool,
    /// Whether the objective of a finite job is missed.
    late: bool,
    /// Whether one task goes first, wherever the step is in the order.
    first_task_due: bool,
}

impl StepRank {
    pub(crate) fn is_long_running(&self) -> bool {
        self.long_running
    }

    /// Whether the objective of the job is missed.
    pub(crate) fn is_late(&self) -> bool {
        self.late
    }

    /// Whether one task of the step goes before the tasks of all others.
    pub(crate) fn is_first_task_due(&self) -> bool {
        self.first_task_due
    }

    pub(crate) fn latest_start(&self) -> Time {
        self.latest_start
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// Long-running tasks that have waited for as long as they may.
    Due,
    /// Steps that are compared by the cost of their delay.
    ByCost,
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

/// Ranks a step of an occurrence.
pub(crate) fn rank(
    job: &Job,
    occurrence: &Occurrence,
    step: usize,
    context: RankContext,
    now: Time,
) -> StepRank {
    let spec = job.record.spec.steps.get(step);
    let long_running = spec.is_some_and(|s| s.long_running);
    let objective = objective(job);
    let remaining = job.critical_path_from(step);
    let latest_start =
        occurrence.since + objective - remaining.scale_up(100 + ESTIMATE_MARGIN_PERCENT, 100);
    let useful_until = occurrence.since + objective.scale_up(OVERDUE_FACTOR, 1) - remaining;
    let timeliness = if long_running || now <= latest_start {
        Timeliness::OnTime
    } else if now <= useful_until {
        Timeliness::Late
    } else {
        Timeliness::Overdue
    };
    let wait = match long_running {
        true => context.wait,
        false => Span::ZERO,
    };
    let turn = match timeliness {
        Timeliness::Overdue => Turn::Overdue,
        _ if wait >= MAX_LONG_RUNNING_WAIT && context.spare_capacity => Turn::Due,
        _ => Turn::ByCost,
    };
    let priority = job.record.queue.priority;
    let (cost, priority) = match turn {
        Turn::Due | Turn::Overdue => (DelayCost::NONE, priority),
        Turn::ByCost => {
            let work = match spec.filter(|s| s.long_running) {
                Some(spec) => delay_cost::long_running_work(spec.size),
                None => job.remaining_work(occurrence),
            };
            let cost = DelayCost::new(priority, timeliness, work);
            (cost.after_pause(wait), 0)
        }
    };
    StepRank {
        beyond_share: context.beyond_share && !long_running,
        turn,
        cost: Reverse(cost),
        priority,
        latest_start,
        long_running,
        late: timeliness != Timeliness::OnTime,
        first_task_due: wait >= MAX_FULL_SERVICE_WAIT,
    }
}

/// Compares two steps by their ranks and, if these are equal, by their keys, so that the
/// order does not depend on the order in which a leader learned of them.
pub(crate) fn compare(
    (a, a_key): &(StepRank, StepKey),
    (b, b_key): &(StepRank, StepKey),
) -> Ordering {
    a.cmp(b).then_with(|| a_key.cmp(b_key))
}
