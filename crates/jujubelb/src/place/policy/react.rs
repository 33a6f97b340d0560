//! Reaction on each worker whose tasks or use changed, and to services that suffer.

use super::PlacementPolicy;
use super::facts::{count, decision, permille, span};
use crate::model::{Cause, Millicores, Resources, ServiceName, Span, TaskId};
use crate::place::reaction::{Act, Candidate, cheapest};
use crate::shard::{Choice, Decision, ShardView, WorkerView};

/// Part of its processor limit that a throttled task keeps.
const THROTTLED: (u64, u64) = (1, 2);

/// Least processor limit of a throttled task: enough to write a checkpoint.
const THROTTLED_LEAST: u64 = 100;

/// Classes with less than this share of the largest effect on the service are
/// left alone.
const SUSPECT: f64 = 0.3;

/// How long no batch task starts on a worker after a step there: until reports
/// show its effect.
const QUIET: Span = Span::from_secs(10);

/// A step to be taken for a service on a worker.
#[derive(Debug, Clone)]
pub(super) struct Order {
    pub(super) worker: usize,
    pub(super) service: ServiceName,
    pub(super) act: Act,
    pub(super) slowdown: f64,
    pub(super) allowed: f64,
    /// Age of the report.
    pub(super) measured: Span,
}

impl PlacementPolicy {
    pub(super) fn react(&mut self, view: &ShardView<'_>, decisions: &mut Vec<Decision>) {
        for order in std::mem::take(&mut self.orders) {
            if let Some((_, worker)) = view.workers.get_index(order.worker) {
                self.obey(view, worker, &order, decisions);
            }
        }
        for name in std::mem::take(&mut self.dirty) {
            if let Some((index, _, worker)) = view.workers.get_full(&name) {
                self.fit(view, index, worker, decisions);
            }
        }
    }

    fn obey(
        &mut self,
        view: &ShardView<'_>,
        worker: &WorkerView,
        order: &Order,
        decisions: &mut Vec<Decision>,
    ) {
        self.workers[order.worker].quiet = view.now + QUIET;
        if order.act == Act::Unthrottle {
            self.unthrottle(worker, order, decisions);
            return;
        }
        let suspects = self.suspects(view, worker, order);
        let excess = order.slowdown - order.allowed;
        let part = match order.act {
            Act::Throttle => 1.0 - THROTTLED.0 as f64 / THROTTLED.1 as f64,
            Act::Evict | Act::Unthrottle => 1.0,
        };
        let effects: Vec<f64> = suspects.iter().map(|(_, effect)| *effect).collect();
        let known = effects.iter().sum::<f64>() > 0.0;
        // Without any estimate a quarter of the tasks is taken at a time.
        let quarter = suspects.len().div_ceil(4);
        let effect = |c: &Candidate| {
            let found = suspects.iter().find(|(s, _)| s.task == c.task);
            found.map_or(0.0, |(_, effect)| *effect)
        };
        let enough = |taken: &[Candidate]| match known {
            true => taken.iter().map(effect).sum::<f64>() * part >= excess,
            false => taken.len() >= quarter,
        };
        let all = suspects.iter().map(|(c, _)| c.clone()).collect();
        for victim in cheapest(all, enough) {
            let mut facts = vec![
                permille("slowdown", order.slowdown),
                permille("slowdown-allowed", order.allowed),
                span("report-age", order.measured),
                permille("task-effect", effect(&victim)),
                span("progress-lost", victim.lost),
            ];
            facts.push(count("suspected-tasks", suspects.len()));
            decisions.extend(self.step(&victim, order, facts));
        }
    }

    /// Throttles or evicts one task.
    fn step(
        &mut self,
        victim: &Candidate,
        order: &Order,
        facts: Vec<crate::model::Fact>,
    ) -> Option<Decision> {
        let task = victim.task.clone();
        if order.act == Act::Evict {
            return Some(decision(Choice::Evict { task }, Cause::Interference, facts));
        }
        let seen = self.workers[order.worker].seen.get_mut(&task)?;
        if seen.throttled.is_some() {
            return None;
        }
        let limit = throttled(&victim.limit);
        seen.throttled = Some((victim.limit, order.service.clone()));
        Some(decision(
            Choice::Resize { task, limit },
            Cause::Interference,
            facts,
        ))
    }

    /// Batch tasks of the classes with the largest effect on the service, with
    /// the effect of each task.
    fn suspects(
        &self,
        view: &ShardView<'_>,
        worker: &WorkerView,
        order: &Order,
    ) -> Vec<(Candidate, f64)> {
        let known = &self.workers[order.worker];
        let rate = |task: &TaskId| {
            known.seen.get(task).map_or(0.0, |seen| {
                self.interference.estimate(&order.service, &seen.class).mean
            })
        };
        let all: Vec<_> = self
            .batch_on(view.now, order.worker, worker)
            .into_iter()
            .map(|c| {
                let rate = rate(&c.task);
                (c, rate)
            })
            .collect();
        let most = all.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
        all.into_iter()
            .filter(|(_, rate)| *rate >= SUSPECT * most)
            .map(|(c, rate)| {
                let cores = c.limit.cpu.0 as f64 / 1_000.0;
                (c, rate * cores)
            })
            .collect()
    }

    /// Gives tasks that were throttled for the service their limits back.
    fn unthrottle(&mut self, worker: &WorkerView, order: &Order, decisions: &mut Vec<Decision>) {
        for occupant in worker.assigned.iter().filter(|o| !o.stopping) {
            let known = &mut self.workers[order.worker];
            let Some(seen) = known.seen.get_mut(&occupant.task) else {
                continue;
            };
            let Some((before, service)) = seen.throttled.take() else {
                continue;
            };
            let growth = before.saturating_sub(&occupant.limit);
            if service != order.service || !self.index.take(order.worker, &growth) {
                seen.throttled = Some((before, service));
                continue;
            }
            let limit = Resources {
                cpu: before.cpu,
                ..occupant.limit
            };
            let facts = vec![
                permille("slowdown", order.slowdown),
                permille("slowdown-allowed", order.allowed),
                span("report-age", order.measured),
            ];
            let choice = Choice::Resize {
                task: occupant.task.clone(),
                limit,
            };
            decisions.push(decision(choice, Cause::InterferenceEnded, facts));
        }
    }
}

/// The limit of a throttled task.
pub(super) fn throttled(limit: &Resources) -> Resources {
    let (num, den) = THROTTLED;
    let cpu = (limit.cpu.0 * num / den).max(THROTTLED_LEAST);
    Resources {
        cpu: Millicores(cpu.min(limit.cpu.0)),
        ..*limit
    }
}
