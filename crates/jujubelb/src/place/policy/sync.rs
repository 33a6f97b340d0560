//! Brings what the policy remembers into line with the owner's view.

use indexmap::IndexMap;

use super::PlacePolicy;
use super::known::{Known, Seen};
use crate::model::{Resources, Span, Time};
use crate::place::choose::Index;
use crate::place::interference::Mix;
use crate::place::ramp::Ramp;
use crate::shard::{TaskState, View, WorkerView};

/// Time between two full comparisons of the queue with the view. In between, it
/// is compared when the numbers of queued tasks differ.
const FULL: Span = Span::from_secs(1);

/// Tells whether the queued tasks may have changed since they were compared.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct Fingerprint {
    tasks: usize,
    queued: usize,
    attempts: u64,
    at: Time,
}

impl PlacePolicy {
    pub(super) fn sync(&mut self, view: &View<'_>) {
        self.sync_names(view);
        let mut total = Resources::ZERO;
        for (i, (name, worker)) in view.workers.iter().enumerate() {
            let usable = worker.capacity.saturating_sub(&worker.reserved);
            let open = worker.usable && !worker.quarantined;
            let changed = self.index.free(i) != worker.free
                || self.workers[i].tasks != worker.occupants.len();
            if open && !self.index.is_open(i) {
                self.workers[i].ramp = Ramp::new(view.now);
            }
            if worker.usable {
                total += usable;
            }
            self.index.set(i, worker.free, usable, open);
            self.workers[i].starts = 0;
            if changed {
                self.dirty.insert(name.clone());
            }
        }
        if total != self.total {
            self.total = total;
            self.queue.set_total(total);
        }
        self.sync_dirty(view);
        self.sync_queue(view);
    }

    /// Starts anew if the shard's workers changed.
    fn sync_names(&mut self, view: &View<'_>) {
        let same =
            self.workers.len() == view.workers.len() && self.workers.keys().eq(view.workers.keys());
        if same {
            return;
        }
        let mut old = std::mem::take(&mut self.workers);
        for name in view.workers.keys() {
            let known = old
                .swap_remove(name)
                .unwrap_or_else(|| Known::new(view.now, name, view.config));
            self.workers.insert(name.clone(), known);
        }
        for gone in old.values() {
            for (team, amount) in &gone.charged {
                self.queue.refund(team, amount);
            }
        }
        self.index = Index::new(view.workers.len());
        self.holds.clear();
        self.orders.clear();
        self.dirty.extend(view.workers.keys().cloned());
    }

    fn sync_dirty(&mut self, view: &View<'_>) {
        let dirty: Vec<_> = self.dirty.iter().cloned().collect();
        for name in &dirty {
            if let Some((index, _, worker)) = view.workers.get_full(name) {
                self.sync_worker(view, index, worker);
            }
        }
    }

    /// Charges the teams for what runs on a worker and notes the mix of classes.
    fn sync_worker(&mut self, view: &View<'_>, index: usize, worker: &WorkerView) {
        let mut charged = IndexMap::new();
        let mut mix = Mix::new();
        for occupant in &worker.occupants {
            let Some(job) = view.state.jobs.get(&occupant.task.job) else {
                continue;
            };
            *charged.entry(job.spec.team.clone()).or_default() += occupant.limit;
            if occupant.running {
                let cores = occupant.limit.cpu.0 as f64 / 1_000.0;
                *mix.entry(job.spec.task.class.clone()).or_default() += cores;
            }
            let stored = view.state.tasks.get(&occupant.task);
            let checkpoint = stored.and_then(|t| t.checkpoint.as_ref());
            let attempt = occupant.attempt;
            let seen = self
                .tasks
                .entry(occupant.task.clone())
                .or_insert_with(|| Seen::new(view.now, attempt, checkpoint.cloned()));
            if seen.attempt != attempt {
                *seen = Seen::new(view.now, attempt, checkpoint.cloned());
            }
            if seen.checkpoint.as_ref() != checkpoint {
                seen.checkpoint = checkpoint.cloned();
                seen.saved = view.now;
            }
        }
        self.charge(index, charged);
        self.sync_mix(view.now, index, mix);
        self.workers[index].tasks = worker.occupants.len();
    }

    fn charge(&mut self, index: usize, charged: IndexMap<crate::model::TeamName, Resources>) {
        let known = &mut self.workers[index];
        if known.charged == charged {
            return;
        }
        for (team, amount) in &known.charged {
            self.queue.refund(team, amount);
        }
        for (team, amount) in &charged {
            self.queue.charge(team, amount);
        }
        known.charged = charged;
    }

    fn sync_mix(&mut self, now: Time, index: usize, mix: Mix) {
        let known = &mut self.workers[index];
        if known.services.is_empty() {
            return;
        }
        for served in &mut known.services {
            let (mean, variance) = self.interference.slowdown(&served.service, &mix);
            served.mean = mean;
            served.variance = variance;
        }
        if known.history.last() == Some(&mix) {
            return;
        }
        for class in known.history.last().into_iter().flat_map(Mix::keys) {
            if let Some(count) = self.spread.get_mut(class) {
                *count = count.saturating_sub(1);
            }
        }
        for class in mix.keys() {
            *self.spread.entry(class.clone()).or_default() += 1;
        }
        known.history.note(now, mix);
    }

    /// Queues and forgets tasks as the view demands.
    fn sync_queue(&mut self, view: &View<'_>) {
        let queued = view
            .state
            .tasks
            .values()
            .filter(|t| t.state == TaskState::Queued);
        let (mut count, mut attempts) = (0, 0u64);
        for task in queued {
            count += 1;
            attempts = attempts.wrapping_add(task.attempt.0);
        }
        let seen = Fingerprint {
            tasks: view.state.tasks.len(),
            queued: count,
            attempts,
            at: self.synced.at,
        };
        let full = view.now.since(self.synced.at) >= FULL || !view.backoff.is_empty();
        if full || seen != self.synced {
            self.compare_queue(view);
            self.synced = Fingerprint {
                at: view.now,
                ..seen
            };
        }
    }

    fn compare_queue(&mut self, view: &View<'_>) {
        for (id, _, job) in view.state.queued() {
            let waits = view.backoff.get(id).is_some_and(|until| *until > view.now);
            if !waits && self.queue.since(id).is_none() {
                let since = view.queued.get(id).copied().unwrap_or(view.now);
                self.queue.push(since, &job.team, id, job.task.priority);
            }
        }
        let gone = self.queue.retain(|id| {
            let task = view.state.tasks.get(id);
            task.is_some_and(|t| t.state == TaskState::Queued)
        });
        for id in gone {
            self.forget_queued(&id);
        }
        let tasks = &view.state.tasks;
        self.tasks
            .retain(|id, _| tasks.get(id).is_some_and(|t| t.is_assigned()));
        self.doubled.retain(|id, _| tasks.contains_key(id));
    }

    pub(super) fn forget_queued(&mut self, task: &crate::model::TaskId) {
        self.queue.remove(task);
        self.delayed.swap_remove(task);
        if let Some((worker, _)) = self.holds.swap_remove(task)
            && let Some((_, known)) = self.workers.get_index_mut(worker)
            && known
                .hold
                .as_ref()
                .is_some_and(|(holder, _)| holder == task)
        {
            known.hold = None;
        }
    }
}
