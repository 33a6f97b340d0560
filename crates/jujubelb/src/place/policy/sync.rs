//! Brings what the policy remembers into line with the owner's view.

use indexmap::IndexSet;

use super::PlacementPolicy;
use super::known::{Known, Seen};
use crate::model::{Resources, Span, TaskId, Time, WorkerName};
use crate::place::choose::Index;
use crate::place::fair::Queue;
use crate::place::interference::Mix;
use crate::place::ramp::Ramp;
use crate::shard::{AssignedTask, ShardView, TaskState, WorkerView};

/// Longest time between two comparisons of a worker's tasks with the view.
const CHECK: Span = Span::from_secs(1);

/// Time between two full comparisons of the queue with the view. In between, only
/// new tasks are looked for, and gone ones if there are too many: comparing
/// 10,000 queued tasks on each pass costs 1.6 % of a core.
const FULL: Span = Span::from_secs(1);

/// Comparisons of a worker's tasks for each comparison of their checkpoints,
/// which costs another look-up. Progress is known to 8 s.
const CHECKPOINTS: u32 = 8;

impl PlacementPolicy {
    pub(super) fn sync(&mut self, view: &ShardView<'_>) {
        self.sync_names(view);
        let mut total = Resources::ZERO;
        for (i, (name, worker)) in view.workers.iter().enumerate() {
            let usable = worker.capacity.saturating_sub(&worker.reserved);
            let open = worker.usable && !worker.quarantined;
            let known = &mut self.workers[i];
            if open && !self.index.is_open(i) {
                known.ramp = Ramp::new(view.now);
            }
            if worker.usable {
                total += usable;
            }
            known.starts = 0;
            known.tasks = worker.assigned.len();
            if known.checked.is_none_or(|t| view.now.since(t) >= CHECK) {
                self.dirty.insert(name.clone());
            }
            self.index.set(i, worker.free, usable, open);
        }
        if total != self.total {
            self.total = total;
            self.queue.set_total(total);
        }
        self.sync_dirty(view);
        self.sync_queue(view);
    }

    /// Starts anew if the shard's workers changed.
    fn sync_names(&mut self, view: &ShardView<'_>) {
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
        for seen in old.values().flat_map(|known| known.seen.values()) {
            self.queue.refund(&seen.team, &seen.charged);
        }
        self.index = Index::new(view.workers.len());
        self.holds.clear();
        self.orders.clear();
        self.dirty.extend(view.workers.keys().cloned());
    }

    fn sync_dirty(&mut self, view: &ShardView<'_>) {
        let dirty: Vec<_> = self.dirty.iter().cloned().collect();
        for name in &dirty {
            if let Some((index, _, worker)) = view.workers.get_full(name) {
                self.sync_worker(view, index, worker);
                self.workers[index].checked = Some(view.now);
            }
        }
    }

    /// Charges the teams for what runs on a worker and notes the mix of classes.
    fn sync_worker(&mut self, view: &ShardView<'_>, index: usize, worker: &WorkerView) {
        let mut mix = Mix::new();
        let known = &mut self.workers[index];
        let serves = !known.services.is_empty();
        known.checks = known.checks.wrapping_add(1);
        for (hint, occupant) in worker.assigned.iter().enumerate() {
            let Some(seen) = sync_task(view, known, &mut self.queue, hint, occupant) else {
                continue;
            };
            if serves {
                let cores = occupant.limit.cpu.0 as f64 / 1_000.0;
                *mix.entry(seen.class.clone()).or_default() += cores;
            }
        }
        if known.seen.len() > worker.assigned.len() {
            sweep(known, &mut self.queue, worker);
        }
        if serves {
            self.sync_mix(view.now, index, mix);
        }
    }

    /// Notes the cores that each class has on a worker with services.
    pub(super) fn sync_mix(&mut self, now: Time, index: usize, mix: Mix) {
        let known = &mut self.workers[index];
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
    fn sync_queue(&mut self, view: &ShardView<'_>) {
        if view.now.since(self.compared) >= FULL {
            self.compared = view.now;
            self.compare_queue(view);
            let tasks = &view.state.tasks;
            self.doubled.retain(|id, _| tasks.contains_key(id));
            return;
        }
        let ready = view
            .queued_since
            .len()
            .saturating_sub(view.backoff_until.len());
        let mut missing = ready.saturating_sub(self.queue.total_len());
        // The owner's newest tasks are the last of its list.
        for id in view.queued_since.keys().rev() {
            if missing == 0 {
                break;
            }
            missing -= usize::from(self.enqueue(view, id));
        }
        if self.queue.total_len() > ready {
            self.drop_gone(view);
        }
    }

    /// Compares the queue with all tasks, because the owner's list of queued
    /// ones may lack tasks of a former owner.
    fn compare_queue(&mut self, view: &ShardView<'_>) {
        for (id, _, _) in view.state.queued_tasks() {
            self.enqueue(view, id);
        }
        self.drop_gone(view);
    }

    fn drop_gone(&mut self, view: &ShardView<'_>) {
        let gone = self.queue.retain(|id| is_queued(view, id));
        for id in gone {
            self.forget_queued(&id);
        }
    }

    /// Queues a task that is ready and not queued yet. Returns whether it did.
    fn enqueue(&mut self, view: &ShardView<'_>, id: &TaskId) -> bool {
        let waits = view
            .backoff_until
            .get(id)
            .is_some_and(|until| *until > view.now);
        if waits || self.queue.since(id).is_some() || !is_queued(view, id) {
            return false;
        }
        let Some(job) = view.state.jobs.get(&id.job) else {
            return false;
        };
        let since = view.queued_since.get(id).copied().unwrap_or(view.now);
        let priority = job.spec.task.priority;
        self.queue.push(since, &job.spec.team, id, priority);
        true
    }

    /// Forgets an assigned task and what its team was charged for it.
    pub(super) fn forget_assigned(&mut self, now: Time, task: &TaskId, worker: &WorkerName) {
        let Some((index, _, known)) = self.workers.get_full_mut(worker) else {
            return;
        };
        let Some(seen) = known.seen.swap_remove(task) else {
            return;
        };
        self.queue.refund(&seen.team, &seen.charged);
        if let Some(mut mix) = known.history.last().cloned()
            && let Some(cores) = mix.get_mut(&seen.class)
        {
            *cores -= seen.charged.cpu.0 as f64 / 1_000.0;
            if *cores < 1e-3 {
                mix.swap_remove(&seen.class);
            }
            self.sync_mix(now, index, mix);
        }
    }

    pub(super) fn forget_queued(&mut self, task: &TaskId) {
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

/// Whether a task may be assigned, handed off or parked.
pub(super) fn is_queued(view: &ShardView<'_>, id: &TaskId) -> bool {
    let task = view.state.tasks.get(id);
    task.is_some_and(|t| t.state == TaskState::Queued)
}

/// Brings what is remembered of a task into line with the view.
fn sync_task<'a>(
    view: &ShardView<'_>,
    known: &'a mut Known,
    queue: &mut Queue,
    hint: usize,
    occupant: &AssignedTask,
) -> Option<&'a Seen> {
    let hinted = known.seen.get_index(hint);
    let at = match hinted {
        Some((task, _)) if *task == occupant.task => hint,
        _ => match known.seen.get_index_of(&occupant.task) {
            Some(at) => at,
            None => {
                let job = view.state.jobs.get(&occupant.task.job)?;
                let seen = Seen::new(view.now, occupant.attempt, &job.spec);
                known.seen.insert_full(occupant.task.clone(), seen).0
            }
        },
    };
    let look = known.checks.is_multiple_of(CHECKPOINTS);
    let (_, seen) = known.seen.get_index_mut(at)?;
    if seen.attempt != occupant.attempt {
        seen.restart(view.now, occupant.attempt);
    }
    if seen.charged != occupant.limit {
        queue.refund(&seen.team, &seen.charged);
        queue.charge(&seen.team, &occupant.limit);
        seen.charged = occupant.limit;
    }
    if look {
        let stored = view.state.tasks.get(&occupant.task);
        let checkpoint = stored.and_then(|t| t.checkpoint.as_ref());
        if checkpoint != seen.checkpoint.as_ref() {
            seen.checkpoint = checkpoint.cloned();
            seen.saved = view.now;
        }
    }
    Some(seen)
}

/// Forgets tasks that are no longer on a worker, for example because the owner
/// dropped their assignment.
fn sweep(known: &mut Known, queue: &mut Queue, worker: &WorkerView) {
    let here: IndexSet<&TaskId> = worker.assigned.iter().map(|o| &o.task).collect();
    known.seen.retain(|task, seen| {
        let stays = here.contains(task);
        if !stays {
            queue.refund(&seen.team, &seen.charged);
        }
        stays
    });
}
