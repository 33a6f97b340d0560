//! Mitigation of interference with services, and adjustment of limits on changed
//! workers.

use super::PlacementPolicy;
use super::facts::{count, decision, permille, span};
use crate::model::{Cause, Millicores, Resources, ServiceName, Span, TaskId};
use crate::place::mitigation::{EvictionCandidate, Mitigation, cheapest};
use crate::shard::{Choice, Decision, ShardView, WorkerView};

/// Part of its processor limit that a throttled task keeps: numerator and
/// denominator.
const THROTTLE_RATIO: (u64, u64) = (1, 2);

/// Minimum processor limit of a throttled task: enough to write a checkpoint.
const MIN_THROTTLED_MILLICORES: u64 = 100;

/// Classes whose effect on the service is below this share of the largest one are
/// neither throttled nor evicted.
const MIN_EFFECT_RATIO: f64 = 0.3;

/// How long no batch task starts on a worker after a mitigation there: until
/// reports show its effect.
const BATCH_PAUSE: Span = Span::from_secs(10);

/// A mitigation to be applied for a service on a worker.
#[derive(Debug, Clone)]
pub(super) struct PendingMitigation {
    /// Position of the worker in the owner's view.
    pub(super) worker: usize,
    pub(super) service: ServiceName,
    pub(super) action: Mitigation,
    pub(super) slowdown: f64,
    pub(super) allowed: f64,
    /// Age of the latency report when it was sent.
    pub(super) report_age: Span,
}

impl PlacementPolicy {
    pub(super) fn adjust_running(&mut self, view: &ShardView<'_>, decisions: &mut Vec<Decision>) {
        for pending in std::mem::take(&mut self.pending_mitigations) {
            if let Some((_, worker)) = view.workers.get_index(pending.worker) {
                self.apply_mitigation(view, worker, &pending, decisions);
            }
        }
        for name in std::mem::take(&mut self.dirty) {
            if let Some((index, _, worker)) = view.workers.get_full(&name) {
                self.adjust_limits(view, index, worker, decisions);
            }
        }
    }

    fn apply_mitigation(
        &mut self,
        view: &ShardView<'_>,
        worker: &WorkerView,
        pending: &PendingMitigation,
        decisions: &mut Vec<Decision>,
    ) {
        self.workers[pending.worker].batch_paused = view.now + BATCH_PAUSE;
        if pending.action == Mitigation::Unthrottle {
            self.unthrottle(worker, pending, decisions);
            return;
        }
        let likely_causes = self.likely_causes(view, worker, pending);
        let excess = pending.slowdown - pending.allowed;
        let part = match pending.action {
            Mitigation::Throttle => 1.0 - THROTTLE_RATIO.0 as f64 / THROTTLE_RATIO.1 as f64,
            Mitigation::Evict | Mitigation::Unthrottle => 1.0,
        };
        let effects: Vec<f64> = likely_causes.iter().map(|(_, effect)| *effect).collect();
        let estimated = effects.iter().sum::<f64>() > 0.0;
        // Without estimates, a quarter of the tasks is mitigated at a time.
        let quarter = likely_causes.len().div_ceil(4);
        let effect = |c: &EvictionCandidate| {
            let found = likely_causes.iter().find(|(s, _)| s.task == c.task);
            found.map_or(0.0, |(_, effect)| *effect)
        };
        let enough = |taken: &[EvictionCandidate]| match estimated {
            true => taken.iter().map(effect).sum::<f64>() * part >= excess,
            false => taken.len() >= quarter,
        };
        let all = likely_causes.iter().map(|(c, _)| c.clone()).collect();
        for victim in cheapest(all, enough) {
            let mut facts = vec![
                permille("slowdown", pending.slowdown),
                permille("slowdown-allowed", pending.allowed),
                span("report-age", pending.report_age),
                permille("task-effect", effect(&victim)),
                span("progress-lost", victim.lost_time),
            ];
            facts.push(count("suspected-tasks", likely_causes.len()));
            decisions.extend(self.mitigate_task(&victim, pending, facts));
        }
    }

    /// Throttles or evicts one task.
    fn mitigate_task(
        &mut self,
        victim: &EvictionCandidate,
        pending: &PendingMitigation,
        facts: Vec<crate::model::Fact>,
    ) -> Option<Decision> {
        let task = victim.task.clone();
        if pending.action == Mitigation::Evict {
            return Some(decision(Choice::Evict { task }, Cause::Interference, facts));
        }
        let entry = self.workers[pending.worker].tasks.get_mut(&task)?;
        if entry.throttled.is_some() {
            return None;
        }
        let limit = throttled_limit(&victim.limit);
        entry.throttled = Some((victim.limit, pending.service.clone()));
        Some(decision(
            Choice::Resize { task, limit },
            Cause::Interference,
            facts,
        ))
    }

    /// Returns the batch tasks of the classes with the largest effect on the service
    /// per core, with the expected slowdown by each task.
    fn likely_causes(
        &self,
        view: &ShardView<'_>,
        worker: &WorkerView,
        pending: &PendingMitigation,
    ) -> Vec<(EvictionCandidate, f64)> {
        let tracked = &self.workers[pending.worker];
        let rate = |task: &TaskId| {
            tracked.tasks.get(task).map_or(0.0, |entry| {
                self.interference
                    .estimate(&pending.service, &entry.class)
                    .mean
            })
        };
        let all: Vec<_> = self
            .evictable_batch(view.now, pending.worker, worker)
            .into_iter()
            .map(|c| {
                let rate = rate(&c.task);
                (c, rate)
            })
            .collect();
        let max_rate = all.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
        all.into_iter()
            .filter(|(_, rate)| *rate >= MIN_EFFECT_RATIO * max_rate)
            .map(|(c, rate)| {
                let cores = c.limit.cpu.0 as f64 / 1_000.0;
                (c, rate * cores)
            })
            .collect()
    }

    /// Restores the processor limits of tasks that were throttled for the service.
    fn unthrottle(
        &mut self,
        worker: &WorkerView,
        pending: &PendingMitigation,
        decisions: &mut Vec<Decision>,
    ) {
        for assigned in worker.assigned.iter().filter(|a| !a.stopping) {
            let tracked = &mut self.workers[pending.worker];
            let Some(entry) = tracked.tasks.get_mut(&assigned.task) else {
                continue;
            };
            let Some((before, service)) = entry.throttled.take() else {
                continue;
            };
            let growth = before.saturating_sub(&assigned.limit);
            if service != pending.service || !self.index.reserve(pending.worker, &growth) {
                entry.throttled = Some((before, service));
                continue;
            }
            let limit = Resources {
                cpu: before.cpu,
                ..assigned.limit
            };
            let facts = vec![
                permille("slowdown", pending.slowdown),
                permille("slowdown-allowed", pending.allowed),
                span("report-age", pending.report_age),
            ];
            let choice = Choice::Resize {
                task: assigned.task.clone(),
                limit,
            };
            decisions.push(decision(choice, Cause::InterferenceEnded, facts));
        }
    }
}

/// Returns the limit of a throttled task.
pub(super) fn throttled_limit(limit: &Resources) -> Resources {
    let (num, den) = THROTTLE_RATIO;
    let cpu = (limit.cpu.0 * num / den).max(MIN_THROTTLED_MILLICORES);
    Resources {
        cpu: Millicores(cpu.min(limit.cpu.0)),
        ..*limit
    }
}
