//! An owner and its workers, as far as a policy notices.

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

/// How the owner counts the room of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Counting {
    /// The larger of the planned limit and the limit in force.
    Largest,
    /// Deliberately wrong: the planned limit only.
    Planned,
    /// Deliberately wrong: the declared size only.
    Declared,
}

/// A task on a worker: planned limit, limit in force and whether it is stopping.
type Placed = (Resources, Option<Resources>, bool);

pub(super) struct Fake {
    pub(super) config: Config,
    pub(super) state: State,
    pub(super) policy: PlacementPolicy,
    pub(super) now: Time,
    pub(super) peers: Vec<ShardSummary>,
    pub(super) counting: Counting,
    /// Tasks by worker.
    pub(super) placed: IndexMap<WorkerName, IndexMap<TaskId, Placed>>,
    /// Workers that can't be reached.
    pub(super) away: IndexSet<WorkerName>,
    queued: IndexMap<TaskId, Time>,
}

pub(super) fn shard(i: usize) -> ShardName {
    ShardName::new(format!("shard-{i}"))
}

pub(super) fn worker(i: usize) -> WorkerName {
    WorkerName::new(format!("worker-{i}"))
}

/// A domain, a rack and a shard for each entry, with that many workers of 32
/// cores and 128 GiB, and one team.
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

impl Fake {
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
            away: IndexSet::new(),
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
        self.state.change(&Change::Accepted { job }).unwrap();
    }

    fn view_of(&self, name: &WorkerName) -> WorkerView {
        let declared = &self.config.workers[name];
        let domain = self.config.domain_of(name).unwrap().clone();
        let occupant = |(id, (planned, force, stopping)): (&TaskId, &Placed)| AssignedTask {
            task: id.clone(),
            attempt: self.state.tasks[id].attempt,
            limit: match self.counting {
                Counting::Largest => planned.max(&force.unwrap_or_default()),
                Counting::Planned => *planned,
                Counting::Declared => self.state.jobs[&id.job].spec.task.size,
            },
            reported_limit: *force,
            running: force.is_some(),
            stopping: *stopping,
        };
        let assigned: Vec<_> = self.placed[name].iter().map(occupant).collect();
        let counted: Resources = assigned.iter().map(|o| o.limit).sum();
        let usable = declared.capacity.saturating_sub(&declared.reserved);
        WorkerView {
            usable: self.config.in_service(&domain) && !self.away.contains(name),
            domain,
            capacity: declared.capacity,
            reserved: declared.reserved,
            free: usable.saturating_sub(&counted),
            protection: declared.protection,
            quarantined: self.state.quarantined.contains(name),
            assigned,
        }
    }

    /// Lets the policy decide once, 100 ms later, and carries the decisions out.
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
        self.state.change(&change).unwrap();
    }

    /// The worker obeys its commands: starts, new limits and evictions.
    pub(super) fn obey(&mut self, name: &WorkerName) {
        self.obey_some(name, |_| true);
    }

    /// The worker obeys the commands for some of its tasks, by their position.
    pub(super) fn obey_some(&mut self, name: &WorkerName, obeys: impl Fn(usize) -> bool) {
        let tasks = self.placed[name].iter_mut().enumerate();
        let mut stopped = Vec::new();
        for (_, (id, (planned, force, stopping))) in tasks.filter(|(i, _)| obeys(*i)) {
            *force = Some(*planned);
            if *stopping {
                stopped.push(id.clone());
            }
        }
        for id in stopped {
            self.end(&id, AttemptOutcome::Eviction, Phase::Evicted);
        }
    }

    pub(super) fn obey_all(&mut self) {
        let names: Vec<_> = self.placed.keys().cloned().collect();
        names.iter().for_each(|n| self.obey(n));
    }

    /// A pass after which all workers obey.
    pub(super) fn step(&mut self) -> Vec<Decision> {
        let decisions = self.pass();
        self.obey_all();
        decisions
    }

    /// Limits in force on a worker.
    pub(super) fn in_force(&self, name: &WorkerName) -> Resources {
        self.placed[name]
            .values()
            .filter_map(|(_, force, _)| *force)
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
            .change(&Change::Ended {
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

    /// Reports the use of all running tasks on a worker.
    pub(super) fn report(&mut self, name: &WorkerName, used: impl Fn(&TaskId) -> Resources) {
        let usage = |id: &TaskId| TaskUsage {
            task: id.clone(),
            attempt: self.state.tasks[id].attempt,
            used: used(id),
            wanted: Millicores(used(id).cpu.0),
        };
        let usage: Vec<_> = self.placed[name].keys().map(usage).collect();
        let news = PolicyEvent::UsageReported {
            worker: name,
            usage: &usage,
            lag: Span::from_secs(2),
        };
        self.policy.on_event(self.now, news);
    }

    pub(super) fn attempts(&self, id: &TaskId) -> Attempt {
        self.state.tasks[id].attempt
    }

    pub(super) fn running(&self) -> usize {
        self.placed.values().map(IndexMap::len).sum()
    }
}
