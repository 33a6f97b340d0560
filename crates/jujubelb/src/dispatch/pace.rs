//! Slows tasks that fill where they disturb tasks that serve.
//!
//! Answers the load of batch work that uses spare processor time beside serving
//! tasks with a bound for the tail of their response times. A filling task is
//! slowed by halves while a tail is near its bound, stands still while one is
//! above it, and recovers in small steps. One that stays slow and has a
//! checkpoint is moved away.

use super::worker::Phase;
use super::{Dispatch, Dispatcher, Order};
use crate::model::{Span, Time, WorkerName};

/// Share of the target, in percent, above which filling tasks are slowed.
const NEAR_TARGET: u64 = 80;

/// Share of the target, in percent, below which they recover.
const WELL_BELOW: u64 = 60;

/// Pace in percent at which a filling task is moved away if it has a checkpoint.
const MOVED_AT: u32 = 50;

/// Percentage points by which the pace recovers.
const RECOVERY: u32 = 20;

/// Time between two changes of a pace: the figures are half a second old.
const SETTLE: Span = Span::from_millis(700);

impl Dispatcher {
    /// Notes since when serving tasks are above their target.
    pub(super) fn watch_interference(&mut self, name: &WorkerName, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        for held in worker.runs.values_mut() {
            let above = held
                .target
                .is_some_and(|t| held.usage > t.as_millis() && held.phase == Phase::Running);
            held.harmed = match (above, held.harmed) {
                (true, None) => Some(now),
                (true, since) => since,
                (false, _) => None,
            };
        }
    }

    /// Orders the pace of filling tasks.
    pub(super) fn pace(&mut self, orders: &mut Vec<Dispatch>, now: Time) {
        for (name, worker) in &mut self.workers {
            if worker.load.serving == 0 || worker.load.fillers == 0 {
                continue;
            }
            let tightest = worker.worst_tail();
            for (task, held) in &mut worker.runs {
                if !held.fills || held.phase != Phase::Running || held.unwanted {
                    continue;
                }
                if now.since(held.paced) < SETTLE {
                    continue;
                }
                let saves = self
                    .jobs
                    .get(&task.step.job)
                    .and_then(|j| j.record.work.steps.get(usize::from(task.step.step)))
                    .is_some_and(|s| s.checkpoints);
                if saves && held.pace <= MOVED_AT && tightest > WELL_BELOW {
                    log::info!(task:% = task, worker:% = name, pace = held.pace, tail_percent = tightest; "moving a filling task away from serving ones");
                    held.unwanted = true;
                    continue;
                }
                let percent = next_pace(held.pace, tightest);
                if percent == held.pace {
                    continue;
                }
                log::info!(task:% = task, worker:% = name, from = held.pace, to = percent, tail_percent = tightest; "pace changed");
                if percent < held.pace {
                    worker.disturbed = now;
                }
                held.pace = percent;
                held.paced = now;
                orders.push(Dispatch {
                    worker: name.clone(),
                    address: worker.report.address,
                    order: Order::Pace {
                        task: *task,
                        run: held.run,
                        percent,
                    },
                });
            }
        }
    }
}

/// The pace after a look that shows the worst tail at `tail` percent of its target.
fn next_pace(pace: u32, tail: u64) -> u32 {
    if tail > 100 {
        0
    } else if tail > NEAR_TARGET {
        pace / 2
    } else if tail < WELL_BELOW {
        (pace + RECOVERY).min(100)
    } else {
        pace
    }
}
