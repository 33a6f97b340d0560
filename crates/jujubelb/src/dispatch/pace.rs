//! Slows or moves best-effort tasks that interfere with serving tasks.
//!
//! Best-effort tasks use idle processor time beside serving tasks with a target for
//! their tail latency. The interference depends on the pair of images and is learned
//! from polls, see `crate::place::headroom`. Each worker's headroom is assigned to its
//! best-effort tasks in ascending order of the headroom that they take; the remaining ones
//! are slowed to what is left, and a task that would be paused is moved if it has
//! checkpoints. Serving tasks take precedence because their callers wait immediately,
//! while callers of a batch wait only if it finishes late.

use arcstr::ArcStr;

use super::job_spec::JobKey;
use super::placement;
use super::worker::{RunPhase, TrackedRun, Worker};
use super::{Dispatcher, Order, WorkerOrder};
use crate::model::{FastMap, Span, Time, WorkerName};
use crate::place::headroom::{Exposure, HeadroomEstimate, Slopes};

/// Headroom that paces leave to serving tasks. A headroom of 1 means a tail latency at the
/// target, and reported latencies vary by a tenth.
const PACING_HEADROOM: f64 = 1.15;

/// Lowest pace other than 0. A task at a lower pace would not finish in useful time, but
/// would still take headroom from others.
const MIN_PACE_PERCENT: u32 = 20;

/// Granularity of paces. A finer one would cost more orders without a benefit.
const PACE_STEP_PERCENT: u32 = 10;

/// Minimum increase of a pace, in percentage points, unless it is raised to 100 %.
const MIN_RAISE_PERCENT: u32 = 20;

/// Minimum time between a change of a task's pace and the next increase.
const RAISE_INTERVAL: Span = Span::from_millis(400);

/// How long a task is paused (pace 0) before it is moved to another worker. A move costs
/// about a second for the stop and the restore of a checkpoint; load peaks last longer.
const PAUSED_TASK_TIMEOUT: Span = Span::from_millis(800);

/// The same for a task of a starved step, and while all best-effort tasks of a worker are paused.
const STARVED_TASK_TIMEOUT: Span = Span::from_secs(5);

/// Minimum time between two adjustments on a worker without a poll in between.
const ADJUST_INTERVAL: Span = Span::from_millis(150);

/// Time that a latency report of a worker covers.
const REPORT_WINDOW: Span = Span::from_millis(500);

/// Time until a changed pace takes effect on the worker.
const PACE_EFFECT_DELAY: Span = Span::from_millis(100);

/// Time after a serving task has become ready in which its latency is ignored, because
/// the reports still cover its startup.
const WARM_UP: Span = Span::from_millis(1_000);

/// Time above the target after which all best-effort tasks of the worker are paused,
/// regardless of the estimates. Serving tasks may be above their target for at most 4 s.
const ABOVE_TARGET_TIMEOUT: Span = Span::from_millis(2_000);

/// Factor by which slopes decay towards their prior in each [`DECAY_INTERVAL`].
const RETAINED_SLOPE: f64 = 0.995;

/// Time between two decays of the slopes.
const DECAY_INTERVAL: Span = Span::from_secs(1);

/// A best-effort run that has ended within the window of a latency report.
#[derive(Debug, Clone)]
pub(crate) struct EndedRun {
    image: ArcStr,
    /// Fraction of the worker's processor time that it used.
    share: f64,
    since: Time,
    until: Time,
}

/// Headroom of each serving job without best-effort tasks beside it.
pub(crate) type Headrooms = FastMap<JobKey, HeadroomEstimate>;

impl Dispatcher {
    /// Updates the interference model from the latencies of a poll.
    pub(super) fn learn_headroom(&mut self, name: &WorkerName, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.load.serving_tasks == 0 {
            worker.ended_runs.clear();
            worker.interference.clear();
            return;
        }
        worker
            .ended_runs
            .retain(|t| now.since(t.until) < REPORT_WINDOW);
        let exposure = exposure(worker, now);
        for (task, tracked) in &mut worker.runs {
            let Some(target) = tracked
                .target
                .filter(|_| tracked.phase == RunPhase::Running)
            else {
                continue;
            };
            let above = tracked.usage > target.as_millis();
            tracked.above_target = above.then(|| tracked.above_target.unwrap_or(now));
            let ready = tracked.percent == 100 && now.since(tracked.last_progress) > WARM_UP;
            if tracked.usage > 0 && ready {
                let observed = target.as_millis() as f64 / tracked.usage as f64;
                let initial = || HeadroomEstimate::new(now);
                let job_headroom = self.headrooms.entry(task.step.job).or_insert_with(initial);
                self.slopes
                    .learn(job_headroom, &tracked.image, observed, &exposure, now);
            }
        }
        worker.pace_adjusted = Time::ZERO;
        placement::update_interference(worker, &self.slopes);
    }

    /// Lets large slopes decay, so that images whose interference has decreased are tried
    /// again, and drops the headroom of ended jobs.
    pub(super) fn decay_slopes(&mut self, now: Time) {
        if now.since(self.last_decay) >= DECAY_INTERVAL {
            self.last_decay = now;
            self.slopes.decay(RETAINED_SLOPE);
            let jobs = &self.jobs;
            let live = |key: &JobKey| jobs.get(key).is_some_and(|j| j.outcome.is_none());
            self.headrooms.retain(|key, _| live(key));
        }
    }

    /// Orders new paces for best-effort tasks, and marks the ones that have to move.
    pub(super) fn adjust_paces(&mut self, orders: &mut Vec<WorkerOrder>, now: Time) {
        for (name, worker) in &mut self.workers {
            if worker.load.best_effort_tasks == 0
                || now.since(worker.pace_adjusted) < ADJUST_INTERVAL
            {
                continue;
            }
            worker.pace_adjusted = now;
            // Orders to a worker that does not answer would only wait behind one another.
            let is_answering = worker.is_answering();
            let above_target = worker.runs.values().filter_map(|r| r.above_target).min();
            let pause_all =
                above_target.is_some_and(|since| now.since(since) > ABOVE_TARGET_TIMEOUT);
            let paces = paces(worker, &self.slopes, &self.headrooms);
            // A paused run has no effect, whatever it would take at work.
            let is_working = |(i, _): &(usize, u32)| {
                let run = worker.runs.get_index(*i).map(|(_, r)| r);
                run.is_some_and(|r| r.pace > 0 && r.phase == RunPhase::Running)
            };
            let most_interfering = paces.iter().rposition(is_working);
            let sustained = worker.sustained_runs();
            for (rank, (i, new_pace)) in paces.into_iter().enumerate() {
                let Some((task, tracked)) = worker.runs.get_index_mut(i) else {
                    continue;
                };
                let likely_cause = above_target.is_some() && Some(rank) == most_interfering;
                if tracked.phase != RunPhase::Running || tracked.must_stop {
                    continue;
                }
                let new_pace = match (pause_all, likely_cause) {
                    (true, _) => 0,
                    // The estimates may be too low, so the most likely cause is slowed
                    // until the latency is below the target.
                    (false, true) => new_pace.min(tracked.pace / 2),
                    (false, false) => new_pace,
                };
                let is_sustained = sustained.contains(task);
                let new_pace = match new_pace < MIN_PACE_PERCENT {
                    // By the estimates a task of a starved step would not run anywhere.
                    true if is_sustained && above_target.is_none() => MIN_PACE_PERCENT,
                    true => 0,
                    false => new_pace,
                };
                let interval_over = now.since(tracked.pace_changed) >= RAISE_INTERVAL;
                let raise = interval_over
                    && (new_pace == 100 || new_pace >= tracked.pace + MIN_RAISE_PERCENT);
                if new_pace < tracked.pace || (new_pace > tracked.pace && raise) {
                    log::info!(task:% = task, worker:% = name, from = tracked.pace, to = new_pace, still = pause_all; "pace changed");
                    tracked.previous_pace = tracked.pace;
                    tracked.pace = new_pace;
                    tracked.pace_changed = now;
                    tracked.worker_pace = None;
                }
                let is_changed = tracked.pace_changed == now;
                if tracked.worker_pace != Some(tracked.pace) && (is_changed || is_answering) {
                    tracked.worker_pace = Some(tracked.pace);
                    orders.push(WorkerOrder {
                        worker: name.clone(),
                        address: worker.report.address,
                        order: Order::Pace {
                            task: *task,
                            run: tracked.run,
                            percent: tracked.pace,
                        },
                    });
                }
                let has_checkpoints = || {
                    let job = self.jobs.get(&task.step.job)?;
                    let step = job.record.spec.steps.get(usize::from(task.step.step))?;
                    Some(step.checkpoints)
                };
                let paused =
                    tracked.pace == 0 && now.since(tracked.pace_changed) > PAUSED_TASK_TIMEOUT;
                if paused && !tracked.starved && has_checkpoints() == Some(false) {
                    log::info!(task:% = task, worker:% = name; "sustaining a paused run without checkpoints");
                    tracked.starved = true;
                    worker.load.starved_runs += 1;
                }
                // Other workers may pause a task of a starved step as well, as may all while their
                // serving tasks are above their targets, so these are moved less often. A task
                // of a starved step is not moved before its turn.
                let pause = now.since(tracked.pace_changed);
                let is_due = pause > STARVED_TASK_TIMEOUT;
                let may_move = match (tracked.starved, pause_all) {
                    (true, _) => is_sustained && is_due,
                    (false, true) => is_due,
                    (false, false) => true,
                };
                if paused && may_move && has_checkpoints() == Some(true) {
                    log::info!(task:% = task, worker:% = name; "stopping a paused best-effort task to move it to another worker");
                    tracked.must_stop = true;
                }
            }
        }
    }
}

/// Computes the paces, in percent, of the worker's best-effort tasks. Each entry holds the
/// index of the run; the entries are in ascending order of the headroom taken.
fn paces(worker: &Worker, slopes: &Slopes, headrooms: &Headrooms) -> Vec<(usize, u32)> {
    let mut remaining: Vec<f64> = worker
        .interference
        .iter()
        .map(|s| s.baseline(headrooms) - PACING_HEADROOM)
        .collect();
    let best_effort = |(_, tracked): &(usize, &TrackedRun)| tracked.best_effort;
    let mut tasks: Vec<(usize, f64, Vec<f64>)> = worker
        .runs
        .values()
        .enumerate()
        .filter(best_effort)
        .map(|(i, tracked)| {
            let share = worker.cpu_share(tracked.size.cpu.0);
            let loss =
                |image: &ArcStr| slopes.slope(image, &tracked.image).upper_estimate() * share;
            let losses: Vec<f64> = worker.interference.iter().map(|s| loss(&s.image)).collect();
            let highest = losses.iter().copied().fold(0.0, f64::max);
            (i, highest / share.max(1e-6), losses)
        })
        .collect();
    tasks.sort_by(|(_, a, _), (_, b, _)| a.total_cmp(b));
    tasks
        .into_iter()
        .map(|(i, _, losses)| {
            let fraction = |(loss, remaining): (&f64, &f64)| match *loss > 0.0 {
                true => remaining / loss,
                false => 1.0,
            };
            let fraction = losses
                .iter()
                .zip(&remaining)
                .map(fraction)
                .fold(1.0, f64::min);
            let percent =
                (fraction.max(0.0) * 100.0) as u32 / PACE_STEP_PERCENT * PACE_STEP_PERCENT;
            let percent = if percent < MIN_PACE_PERCENT {
                0
            } else {
                percent
            };
            for (loss, remaining) in losses.iter().zip(&mut remaining) {
                *remaining -= loss * f64::from(percent) / 100.0;
            }
            (i, percent)
        })
        .collect()
}

/// Fractions of the worker's processor time that best-effort images used during the
/// window of the last latency report.
fn exposure(worker: &Worker, now: Time) -> Exposure {
    let start = now - REPORT_WINDOW;
    let fraction = |from: Time, to: Time| {
        let from = from.max(start);
        to.since(from).as_secs_f64() / REPORT_WINDOW.as_secs_f64()
    };
    let mut exposure = Exposure::new();
    let mut add = |image: &ArcStr, share: f64| {
        if share > 0.0 {
            *exposure.entry(image.clone()).or_default() += share;
        }
    };
    for tracked in worker.runs.values().filter(|r| r.best_effort) {
        if tracked.phase == RunPhase::Starting {
            continue;
        }
        let share = worker.cpu_share(tracked.size.cpu.0);
        let change = (tracked.pace_changed + PACE_EFFECT_DELAY)
            .max(tracked.confirmed)
            .min(now);
        let before = fraction(tracked.confirmed, change) * f64::from(tracked.previous_pace) / 100.0;
        let after = fraction(change, now) * f64::from(tracked.pace) / 100.0;
        add(&tracked.image, share * (before + after));
    }
    for ended in &worker.ended_runs {
        add(
            &ended.image,
            ended.share * fraction(ended.since, ended.until),
        );
    }
    exposure
}

impl Worker {
    /// Keeps a best-effort run that has just ended for later latency reports that cover it.
    pub(super) fn record_ended_run(&mut self, tracked: &TrackedRun, now: Time) {
        if tracked.best_effort && self.load.serving_tasks > 0 && tracked.phase != RunPhase::Starting
        {
            self.ended_runs.push(EndedRun {
                image: tracked.image.clone(),
                share: self.cpu_share(tracked.size.cpu.0) * f64::from(tracked.pace) / 100.0,
                since: tracked.confirmed,
                until: now,
            });
        }
    }
}
