//! Preemption of batch tasks by urgent ones.

use super::PlacementPolicy;
use super::facts::{count, decision, need_and_free, span};
use super::queue_pass::{PassState, PendingTask};
use crate::model::{Cause, Resources, Span, TaskId, Time};
use crate::place::mitigation::{EvictionCandidate, cheapest};
use crate::shard::{Choice, ShardView, WorkerView};

/// Maximum number of workers compared for one preemption.
const MAX_PREEMPTION_WORKERS: usize = 16;

/// How long the free capacity of a worker is held for a task that waits for
/// evictions there. If checkpoints take longer, the task has already missed the
/// 2.8 s within which urgent tasks have to start.
const PREEMPTION_HOLD: Span = Span::from_secs(4);

impl PlacementPolicy {
    /// Whether evictions to free capacity for the task are in progress.
    pub(super) fn has_pending_evictions(&self, now: Time, task: &TaskId) -> bool {
        self.holds.get(task).is_some_and(|(_, until)| now < *until)
    }

    /// Holds a worker's free capacity for a task.
    pub(super) fn hold(&mut self, worker: usize, task: &TaskId, until: Time) {
        self.holds.insert(task.clone(), (worker, until));
        self.workers[worker].hold = Some((task.clone(), until));
    }

    /// Evicts the cheapest batch tasks of one worker that free enough capacity for
    /// an urgent task. Returns `false` if no worker compared has enough of them.
    pub(super) fn preempt(
        &mut self,
        view: &ShardView<'_>,
        pass: &mut PassState,
        pending: &PendingTask<'_>,
    ) -> bool {
        let PendingTask { head, need, .. } = *pending;
        let total = self.workers.len();
        let start = self.next_random() as usize % total.max(1);
        let order = (start..total).chain(0..start);
        let eligible = order.filter(|&w| self.may_preempt(view.now, w, &need));
        let best = eligible
            .take(MAX_PREEMPTION_WORKERS)
            .filter_map(|w| Some((w, self.victims(view, w, &need)?)))
            .min_by_key(|(_, victims)| total_lost_work(victims));
        let Some((worker, victims)) = best else {
            return false;
        };
        let free = self.index.free(worker);
        for victim in &victims {
            let mut facts = need_and_free(&need, &free);
            facts.push(span("progress-lost", victim.lost_time));
            facts.push(span("waited", view.now.since(head.since)));
            facts.push(count("evicted-together", victims.len()));
            let choice = Choice::Evict {
                task: victim.task.clone(),
            };
            pass.decisions
                .push(decision(choice, Cause::Preempted, facts));
        }
        self.hold(worker, &head.task, view.now + PREEMPTION_HOLD);
        true
    }

    fn may_preempt(&self, now: Time, worker: usize, need: &Resources) -> bool {
        let held = self.workers[worker]
            .hold
            .as_ref()
            .is_some_and(|(_, until)| now < *until);
        self.index.is_schedulable(worker) && !held && need.fits(&self.index.usable(worker))
    }

    /// Returns the cheapest batch tasks of a worker whose eviction frees `need`.
    fn victims(
        &self,
        view: &ShardView<'_>,
        worker: usize,
        need: &Resources,
    ) -> Option<Vec<EvictionCandidate>> {
        let (_, view_worker) = view.workers.get_index(worker)?;
        let free = self.index.free(worker);
        let enough = |taken: &[EvictionCandidate]| {
            let freed: Resources = taken.iter().map(|c| c.limit).sum();
            let mut available = free;
            available += freed;
            need.fits(&available)
        };
        let victims = cheapest(self.evictable_batch(view.now, worker, view_worker), enough);
        enough(&victims).then_some(victims)
    }

    /// Returns the batch tasks of a worker that may be evicted or throttled.
    pub(super) fn evictable_batch(
        &self,
        now: Time,
        index: usize,
        worker: &WorkerView,
    ) -> Vec<EvictionCandidate> {
        let tracked = &self.workers[index];
        let movable = worker.assigned.iter().filter(|a| !a.stopping);
        movable
            .filter_map(|assigned| {
                let entry = tracked.tasks.get(&assigned.task)?;
                (!entry.urgent).then(|| EvictionCandidate {
                    task: assigned.task.clone(),
                    limit: assigned.limit,
                    lost_time: now.since(entry.checkpointed),
                })
            })
            .collect()
    }
}

/// Work that evicting all of the tasks would lose, in core-microseconds.
fn total_lost_work(victims: &[EvictionCandidate]) -> u128 {
    victims
        .iter()
        .map(EvictionCandidate::cost)
        .map(|(c, _)| c)
        .sum()
}
