//! Room for urgent work where there is none.

use super::PlacementPolicy;
use super::facts::{count, decision, need_and_free, span};
use super::start::{Pass, Want};
use crate::model::{Cause, Resources, Span, TaskId, Time};
use crate::place::reaction::{Candidate, cheapest};
use crate::shard::{Choice, ShardView, WorkerView};

/// Workers compared for one preemption.
const COMPARED: usize = 16;

/// How long the room of a worker is kept for a task that waits for evictions
/// there. A checkpoint that takes longer would miss the 2.8 s anyway.
const HOLD: Span = Span::from_secs(4);

impl PlacementPolicy {
    /// Whether evictions to make room for the task are under way.
    pub(super) fn waits_for_room(&self, now: Time, task: &TaskId) -> bool {
        self.holds.get(task).is_some_and(|(_, until)| now < *until)
    }

    /// Keeps a worker's room for a task.
    pub(super) fn hold(&mut self, worker: usize, task: &TaskId, until: Time) {
        self.holds.insert(task.clone(), (worker, until));
        self.workers[worker].hold = Some((task.clone(), until));
    }

    /// Evicts the cheapest batch tasks that make room for an urgent one on one
    /// worker. Returns `false` if no worker has enough of them.
    pub(super) fn preempt(
        &mut self,
        view: &ShardView<'_>,
        pass: &mut Pass,
        want: &Want<'_>,
    ) -> bool {
        let Want { head, need, .. } = *want;
        let total = self.workers.len();
        let start = self.salt() as usize % total.max(1);
        let order = (start..total).chain(0..start);
        let open = order.filter(|&w| self.may_preempt(view.now, w, &need));
        let best = open
            .take(COMPARED)
            .filter_map(|w| Some((w, self.victims(view, w, &need)?)))
            .min_by_key(|(_, victims)| lost(victims));
        let Some((worker, victims)) = best else {
            return false;
        };
        let free = self.index.free(worker);
        for victim in &victims {
            let mut facts = need_and_free(&need, &free);
            facts.push(span("progress-lost", victim.lost));
            facts.push(span("waited", view.now.since(head.since)));
            facts.push(count("evicted-together", victims.len()));
            let choice = Choice::Evict {
                task: victim.task.clone(),
            };
            pass.decisions
                .push(decision(choice, Cause::Preempted, facts));
        }
        self.hold(worker, &head.task, view.now + HOLD);
        true
    }

    fn may_preempt(&self, now: Time, worker: usize, need: &Resources) -> bool {
        let held = self.workers[worker]
            .hold
            .as_ref()
            .is_some_and(|(_, until)| now < *until);
        self.index.is_open(worker) && !held && need.fits(&self.index.usable(worker))
    }

    /// The cheapest batch tasks of a worker whose limits make room for `need`.
    fn victims(
        &self,
        view: &ShardView<'_>,
        worker: usize,
        need: &Resources,
    ) -> Option<Vec<Candidate>> {
        let (_, shown) = view.workers.get_index(worker)?;
        let free = self.index.free(worker);
        let enough = |taken: &[Candidate]| {
            let freed: Resources = taken.iter().map(|c| c.limit).sum();
            let mut room = free;
            room += freed;
            need.fits(&room)
        };
        let victims = cheapest(self.batch_on(view.now, worker, shown), enough);
        enough(&victims).then_some(victims)
    }

    /// Batch tasks of a worker that may be evicted or throttled.
    pub(super) fn batch_on(&self, now: Time, index: usize, worker: &WorkerView) -> Vec<Candidate> {
        let known = &self.workers[index];
        let movable = worker.assigned.iter().filter(|o| !o.stopping);
        movable
            .filter_map(|occupant| {
                let seen = known.seen.get(&occupant.task)?;
                (!seen.urgent).then(|| Candidate {
                    task: occupant.task.clone(),
                    limit: occupant.limit,
                    lost: now.since(seen.saved),
                })
            })
            .collect()
    }
}

/// Progress that evicting all of them would lose.
fn lost(victims: &[Candidate]) -> u128 {
    victims.iter().map(Candidate::cost).map(|(c, _)| c).sum()
}
