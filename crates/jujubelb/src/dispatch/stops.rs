//! Stops runs that are not wanted: on draining workers, without progress, or superseded.

use super::job_spec::TaskKey;
use super::worker::{RunPhase, TrackedRun};
use super::{Dispatcher, Order, WorkerOrder};
use crate::model::{Span, Time};

/// Time added to [`Bounds::max_stop`](super::Bounds::max_stop) before a stop order whose run
/// has not completed is sent again.
const STOP_RETRY_MARGIN: Span = Span::from_millis(600);

/// Longest time for which the answer to a stop order, or the note that there is none, is
/// awaited before the order is repeated. Calls through another host end well before.
pub(super) const MAX_STOP_ANSWER: Span = Span::from_secs(4);

/// Stops of one worker that may be outstanding. Six are sent at a time and time out after 0.4 s, so
/// that all have an end within 3.2 s, before [`MAX_STOP_ANSWER`], also on a worker that answers none.
pub(super) const MAX_OUTSTANDING_STOPS: usize = 48;

/// Time without progress after which a run at full pace is stopped, longer in proportion at a
/// lower pace. Progress is reported in whole percents, so a task of four minutes reports it at
/// full pace within this time.
const STALL_TIMEOUT: Span = Span::from_millis(2_500);

/// Time added to [`Bounds::max_stop`](super::Bounds::max_stop) when tasks are stopped before
/// their worker leaves, so that their last checkpoint is reported in time.
const DRAIN_MARGIN: Span = Span::from_millis(700);

impl Dispatcher {
    /// Marks runs on draining workers to be stopped: long-running tasks immediately, tasks
    /// with checkpoints shortly before the worker leaves.
    pub(super) fn stop_on_draining(&mut self, now: Time) {
        let margin = self.bounds.max_stop + DRAIN_MARGIN;
        for worker in self.workers.values_mut() {
            let Some(deadline) = worker.drain_deadline else {
                continue;
            };
            let soon = now + margin >= deadline;
            for (task, tracked) in &mut worker.runs {
                let step = self
                    .jobs
                    .get(&task.step.job)
                    .and_then(|j| j.record.spec.steps.get(usize::from(task.step.step)));
                let long_running = step.is_some_and(|s| s.long_running);
                let has_checkpoints = step.is_some_and(|s| s.checkpoints);
                if tracked.phase == RunPhase::Running
                    && !tracked.must_stop
                    && (long_running || (has_checkpoints && soon))
                {
                    log::info!(task:% = task, worker:% = worker.report.name, lasting = long_running; "stopping a run because its worker is draining");
                    tracked.must_stop = true;
                }
            }
        }
    }

    /// Marks runs without progress to be stopped, so that they restart on another worker.
    pub(super) fn stop_stalled(&mut self, now: Time) {
        let mut ejections = self.ejection_slots();
        for worker in self.workers.values_mut() {
            let mut stalled = Vec::new();
            for (task, tracked) in &mut worker.runs {
                let active =
                    tracked.phase == RunPhase::Running && tracked.pace > 0 && !tracked.must_stop;
                let finite = self
                    .jobs
                    .get(&task.step.job)
                    .and_then(|j| j.record.spec.steps.get(usize::from(task.step.step)))
                    .is_some_and(|s| !s.long_running && !s.gang);
                if active
                    && finite
                    && worker
                        .last_answer
                        .since(tracked.last_progress.max(tracked.pace_changed))
                        > STALL_TIMEOUT.scale_up(100, tracked.pace.into())
                {
                    log::warn!(task:% = task, worker:% = worker.report.name, percent = tracked.percent, age:% = now.since(tracked.since); "stopping a run that makes no progress");
                    tracked.must_stop = true;
                    stalled.push(task.step.job);
                }
            }
            for _ in stalled {
                if worker.health.record_stall(now, ejections > 0) {
                    ejections -= 1;
                    log::warn!(worker:% = worker.report.name; "worker considered unhealthy: several runs make no progress");
                }
            }
        }
    }

    /// Orders stops of runs that are not wanted, on each worker as many as may be outstanding. Those
    /// that were not stopped yet go first, so that lost stops don't hold up the others.
    pub(super) fn stop_unwanted(&mut self, orders: &mut Vec<WorkerOrder>, now: Time) {
        let retry = self.bounds.max_stop + STOP_RETRY_MARGIN;
        for (name, worker) in &mut self.workers {
            let mut outstanding = 0;
            let mut due: Vec<(&TaskKey, &mut TrackedRun)> = Vec::new();
            for (task, tracked) in &mut worker.runs {
                let keep = !tracked.must_stop && tracked.phase != RunPhase::Unsure;
                if keep || tracked.phase == RunPhase::Starting {
                    continue;
                }
                let pause = match tracked.stop_pending {
                    true => MAX_STOP_ANSWER,
                    false => retry,
                };
                if tracked.stop_sent.is_none_or(|at| now.since(at) >= pause) {
                    due.push((task, tracked));
                } else {
                    outstanding += usize::from(tracked.stop_pending);
                }
            }
            due.sort_by_key(|(_, tracked)| tracked.stop_sent);
            due.truncate(MAX_OUTSTANDING_STOPS.saturating_sub(outstanding));
            for (task, tracked) in due {
                tracked.stop_sent = Some(now);
                tracked.stop_pending = true;
                orders.push(WorkerOrder {
                    worker: name.clone(),
                    address: worker.report.address,
                    order: Order::Stop {
                        task: *task,
                        run: tracked.run,
                    },
                });
            }
        }
    }
}
