//! Simulates the owner of one shard and its workers, as a placement policy sees them.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use jujubelb::config::{Config, Domain, Rack, Shard, Worker};
use jujubelb::journal::{AttemptOutcome, Change};
use jujubelb::model::{
    Checkpoint, DomainName, Epoch, JobName, JobSpec, RackName, RegionName, Resources, ShardName,
    TaskId, Time, WorkerName,
};
use jujubelb::shard::{
    AssignedTask, Choice, Decision, Policy, PolicyEvent, ShardSummary, ShardView, State, WorkerView,
};
use jujubelb::worker::Phase;

const WORKERS_PER_RACK: usize = 8;

/// One shard with the placement policy that is measured.
pub(super) struct Fleet<P> {
    pub(super) policy: P,
    pub(super) config: Config,
    pub(super) shard: ShardName,
    pub(super) state: State,
    pub(super) workers: IndexMap<WorkerName, WorkerView>,
    pub(super) peers: Vec<ShardSummary>,
    pub(super) now: Time,
    /// Total time spent in calls of the policy.
    pub(super) policy_time: Duration,
    queued: IndexMap<TaskId, Time>,
    backoff: IndexMap<TaskId, Time>,
    /// Decisions that violated a constraint and were not applied.
    pub(super) rejected: u64,
}

/// Adds a domain with one shard of the same name and its workers.
pub(super) fn add_domain(config: &mut Config, name: &str, count: usize, host: Resources) {
    let domain = DomainName::from(name);
    let region = RegionName::from("region");
    config.regions.insert(region.clone());
    config
        .domains
        .insert(domain.clone(), Domain { region, out: false });
    let shard = ShardName::from(name);
    let mut racks = IndexSet::new();
    for i in 0..count {
        let rack = RackName::new(format!("{name}-rack-{}", i / WORKERS_PER_RACK));
        let entry = Rack {
            domain: domain.clone(),
            shard: shard.clone(),
        };
        config.racks.insert(rack.clone(), entry);
        racks.insert(rack.clone());
        let worker = Worker {
            rack,
            address: ([127, 0, 0, 1], 1).into(),
            capacity: host,
            reserved: Resources::ZERO,
            protection: true,
        };
        config
            .workers
            .insert(WorkerName::new(format!("{name}-{i}")), worker);
    }
    config.shards.insert(shard, Shard { domain, racks });
}

impl<P: Policy> Fleet<P> {
    pub(super) fn new(config: Config, shard: ShardName, policy: P) -> Self {
        let view = |(name, worker): (&WorkerName, &Worker)| {
            let usable = worker.capacity.saturating_sub(&worker.reserved);
            let domain = config.shards[&shard].domain.clone();
            let view = WorkerView {
                domain,
                capacity: worker.capacity,
                reserved: worker.reserved,
                free: usable,
                protection: worker.protection,
                usable: true,
                quarantined: false,
                assigned: Vec::new(),
            };
            (name.clone(), view)
        };
        let workers = config.workers_of(&shard).map(view).collect();
        Self {
            policy,
            workers,
            shard,
            state: State::default(),
            peers: Vec::new(),
            now: Time::from_millis(10_000_000),
            policy_time: Duration::ZERO,
            queued: IndexMap::new(),
            backoff: IndexMap::new(),
            rejected: 0,
            config,
        }
    }

    pub(super) fn submit(&mut self, job: JobSpec) {
        for index in 0..job.tasks {
            let id = TaskId {
                job: job.name.clone(),
                index,
            };
            self.queued.insert(id, self.now);
        }
        self.change(Change::Accepted { job });
    }

    /// Cancels a job's queued tasks.
    pub(super) fn cancel(&mut self, job: &JobName) {
        self.queued.retain(|id, _| id.job != *job);
        self.change(Change::Cancelled { job: job.clone() });
    }

    /// Calls the policy once and applies its decisions. Returns the decisions
    /// and the time that the call took.
    pub(super) fn schedule(&mut self) -> (Vec<Decision>, Duration) {
        let view = ShardView {
            now: self.now,
            shard: &self.shard,
            config: &self.config,
            state: &self.state,
            workers: &self.workers,
            backoff_until: &self.backoff,
            queued_since: &self.queued,
            peers: &self.peers,
            can_start: true,
        };
        let start = Instant::now();
        let decisions = self.policy.choose(&view);
        let elapsed = start.elapsed();
        self.policy_time += elapsed;
        for decision in &decisions {
            self.apply(decision);
        }
        (decisions, elapsed)
    }

    /// Passes an event to the policy.
    pub(super) fn notify(&mut self, event: PolicyEvent<'_>) {
        let start = Instant::now();
        self.policy.on_event(self.now, event);
        self.policy_time += start.elapsed();
    }

    fn change(&mut self, change: Change) -> bool {
        self.state.apply_change(&change).is_ok()
    }

    fn apply(&mut self, decision: &Decision) {
        let valid = match decision.choice.clone() {
            Choice::Assign {
                task,
                worker,
                limit,
            } => self.assign(task, worker, limit),
            Choice::Evict { task } => self.update_assigned(&task, |o| o.stopping = true),
            Choice::Resize { task, limit } => self.resize(task, limit),
            Choice::HandOff { task, to } => {
                self.queued.swap_remove(&task);
                let attempt = self.state.tasks[&task].attempt;
                self.change(Change::Offered { task, attempt, to })
            }
            Choice::Delay { .. } => true,
            Choice::Quarantine { worker } => self.quarantine(worker, true),
            Choice::Readmit { worker } => self.quarantine(worker, false),
            Choice::Park { job } => {
                let cause = decision.cause;
                self.change(Change::Parked { job, cause })
            }
        };
        self.rejected += u64::from(!valid);
    }

    pub(super) fn assign(&mut self, task: TaskId, worker: WorkerName, limit: Resources) -> bool {
        let Some(view) = self.workers.get_mut(&worker) else {
            return false;
        };
        let attempt = self.state.tasks[&task].attempt.next();
        if !limit.fits(&view.free) || !view.usable {
            return false;
        }
        view.assigned.push(AssignedTask {
            task: task.clone(),
            attempt,
            limit,
            reported_limit: None,
            running: false,
            stopping: false,
        });
        view.free = view.free.saturating_sub(&limit);
        self.queued.swap_remove(&task);
        self.change(Change::Assigned {
            task,
            attempt,
            worker,
            limit,
        })
    }

    fn resize(&mut self, task: TaskId, limit: Resources) -> bool {
        let Some((worker, ..)) = self.state.assignment(&task) else {
            return false;
        };
        let Some(view) = self.workers.get_mut(&worker.clone()) else {
            return false;
        };
        let free = view.free;
        let Some(assigned) = view.assigned.iter_mut().find(|o| o.task == task) else {
            return false;
        };
        let counted = assigned.limit.max(&limit);
        let growth = counted.saturating_sub(&assigned.limit);
        if !growth.fits(&free) {
            return false;
        }
        assigned.limit = counted;
        view.free = free.saturating_sub(&growth);
        self.change(Change::Resized { task, limit })
    }

    fn quarantine(&mut self, worker: WorkerName, on: bool) -> bool {
        if let Some(view) = self.workers.get_mut(&worker) {
            view.quarantined = on;
        }
        self.change(Change::Quarantined { worker, on })
    }

    fn update_assigned(&mut self, task: &TaskId, change: impl FnOnce(&mut AssignedTask)) -> bool {
        let Some((worker, ..)) = self.state.assignment(task) else {
            return false;
        };
        let view = self.workers.get_mut(worker);
        let assigned = view.and_then(|v| v.assigned.iter_mut().find(|o| o.task == *task));
        assigned.map(change).is_some()
    }

    /// Applies the start and resize commands of a worker. Returns the tasks that
    /// it must checkpoint and stop.
    pub(super) fn apply_commands(&mut self, index: usize) -> Vec<TaskId> {
        let Some((_, view)) = self.workers.get_index_mut(index) else {
            return Vec::new();
        };
        let mut counted = Resources::ZERO;
        for assigned in &mut view.assigned {
            if let Some((_, limit, _)) = self.state.assignment(&assigned.task) {
                assigned.limit = limit;
                assigned.reported_limit = Some(limit);
                assigned.running = true;
            }
            counted += assigned.limit;
        }
        let usable = view.capacity.saturating_sub(&view.reserved);
        view.free = usable.saturating_sub(&counted);
        let stopping = view.assigned.iter().filter(|o| o.stopping);
        stopping.map(|o| o.task.clone()).collect()
    }

    /// Ends the current attempt of a task and reports it to the policy. A task
    /// that is not complete is queued again.
    pub(super) fn end_attempt(&mut self, id: &TaskId, outcome: AttemptOutcome, phase: Phase) {
        let Some((worker, planned, attempt)) = self.state.assignment(id) else {
            return;
        };
        let worker = worker.clone();
        let job = self.state.jobs[&id.job].spec.clone();
        if let Some(view) = self.workers.get_mut(&worker)
            && let Some(i) = view.assigned.iter().position(|o| o.task == *id)
        {
            let removed = view.assigned.swap_remove(i);
            let usable = view.capacity.saturating_sub(&view.reserved);
            let mut free = view.free;
            free += removed.limit;
            debug_assert!(free.fits(&usable));
            view.free = free;
        }
        let task = id.clone();
        self.change(Change::Ended {
            task,
            attempt,
            outcome,
        });
        self.notify(PolicyEvent::AttemptEnded {
            task: id,
            attempt,
            job: &job,
            worker: &worker,
            limit: planned,
            outcome,
            phase: Some(phase),
        });
        if self.state.tasks.contains_key(id) {
            self.queued.insert(id.clone(), self.now);
        }
    }

    /// Number of queued tasks.
    pub(super) fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Records the checkpoint that a task wrote.
    pub(super) fn checkpoint(&mut self, id: &TaskId, checkpoint: &Checkpoint) {
        let attempt = self.state.tasks[id].attempt;
        self.change(Change::Checkpointed {
            task: id.clone(),
            attempt,
            checkpoint: checkpoint.clone(),
        });
    }

    /// The change with which another shard accepts a task that was handed off.
    pub(super) fn offer(&self, id: &TaskId) -> Change {
        let task = &self.state.tasks[id];
        Change::Received {
            job: self.state.jobs[&id.job].spec.clone(),
            task: id.clone(),
            attempt: task.attempt,
            checkpoint: task.checkpoint.clone(),
            from: self.shard.clone(),
            epoch: Epoch(1),
        }
    }

    /// Accepts a task that another shard handed off.
    pub(super) fn receive(&mut self, offer: Change) {
        if let Change::Received { task, .. } = &offer {
            self.queued.insert(task.clone(), self.now);
        }
        self.change(offer);
    }

    /// Removes a task that another shard has accepted.
    pub(super) fn release(&mut self, id: &TaskId) {
        let attempt = self.state.tasks[id].attempt;
        let task = id.clone();
        self.change(Change::Released { task, attempt });
    }
}
