//! Handling of events between passes.

use super::PlacementPolicy;
use super::mitigate::PendingMitigation;
use crate::journal::AttemptOutcome;
use crate::model::{JobSpec, Resources, Span, TaskId, Time, WorkerName};
use crate::place::LatencyReport;
use crate::place::interference::Observation;
use crate::shard::PolicyEvent;
use crate::worker::{Phase, TaskUsage};

/// Minimum age of a class mix for a latency to be attributed to it: the interval
/// that one report covers.
const MIN_MIX_AGE: Span = Span::from_secs(1);

/// Number of reports of one attempt after which its peak use is added to the
/// estimate of its class, so that long-running tasks contribute as well.
const PEAK_REPORTS: u32 = 16;

impl PlacementPolicy {
    pub(super) fn handle_event(&mut self, now: Time, event: PolicyEvent<'_>) {
        match event {
            // The next pass compares revisions.
            PolicyEvent::ConfigApplied(_) => {}
            PolicyEvent::UsageReported { worker, usage, .. } => self.record_usage(worker, usage),
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
                self.record_outcome(now, task, worker, outcome, phase);
                self.forget_assigned(now, task, worker);
            }
            PolicyEvent::LatencyReported(report) => self.record_latency(now, report),
            PolicyEvent::WorkerRestarted(worker) => {
                self.dirty.insert(worker.clone());
            }
        }
    }

    fn record_usage(&mut self, worker: &WorkerName, usage: &[TaskUsage]) {
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        for report in usage {
            if let Some(entry) = tracked.tasks.get_mut(&report.task)
                && entry.attempt == report.attempt
            {
                entry.report(report);
                if entry.peak.reports == PEAK_REPORTS {
                    self.sizes
                        .observe(&entry.class, &entry.declared, &entry.peak.used);
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
            let doubled = self
                .sizes
                .record_limit_exceeded(class, &job.task.size, &limit);
            self.doubled_limits.insert(task.clone(), doubled);
            return;
        }
        let tracked = self.workers.get(worker);
        let peak = tracked.and_then(|w| w.tasks.get(task)).map(|t| t.peak);
        if let Some(peak) = peak.filter(|p| p.reports > 0 && p.reports < PEAK_REPORTS) {
            self.sizes.observe(class, &job.task.size, &peak.used);
        }
        if outcome == AttemptOutcome::Success {
            self.doubled_limits.swap_remove(task);
        }
    }

    fn record_outcome(
        &mut self,
        now: Time,
        task: &TaskId,
        worker: &WorkerName,
        outcome: AttemptOutcome,
        phase: Option<Phase>,
    ) {
        match (outcome, phase) {
            (AttemptOutcome::Success, _) => self.attribution.record_success(now, worker, task),
            // Too small a limit is attributed to neither the worker nor the job.
            (AttemptOutcome::Failure, Some(Phase::OverLimit)) => {}
            (AttemptOutcome::Failure, _) => self.attribution.record_failure(now, worker, task),
            (AttemptOutcome::Eviction | AttemptOutcome::Loss | AttemptOutcome::NotStarted, _) => {}
        }
    }

    fn record_latency(&mut self, now: Time, report: &LatencyReport) {
        let Some((index, _, tracked)) = self.workers.get_full_mut(&report.worker) else {
            return;
        };
        let Some(local) = tracked
            .services
            .iter_mut()
            .find(|s| s.service == report.service)
        else {
            return;
        };
        local.last_report = now;
        let measured = now - report.age;
        let empty = Default::default();
        let mix = tracked.history.at(measured, MIN_MIX_AGE);
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
        let allowed = self
            .interference
            .allowed_slowdown(&report.service, local.deadline);
        let state = tracked
            .mitigations
            .entry(report.service.clone())
            .or_default();
        if let Some(action) = state.observe(now, measured, slowdown, allowed) {
            self.pending_mitigations.push(PendingMitigation {
                worker: index,
                service: report.service.clone(),
                action,
                slowdown,
                allowed,
                report_age: report.age,
            });
        }
    }
}
