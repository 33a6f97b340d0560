//! Resizing of limits after observed use, and evictions from overcommitted workers.

use super::PlacementPolicy;
use super::facts::{count, decision, new_and_old, saturating_i64, span};
use super::mitigate::throttled_limit;
use super::tracked::TrackedWorker;
use crate::model::{Cause, Fact, Millicores, Resources, Span, TaskId, Unit};
use crate::place::capacity::{is_confirmed, overcommit};
use crate::place::mitigation::{EvictionCandidate, cheapest};
use crate::shard::{AssignedTask, Choice, Decision, ShardView, WorkerView};

/// Minimum time between two rounds of evictions or throttling for growth on one
/// worker: the freed capacity has to be confirmed before it can be used.
const GROWTH_EVICTION_INTERVAL: Span = Span::from_secs(10);

/// Growth of batch tasks leaves this part of a worker's processor time free for
/// starts: one in this many.
const FREE_CPU_DIVISOR: u64 = 8;

impl PlacementPolicy {
    /// Adjusts the limits on one worker to its use.
    pub(super) fn adjust_limits(
        &mut self,
        view: &ShardView<'_>,
        index: usize,
        worker: &WorkerView,
        decisions: &mut Vec<Decision>,
    ) {
        if self.evict_overcommitted(view, index, worker, decisions) {
            return;
        }
        for assigned in &worker.assigned {
            let tracked = &mut self.workers[index];
            let Some(entry) = tracked.tasks.get_mut(&assigned.task) else {
                continue;
            };
            let Some((used, wanted)) = entry.new_report.take() else {
                continue;
            };
            if !is_confirmed(assigned) || entry.throttled.is_some() {
                continue;
            }
            let batch = !entry.urgent;
            let need = (&entry.class, entry.reclaimable);
            let shrunk = self.sizes.shrunk_limit(need, &assigned.limit, &entry.peak);
            if let Some(target) = self.sizes.grown_limit(&assigned.limit, &used, wanted) {
                let grown = self.grow(index, assigned, target, batch);
                match grown {
                    Some(limit) => decisions.push(resize_decision(assigned, limit, &used, wanted)),
                    None => {
                        self.free_capacity_for(view, index, worker, assigned, &target, decisions)
                    }
                }
            } else if let Some(limit) = shrunk {
                decisions.push(resize_decision(assigned, limit, &used, wanted));
            }
        }
    }

    /// Evicts the cheapest batch tasks if the limits exceed the worker's capacity,
    /// or if the use does on a worker that enforces no limits. Returns whether the
    /// worker is overcommitted.
    fn evict_overcommitted(
        &self,
        view: &ShardView<'_>,
        index: usize,
        worker: &WorkerView,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let tracked = &self.workers[index];
        let stopping: Resources = worker
            .assigned
            .iter()
            .filter(|a| a.stopping)
            .map(|a| a.limit)
            .sum();
        let over = overcommit(worker).saturating_sub(&stopping);
        let (over, used) = match worker.protection {
            true => (over, None),
            false => {
                let used = total_use(tracked, worker);
                let usable = worker.capacity.saturating_sub(&worker.reserved);
                (over.max(&used.saturating_sub(&usable)), Some(used))
            }
        };
        if over == Resources::ZERO {
            return false;
        }
        let gain = |c: &EvictionCandidate| match used {
            None => c.limit,
            Some(_) => tracked
                .tasks
                .get(&c.task)
                .map_or(c.limit, |t| t.used.max(&c.limit)),
        };
        let enough = |taken: &[EvictionCandidate]| over.fits(&taken.iter().map(gain).sum());
        for victim in cheapest(self.evictable_batch(view.now, index, worker), enough) {
            let facts = vec![
                Fact::new("over-cpu", saturating_i64(over.cpu.0), Unit::Millicores),
                Fact::new("over-memory", saturating_i64(over.memory.0), Unit::Bytes),
                span("progress-lost", victim.lost_time),
            ];
            let choice = Choice::Evict { task: victim.task };
            decisions.push(decision(choice, Cause::OverCapacity, facts));
        }
        true
    }

    /// Reserves free capacity for a larger limit and returns that limit. Memory takes
    /// precedence over processor time. The processor time of a batch task grows
    /// only while enough stays free for starts.
    fn grow(
        &mut self,
        index: usize,
        assigned: &AssignedTask,
        target: Resources,
        batch: bool,
    ) -> Option<Resources> {
        let memory = Resources {
            cpu: assigned.limit.cpu,
            ..target
        };
        let free = self.index.free(index).cpu.0;
        let spare = free.saturating_sub(self.index.usable(index).cpu.0 / FREE_CPU_DIVISOR);
        let max_growth = if batch { spare } else { free };
        let cpu = assigned.limit.cpu.0 + (target.cpu.0 - assigned.limit.cpu.0).min(max_growth);
        let full = Resources {
            cpu: Millicores(cpu),
            ..target
        };
        [full, memory].into_iter().find(|limit| {
            *limit != assigned.limit
                && self
                    .index
                    .reserve(index, &limit.saturating_sub(&assigned.limit))
        })
    }

    /// Evicts the cheapest batch tasks for a task that needs more memory, or
    /// throttles them for an urgent task that needs more processor time.
    fn free_capacity_for(
        &mut self,
        view: &ShardView<'_>,
        index: usize,
        worker: &WorkerView,
        assigned: &AssignedTask,
        target: &Resources,
        decisions: &mut Vec<Decision>,
    ) {
        let tracked = &mut self.workers[index];
        let growth = target.saturating_sub(&assigned.limit);
        let urgent = tracked.tasks.get(&assigned.task).is_some_and(|t| t.urgent);
        if view.now < tracked.next_eviction || (growth.memory.0 == 0 && !urgent) {
            return;
        }
        tracked.next_eviction = view.now + GROWTH_EVICTION_INTERVAL;
        let need = growth.saturating_sub(&self.index.free(index));
        let others = self.evictable_batch(view.now, index, worker);
        if growth.memory.0 == 0 {
            let enough = |taken: &[EvictionCandidate]| {
                taken.iter().map(|c| c.limit.cpu.0 / 2).sum::<u64>() >= need.cpu.0
            };
            for victim in cheapest(others, enough) {
                decisions.extend(self.throttle_for(&victim, &assigned.task, &need));
            }
            return;
        }
        let enough = |taken: &[EvictionCandidate]| {
            need.memory.0 <= taken.iter().map(|c| c.limit.memory.0).sum::<u64>()
        };
        for victim in cheapest(others, enough) {
            let facts = vec![
                Fact::new("memory-short", saturating_i64(need.memory.0), Unit::Bytes),
                Fact::new(
                    "memory-freed",
                    saturating_i64(victim.limit.memory.0),
                    Unit::Bytes,
                ),
                span("progress-lost", victim.lost_time),
            ];
            let choice = Choice::Evict { task: victim.task };
            decisions.push(decision(choice, Cause::OverCapacity, facts));
        }
    }

    /// Throttles a batch task for an urgent one. Its limit grows again with its use.
    fn throttle_for(
        &self,
        victim: &EvictionCandidate,
        urgent: &TaskId,
        need: &Resources,
    ) -> Option<Decision> {
        let limit = throttled_limit(&victim.limit);
        let changes = victim.task != *urgent && limit != victim.limit;
        let facts = vec![
            Fact::new("cpu-short", saturating_i64(need.cpu.0), Unit::Millicores),
            Fact::new("new-cpu", saturating_i64(limit.cpu.0), Unit::Millicores),
            count("throttled-for-urgent", 1),
        ];
        let choice = Choice::Resize {
            task: victim.task.clone(),
            limit,
        };
        changes.then(|| decision(choice, Cause::Preempted, facts))
    }
}

fn resize_decision(
    assigned: &AssignedTask,
    limit: Resources,
    used: &Resources,
    wanted: Millicores,
) -> Decision {
    let mut facts = new_and_old(&limit, &assigned.limit);
    facts.push(Fact::new(
        "used-memory",
        saturating_i64(used.memory.0),
        Unit::Bytes,
    ));
    facts.push(Fact::new(
        "wanted-cpu",
        saturating_i64(wanted.0),
        Unit::Millicores,
    ));
    let choice = Choice::Resize {
        task: assigned.task.clone(),
        limit,
    };
    let grows = assigned.limit.fits(&limit);
    let used_up = used.memory > assigned.limit.memory || wanted > assigned.limit.cpu;
    let cause = match grows && !used_up {
        true => Cause::Headroom,
        false => Cause::SizeWrong,
    };
    decision(choice, cause, facts)
}

/// Sum of the reported use of the tasks that are not being stopped.
fn total_use(tracked: &TrackedWorker, worker: &WorkerView) -> Resources {
    let continuing = worker.assigned.iter().filter(|a| !a.stopping);
    continuing
        .filter_map(|a| tracked.tasks.get(&a.task))
        .map(|entry| entry.used)
        .sum()
}
