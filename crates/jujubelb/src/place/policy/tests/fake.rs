//! Fake of an owner and its workers that carries out the policy's decisions.

use indexmap::{IndexMap, IndexSet};

use crate::config::{Config, Domain, Rack, Shard, Team, Worker};
use crate::journal::{AttemptOutcome, Change};
use crate::model::{
    Attempt, ClassName, DomainName, Epoch, JobName, JobSpec, Millicores, NodeName, Priority,
    Resources, ShardName, Span, TaskId, TaskKind, TaskSpec, TeamName, Time, WorkerName,
};
use crate::place::PlacementPolicy;
use crate::shard::{
    AssignedTask, Choice, Decision, Policy, PolicyEvent, ShardSummary, ShardView, State, WorkerView,
};
use crate::worker::{Phase, TaskUsage};

pub(super) const GIB: u64 = 1 << 30;

/// How the owner counts the limit of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Counting {
    /// The larger of the planned and the confirmed limit.
    Largest,
    /// Incorrect on purpose: the planned limit only.
    Planned,
    /// Incorrect on purpose: the declared size only.
    Declared,
}

/// A task on a worker: planned limit, confirmed limit and whether it is stopping.
type Placement = (Resources, Option<Resources>, bool);

pub(super) struct FakeOwner {
    pub(super) config: Config,
    pub(super) state: State,
    pub(super) policy: PlacementPolicy,
    pub(super) now: Time,
    pub(super) peers: Vec<ShardSummary>,
    pub(super) counting: Counting,
    /// Tasks on each worker.
    pub(super) placed: IndexMap<WorkerName, IndexMap<TaskId, Placement>>,
    /// Workers that can't be reached.
    pub(super) unreachable: IndexSet<WorkerName>,
    queued: IndexMap<TaskId, Time>,
}

pub(super) fn shard(i: usize) -> ShardName {
    ShardName::new(format!("shard-{i}"))
}

pub(super) fn worker(i: usize) -> WorkerName {
    WorkerName::new(format!("worker-{i}"))
}

/// Builds a configuration with one team and, for each entry of `workers`, a failure
/// domain, a rack and a shard with that many workers of 32 cores and 128 GiB.
pub(super) fn config(workers: &[usize]) -> Config {
    let mut config = Config::default();
    let mut number = 0;
    for (i, count) in workers.iter().enumerate() {
        let domain = DomainName::new(format!("domain-{i}"));
        let rack = crate::model::RackName::new(format!("rack-{i}"));
        let region = crate::model::RegionName::from("region");
        config
            .domains
            .insert(domain.clone(), Domain { region, out: false });
        let racks = IndexSet::from([rack.clone()]);
        let entry = Rack {
            domain: domain.clone(),
            shard: shard(i),
        };
        config.racks.insert(rack.clone(), entry);
        config.shards.insert(shard(i), Shard { domain, racks });
        for _ in 0..*count {
            let host = Worker {
                rack: rack.clone(),
                address: ([127, 0, 0, 1], 1).into(),
                capacity: Resources::new(36_000, 136 * GIB, 0),
                reserved: Resources::new(4_000, 8 * GIB, 0),
                protection: true,
            };
            config.workers.insert(worker(number), host);
            number += 1;
        }
    }
    let team = Team {
        quota: Resources::new(100_000_000, 1 << 50, 0),
        weight: 1,
    };
    config.teams.insert(TeamName::from("team"), team);
    config
}

pub(super) fn job(name: &str, tasks: u32, priority: Priority, size: Resources) -> JobSpec {
    JobSpec {
        name: JobName::from(name),
        team: TeamName::from("team"),
        tasks,
        task: TaskSpec {
            kind: TaskKind::Batch,
            class: ClassName::from(name),
            priority,
            size,
            duration: Some(Span::from_secs(60)),
            domains: Vec::new(),
            reclaimable: false,
        },
    }
}

pub(super) fn peer(i: usize, largest: Resources) -> ShardSummary {
    ShardSummary {
        shard: shard(i),
        domain: DomainName::new(format!("domain-{i}")),
        owner: NodeName::from("peer"),
        epoch: Epoch(1),
        free: largest,
        largest,
        queued: 0,
        running: 0,
    }
}

impl FakeOwner {
    pub(super) fn new(config: Config) -> Self {
        let home = shard(0);
        let placed = config.workers_of(&home);
        let placed = placed.map(|(w, _)| (w.clone(), IndexMap::new())).collect();
        Self {
            placed,
            config,
            state: State::default(),
            policy: PlacementPolicy::new(1),
            now: Time::from_millis(1_000_000),
            peers: Vec::new(),
            counting: Counting::Largest,
            unreachable: IndexSet::new(),
            queued: IndexMap::new(),
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
        self.state.apply_change(&Change::Accepted { job }).unwrap();
    }

    fn view_of(&self, name: &WorkerName) -> WorkerView {
        let declared = &self.config.workers[name];
        let domain = self.config.domain_of(name).unwrap().clone();
        let assigned_task =
            |(id, (planned, confirmed, stopping)): (&TaskId, &Placement)| AssignedTask {
                task: id.clone(),
                attempt: self.state.tasks[id].attempt,
                limit: match self.counting {
                    Counting::Largest => planned.max(&confirmed.unwrap_or_default()),
                    Counting::Planned => *planned,
                    Counting::Declared => self.state.jobs[&id.job].spec.task.size,
                },
                reported_limit: *confirmed,
                running: confirmed.is_some(),
                stopping: *stopping,
            };
        let assigned: Vec<_> = self.placed[name].iter().map(assigned_task).collect();
        let counted: Resources = assigned.iter().map(|o| o.limit).sum();
        let usable = declared.capacity.saturating_sub(&declared.reserved);
        WorkerView {
            usable: self.config.in_service(&domain) && !self.unreachable.contains(name),
            domain,
            capacity: declared.capacity,
            reserved: declared.reserved,
            free: usable.saturating_sub(&counted),
            protection: declared.protection,
            quarantined: self.state.quarantined.contains(name),
            assigned,
        }
    }

    /// Advances the time by 100 ms, runs one pass and applies the decisions.
    pub(super) fn pass(&mut self) -> Vec<Decision> {
        self.now = self.now + Span::from_millis(100);
        let names: Vec<_> = self.placed.keys().cloned().collect();
        let workers = names.into_iter().map(|n| (n.clone(), self.view_of(&n)));
        let workers: IndexMap<_, _> = workers.collect();
        let view = ShardView {
            now: self.now,
            shard: &shard(0),
            config: &self.config,
            state: &self.state,
            workers: &workers,
            backoff_until: &IndexMap::new(),
            queued_since: &self.queued,
            peers: &self.peers,
            can_start: true,
        };
        let decisions = self.policy.choose(&view);
        for decision in &decisions {
            self.apply(&decision.choice);
        }
        decisions
    }

    fn apply(&mut self, choice: &Choice) {
        let change = match choice.clone() {
            Choice::Assign {
                task,
                worker,
                limit,
            } => {
                let entry = (limit, None, false);
                self.placed[&worker].insert(task.clone(), entry);
                self.queued.swap_remove(&task);
                let attempt = self.state.tasks[&task].attempt.next();
                Change::Assigned {
                    task,
                    attempt,
                    worker,
                    limit,
                }
            }
            Choice::Evict { task } => {
                let (worker, ..) = self.state.assignment(&task).unwrap();
                self.placed[worker][&task].2 = true;
                return;
            }
            Choice::Resize { task, limit } => {
                let (worker, ..) = self.state.assignment(&task).unwrap();
                self.placed[worker][&task].0 = limit;
                Change::Resized { task, limit }
            }
            Choice::HandOff { task, to } => {
                self.queued.swap_remove(&task);
                let attempt = self.state.tasks[&task].attempt;
                Change::Offered { task, attempt, to }
            }
            Choice::Quarantine { worker } => Change::Quarantined { worker, on: true },
            Choice::Readmit { worker } => Change::Quarantined { worker, on: false },
            Choice::Park { job } => Change::Parked {
                job,
                cause: crate::model::Cause::Impossible,
            },
            Choice::Delay { .. } => return,
        };
        self.state.apply_change(&change).unwrap();
    }

    /// Executes all pending commands of a worker: starts, new limits and evictions.
    pub(super) fn execute(&mut self, name: &WorkerName) {
        self.execute_some(name, |_| true);
    }

    /// Executes the pending commands for those tasks of a worker whose position
    /// `selected` accepts.
    pub(super) fn execute_some(&mut self, name: &WorkerName, selected: impl Fn(usize) -> bool) {
        let tasks = self.placed[name].iter_mut().enumerate();
        let mut stopped = Vec::new();
        for (_, (id, (planned, confirmed, stopping))) in tasks.filter(|(i, _)| selected(*i)) {
            *confirmed = Some(*planned);
            if *stopping {
                stopped.push(id.clone());
            }
        }
        for id in stopped {
            self.end(&id, AttemptOutcome::Eviction, Phase::Evicted);
        }
    }

    pub(super) fn execute_all(&mut self) {
        let names: Vec<_> = self.placed.keys().cloned().collect();
        names.iter().for_each(|n| self.execute(n));
    }

    /// Runs one pass, then executes the commands of all workers.
    pub(super) fn step(&mut self) -> Vec<Decision> {
        let decisions = self.pass();
        self.execute_all();
        decisions
    }

    /// Sum of the confirmed limits on a worker.
    pub(super) fn confirmed_limits(&self, name: &WorkerName) -> Resources {
        self.placed[name]
            .values()
            .filter_map(|(_, confirmed, _)| *confirmed)
            .sum()
    }

    pub(super) fn end(&mut self, id: &TaskId, outcome: AttemptOutcome, phase: Phase) {
        let Some((worker, _, attempt)) = self.state.assignment(id) else {
            return;
        };
        let worker = worker.clone();
        let job = self.state.jobs[&id.job].spec.clone();
        let (planned, ..) = self.placed[&worker].swap_remove(id).unwrap();
        let task = id.clone();
        self.state
            .apply_change(&Change::Ended {
                task,
                attempt,
                outcome,
            })
            .unwrap();
        self.policy.on_event(
            self.now,
            PolicyEvent::AttemptEnded {
                task: id,
                attempt,
                job: &job,
                worker: &worker,
                limit: planned,
                outcome,
                phase: Some(phase),
            },
        );
        if self.state.tasks.contains_key(id) {
            self.queued.insert(id.clone(), self.now);
        }
    }

    /// Reports the use of all tasks on a worker.
    pub(super) fn report(&mut self, name: &WorkerName, used: impl Fn(&TaskId) -> Resources) {
        let usage = |id: &TaskId| TaskUsage {
            task: id.clone(),
            attempt: self.state.tasks[id].attempt,
            used: used(id),
            wanted: Millicores(used(id).cpu.0),
        };
        let usage: Vec<_> = self.placed[name].keys().map(usage).collect();
        let event = PolicyEvent::UsageReported {
            worker: name,
            usage: &usage,
            lag: Span::from_secs(2),
        };
        self.policy.on_event(self.now, event);
    }

    pub(super) fn attempts(&self, id: &TaskId) -> Attempt {
        self.state.tasks[id].attempt
    }

    pub(super) fn running(&self) -> usize {
        self.placed.values().map(IndexMap::len).sum()
    }
}
