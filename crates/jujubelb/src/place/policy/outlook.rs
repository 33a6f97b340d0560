//! What placing a task on a worker would mean.

use super::PlacementPolicy;
use super::known::Seen;
use crate::model::{Attempt, JobSpec, Priority, Resources, TaskId, Time};
use crate::place::attribution::PROBATION_TASKS;
use crate::place::choose::Outlook;
use crate::place::fair::STARVING;
use crate::shard::ShardView;

/// Workers with services on which a class of unknown effect may run at a time:
/// one in this many. Its reports come within seconds, so a few are enough.
const EXPLORED_SHARE: usize = 16;

/// Standard deviations by which the effect of an unknown class may exceed the
/// expectation. A small task of an unknown class can't do harm by this rule and
/// need not wait for a trial, which takes minutes for a fraction of a core.
const UNKNOWN_DEVIATIONS: f64 = 2.0;

/// A task that is to be placed.
pub(super) struct Placing<'a> {
    pub(super) now: Time,
    pub(super) task: &'a TaskId,
    pub(super) job: &'a JobSpec,
    pub(super) need: Resources,
    /// Whether the job has failed anywhere recently.
    failed: bool,
    /// Whether one more worker may run the class if its effect is unknown.
    explore: bool,
    /// Whether the task waited so long that it runs somewhere even if a service suffers.
    starving: bool,
    /// Workers that run the class.
    spread: usize,
}

impl<'a> Placing<'a> {
    pub(super) fn new(
        policy: &PlacementPolicy,
        now: Time,
        (task, job): (&'a TaskId, &'a JobSpec),
        since: Time,
        need: Resources,
    ) -> Self {
        let spread = policy.spread.get(&job.task.class).copied().unwrap_or(0);
        Self {
            now,
            task,
            job,
            need,
            failed: policy.attribution.has_failures(&job.name),
            explore: spread < (policy.workers.len() / EXPLORED_SHARE).max(1),
            starving: now.since(since) >= STARVING,
            spread,
        }
    }

    fn cores(&self) -> f64 {
        self.need.cpu.0 as f64 / 1_000.0
    }

    fn is_urgent(&self) -> bool {
        self.job.task.priority == Priority::Urgent
    }
}

impl PlacementPolicy {
    /// `None` if the worker must not get the task.
    pub(super) fn outlook(&self, placing: &Placing<'_>, worker: usize) -> Option<Outlook> {
        let (name, known) = self.workers.get_index(worker)?;
        if known.is_held(placing.now, placing.task) {
            return None;
        }
        let probation = self.attribution.is_on_probation(name);
        if probation && known.tasks >= PROBATION_TASKS {
            return None;
        }
        let slowdown = if placing.is_urgent() {
            self.expected(placing, worker)
        } else {
            if !known.ramp.may_start(placing.now) || placing.now < known.quiet {
                return None;
            }
            self.bearable(placing, worker)?
        };
        Some(Outlook {
            slowdown,
            starts: known.starts,
            failed: placing.failed && self.attribution.has_failed_on(&placing.job.name, name),
        })
    }

    /// Expected slowdown of the worker's services with the task.
    fn expected(&self, placing: &Placing<'_>, worker: usize) -> f64 {
        let class = &placing.job.task.class;
        let cores = placing.cores();
        let served = self.workers[worker].services.iter();
        served
            .map(|s| s.mean + cores * self.interference.estimate(&s.service, class).mean)
            .fold(0.0, f64::max)
    }

    /// The same, or `None` if a service would probably suffer more than it may,
    /// or if the effect of the class is unknown, may be too much, and is being
    /// tried elsewhere. A starving task is spared the wait for the trial, and a
    /// class that runs nowhere gets one worker; the reaction protects the service.
    fn bearable(&self, placing: &Placing<'_>, worker: usize) -> Option<f64> {
        let class = &placing.job.task.class;
        let cores = placing.cores();
        let known = &self.workers[worker];
        let mut worst: f64 = 0.0;
        let heard = known.services.iter().filter(|s| !s.is_silent(placing.now));
        for served in heard {
            let estimate = self.interference.estimate(&served.service, class);
            let here = known.history.last().is_some_and(|m| m.contains_key(class));
            let mean = served.mean + cores * estimate.mean;
            let deviation = (served.variance + cores * cores * estimate.variance).sqrt();
            let allowed = self.interference.allowed(&served.service, served.deadline);
            if estimate.is_unknown() {
                let risky = mean + UNKNOWN_DEVIATIONS * deviation > allowed;
                let tried = !placing.explore && !placing.starving;
                if risky && (here || tried || known.starts > 0) {
                    return None;
                }
            } else if mean + deviation > allowed && !(placing.starving && placing.spread == 0) {
                return None;
            }
            worst = worst.max(mean);
        }
        Some(worst)
    }

    /// Charges a start to the task's team and counts it in the worker's mix.
    pub(super) fn remember(&mut self, view: &ShardView<'_>, placing: &Placing<'_>, worker: usize) {
        let stored = view.state.tasks.get(placing.task);
        let attempt = stored.map_or(Attempt(1), |t| t.attempt.next());
        let mut seen = Seen::new(view.now, attempt, placing.job);
        seen.checkpoint = stored.and_then(|t| t.checkpoint.clone());
        seen.charged = placing.need;
        self.queue.charge(&seen.team, &seen.charged);
        let class = seen.class.clone();
        let known = &mut self.workers[worker];
        known.seen.insert(placing.task.clone(), seen);
        known.starts += 1;
        known.tasks += 1;
        known.ramp.started();
        if !known.services.is_empty() {
            let mut mix = known.history.last().cloned().unwrap_or_default();
            *mix.entry(class).or_default() += placing.cores();
            self.sync_mix(view.now, worker, mix);
        }
    }
}
