//! Slows or moves tasks that fill where they disturb tasks that serve.
//!
//! Answers the load of batch work that uses spare processor time beside serving
//! tasks with a bound for the tail of their response times. How much one disturbs
//! another depends on the pair of images, so it is learned from the looks, and
//! only what is likely to be the cause is slowed: it moves if it has a
//! checkpoint, and else is paced down. If the tail stays above its bound, all
//! filling tasks of the worker stand still.

use super::place;
use super::worker::{Held, Phase, Strain, Worker};
use super::{Dispatch, Dispatcher, Order};
use crate::model::{ServiceName, Span, Time, WorkerName};
use crate::place::interference::{Interference, Mix, Observation};

/// Share of the target, in percent, above which filling tasks are slowed.
const NEAR_TARGET: u64 = 85;

/// Share of the target, in percent, below which they recover.
const WELL_BELOW: u64 = 60;

/// Part of the strongest likely effect at which another task is slowed too.
const SUSPECT: f64 = 0.3;

/// Likely effect, as a share of what is bearable, below which a task is not the
/// cause of a high tail.
const INNOCENT: f64 = 0.25;

/// Pace in percent below which a task is better moved than slowed: a move costs
/// a stop and the restoring of a checkpoint, about half a second.
const WORTHWHILE: u32 = 35;

/// Percentage points by which a pace recovers.
const RECOVERY: u32 = 25;

/// Lowest pace to which a task recovers whose effect is known to be strong.
const LEAST_PACE: f64 = 10.0;

/// Time until a change shows in the figures, which cover half a second.
const SETTLE: Span = Span::from_millis(700);

/// Time above the target after which all filling tasks stand still, whatever
/// the estimates say. Serving tasks may be above it for 4 s; a stop of the
/// likely causes needs up to 1.5 s until it shows.
const PATIENCE: Span = Span::from_millis(2_000);

/// Requests that one figure is taken to cover.
const REQUESTS: u32 = 100;

/// Tail, in targets, up to which it swings with the load of the serving task
/// alone. Only what is above it is taken for an effect of others: the swings
/// last for seconds and would be blamed on whatever runs at that time.
const SWING: f64 = 0.65;

/// Usual latency in the model of a serving task that nothing disturbs.
const CALM: Span = Span::from_secs(1);

/// Part of each estimate that is kept for a second, and the time between fades.
const KEPT: f64 = 0.995;
const FADE: Span = Span::from_secs(1);

impl Dispatcher {
    /// Learns from a look how much filling tasks slow serving ones.
    pub(super) fn learn_interference(&mut self, name: &WorkerName, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let mut mix = Mix::default();
        for held in worker.runs.values().filter(|h| h.fills) {
            let class = place::class_of(Some(&held.image));
            *mix.entry(class).or_default() += worker.units(held.usage);
        }
        let steady = now.since(worker.remixed) > SETTLE;
        for held in worker.runs.values_mut() {
            let Some(target) = held.target.filter(|_| held.phase == Phase::Running) else {
                continue;
            };
            let above = held.usage > target.as_millis();
            held.harmed = above.then(|| held.harmed.unwrap_or(now));
            if steady && held.usage > 0 && now.since(held.confirmed) > SETTLE {
                let tail = held.usage as f64 / target.as_millis().max(1) as f64;
                let excess = (tail - SWING).max(0.0);
                self.interference.learn(&Observation {
                    service: &ServiceName::new(held.image.clone()),
                    mean: Span::from_micros((CALM.as_micros() as f64 * (1.0 + excess)) as u64),
                    count: REQUESTS,
                    load: 0,
                    mix: &mix,
                });
            }
        }
        place::sum_strains(worker, &self.interference);
    }

    /// Lets estimates fade.
    pub(super) fn fade_interference(&mut self, now: Time) {
        if now.since(self.faded) >= FADE {
            self.faded = now;
            self.interference.fade(KEPT);
        }
    }

    /// Orders the pace of filling tasks, and marks those that have to move.
    pub(super) fn pace(&mut self, orders: &mut Vec<Dispatch>, now: Time) {
        for (name, worker) in &mut self.workers {
            if worker.load.serving == 0 || worker.load.fillers == 0 {
                continue;
            }
            let tail = worker.worst_tail();
            let harmed = worker.runs.values().filter_map(|h| h.harmed).min();
            let still = harmed.is_some_and(|since| now.since(since) > PATIENCE);
            if !still && now.since(worker.disturbed) < SETTLE {
                continue;
            }
            let effects = effects(worker, &self.interference);
            let strongest = effects.iter().copied().fold(0.0, f64::max);
            let mut disturbed = false;
            for (i, effect) in effects.into_iter().enumerate() {
                let Some((task, held)) = worker.runs.get_index_mut(i) else {
                    continue;
                };
                if !held.fills || held.phase != Phase::Running || held.unwanted {
                    continue;
                }
                let suspect = effect >= SUSPECT * strongest && effect > INNOCENT;
                let bearable = (100.0 / effect.max(0.01)).clamp(LEAST_PACE, 100.0) as u32;
                let percent = if still {
                    0
                } else if tail > 100 && suspect {
                    match bearable {
                        ..WORTHWHILE => 0,
                        _ => bearable.min(held.pace / 2),
                    }
                } else if tail > NEAR_TARGET && suspect {
                    held.pace / 2
                } else if tail < NEAR_TARGET && effect <= INNOCENT {
                    100
                } else if tail < WELL_BELOW && now.since(held.paced) >= SETTLE {
                    (held.pace + RECOVERY).min(bearable).max(held.pace)
                } else {
                    held.pace
                };
                if percent == held.pace {
                    continue;
                }
                let saves = self
                    .jobs
                    .get(&task.step.job)
                    .and_then(|j| j.record.work.steps.get(usize::from(task.step.step)))
                    .is_some_and(|s| s.checkpoints);
                log::info!(task:% = task, worker:% = name, from = held.pace, to = percent, moved = saves && percent == 0 && suspect, tail_percent = tail, effect = effect; "pace changed");
                disturbed |= percent < held.pace;
                held.unwanted |= saves && percent == 0 && suspect;
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
            if disturbed {
                worker.disturbed = now;
                worker.remixed = now;
            }
        }
    }
}

/// The likely effect of each run on the serving tasks that are worst off, as a
/// share of what these bear; 0 for runs that don't fill.
fn effects(worker: &Worker, known: &Interference) -> Vec<f64> {
    let suffering = worker.strains.iter().any(|s| s.tail > NEAR_TARGET);
    let effect = |held: &Held| {
        if !held.fills {
            return 0.0;
        }
        let class = place::class_of(Some(&held.image));
        let units = worker.units(held.demand());
        let on = |s: &Strain| {
            let estimate = known.estimate(&s.image, &class);
            (estimate.mean + estimate.deviation()) * units / place::BEARABLE
        };
        let suffers = |s: &&Strain| s.tail > NEAR_TARGET || !suffering;
        worker
            .strains
            .iter()
            .filter(suffers)
            .map(on)
            .fold(0.0, f64::max)
    };
    worker.runs.values().map(effect).collect()
}
