//! What each customer uses, counted anew in each scheduling pass.

use super::super::Dispatcher;
use super::super::job::{Job, TaskState};
use super::super::job_spec::{Step, StepKey, TaskKey};
use super::super::progress::JobOutcome;
use super::super::worker::{RunPhase, Worker};
use super::{Customer, CustomerIndex};
use crate::model::{Resources, Time};
use crate::place::{component_min, share};

/// Part of the processor time or the memory that long-running tasks leave of all workers, in percent,
/// from which on they count as full. The reserve for short tasks and what is left between tasks of several cores
/// are not free for all, so more is often not reached although tasks wait.
const FULL_PERCENT: u64 = 80;

/// Most processor time of best-effort tasks that is assumed on workers that have not listed their
/// runs, as a multiple of what these workers have. Memory alone permits 16 times as much with tasks
/// of 8 cores and 2 GiB on a worker of 64 cores and 256 GiB, and one worker out of reach would take
/// the whole limit of a customer. More than this may run, at under a quarter of the declared pace.
const MAX_BEST_EFFORT_MULTIPLE: u64 = 4;

/// What counts for a customer in one pass.
#[derive(Debug, Default)]
pub(super) struct Usage {
    /// Declared sizes of all tracked runs, with the starts of this pass.
    pub(super) tracked: Resources,
    /// The part of `tracked` that long-running tasks occupy.
    lasting: Resources,
    /// What its finite tasks reserve. Best-effort ones reserve no processor time.
    finite: Resources,
    /// Bound on what earlier leaders have started on workers that have not listed all their runs.
    pub(super) unlisted: Resources,
    /// Number of runs in both.
    pub(super) runs: u64,
    /// Whether it has tasks of ready finite steps that wait.
    pub(super) has_waiting: bool,
    /// Waiting tasks that its limit held back.
    pub(super) held: usize,
    /// Number of runs whose start the worker has not confirmed, and that may begin at any time.
    unconfirmed: u64,
    /// Whether the limit has held back a step in this pass that would fit after some ends. Finite
    /// steps of later rank get nothing then, or they would take what it waits for.
    is_awaited: bool,
}

impl Usage {
    pub(super) fn add(&mut self, step: &Step, confirmed: bool) {
        self.tracked += step.size;
        self.runs += 1;
        self.unconfirmed += u64::from(!confirmed);
        match step.long_running {
            true => self.lasting += step.size,
            false => self.finite += reserved_size(step),
        }
    }

    pub(super) fn counted(&self) -> Resources {
        self.tracked + self.unlisted
    }

    /// How many of these tasks of a step may start within a limit. If none fits, one may exceed it,
    /// since smaller tasks would otherwise take what a larger one waits for; of a gang that starts
    /// whole, one member. Only if no other start is on its way: starts arrive in any order, and
    /// a small task that begins after a large one must not bring the customer further over the limit.
    pub(super) fn allowed(&self, limit: &Resources, step: &Step, tasks: usize) -> usize {
        if self.is_awaited && !step.long_running {
            return 0;
        }
        let counted = self.counted();
        let Some(fitting) = share::tasks_within(limit, &counted, &step.size) else {
            return tasks;
        };
        let least = if step.gang { u64::from(step.count) } else { 1 };
        let allowed = match fitting < least && self.is_settled() {
            true => self.exceeding(limit, step),
            false => fitting,
        };
        usize::try_from(allowed).unwrap_or(tasks).min(tasks)
    }

    /// How many tasks may start if the last one may exceed the limit.
    fn exceeding(&self, limit: &Resources, step: &Step) -> u64 {
        let counted = self.counted();
        let allowed = match step.gang {
            true => share::members_within(limit, &counted, &step.size),
            false => share::starts_below(limit, &counted, &step.size).map(|n| n.min(1)),
        };
        allowed.unwrap_or(u64::MAX)
    }

    /// Whether all that counts is known to run.
    fn is_settled(&self) -> bool {
        self.unconfirmed == 0 && self.unlisted == Resources::ZERO
    }

    /// Whether a step that is held back waits only for the answers to other starts.
    fn awaits_answers(&self, limit: &Resources, step: &Step) -> bool {
        let least = if step.gang { u64::from(step.count) } else { 1 };
        !self.is_settled() && self.exceeding(limit, step) >= least
    }

    /// Whether a gang fits the limit once all finite runs have ended.
    fn may_fit(&self, limit: &Resources, step: &Step) -> bool {
        let members = share::members_within(limit, &self.lasting, &step.size);
        members.is_none_or(|n| n >= u64::from(step.count))
    }
}

/// What a task reserves on its worker.
fn reserved_size(step: &Step) -> Resources {
    match step.best_effort {
        true => Resources::new(0, step.size.memory.0, step.size.accelerators),
        false => step.size,
    }
}

/// What the runs of a worker reserve.
#[derive(Debug, Default)]
struct WorkerLoad {
    lasting: Resources,
    /// Of finite tasks, with the processor time that is in demand if it is more than declared.
    finite: Resources,
}

impl WorkerLoad {
    fn add(&mut self, step: &Step, cpu_demand: u64) {
        let mut size = reserved_size(step);
        if step.long_running {
            self.lasting += size;
            return;
        }
        if !step.best_effort {
            size.cpu.0 = size.cpu.0.max(cpu_demand);
        }
        self.finite += size;
    }
}

/// What long-running tasks leave of the workers in use, and how much of it is in use.
#[derive(Debug, Default)]
struct FiniteRoom {
    capacity: Resources,
    used: Resources,
}

impl FiniteRoom {
    fn add(&mut self, capacity: &Resources, load: &WorkerLoad) {
        let left = capacity.saturating_sub(&load.lasting);
        self.capacity += left;
        self.used += component_min(&left, &load.finite);
    }

    fn is_full(&self) -> bool {
        let is_near = |used: u64, all: u64| {
            u128::from(used) * 100 >= u128::from(all.max(1)) * u128::from(FULL_PERCENT)
        };
        let (used, all) = (&self.used, &self.capacity);
        is_near(used.cpu.0, all.cpu.0) || is_near(used.memory.0, all.memory.0)
    }
}

/// Waiting tasks of one kind that earlier leaders may have started.
#[derive(Debug, Default, Clone, Copy)]
struct InheritedTasks {
    count: u64,
    total: Resources,
    largest: Resources,
    /// Memory of the smallest task in bytes.
    smallest: u64,
}

impl InheritedTasks {
    fn add(&mut self, size: &Resources, count: u64) {
        if count == 0 {
            return;
        }
        self.smallest = match self.count {
            0 => size.memory.0,
            _ => self.smallest.min(size.memory.0),
        };
        self.count += count;
        self.largest = self.largest.max(size);
        self.total += times(size, count);
    }

    /// The most of them that workers may run, with their sizes.
    fn bound(&self, workers: &[Resources]) -> (u64, Resources) {
        let fitting = |w: &Resources| w.memory.0.checked_div(self.smallest).unwrap_or(u64::MAX);
        let fitting = workers.iter().map(fitting).fold(0, u64::saturating_add);
        let count = self.count.min(fitting);
        let size = component_min(&self.total, &times(&self.largest, count));
        (count, size)
    }
}

fn times(size: &Resources, count: u64) -> Resources {
    let accelerators = u64::from(size.accelerators).saturating_mul(count);
    Resources::new(
        size.cpu.0.saturating_mul(count),
        size.memory.0.saturating_mul(count),
        u32::try_from(accelerators).unwrap_or(u32::MAX),
    )
}

/// The size of each worker that may hold runs which it has not listed to this leader. A roster worker
/// without an entry in the store counts as large as the largest.
fn unlisted_room<'a>(workers: impl Iterator<Item = &'a Worker> + Clone) -> Vec<Resources> {
    let capacities = workers.clone().map(|w| w.report.capacity);
    let largest = capacities.fold(Resources::ZERO, |a, b| a.max(&b));
    let largest = match largest {
        Resources::ZERO => Resources::new(u64::MAX, u64::MAX, u32::MAX),
        known => known,
    };
    workers
        .filter(|w| w.may_hide_runs())
        .map(|w| match w.report.capacity {
            Resources::ZERO => largest,
            known => known,
        })
        .collect()
}

impl Dispatcher {
    /// Counts what each customer uses, and which use more than their share.
    pub(in super::super) fn count_customers(&mut self) {
        if self.customers.entries.is_empty() {
            return;
        }
        for customer in self.customers.entries.values_mut() {
            customer.usage = Usage::default();
        }
        let entries = &mut self.customers.entries;
        let mut room = FiniteRoom::default();
        for worker in self.workers.values() {
            let mut load = WorkerLoad::default();
            for (task, run) in &worker.runs {
                // The size that the worker reports is 0 for a run that was listed before its job was
                // read.
                let Some(job) = self.jobs.get(&task.step.job) else {
                    continue;
                };
                let Some(step) = job.record.spec.steps.get(usize::from(task.step.step)) else {
                    continue;
                };
                if let Some(customer) = job.customer {
                    let is_confirmed = run.phase == RunPhase::Running;
                    entries[customer.0].usage.add(step, is_confirmed);
                }
                load.add(step, run.cpu_demand());
            }
            if worker.fenced && worker.listed {
                room.add(&worker.report.capacity, &load);
            }
        }
        for key in &self.ready {
            let job = self.jobs.get(&key.job).filter(|j| j.outcome.is_none());
            if let Some((customer, step)) = job.and_then(|j| owner(j, *key)) {
                entries[customer.0].usage.has_waiting |= !step.long_running;
            }
        }
        if !self.inherited_resolved {
            self.count_unlisted();
        }
        self.compare_shares(&room);
    }

    /// Counts the tasks that earlier leaders may have started on workers that have not listed all
    /// their runs. These leaders can only start tasks of inherited jobs.
    fn count_unlisted(&mut self) {
        let room = unlisted_room(self.workers.values());
        let all: Resources = room.iter().copied().sum();
        let mut inherited = vec![[InheritedTasks::default(); 2]; self.customers.entries.len()];
        // Runs of cancelled and failed jobs go on until they are stopped.
        let may_run = |j: &&Job| j.inherited && j.outcome != Some(JobOutcome::Completed);
        for job in self.jobs.values().filter(may_run) {
            let Some(customer) = job.customer else {
                continue;
            };
            let kinds = &mut inherited[customer.0];
            let mut add = |step: &Step, tasks: usize| {
                kinds[usize::from(step.best_effort)].add(&step.size, tasks as u64);
            };
            let steps = &job.record.spec.steps;
            if job.outcome.is_some() && job.occurrences.is_empty() {
                steps.iter().for_each(|s| add(s, s.count as usize));
            }
            for occurrence in &job.occurrences {
                for (step, state) in steps.iter().zip(&occurrence.steps) {
                    let unknown = state.tasks.iter();
                    let unknown = unknown.filter(|t| t.inherited && t.state == TaskState::Waiting);
                    add(step, unknown.count());
                }
            }
        }
        for (customer, [others, best_effort]) in self.customers.entries.values_mut().zip(inherited)
        {
            let (count, size) = others.bound(&room);
            // Best-effort tasks reserve no processor time, so only memory bounds their number.
            let (more, mut added) = best_effort.bound(&room);
            let most = all.cpu.0.saturating_mul(MAX_BEST_EFFORT_MULTIPLE);
            added.cpu.0 = added.cpu.0.min(most);
            let size = component_min(&size, &all) + added;
            customer.usage.runs = customer
                .usage
                .runs
                .saturating_add(count.saturating_add(more));
            customer.usage.unlisted = size;
        }
    }

    /// Notes which customers use more than their share of what long-running tasks leave, while it is
    /// in use.
    fn compare_shares(&mut self, room: &FiniteRoom) {
        let is_full = room.is_full();
        let entries = &mut self.customers.entries;
        let is_active = |c: &Customer| c.usage.finite != Resources::ZERO || c.usage.has_waiting;
        let active = entries.values().filter(|c| is_active(c));
        let all: u64 = active.map(|c| u64::from(c.weight())).sum();
        for customer in entries.values_mut() {
            let weight = customer.weight();
            let finite = &customer.usage.finite;
            customer.beyond_share =
                is_full && share::exceeds_part(finite, &room.capacity, weight, all);
        }
    }

    /// Adds a start of the present pass to what the customer uses.
    pub(in super::super) fn count_start(&mut self, task: TaskKey) {
        let job = self.jobs.get(&task.step.job);
        if let Some((customer, step)) = job.and_then(|j| owner(j, task.step)) {
            self.customers.entries[customer.0].usage.add(step, false);
        }
    }

    /// Records that the limit of its customer keeps all waiting tasks of a step from starting.
    pub(in super::super) fn hold_limited(&mut self, key: StepKey, tasks: usize, now: Time) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if let Some(state) = job.step_mut(key.occurrence, key.step) {
            state.limited = Some(now);
        }
        self.count_held(key, tasks);
        let job = self.jobs.get(&key.job);
        if let Some((customer, step)) = job.and_then(|j| owner(j, key)) {
            let entry = &mut self.customers.entries[customer.0];
            let limit = entry.limit();
            let is_awaited = match step.gang {
                true => entry.usage.may_fit(&limit, step),
                false => entry.usage.awaits_answers(&limit, step),
            };
            entry.usage.is_awaited |= is_awaited;
        }
    }

    /// Counts waiting tasks of a step that the limit of its customer has held back.
    pub(in super::super) fn count_held(&mut self, key: StepKey, tasks: usize) {
        let customer = self.jobs.get(&key.job).and_then(|j| j.customer);
        if let Some(customer) = customer {
            self.customers.entries[customer.0].usage.held += tasks;
        }
    }
}

/// The customer and the declaration of a step.
fn owner(job: &Job, key: StepKey) -> Option<(CustomerIndex, &Step)> {
    let step = job.record.spec.steps.get(usize::from(key.step))?;
    Some((job.customer?, step))
}
