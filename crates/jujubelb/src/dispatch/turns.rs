//! Turns of late best-effort steps.
//!
//! Best-effort tasks start only where they leave serving tasks enough headroom, and steps that can
//! still be in time go first. Neither rule ends the wait of a step that is refused again and
//! again. A late step of which nothing runs therefore starts a task in turn, oldest step first,
//! also where the task may take more than is left. It runs at the lowest pace there if need be,
//! and is paused only while the tail latency of a serving task is above its target. Each waiting
//! job thus makes progress, and capacity is used while there is work for it.

use super::Dispatcher;
use super::WorkerOrder;
use super::job::{Task, TaskState};
use super::job_spec::StepKey;
use super::rank::StepRank;
use super::worker::Worker;
use crate::model::{Span, Time};

/// Most runs that started in turn on a worker.
pub(super) const MAX_TURNS_PER_WORKER: u32 = 4;

/// Runs that started in turn, in percent of the number of workers, while steps wait that can be
/// in time. Each of them slows others, which are of more use to their callers.
const MAX_TURNS_BESIDE_TIMELY_PERCENT: usize = 5;

/// Least number of runs that may start in turn, so that small fleets have turns as well.
const MIN_TURNS: usize = 2;

/// Most steps that start a task in turn in one pass, which bounds the time of a pass.
const MAX_TURNS_PER_PASS: usize = 12;

/// Pause before a step for which no worker was found gets another turn, so that it does not hold
/// back the others.
const REFUSED_TURN_PAUSE: Span = Span::from_secs(1);

impl Dispatcher {
    /// Starts tasks of late steps in turn. `ranked` are the finite steps of this pass.
    pub(super) fn start_in_turn(
        &mut self,
        ranked: &[(StepRank, StepKey)],
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        let mut late: Vec<(Time, StepKey)> = ranked
            .iter()
            .filter(|(rank, key)| rank.is_late() && self.has_turn(*key, now))
            .map(|(rank, key)| (rank.latest_start(), *key))
            .collect();
        if late.is_empty() {
            return;
        }
        late.sort_unstable();
        let has_timely = ranked
            .iter()
            .any(|(rank, key)| !rank.is_late() && self.waiting_tasks(*key) > 0);
        let slots = self.turn_slots(has_timely).min(MAX_TURNS_PER_PASS);
        for (_, key) in late.into_iter().take(slots) {
            let waiting = self.waiting_tasks(key);
            self.start_step_in_turn(key, orders, now);
            if self.waiting_tasks(key) == waiting
                && let Some(job) = self.jobs.get_mut(&key.job)
                && let Some(step) = job.step_mut(key.occurrence, key.step)
            {
                step.turn_refused = Some(now);
            }
        }
    }

    /// Whether a best-effort step waits of which nothing runs and that was not refused just now.
    fn has_turn(&self, key: StepKey, now: Time) -> bool {
        let Some((job, state)) = self.ready_step(key) else {
            return false;
        };
        let spec = job.record.spec.steps.get(usize::from(key.step));
        let is_placed = |t: &Task| matches!(t.state, TaskState::Placed(_));
        spec.is_some_and(|s| s.best_effort && !s.gang)
            && !state.tasks.iter().any(is_placed)
            && state
                .turn_refused
                .is_none_or(|at| now.since(at) >= REFUSED_TURN_PAUSE)
    }

    fn waiting_tasks(&self, key: StepKey) -> u32 {
        self.ready_step(key).map_or(0, |(_, state)| state.waiting)
    }

    /// How many more runs may start in turn.
    fn turn_slots(&self, has_timely: bool) -> usize {
        let in_use = || self.workers.values().filter(|w| w.fenced && w.listed);
        let workers = in_use().count();
        let limit = match has_timely {
            true => (workers * MAX_TURNS_BESIDE_TIMELY_PERCENT / 100).max(MIN_TURNS),
            false => workers * MAX_TURNS_PER_WORKER as usize,
        };
        let running: u32 = in_use().map(|w: &Worker| w.load.turn_tasks).sum();
        limit.saturating_sub(running as usize)
    }
}
