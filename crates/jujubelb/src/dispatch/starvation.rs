//! Starts tasks of starved steps: best-effort steps of which nothing runs, and which are late or
//! have been refused for some time.
//!
//! Best-effort tasks start only where they leave serving tasks enough headroom, and steps that can
//! still be in time go first. Neither rule ends the wait of a step that is refused again and
//! again. A starved step therefore gets one run, also where the task may take more than is left: the
//! oldest step first, those that no worker took a moment ago after the others. If a run of the step
//! is paused, that run is sustained instead.
//!
//! On each worker the oldest such runs go on at the lowest pace if need be, and are paused only
//! while the tail latency of a serving task is above its target. The others wait there for their
//! turn. Only memory limits how many they are, so that each step has a run as long as the
//! workers together have memory for it.
//!
//! How long a step starves depends on the number of starved steps, since few such runs are allowed
//! while many tasks wait that can be in time. Once few do, the idle capacity goes to starved steps.

use std::collections::VecDeque;

use indexmap::IndexSet;

use super::Dispatcher;
use super::WorkerOrder;
use super::job::{StepState, Task, TaskState};
use super::job_spec::{StepKey, TaskKey};
use super::rank::StepRank;
use super::worker::{RunPhase, TrackedRun, Worker};
use crate::model::{Span, Time, WorkerName};

/// Most runs of starved steps on a worker that go on where the estimates leave them nothing. Four
/// at the lowest pace use four fifths of the time of one task; with two, days of bursts ended
/// with workers less than half in use beside work that waited.
pub(super) const MAX_SUSTAINED_PER_WORKER: usize = 4;

/// Runs of starved steps, in percent of the number of workers, while many tasks wait that can be in
/// time. With one on each worker, a fifth fewer jobs were in time.
const MAX_STARVED_BESIDE_TIMELY_PERCENT: usize = 5;

/// Number of workers for each waiting task that can be in time from which on starved steps get runs
/// without that limit. In overload more such tasks wait than there are workers. After it the next steps of
/// running jobs become ready, a few at a time.
const WORKERS_PER_TIMELY_TASK: usize = 10;

/// Least number of runs of starved steps that are allowed, so that small fleets start some too.
const MIN_STARVED_RUNS: usize = 2;

/// How long few tasks that can be in time have to have waited before the idle capacity goes to
/// starved steps. Bursts follow one another after some seconds, and each finds the workers taken
/// that starved steps got between them.
const TIMELY_GAP: Span = Span::from_secs(4);

/// Wait after which a step that can be in time counts as refused by all workers. Its objective may
/// last for minutes, and nothing else would end its wait or that of others behind it.
const REFUSED_WAIT: Span = Span::from_secs(2);

/// Time above the target of a serving task after which nothing starts beside it for
/// [`START_HOLD`]. Serving tasks may be above their target for at most 4 s.
const MAX_ABOVE_TARGET: Span = Span::from_secs(1);

/// How long after the start of a best-effort task the tail latency may be due to it: it works at
/// full pace until its first pace order, and latencies are reported over half a second.
const START_HOLD: Span = Span::from_secs(2);

/// Time from the end of a run until one that is ordered because of it has begun: the end is listed, a
/// pass plans the start, and its order is sent. The leader of a small fleet has a tenth of a core.
const START_TIME: Span = Span::from_millis(300);

/// Longest time since its worker's last answer for which the progress of a run is extrapolated.
const MAX_REPORT_AGE: Span = Span::from_secs(1);

/// Most starved steps that get a run in one pass, which bounds its time.
const MAX_STARTS_PER_PASS: usize = 60;

/// Most starts without an answer beside which starved steps get runs: those of four passes. If the leader
/// or its link is full, answers come later and fewer runs start, since its polls have to keep the leases.
const MAX_STARTS_IN_FLIGHT: usize = 240;

/// Most starved steps for which no worker is found in one pass. Each costs a search of all
/// workers.
const MAX_REFUSALS_PER_PASS: usize = 12;

/// Pause before a starved step for which no worker was found is tried again.
const REFUSED_PAUSE: Span = Span::from_secs(1);

/// How many tasks passes have left waiting that can be in time and have not been refused.
#[derive(Debug)]
pub(super) struct TimelyDemand {
    /// Numbers of the last [`TIMELY_GAP`] with their times, without those that a later one reaches: the
    /// first is the highest.
    recent: VecDeque<(Time, usize)>,
    /// Number of workers in use at the last pass.
    workers: usize,
}

impl TimelyDemand {
    /// The demand at the beginning of a term, of which nothing is known.
    pub(super) fn new(now: Time) -> Self {
        Self {
            recent: VecDeque::from([(now, usize::MAX)]),
            workers: 0,
        }
    }

    /// Takes the number that a pass has left waiting, and the number of workers in use.
    fn record(&mut self, tasks: usize, workers: usize, now: Time) {
        self.workers = workers;
        while self.recent.back().is_some_and(|(_, t)| *t <= tasks) {
            self.recent.pop_back();
        }
        let is_over = |(at, _): &(Time, usize)| now.since(*at) >= TIMELY_GAP;
        while self.recent.front().is_some_and(is_over) {
            self.recent.pop_front();
        }
        self.recent.push_back((now, tasks));
    }

    /// Highest number in the last [`TIMELY_GAP`].
    pub(super) fn highest(&self) -> usize {
        self.recent.front().map_or(0, |(_, tasks)| *tasks)
    }

    /// Whether so few such tasks wait that the idle capacity goes to starved steps.
    fn is_low(&self) -> bool {
        self.highest().saturating_mul(WORKERS_PER_TIMELY_TASK) <= self.workers
    }
}

impl Dispatcher {
    /// Starts one task each of starved steps. `ranked` are the finite steps of this pass.
    pub(super) fn start_starved(
        &mut self,
        ranked: &[(StepRank, StepKey)],
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        let timely = ranked
            .iter()
            .filter(|(rank, key)| !rank.is_late() && !self.is_refused(*key, now));
        let waiting = timely.map(|(_, key)| self.unlimited_tasks(*key));
        let waiting = waiting.sum();
        let workers = self.workers_in_use().count();
        self.timely_demand.record(waiting, workers, now);
        let free = MAX_STARTS_IN_FLIGHT.saturating_sub(self.starts_in_flight());
        let slots = self.starved_slots().min(MAX_STARTS_PER_PASS).min(free);
        if slots == 0 {
            return;
        }
        let is_due =
            |refused: Option<Time>| refused.is_none_or(|at| now.since(at) >= REFUSED_PAUSE);
        // The cheap conditions come first: in overload thousands of steps are late.
        let mut starved: Vec<(Option<Time>, Time, StepKey)> = ranked
            .iter()
            .filter_map(|(rank, key)| {
                let refused = self.ready_step(*key)?.1.refused;
                let needs_run = is_due(refused) && self.needs_run(rank, *key, now);
                needs_run.then_some((refused, rank.latest_start(), *key))
            })
            .collect();
        starved.sort_unstable();
        let (mut served, mut refusals) = (0, 0);
        for (_, _, key) in starved {
            if served == slots || refusals == MAX_REFUSALS_PER_PASS {
                return;
            }
            let is_served = self.serve_starved(key, orders, now);
            if let Some(job) = self.jobs.get_mut(&key.job)
                && let Some(step) = job.step_mut(key.occurrence, key.step)
            {
                step.refused = (!is_served).then_some(now);
            }
            served += usize::from(is_served);
            refusals += usize::from(!is_served);
        }
    }

    /// Sustains a paused run of a starved step, or starts a task of it. Returns whether the step
    /// has a run now.
    fn serve_starved(&mut self, key: StepKey, orders: &mut Vec<WorkerOrder>, now: Time) -> bool {
        if let Some((name, task)) = self.paused_run(key) {
            log::info!(task:% = task, worker:% = name; "sustaining a paused run of a starved step");
            self.mark_starved(&name, task);
            return true;
        }
        let waiting = self.waiting_tasks(key);
        self.start_starved_step(key, orders, now);
        self.waiting_tasks(key) != waiting
    }

    /// Whether a step is starved and has waited for long enough to get a run beyond the estimates.
    pub(super) fn needs_run(&self, rank: &StepRank, key: StepKey, now: Time) -> bool {
        (rank.is_late() || self.is_refused(key, now)) && self.is_starved(key, now)
    }

    /// Whether a best-effort step has a task that could start, and no run that makes progress or
    /// will in its turn, other than one that is about to end.
    pub(super) fn is_starved(&self, key: StepKey, now: Time) -> bool {
        let Some((job, state)) = self.ready_step(key) else {
            return false;
        };
        let Some(spec) = job.record.spec.steps.get(usize::from(key.step)) else {
            return false;
        };
        // Beside work that can be in time, a job waits for the end of its run.
        let is_ahead = self.timely_demand.is_low();
        let is_ending = |name: &WorkerName, run: &TrackedRun| {
            let worker = self.workers.get(name);
            worker.is_some_and(|w| run.is_ending(spec.estimate, w.last_answer, now))
        };
        let leaves_idle = |(_, name, run): (TaskKey, &WorkerName, Option<&TrackedRun>)| {
            run.is_some_and(|r| (r.pace == 0 && !r.starved) || (is_ahead && is_ending(name, r)))
        };
        spec.best_effort
            && !spec.gang
            && state.tasks.iter().any(|t| self.is_startable(t, now))
            && self.runs_of(key, state).all(leaves_idle)
            && !self.is_limited(job, spec)
    }

    /// Whether a task of a ready step has waited for so long that all workers refuse it.
    fn is_refused(&self, key: StepKey, now: Time) -> bool {
        let Some((_, state)) = self.ready_step(key) else {
            return false;
        };
        let limited = state.limited.unwrap_or_default();
        let has_waited = |t: &Task| {
            t.state == TaskState::Waiting && now.since(t.since.max(limited)) >= REFUSED_WAIT
        };
        state.tasks.iter().any(has_waited)
    }

    /// The tasks of a step that are assigned to workers, with their workers and runs.
    fn runs_of<'a>(
        &'a self,
        key: StepKey,
        state: &'a StepState,
    ) -> impl Iterator<Item = (TaskKey, &'a WorkerName, Option<&'a TrackedRun>)> {
        let tasks = (0u32..).zip(&state.tasks);
        tasks.filter_map(move |(index, task)| {
            let TaskState::Placed(name) = &task.state else {
                return None;
            };
            let task = TaskKey { step: key, index };
            let run = self.workers.get(name).and_then(|w| w.runs.get(&task));
            Some((task, name, run))
        })
    }

    /// A run of a step that is paused and not about to be stopped, with its worker.
    fn paused_run(&self, key: StepKey) -> Option<(WorkerName, TaskKey)> {
        let (_, state) = self.ready_step(key)?;
        let mut runs = self.runs_of(key, state);
        let is_paused = |run: &TrackedRun| run.pace == 0 && !run.must_stop;
        runs.find(|(_, _, run)| run.is_some_and(is_paused))
            .map(|(task, name, _)| (name.clone(), task))
    }

    fn waiting_tasks(&self, key: StepKey) -> u32 {
        self.ready_step(key).map_or(0, |(_, state)| state.waiting)
    }

    /// How many more starved steps may get a run. Paused runs don't count, since they may stay
    /// paused for as long as the load of the serving tasks is high.
    fn starved_slots(&self) -> usize {
        if self.timely_demand.is_low() {
            return usize::MAX;
        }
        let workers = self.workers_in_use().count();
        let limit = (workers * MAX_STARVED_BESIDE_TIMELY_PERCENT / 100).max(MIN_STARVED_RUNS);
        let running: usize = self.workers_in_use().map(Worker::active_starved_runs).sum();
        limit.saturating_sub(running)
    }

    /// Number of start orders that have no answer yet.
    fn starts_in_flight(&self) -> usize {
        let runs = self.workers_in_use().flat_map(|w| w.runs.values());
        runs.filter(|r| r.phase == RunPhase::Starting).count()
    }

    fn workers_in_use(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|w| w.fenced && w.listed)
    }
}

impl TrackedRun {
    /// Whether the run, of which the worker last told at `reported`, ends before a run that is ordered
    /// now begins.
    fn is_ending(&self, estimate: Span, reported: Time, now: Time) -> bool {
        if self.phase != RunPhase::Running || self.pace == 0 {
            return false;
        }
        let left = u64::from(100 - self.percent.min(100));
        let remaining = estimate.scale_up(left, self.pace.into());
        let since = now.since(reported).min(MAX_REPORT_AGE);
        remaining <= since + START_TIME
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

    /// Whether a serving task has been above its target for some time, maybe because of a task that
    /// has just started beside it.
    pub(super) fn is_recovering(&self, now: Time) -> bool {
        let above = self.runs.values().filter_map(|r| r.above_target).min();
        let has_just_started = |r: &TrackedRun| r.best_effort && now.since(r.since) < START_HOLD;
        above.is_some_and(|since| now.since(since) > MAX_ABOVE_TARGET)
            && self.runs.values().any(has_just_started)
    }

    /// The runs of starved steps that go on where the estimates leave them nothing: the oldest
    /// ones that are not about to be stopped, one of each step before a second one.
    pub(super) fn sustained_runs(&self) -> Vec<TaskKey> {
        if self.load.starved_runs == 0 {
            return Vec::new();
        }
        let runs = self.runs.iter();
        let starved = runs.filter(|(_, r)| r.starved && !r.must_stop);
        let mut starved: Vec<(Time, TaskKey)> = starved.map(|(t, r)| (r.since, *t)).collect();
        starved.sort_unstable();
        let mut steps = IndexSet::new();
        starved.sort_by_cached_key(|(_, task)| !steps.insert(task.step));
        starved.truncate(MAX_SUSTAINED_PER_WORKER);
        starved.into_iter().map(|(_, task)| task).collect()
    }
}
