//! Synchronisation of the tracked state with the owner's view.

use indexmap::IndexSet;

use super::PlacementPolicy;
use super::tracked::{TrackedTask, TrackedWorker};
use crate::model::{Resources, Span, TaskId, Time, WorkerName};
use crate::place::fair_queue::FairQueue;
use crate::place::interference::ClassMix;
use crate::place::selection::CapacityIndex;
use crate::place::slow_start::SlowStart;
use crate::shard::{AssignedTask, ShardView, TaskState, WorkerView};

/// Maximum time between two comparisons of a worker's tasks with the view.
const WORKER_SYNC_INTERVAL: Span = Span::from_secs(1);

/// Time between two comparisons of the complete queue with the view. In between, only
/// missing tasks are added, and stale ones removed if the queue is too long:
/// comparing 10,000 queued tasks on each pass costs 1.6 % of a core.
const QUEUE_SYNC_INTERVAL: Span = Span::from_secs(1);

/// Number of comparisons of a worker's tasks for each comparison of their
/// checkpoints, which costs another lookup. The time of the last checkpoint is
/// therefore known to within 8 s.
const SYNCS_PER_CHECKPOINT_CHECK: u32 = 8;

impl PlacementPolicy {
    pub(super) fn sync(&mut self, view: &ShardView<'_>) {
        self.sync_worker_set(view);
        let mut total = Resources::ZERO;
        for (i, (name, worker)) in view.workers.iter().enumerate() {
            let usable = worker.capacity.saturating_sub(&worker.reserved);
            let schedulable = worker.usable && !worker.quarantined;
            let tracked = &mut self.workers[i];
            if schedulable && !self.index.is_schedulable(i) {
                tracked.slow_start = SlowStart::new(view.now);
            }
            if worker.usable {
                total += usable;
            }
            tracked.starts = 0;
            tracked.task_count = worker.assigned.len();
            if tracked
                .synced
                .is_none_or(|t| view.now.since(t) >= WORKER_SYNC_INTERVAL)
            {
                self.dirty.insert(name.clone());
            }
            self.index.update(i, worker.free, usable, schedulable);
        }
        if total != self.usable_total {
            self.usable_total = total;
            self.queue.set_capacity(total);
        }
        self.sync_dirty(view);
        self.sync_queue(view);
    }

    /// Rebuilds the tracked workers and the index if the shard's workers changed.
    fn sync_worker_set(&mut self, view: &ShardView<'_>) {
        let same =
            self.workers.len() == view.workers.len() && self.workers.keys().eq(view.workers.keys());
        if same {
            return;
        }
        let mut old = std::mem::take(&mut self.workers);
        for name in view.workers.keys() {
            let tracked = old
                .swap_remove(name)
                .unwrap_or_else(|| TrackedWorker::new(view.now, name, view.config));
            self.workers.insert(name.clone(), tracked);
        }
        for entry in old.values().flat_map(|tracked| tracked.tasks.values()) {
            self.queue.refund(&entry.team, &entry.charged);
        }
        self.index = CapacityIndex::new(view.workers.len());
        self.holds.clear();
        self.pending_mitigations.clear();
        self.dirty.extend(view.workers.keys().cloned());
    }

    fn sync_dirty(&mut self, view: &ShardView<'_>) {
        let dirty: Vec<_> = self.dirty.iter().cloned().collect();
        for name in &dirty {
            if let Some((index, _, worker)) = view.workers.get_full(name) {
                self.sync_worker(view, index, worker);
                self.workers[index].synced = Some(view.now);
            }
        }
    }

    /// Charges the teams for the tasks on a worker and updates its class mix.
    fn sync_worker(&mut self, view: &ShardView<'_>, index: usize, worker: &WorkerView) {
        let mut mix = ClassMix::new();
        let tracked = &mut self.workers[index];
        let serves = !tracked.services.is_empty();
        tracked.sync_count = tracked.sync_count.wrapping_add(1);
        for (hint, assigned) in worker.assigned.iter().enumerate() {
            let Some(entry) = sync_task(view, tracked, &mut self.queue, hint, assigned) else {
                continue;
            };
            if serves {
                let cores = assigned.limit.cpu.0 as f64 / 1_000.0;
                *mix.entry(entry.class.clone()).or_default() += cores;
            }
        }
        if tracked.tasks.len() > worker.assigned.len() {
            drop_departed(tracked, &mut self.queue, worker);
        }
        if serves {
            self.update_mix(view.now, index, mix);
        }
    }

    /// Records the cores that each class uses on a worker with services.
    pub(super) fn update_mix(&mut self, now: Time, index: usize, mix: ClassMix) {
        let tracked = &mut self.workers[index];
        for service in &mut tracked.services {
            let (mean, variance) = self.interference.slowdown(&service.service, &mix);
            service.mean = mean;
            service.variance = variance;
        }
        if tracked.history.current() == Some(&mix) {
            return;
        }
        for class in tracked
            .history
            .current()
            .into_iter()
            .flat_map(ClassMix::keys)
        {
            if let Some(count) = self.class_spread.get_mut(class) {
                *count = count.saturating_sub(1);
            }
        }
        for class in mix.keys() {
            *self.class_spread.entry(class.clone()).or_default() += 1;
        }
        tracked.history.record(now, mix);
    }

    /// Adds tasks to the queue and removes them according to the view.
    fn sync_queue(&mut self, view: &ShardView<'_>) {
        if view.now.since(self.queue_synced) >= QUEUE_SYNC_INTERVAL {
            self.queue_synced = view.now;
            self.sync_complete_queue(view);
            let tasks = &view.state.tasks;
            self.doubled_limits.retain(|id, _| tasks.contains_key(id));
            return;
        }
        let ready = view
            .queued_since
            .len()
            .saturating_sub(view.backoff_until.len());
        let mut missing = ready.saturating_sub(self.queue.total_len());
        // The newest tasks come last in the owner's list.
        for id in view.queued_since.keys().rev() {
            if missing == 0 {
                break;
            }
            missing -= usize::from(self.enqueue(view, id));
        }
        if self.queue.total_len() > ready {
            self.drop_stale(view);
        }
    }

    /// Compares the queue with all tasks, because the owner's list of queued tasks
    /// may lack those of a former owner.
    fn sync_complete_queue(&mut self, view: &ShardView<'_>) {
        for (id, _, _) in view.state.queued_tasks() {
            self.enqueue(view, id);
        }
        self.drop_stale(view);
    }

    fn drop_stale(&mut self, view: &ShardView<'_>) {
        let removed = self.queue.retain(|id| is_queued(view, id));
        for id in removed {
            self.forget_queued(&id);
        }
    }

    /// Queues a task that is ready and not in the queue yet. Returns whether it was
    /// added.
    fn enqueue(&mut self, view: &ShardView<'_>, id: &TaskId) -> bool {
        let waits = view
            .backoff_until
            .get(id)
            .is_some_and(|until| *until > view.now);
        if waits || self.queue.queued_since(id).is_some() || !is_queued(view, id) {
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

    /// Removes an assigned task and refunds its team.
    pub(super) fn forget_assigned(&mut self, now: Time, task: &TaskId, worker: &WorkerName) {
        let Some((index, _, tracked)) = self.workers.get_full_mut(worker) else {
            return;
        };
        let Some(entry) = tracked.tasks.swap_remove(task) else {
            return;
        };
        self.queue.refund(&entry.team, &entry.charged);
        if let Some(mut mix) = tracked.history.current().cloned()
            && let Some(cores) = mix.get_mut(&entry.class)
        {
            *cores -= entry.charged.cpu.0 as f64 / 1_000.0;
            if *cores < 1e-3 {
                mix.swap_remove(&entry.class);
            }
            self.update_mix(now, index, mix);
        }
    }

    pub(super) fn forget_queued(&mut self, task: &TaskId) {
        self.queue.remove(task);
        self.delay_causes.swap_remove(task);
        if let Some((worker, _)) = self.holds.swap_remove(task)
            && let Some((_, tracked)) = self.workers.get_index_mut(worker)
            && tracked
                .hold
                .as_ref()
                .is_some_and(|(holder, _)| holder == task)
        {
            tracked.hold = None;
        }
    }
}

/// Whether a task may be assigned, handed off or parked.
pub(super) fn is_queued(view: &ShardView<'_>, id: &TaskId) -> bool {
    let task = view.state.tasks.get(id);
    task.is_some_and(|t| t.state == TaskState::Queued)
}

/// Synchronises one tracked task with the view. `hint` is its likely position.
fn sync_task<'a>(
    view: &ShardView<'_>,
    tracked: &'a mut TrackedWorker,
    queue: &mut FairQueue,
    hint: usize,
    assigned: &AssignedTask,
) -> Option<&'a TrackedTask> {
    let hinted = tracked.tasks.get_index(hint);
    let position = match hinted {
        Some((task, _)) if *task == assigned.task => hint,
        _ => match tracked.tasks.get_index_of(&assigned.task) {
            Some(position) => position,
            None => {
                let job = view.state.jobs.get(&assigned.task.job)?;
                let entry = TrackedTask::new(view.now, assigned.attempt, &job.spec);
                tracked.tasks.insert_full(assigned.task.clone(), entry).0
            }
        },
    };
    let compare_checkpoint = tracked
        .sync_count
        .is_multiple_of(SYNCS_PER_CHECKPOINT_CHECK);
    let (_, entry) = tracked.tasks.get_index_mut(position)?;
    if entry.attempt != assigned.attempt {
        entry.restart(view.now, assigned.attempt);
    }
    if entry.charged != assigned.limit {
        queue.refund(&entry.team, &entry.charged);
        queue.charge(&entry.team, &assigned.limit);
        entry.charged = assigned.limit;
    }
    if compare_checkpoint {
        let stored = view.state.tasks.get(&assigned.task);
        let checkpoint = stored.and_then(|t| t.checkpoint.as_ref());
        if checkpoint != entry.checkpoint.as_ref() {
            entry.checkpoint = checkpoint.cloned();
            entry.checkpointed = view.now;
        }
    }
    Some(entry)
}

/// Removes tasks that are no longer on a worker, for example because the owner
/// dropped their assignment.
fn drop_departed(tracked: &mut TrackedWorker, queue: &mut FairQueue, worker: &WorkerView) {
    let here: IndexSet<&TaskId> = worker.assigned.iter().map(|a| &a.task).collect();
    tracked.tasks.retain(|task, entry| {
        let stays = here.contains(task);
        if !stays {
            queue.refund(&entry.team, &entry.charged);
        }
        stays
    });
}
