//! Starts tasks of starved steps: late best-effort steps of which nothing runs.
//!
//! Best-effort tasks start only where they leave serving tasks enough headroom, and steps that can
//! still be in time go first. Neither rule ends the wait of a step that is refused again and
//! again. A starved step therefore starts one task, the oldest step first, also where the task
//! may take more than is left. It runs at the lowest pace there if need be, and is paused only
//! while the tail latency of a serving task is above its target.
//!
//! How long a step starves depends on the number of starved steps, since few such runs are
//! allowed while other work is in time. Once no such work waits, the idle capacity is theirs.

use super::Dispatcher;
use super::WorkerOrder;
use super::job::{Task, TaskState};
use super::job_spec::{StepKey, TaskKey};
use super::rank::StepRank;
use super::worker::Worker;
use crate::model::{Span, Time};

/// Most runs of starved steps on a worker. Four at the lowest pace use four fifths of the time of
/// one task; with two, days of bursts ended with workers less than half in use beside work that
/// waited.
pub(super) const MAX_STARVED_PER_WORKER: u32 = 4;

/// Runs of starved steps, in percent of the number of workers, while steps wait that can be in
/// time. With one on each worker, a fifth fewer jobs were in time.
const MAX_STARVED_BESIDE_TIMELY_PERCENT: usize = 5;

/// Least number of runs of starved steps that are allowed, so that small fleets start some too.
const MIN_STARVED_RUNS: usize = 2;

/// How long no step that can be in time has to have waited before the idle capacity goes to
/// starved steps. In overload there are moments without any such step between two arrivals.
const TIMELY_GAP: Span = Span::from_secs(2);

/// Most starved steps that are tried in one pass, which bounds its time.
const MAX_TRIES_PER_PASS: usize = 12;

/// Pause before a starved step for which no worker was found is tried again.
const REFUSED_PAUSE: Span = Span::from_secs(1);

impl Dispatcher {
    /// Starts one task each of starved steps. `ranked` are the finite steps of this pass.
    pub(super) fn start_starved(
        &mut self,
        ranked: &[(StepRank, StepKey)],
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        let is_timely =
            |(rank, key): &(StepRank, StepKey)| !rank.is_late() && self.waiting_tasks(*key) > 0;
        if ranked.iter().any(is_timely) {
            self.timely_waited = now;
        }
        let mut slots = self.starved_slots(now);
        if slots == 0 {
            return;
        }
        let mut starved: Vec<(Option<Time>, Time, StepKey)> = ranked
            .iter()
            .filter(|(rank, key)| rank.is_late() && self.is_starved(*key, now))
            .filter_map(|(rank, key)| {
                let refused = self.ready_step(*key)?.1.refused;
                let is_due = refused.is_none_or(|at| now.since(at) >= REFUSED_PAUSE);
                is_due.then_some((refused, rank.latest_start(), *key))
            })
            .collect();
        starved.sort_unstable();
        for (_, _, key) in starved.into_iter().take(MAX_TRIES_PER_PASS) {
            let waiting = self.waiting_tasks(key);
            self.start_starved_step(key, orders, now);
            let is_refused = self.waiting_tasks(key) == waiting;
            if let Some(job) = self.jobs.get_mut(&key.job)
                && let Some(step) = job.step_mut(key.occurrence, key.step)
            {
                step.refused = is_refused.then_some(now);
            }
            slots -= usize::from(!is_refused);
            if slots == 0 {
                return;
            }
        }
    }

    /// Whether a best-effort step has a task that could start, and nothing of it makes progress.
    pub(super) fn is_starved(&self, key: StepKey, now: Time) -> bool {
        let Some((job, state)) = self.ready_step(key) else {
            return false;
        };
        let spec = job.record.spec.steps.get(usize::from(key.step));
        let tasks = || state.tasks.iter();
        spec.is_some_and(|s| s.best_effort && !s.gang)
            && tasks().any(|t| self.is_startable(t, now))
            && !(0u32..)
                .zip(tasks())
                .any(|(index, t)| self.makes_progress(TaskKey { step: key, index }, t))
    }

    /// Whether a task may start as far as the task itself is concerned.
    pub(super) fn is_startable(&self, task: &Task, now: Time) -> bool {
        task.state == TaskState::Waiting
            && task.not_before <= now
            && (!task.inherited || self.inherited_resolved)
    }

    /// Whether a task is assigned to a worker and not paused there.
    fn makes_progress(&self, key: TaskKey, task: &Task) -> bool {
        let TaskState::Placed(name) = &task.state else {
            return false;
        };
        let worker = self.workers.get(name);
        let run = worker.and_then(|w| w.runs.get(&key));
        run.is_none_or(|r| r.pace > 0)
    }

    fn waiting_tasks(&self, key: StepKey) -> u32 {
        self.ready_step(key).map_or(0, |(_, state)| state.waiting)
    }

    /// How many more runs of starved steps may start. Paused runs don't count, since they may stay
    /// paused for as long as the load of the serving tasks is high.
    fn starved_slots(&self, now: Time) -> usize {
        let in_use = || self.workers.values().filter(|w| w.fenced && w.listed);
        let workers = in_use().count();
        let limit = match now.since(self.timely_waited) < TIMELY_GAP {
            true => (workers * MAX_STARVED_BESIDE_TIMELY_PERCENT / 100).max(MIN_STARVED_RUNS),
            false => workers * MAX_STARVED_PER_WORKER as usize,
        };
        let running: usize = in_use().map(Worker::active_starved_runs).sum();
        limit.saturating_sub(running)
    }
}

impl Worker {
    /// Number of runs of starved steps that are not paused.
    fn active_starved_runs(&self) -> usize {
        if self.load.starved_runs == 0 {
            return 0;
        }
        let runs = self.runs.values();
        runs.filter(|r| r.starved && r.pace > 0).count()
    }
}
