//! Limits that follow observed use, and evictions where a worker holds too much.

use super::PlacementPolicy;
use super::facts::{count, decision, new_and_old, signed, span};
use super::known::Known;
use super::react::throttled;
use crate::model::{Cause, Fact, Millicores, Resources, Span, TaskId, Unit};
use crate::place::capacity::{excess, is_confirmed};
use crate::place::reaction::{Candidate, cheapest};
use crate::shard::{AssignedTask, Choice, Decision, ShardView, WorkerView};

/// Time between two evictions to make room for growth on one worker: the freed
/// room has to be confirmed before it is given away.
const SETTLE: Span = Span::from_secs(10);

/// Part of a worker that growth of batch work leaves free for starts: one in this many.
const KEPT_FREE: u64 = 8;

impl PlacementPolicy {
    /// Brings the limits on one worker into line with its use.
    pub(super) fn fit(
        &mut self,
        view: &ShardView<'_>,
        index: usize,
        worker: &WorkerView,
        decisions: &mut Vec<Decision>,
    ) {
        if self.relieve(view, index, worker, decisions) {
            return;
        }
        for occupant in &worker.assigned {
            let known = &mut self.workers[index];
            let Some(seen) = known.seen.get_mut(&occupant.task) else {
                continue;
            };
            let Some((used, wanted)) = seen.fresh.take() else {
                continue;
            };
            if !is_confirmed(occupant) || seen.throttled.is_some() {
                continue;
            }
            let batch = !seen.urgent;
            let need = (&seen.class, seen.reclaimable);
            let shrunk = self.sizes.shrink(need, &occupant.limit, &seen.peak);
            if let Some(target) = self.sizes.grow(&occupant.limit, &used, wanted) {
                let grown = self.grow(index, occupant, target, batch);
                match grown {
                    Some(limit) => decisions.push(resized(occupant, limit, &used, wanted)),
                    None => self.make_room(view, index, worker, occupant, &target, decisions),
                }
            } else if let Some(limit) = shrunk {
                decisions.push(resized(occupant, limit, &used, wanted));
            }
        }
    }

    /// Evicts the cheapest tasks if limits exceed the worker, or if use does on a
    /// worker that enforces no limits. Returns whether it did.
    fn relieve(
        &self,
        view: &ShardView<'_>,
        index: usize,
        worker: &WorkerView,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let known = &self.workers[index];
        let stopping: Resources = worker
            .assigned
            .iter()
            .filter(|o| o.stopping)
            .map(|o| o.limit)
            .sum();
        let over = excess(worker).saturating_sub(&stopping);
        let (over, used) = match worker.protection {
            true => (over, None),
            false => {
                let used = used_on(known, worker);
                let usable = worker.capacity.saturating_sub(&worker.reserved);
                (over.max(&used.saturating_sub(&usable)), Some(used))
            }
        };
        if over == Resources::ZERO {
            return false;
        }
        let gain = |c: &Candidate| match used {
            None => c.limit,
            Some(_) => known
                .seen
                .get(&c.task)
                .map_or(c.limit, |s| s.used.max(&c.limit)),
        };
        let enough = |taken: &[Candidate]| over.fits(&taken.iter().map(gain).sum());
        for victim in cheapest(self.batch_on(view.now, index, worker), enough) {
            let facts = vec![
                Fact::new("over-cpu", signed(over.cpu.0), Unit::Millicores),
                Fact::new("over-memory", signed(over.memory.0), Unit::Bytes),
                span("progress-lost", victim.lost),
            ];
            let choice = Choice::Evict { task: victim.task };
            decisions.push(decision(choice, Cause::OverCapacity, facts));
        }
        true
    }

    /// Takes room for a larger limit. Memory comes first; processor time of
    /// batch work grows only while enough stays free.
    fn grow(
        &mut self,
        index: usize,
        occupant: &AssignedTask,
        target: Resources,
        batch: bool,
    ) -> Option<Resources> {
        let memory = Resources {
            cpu: occupant.limit.cpu,
            ..target
        };
        let free = self.index.free(index).cpu.0;
        let spare = free.saturating_sub(self.index.usable(index).cpu.0 / KEPT_FREE);
        let most = if batch { spare } else { free };
        let cpu = occupant.limit.cpu.0 + (target.cpu.0 - occupant.limit.cpu.0).min(most);
        let full = Resources {
            cpu: Millicores(cpu),
            ..target
        };
        [full, memory].into_iter().find(|limit| {
            *limit != occupant.limit
                && self
                    .index
                    .take(index, &limit.saturating_sub(&occupant.limit))
        })
    }

    /// Evicts the cheapest batch tasks for one that needs more memory, or
    /// throttles them for urgent work that needs more processor time.
    fn make_room(
        &mut self,
        view: &ShardView<'_>,
        index: usize,
        worker: &WorkerView,
        occupant: &AssignedTask,
        target: &Resources,
        decisions: &mut Vec<Decision>,
    ) {
        let known = &mut self.workers[index];
        let growth = target.saturating_sub(&occupant.limit);
        let urgent = known.seen.get(&occupant.task).is_some_and(|s| s.urgent);
        if view.now < known.settled || (growth.memory.0 == 0 && !urgent) {
            return;
        }
        known.settled = view.now + SETTLE;
        let need = growth.saturating_sub(&self.index.free(index));
        let others = self.batch_on(view.now, index, worker);
        if growth.memory.0 == 0 {
            let halves = |taken: &[Candidate]| {
                taken.iter().map(|c| c.limit.cpu.0 / 2).sum::<u64>() >= need.cpu.0
            };
            for victim in cheapest(others, halves) {
                decisions.extend(self.throttle_for(&victim, &occupant.task, &need));
            }
            return;
        }
        let enough = |taken: &[Candidate]| {
            need.memory.0 <= taken.iter().map(|c| c.limit.memory.0).sum::<u64>()
        };
        for victim in cheapest(others, enough) {
            let facts = vec![
                Fact::new("memory-short", signed(need.memory.0), Unit::Bytes),
                Fact::new("memory-freed", signed(victim.limit.memory.0), Unit::Bytes),
                span("progress-lost", victim.lost),
            ];
            let choice = Choice::Evict { task: victim.task };
            decisions.push(decision(choice, Cause::OverCapacity, facts));
        }
    }

    /// Throttles a batch task for an urgent one. It gets its limit back by
    /// growing with its use.
    fn throttle_for(
        &self,
        victim: &Candidate,
        urgent: &TaskId,
        need: &Resources,
    ) -> Option<Decision> {
        let limit = throttled(&victim.limit);
        let changes = victim.task != *urgent && limit != victim.limit;
        let facts = vec![
            Fact::new("cpu-short", signed(need.cpu.0), Unit::Millicores),
            Fact::new("new-cpu", signed(limit.cpu.0), Unit::Millicores),
            count("throttled-for-urgent", 1),
        ];
        let choice = Choice::Resize {
            task: victim.task.clone(),
            limit,
        };
        changes.then(|| decision(choice, Cause::Preempted, facts))
    }
}

fn resized(
    occupant: &AssignedTask,
    limit: Resources,
    used: &Resources,
    wanted: Millicores,
) -> Decision {
    let mut facts = new_and_old(&limit, &occupant.limit);
    facts.push(Fact::new("used-memory", signed(used.memory.0), Unit::Bytes));
    facts.push(Fact::new("wanted-cpu", signed(wanted.0), Unit::Millicores));
    let choice = Choice::Resize {
        task: occupant.task.clone(),
        limit,
    };
    let grows = occupant.limit.fits(&limit);
    let used_up = used.memory > occupant.limit.memory || wanted > occupant.limit.cpu;
    let cause = match grows && !used_up {
        true => Cause::Headroom,
        false => Cause::SizeWrong,
    };
    decision(choice, cause, facts)
}

/// Reported use of the tasks that go on running.
fn used_on(known: &Known, worker: &WorkerView) -> Resources {
    let going = worker.assigned.iter().filter(|o| !o.stopping);
    going
        .filter_map(|o| known.seen.get(&o.task))
        .map(|seen| seen.used)
        .sum()
}
