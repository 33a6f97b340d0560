//! What the policy learns between decisions.

use super::PlacementPolicy;
use super::react::Order;
use crate::journal::AttemptOutcome;
use crate::model::{JobSpec, Resources, Span, TaskId, Time, WorkerName};
use crate::place::LatencyReport;
use crate::place::interference::Observation;
use crate::shard::PolicyEvent;
use crate::worker::{Phase, TaskUsage};

/// A mix of classes has to be this old for a latency to be attributed to it: the
/// interval that a report covers.
const STEADY: Span = Span::from_secs(1);

/// Reports of one attempt after which its peak counts for its class, so that
/// tasks without an end teach something too.
const PEAK_AFTER: u32 = 16;

impl PlacementPolicy {
    pub(super) fn take_news(&mut self, now: Time, news: PolicyEvent<'_>) {
        match news {
            // Compared by revision in the next pass.
            PolicyEvent::ConfigApplied(_) => {}
            PolicyEvent::UsageReported { worker, usage, .. } => self.take_usage(worker, usage),
            PolicyEvent::AttemptEnded {
                task,
                job,
                worker,
                limit,
                outcome,
                phase,
                ..
            } => {
                self.learn_size(task, worker, job, limit, (outcome, phase));
                self.learn_fate(now, task, worker, outcome, phase);
                self.forget_assigned(now, task, worker);
            }
            PolicyEvent::LatencyReported(report) => self.take_latency(now, report),
            PolicyEvent::WorkerRestarted(worker) => {
                self.dirty.insert(worker.clone());
            }
        }
    }

    fn take_usage(&mut self, worker: &WorkerName, usage: &[TaskUsage]) {
        let Some(known) = self.workers.get_mut(worker) else {
            return;
        };
        for report in usage {
            if let Some(seen) = known.seen.get_mut(&report.task)
                && seen.attempt == report.attempt
            {
                seen.report(report);
                if seen.peak.reports == PEAK_AFTER {
                    self.sizes
                        .observe(&seen.class, &seen.declared, &seen.peak.used);
                }
            }
        }
        self.dirty.insert(worker.clone());
    }

    fn learn_size(
        &mut self,
        task: &TaskId,
        worker: &WorkerName,
        job: &JobSpec,
        limit: Resources,
        (outcome, phase): (AttemptOutcome, Option<Phase>),
    ) {
        let class = &job.task.class;
        if phase == Some(Phase::OverLimit) {
            let doubled = self.sizes.exceeded(class, &job.task.size, &limit);
            self.doubled.insert(task.clone(), doubled);
            return;
        }
        let known = self.workers.get(worker);
        let peak = known.and_then(|k| k.seen.get(task)).map(|t| t.peak);
        if let Some(peak) = peak.filter(|p| p.reports > 0 && p.reports < PEAK_AFTER) {
            self.sizes.observe(class, &job.task.size, &peak.used);
        }
        if outcome == AttemptOutcome::Success {
            self.doubled.swap_remove(task);
        }
    }

    fn learn_fate(
        &mut self,
        now: Time,
        task: &TaskId,
        worker: &WorkerName,
        outcome: AttemptOutcome,
        phase: Option<Phase>,
    ) {
        match (outcome, phase) {
            (AttemptOutcome::Success, _) => self.attribution.succeeded(now, worker, task),
            // A limit that was too small is the fault of neither worker nor job.
            (AttemptOutcome::Failure, Some(Phase::OverLimit)) => {}
            (AttemptOutcome::Failure, _) => self.attribution.failed(now, worker, task),
            (AttemptOutcome::Eviction | AttemptOutcome::Loss | AttemptOutcome::NotStarted, _) => {}
        }
    }

    fn take_latency(&mut self, now: Time, report: &LatencyReport) {
        let Some((index, _, known)) = self.workers.get_full_mut(&report.worker) else {
            return;
        };
        let Some(served) = known
            .services
            .iter_mut()
            .find(|s| s.service == report.service)
        else {
            return;
        };
        served.heard = now;
        let measured = now - report.age;
        let empty = Default::default();
        let mix = known.history.at(measured, STEADY);
        let observation = Observation {
            service: &report.service,
            mean: report.mean,
            count: report.count,
            load: report.load,
            mix: mix.unwrap_or(&empty),
        };
        let slowdown = match mix {
            Some(_) => self.interference.learn(&observation),
            None => self.interference.compare(&observation),
        };
        let Some(slowdown) = slowdown else {
            return;
        };
        let allowed = self.interference.allowed(&report.service, served.deadline);
        let reaction = known.reactions.entry(report.service.clone()).or_default();
        if let Some(act) = reaction.observe(now, measured, slowdown, allowed) {
            self.orders.push(Order {
                worker: index,
                service: report.service.clone(),
                act,
                slowdown,
                allowed,
                measured: report.age,
            });
        }
    }
}
