//! Slows or moves tasks that fill where they disturb tasks that serve.
//!
//! Answers the load of batch work that uses spare processor time beside serving
//! tasks with a bound for the tail of their response times. How much one disturbs
//! another depends on the pair of images and is learned from the looks, see
//! `placement::headroom`. Each worker's headroom is given to the filling tasks that
//! take least of it first; the others are slowed to what is left, and what would
//! stand still moves if it has a checkpoint. Callers of a serving task wait at
//! once when it is disturbed, those of a batch only if it is late in the end.

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::job_spec::JobKey;
use super::placement;
use super::worker::{Held, Phase, Worker};
use super::{Dispatcher, Order, WorkerOrder};
use crate::model::{Span, Time, WorkerName};
use crate::place::headroom::{Exposure, HeadroomEstimate, Slopes};

/// Headroom that is kept: the target itself is at 1, and figures vary by a tenth.
const MARGIN: f64 = 1.15;

/// Pace in percent below which a task does not work at all: what is left of it
/// would not finish the task, and takes headroom from others.
const LEAST_PACE: u32 = 20;

/// Steps of a pace in percent. Finer ones would cost orders for no gain.
const PACE_STEP: u32 = 10;

/// Difference in percent at which a pace is raised, unless it is raised to full.
const RAISE: u32 = 20;

/// Time between two changes of a task's pace upwards.
const RAISE_PAUSE: Span = Span::from_millis(400);

/// Time for which a task stands still before it is moved. A move costs a stop and
/// the restoring of a checkpoint, about a second; loads swing for longer.
const MOVE_AFTER: Span = Span::from_millis(800);

/// Time between two adjustments on a worker without a look in between.
const ADJUST: Span = Span::from_millis(150);

/// What a report on response times covers.
const WINDOW: Span = Span::from_millis(500);

/// Time until a changed pace shows at the worker.
const PACE_DELAY: Span = Span::from_millis(100);

/// Time after a serving task has come to work in which its figures say little:
/// they cover its startup.
const WARM_UP: Span = Span::from_millis(1_000);

/// Time above the target after which all filling tasks stand still, whatever
/// the estimates say. Serving tasks may be above it for 4 s.
const PATIENCE: Span = Span::from_millis(2_000);

/// Part of a strong effect that is kept for a second, and the time between fades.
const KEPT: f64 = 0.995;
const FADE: Span = Span::from_secs(1);

/// A filling task that has ended, for as long as reports may cover it.
#[derive(Debug, Clone)]
pub(crate) struct Trace {
    image: ArcStr,
    share: f64,
    since: Time,
    until: Time,
}

/// Headroom of the jobs with serving tasks, as their own users leave it.
pub(crate) type Headrooms = IndexMap<JobKey, HeadroomEstimate>;

impl Dispatcher {
    /// Learns from a look how much filling tasks take from serving ones.
    pub(super) fn learn_headroom(&mut self, name: &WorkerName, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.load.serving == 0 {
            worker.traces.clear();
            worker.strains.clear();
            return;
        }
        worker.traces.retain(|t| now.since(t.until) < WINDOW);
        let exposure = exposure(worker, now);
        for (task, held) in &mut worker.runs {
            let Some(target) = held.target.filter(|_| held.phase == Phase::Running) else {
                continue;
            };
            let above = held.usage > target.as_millis();
            held.harmed = above.then(|| held.harmed.unwrap_or(now));
            let works = held.percent == 100 && now.since(held.progressed) > WARM_UP;
            if held.usage > 0 && works {
                let seen = target.as_millis() as f64 / held.usage as f64;
                let fresh = || HeadroomEstimate::new(now);
                let own = self.headrooms.entry(task.step.job).or_insert_with(fresh);
                self.slopes.learn(own, &held.image, seen, &exposure, now);
            }
        }
        worker.adjusted = Time::ZERO;
        placement::sum_strains(worker, &self.slopes);
    }

    /// Lets beliefs in strong effects fade, and forgets jobs that have ended.
    pub(super) fn fade_headroom(&mut self, now: Time) {
        if now.since(self.faded) >= FADE {
            self.faded = now;
            self.slopes.decay(KEPT);
            let jobs = &self.jobs;
            let live = |key: &JobKey| jobs.get(key).is_some_and(|j| j.outcome.is_none());
            self.headrooms.retain(|key, _| live(key));
        }
    }

    /// Orders the pace of filling tasks, and marks those that have to move.
    pub(super) fn pace(&mut self, orders: &mut Vec<WorkerOrder>, now: Time) {
        for (name, worker) in &mut self.workers {
            if worker.load.fillers == 0 || now.since(worker.adjusted) < ADJUST {
                continue;
            }
            worker.adjusted = now;
            let harmed = worker.runs.values().filter_map(|h| h.harmed).min();
            let still = harmed.is_some_and(|since| now.since(since) > PATIENCE);
            let paces = paces(worker, &self.slopes, &self.headrooms);
            let steepest = paces.len().saturating_sub(1);
            for (rank, (i, wanted)) in paces.into_iter().enumerate() {
                let Some((task, held)) = worker.runs.get_index_mut(i) else {
                    continue;
                };
                let suspect = harmed.is_some() && rank == steepest;
                if held.phase != Phase::Running || held.unwanted {
                    continue;
                }
                let wanted = match (still, suspect) {
                    (true, _) => 0,
                    // The estimates may be too low: what is likely to be the cause
                    // goes down until the figures are below the target.
                    (false, true) => wanted.min(held.pace / 2),
                    (false, false) => wanted,
                };
                let wanted = if wanted < LEAST_PACE { 0 } else { wanted };
                let rested = now.since(held.paced) >= RAISE_PAUSE;
                let raise = rested && (wanted == 100 || wanted >= held.pace + RAISE);
                if wanted < held.pace || (wanted > held.pace && raise) {
                    log::info!(task:% = task, worker:% = name, from = held.pace, to = wanted, still = still; "pace changed");
                    held.earlier = held.pace;
                    held.pace = wanted;
                    held.paced = now;
                    orders.push(WorkerOrder {
                        worker: name.clone(),
                        address: worker.report.address,
                        order: Order::Pace {
                            task: *task,
                            run: held.run,
                            percent: wanted,
                        },
                    });
                }
                let saves = || {
                    let job = self.jobs.get(&task.step.job)?;
                    let step = job.record.spec.steps.get(usize::from(task.step.step))?;
                    Some(step.checkpoints)
                };
                let stands = held.pace == 0 && now.since(held.paced) > MOVE_AFTER;
                if stands && !still && saves() == Some(true) {
                    log::info!(task:% = task, worker:% = name; "moving a task that stands still");
                    held.unwanted = true;
                }
            }
        }
    }
}

/// The paces, in percent, that the worker's filling tasks should have, by index
/// of the run. Those that take least headroom come first.
fn paces(worker: &Worker, slopes: &Slopes, headrooms: &Headrooms) -> Vec<(usize, u32)> {
    let mut left: Vec<f64> = worker
        .strains
        .iter()
        .map(|s| s.own(headrooms) - MARGIN)
        .collect();
    let best_effort = |(_, held): &(usize, &Held)| held.best_effort;
    let mut fillers: Vec<(usize, f64, Vec<f64>)> = worker
        .runs
        .values()
        .enumerate()
        .filter(best_effort)
        .map(|(i, held)| {
            let share = worker.share(held.size.cpu.0);
            let need = |image: &ArcStr| slopes.slope(image, &held.image).upper_estimate() * share;
            let needs: Vec<f64> = worker.strains.iter().map(|s| need(&s.image)).collect();
            let most = needs.iter().copied().fold(0.0, f64::max);
            (i, most / share.max(1e-6), needs)
        })
        .collect();
    fillers.sort_by(|(_, a, _), (_, b, _)| a.total_cmp(b));
    fillers
        .into_iter()
        .map(|(i, _, needs)| {
            let part = |(need, left): (&f64, &f64)| match *need > 0.0 {
                true => left / need,
                false => 1.0,
            };
            let part = needs.iter().zip(&left).map(part).fold(1.0, f64::min);
            let percent = (part.max(0.0) * 100.0) as u32 / PACE_STEP * PACE_STEP;
            let percent = if percent < LEAST_PACE { 0 } else { percent };
            for (need, left) in needs.iter().zip(&mut left) {
                *left -= need * f64::from(percent) / 100.0;
            }
            (i, percent)
        })
        .collect()
}

/// Shares of the worker that filling tasks used while the figures of a look
/// were measured.
fn exposure(worker: &Worker, now: Time) -> Exposure {
    let start = now - WINDOW;
    let part = |from: Time, to: Time| {
        let from = from.max(start);
        to.since(from).as_secs_f64() / WINDOW.as_secs_f64()
    };
    let mut exposure = Exposure::new();
    let mut add = |image: &ArcStr, share: f64| {
        if share > 0.0 {
            *exposure.entry(image.clone()).or_default() += share;
        }
    };
    for held in worker.runs.values().filter(|h| h.best_effort) {
        if held.phase == Phase::Starting {
            continue;
        }
        let share = worker.share(held.size.cpu.0);
        let change = (held.paced + PACE_DELAY).max(held.confirmed).min(now);
        let before = part(held.confirmed, change) * f64::from(held.earlier) / 100.0;
        let after = part(change, now) * f64::from(held.pace) / 100.0;
        add(&held.image, share * (before + after));
    }
    for trace in &worker.traces {
        add(&trace.image, trace.share * part(trace.since, trace.until));
    }
    exposure
}

impl Worker {
    /// Keeps what reports may still cover of a filling task that has ended.
    pub(super) fn trace(&mut self, held: &Held, now: Time) {
        if held.best_effort && self.load.serving > 0 && held.phase != Phase::Starting {
            self.traces.push(Trace {
                image: held.image.clone(),
                share: self.share(held.size.cpu.0) * f64::from(held.pace) / 100.0,
                since: held.confirmed,
                until: now,
            });
        }
    }
}
