//! Assessment of the effects of placing a task on a worker.

use super::PlacementPolicy;
use super::tracked::TrackedTask;
use crate::model::{Attempt, JobSpec, Priority, Resources, TaskId, Time};
use crate::place::attribution::MAX_PROBATION_TASKS;
use crate::place::fair_queue::STARVATION_AGE;
use crate::place::selection::Assessment;
use crate::shard::ShardView;

/// A class whose effect is unknown may run on one in this many workers with
/// services at a time. Reports arrive within seconds, so a few workers are enough.
const EXPLORATION_DIVISOR: usize = 16;

/// Number of standard deviations added to the expected slowdown by an unknown
/// class before comparing it with the allowed slowdown. A small task stays below
/// it and need not wait for a trial, which takes minutes at a fraction of a core.
const UNKNOWN_CLASS_DEVIATIONS: f64 = 2.0;

/// A task to be placed, with what applies to all workers.
pub(super) struct PlacementContext<'a> {
    pub(super) now: Time,
    pub(super) task: &'a TaskId,
    pub(super) job: &'a JobSpec,
    pub(super) need: Resources,
    /// Whether the job failed on any worker recently.
    job_failed: bool,
    /// Whether the class may run on another worker if its effect is unknown.
    may_explore: bool,
    /// Whether the task waited for `STARVATION_AGE`: it may then slow a service.
    starving: bool,
    /// Number of workers with services on which the class runs.
    class_spread: usize,
}

impl<'a> PlacementContext<'a> {
    pub(super) fn new(
        policy: &PlacementPolicy,
        now: Time,
        (task, job): (&'a TaskId, &'a JobSpec),
        since: Time,
        need: Resources,
    ) -> Self {
        let class_spread = policy
            .class_spread
            .get(&job.task.class)
            .copied()
            .unwrap_or(0);
        Self {
            now,
            task,
            job,
            need,
            job_failed: policy.attribution.has_failures(&job.name),
            may_explore: class_spread < (policy.workers.len() / EXPLORATION_DIVISOR).max(1),
            starving: now.since(since) >= STARVATION_AGE,
            class_spread,
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
    /// Returns the effects of placing the task on a worker, or `None` if the worker
    /// must not get it.
    pub(super) fn assess(
        &self,
        context: &PlacementContext<'_>,
        worker: usize,
    ) -> Option<Assessment> {
        let (name, tracked) = self.workers.get_index(worker)?;
        if tracked.is_held_for_other(context.now, context.task) {
            return None;
        }
        let probation = self.attribution.is_on_probation(name);
        if probation && tracked.task_count >= MAX_PROBATION_TASKS {
            return None;
        }
        let slowdown = if context.is_urgent() {
            self.expected_slowdown(context, worker)
        } else {
            if !tracked.slow_start.may_start(context.now) || context.now < tracked.batch_paused {
                return None;
            }
            self.acceptable_slowdown(context, worker)?
        };
        Some(Assessment {
            slowdown,
            starts: tracked.starts,
            job_failed: context.job_failed
                && self.attribution.has_failed_on(&context.job.name, name),
        })
    }

    /// Highest expected slowdown of the worker's services if the task runs there.
    fn expected_slowdown(&self, context: &PlacementContext<'_>, worker: usize) -> f64 {
        let class = &context.job.task.class;
        let cores = context.cores();
        let services = self.workers[worker].services.iter();
        services
            .map(|s| s.mean + cores * self.interference.estimate(&s.service, class).mean)
            .fold(0.0, f64::max)
    }

    /// Like `expected_slowdown`, but `None` if a service would probably be slowed
    /// more than allowed, or if the effect of the class is unknown, may be too
    /// large, and is being tried on other workers. A starving task doesn't wait for
    /// that trial, and if its class runs beside no service it may start anyway;
    /// mitigation then protects the services.
    fn acceptable_slowdown(&self, context: &PlacementContext<'_>, worker: usize) -> Option<f64> {
        let class = &context.job.task.class;
        let cores = context.cores();
        let tracked = &self.workers[worker];
        let mut worst: f64 = 0.0;
        let reporting = tracked
            .services
            .iter()
            .filter(|s| !s.lacks_reports(context.now));
        for service in reporting {
            let estimate = self.interference.estimate(&service.service, class);
            let here = tracked
                .history
                .current()
                .is_some_and(|m| m.contains_key(class));
            let mean = service.mean + cores * estimate.mean;
            let deviation = (service.variance + cores * cores * estimate.variance).sqrt();
            let allowed = self
                .interference
                .allowed_slowdown(&service.service, service.deadline);
            if estimate.is_unknown() {
                let risky = mean + UNKNOWN_CLASS_DEVIATIONS * deviation > allowed;
                let no_trial = !context.may_explore && !context.starving;
                if risky && (here || no_trial || tracked.starts > 0) {
                    return None;
                }
            } else if mean + deviation > allowed && !(context.starving && context.class_spread == 0)
            {
                return None;
            }
            worst = worst.max(mean);
        }
        Some(worst)
    }

    /// Charges a start to the task's team and adds it to the worker's class mix.
    pub(super) fn record_start(
        &mut self,
        view: &ShardView<'_>,
        context: &PlacementContext<'_>,
        worker: usize,
    ) {
        let stored = view.state.tasks.get(context.task);
        let attempt = stored.map_or(Attempt(1), |t| t.attempt.next());
        let mut entry = TrackedTask::new(view.now, attempt, context.job);
        entry.checkpoint = stored.and_then(|t| t.checkpoint.clone());
        entry.charged = context.need;
        self.queue.charge(&entry.team, &entry.charged);
        let class = entry.class.clone();
        let tracked = &mut self.workers[worker];
        tracked.tasks.insert(context.task.clone(), entry);
        tracked.starts += 1;
        tracked.task_count += 1;
        tracked.slow_start.record_start();
        if !tracked.services.is_empty() {
            let mut mix = tracked.history.current().cloned().unwrap_or_default();
            *mix.entry(class).or_default() += context.cores();
            self.update_mix(view.now, worker, mix);
        }
    }
}
