//! Batch work completed while one of three failure domains leaves and returns.
//!
//! Each domain has one shard with a policy of its own; queued tasks are handed
//! off between them. An eviction takes two seconds and writes a checkpoint, a
//! start takes two seconds to load it. One eviction in twenty fails to write its
//! checkpoint, so that the task resumes from the periodic one before.

use arcstr::ArcStr;
use indexmap::IndexMap;
use jujubelb::config::{Config, Team};
use jujubelb::journal::AttemptOutcome;
use jujubelb::model::{
    Checkpoint, ClassName, DomainName, Epoch, JobName, JobSpec, NodeName, Priority, Resources,
    ShardName, Span, TaskId, TaskKind, TaskSpec, TeamName, Time,
};
use jujubelb::place::PlacementPolicy;
use jujubelb::shard::{Choice, Policy, ShardSummary};
use jujubelb::worker::Phase;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::fleet::{Fleet, add_domain};
use super::report::Target;
use super::{Cell, Column, Measurement, Report, Table};

const DOMAINS: [&str; 3] = ["tunis-a", "tunis-b", "sfax-a"];
const WORKERS: usize = 16;
const HOST: Resources = Resources::new(64_000, 250 << 30, 0);
const CORES: f64 = 64.0;

const STEP: Span = Span::from_millis(100);

/// Time of an eviction with its checkpoint, and of loading it at a start.
const EVICT: Span = Span::from_secs(2);
const LOAD: Span = Span::from_secs(2);

/// Time between two periodic checkpoints of a task.
const CHECKPOINT: f64 = 60.0;

/// Time between two summaries that the shards send to each other.
const HEARTBEAT: u64 = 10;

/// Seconds before the domain leaves, while it is out, and after its return.
const PHASES: [f64; 3] = [300.0, 600.0, 300.0];

/// Run time of a task.
const RUN: std::ops::Range<f64> = 60.0..600.0;

/// Outcome of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The policy.
    pub variant: &'static str,
    /// Work offered at any time, as a share of the capacity of all domains.
    pub offered: f64,
    /// Core-seconds of work completed, without what was repeated.
    pub work: f64,
    /// Core-seconds that the capacity in service could have completed.
    pub ideal: f64,
    /// `work` as a share of `ideal`.
    pub ratio: f64,
    /// Core-seconds run a second time after a failed checkpoint.
    pub repeated: f64,
    /// Most seconds of one task run a second time; at most the time between two checkpoints.
    pub most_repeated: f64,
    /// Evictions and handoffs.
    pub evictions: u64,
    /// See `evictions`.
    pub handoffs: u64,
    /// Starts in a domain that is out. Has to be 0.
    pub wrong_starts: u64,
    /// Decisions that the owner would have dropped.
    pub dropped: u64,
}

/// Least share of what the capacity in service could have completed.
const LEAST: f64 = 0.97;

/// Options of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct DomainMove {
    /// Seed of arrivals, sizes and failed checkpoints.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

impl DomainMove {
    /// The usual run, which is short.
    pub const QUICK: Self = Self { seed: 7 };
}

impl Measurement for DomainMove {
    fn run(&self) -> Report {
        let rows = run(self.seed);
        let mut targets: Vec<_> = rows.iter().map(work).collect();
        let wrong = rows.iter().map(|r| r.wrong_starts).sum();
        targets.push(Target::none("starts in the domain that is out", wrong));
        let most = rows.iter().map(|r| r.most_repeated).fold(0.0, f64::max);
        targets.push(Target {
            target: format!("at most {CHECKPOINT} s of a task repeated"),
            measured: format!("{most:.1} s"),
            met: most <= CHECKPOINT,
        });
        Report {
            title: "Batch work while a failure domain leaves and returns".to_owned(),
            conditions: vec![format!(
                "3 domains of {WORKERS} workers, one out for 600 of 1,200 s, seed {}",
                self.seed
            )],
            tables: vec![Table::of("Work completed", &COLUMNS, &rows)],
            targets,
        }
    }
}

fn work(row: &Row) -> Target {
    Target {
        target: format!(
            "at least 97 % of what the capacity in service could complete, {:.0} % offered",
            row.offered * 100.0
        ),
        measured: format!("{:.1} %", row.ratio * 100.0),
        met: row.ratio >= LEAST,
    }
}

const COLUMNS: [Column<Row>; 11] = [
    ("variant", |r| r.variant.into()),
    ("offered", |r| r.offered.into()),
    ("work, core-seconds", |r| r.work.into()),
    ("ideal, core-seconds", |r| r.ideal.into()),
    ("ratio %", |r| Cell::Number(r.ratio * 100.0)),
    ("repeated, core-seconds", |r| r.repeated.into()),
    ("most repeated s", |r| r.most_repeated.into()),
    ("evictions", |r| r.evictions.into()),
    ("handoffs", |r| r.handoffs.into()),
    ("wrong starts", |r| r.wrong_starts.into()),
    ("dropped", |r| r.dropped.into()),
];

/// Runs the move with work that fits the remaining domains and with more work
/// than all domains hold.
fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for offered in [0.6, 1.2] {
        let place = |i: usize| PlacementPolicy::new(seed + i as u64);
        rows.push(Sim::new("place", place, seed, offered).run());
    }
    rows
}

/// One task: its cores, the seconds of run time left and what is saved.
#[derive(Debug, Clone, Copy)]
struct Work {
    cores: f64,
    total: f64,
    /// Seconds run, and those of the newest checkpoint.
    run: f64,
    saved: f64,
    /// When the present attempt was assigned, or its eviction began.
    since: Time,
    stopping: bool,
}

struct Sim<P> {
    fleets: Vec<Fleet<P>>,
    random: StdRng,
    works: IndexMap<TaskId, Work>,
    /// Cores of all tasks that have not ended.
    alive: f64,
    jobs: usize,
    step: u64,
    out: bool,
    row: Row,
}

impl<P: Policy> Sim<P> {
    fn new(variant: &'static str, policy: impl Fn(usize) -> P, seed: u64, offered: f64) -> Self {
        let mut config = Config::default();
        for domain in DOMAINS {
            add_domain(&mut config, domain, WORKERS, HOST);
        }
        let team = Team {
            quota: Resources::new(u64::MAX >> 24, u64::MAX >> 8, 0),
            weight: 1,
        };
        config.teams.insert(TeamName::from("team"), team);
        let fleet = |(i, domain): (usize, &&str)| {
            Fleet::new(config.clone(), ShardName::from(*domain), policy(i))
        };
        let row = Row {
            variant,
            offered,
            work: 0.0,
            ideal: 0.0,
            ratio: 0.0,
            repeated: 0.0,
            most_repeated: 0.0,
            evictions: 0,
            handoffs: 0,
            wrong_starts: 0,
            dropped: 0,
        };
        Self {
            fleets: DOMAINS.iter().enumerate().map(fleet).collect(),
            random: StdRng::seed_from_u64(seed),
            works: IndexMap::new(),
            alive: 0.0,
            jobs: 0,
            step: 0,
            out: false,
            row,
        }
    }

    fn run(mut self) -> Row {
        // The queues fill and the workers take up their tasks before the measurement.
        self.phase(120.0, false);
        self.row.work = 0.0;
        self.row.ideal = 0.0;
        let [before, out, after] = PHASES;
        self.phase(before, false);
        self.phase(out, true);
        self.phase(after, false);
        self.row.ratio = self.row.work / self.row.ideal;
        self.row.dropped = self.fleets.iter().map(|f| f.rejected).sum();
        self.row
    }

    fn phase(&mut self, seconds: f64, out: bool) {
        self.set_out(out);
        let steps = (seconds / STEP.as_secs_f64()) as u64;
        (0..steps).for_each(|_| self.step());
    }

    fn set_out(&mut self, out: bool) {
        self.out = out;
        for fleet in &mut self.fleets {
            fleet.config.domains[0].out = out;
            fleet.config.revision = fleet.config.revision.next();
        }
        // The owner itself evicts what runs in a domain that is out.
        let first = &mut self.fleets[0];
        for view in first.workers.values_mut() {
            view.usable = !out;
            for occupant in view.assigned.iter_mut().filter(|_| out) {
                occupant.stopping = true;
                self.row.evictions += 1;
                self.works[&occupant.task].since = first.now;
                self.works[&occupant.task].stopping = true;
            }
        }
    }

    fn step(&mut self) {
        self.step += 1;
        for fleet in &mut self.fleets {
            fleet.now = fleet.now + STEP;
        }
        let total = CORES * (WORKERS * DOMAINS.len()) as f64;
        let serving = if self.out { 2.0 / 3.0 } else { 1.0 };
        self.row.ideal += total * self.row.offered.min(serving) * STEP.as_secs_f64();
        while self.alive < total * self.row.offered {
            self.submit();
        }
        if self.step.is_multiple_of(HEARTBEAT) {
            self.exchange();
        }
        for i in 0..self.fleets.len() {
            self.decide(i);
        }
        for i in 0..self.fleets.len() {
            self.work(i);
        }
    }

    /// Submits a job to one of the shards in service.
    fn submit(&mut self) {
        self.jobs += 1;
        let first = usize::from(self.out);
        let home = self.random.random_range(first..self.fleets.len());
        let cores = self.random.random_range(1..=4u32);
        let job = JobSpec {
            name: JobName::new(format!("job-{}", self.jobs)),
            team: TeamName::from("team"),
            tasks: 5,
            task: TaskSpec {
                kind: TaskKind::Batch,
                class: ClassName::new(format!("class-{}", self.jobs % 10)),
                priority: Priority::Batch,
                size: Resources::new(u64::from(cores) * 1_000, u64::from(cores) << 30, 0),
                duration: Some(Span::from_secs(300)),
                domains: Vec::new(),
                reclaimable: false,
            },
        };
        for index in 0..job.tasks {
            let work = Work {
                cores: f64::from(cores),
                total: self.random.random_range(RUN),
                run: 0.0,
                saved: 0.0,
                since: Time::ZERO,
                stopping: false,
            };
            self.alive += work.cores;
            let job = job.name.clone();
            self.works.insert(TaskId { job, index }, work);
        }
        self.fleets[home].submit(job);
    }

    /// The shards learn each other's summaries.
    fn exchange(&mut self) {
        let summary = |fleet: &Fleet<P>| {
            let open = fleet.workers.values().filter(|w| w.usable);
            let (free, largest) = open.fold((Resources::ZERO, Resources::ZERO), |(f, l), w| {
                let mut free = f;
                free += w.free;
                (free, l.max(&w.free))
            });
            ShardSummary {
                shard: fleet.shard.clone(),
                domain: DomainName::from(fleet.shard.as_str()),
                owner: NodeName::from("owner"),
                epoch: Epoch(1),
                free,
                largest,
                queued: fleet.queued() as u32,
                running: fleet.state.tasks.len() as u32 - fleet.queued() as u32,
            }
        };
        let peers: Vec<_> = self.fleets.iter().map(summary).collect();
        for fleet in &mut self.fleets {
            fleet.peers.clone_from(&peers);
        }
    }

    fn decide(&mut self, i: usize) {
        let (decisions, _) = self.fleets[i].schedule();
        let now = self.fleets[i].now;
        for decision in decisions {
            match decision.choice {
                Choice::Assign { task, .. } => {
                    self.row.wrong_starts += u64::from(self.out && i == 0);
                    let saved = self.fleets[i].state.tasks[&task].checkpoint.as_ref();
                    let saved = saved.map_or(0.0, |c| c.0.parse().unwrap_or(0.0));
                    let work = &mut self.works[&task];
                    let again = work.run - saved;
                    self.row.repeated += again * work.cores;
                    self.row.work -= again * work.cores;
                    self.row.most_repeated = self.row.most_repeated.max(again);
                    work.run = saved;
                    work.saved = saved;
                    work.since = now;
                }
                Choice::Evict { task } => {
                    self.row.evictions += 1;
                    self.works[&task].since = now;
                    self.works[&task].stopping = true;
                }
                Choice::HandOff { task, to } => {
                    self.row.handoffs += 1;
                    let target = DOMAINS.iter().position(|d| *d == to.as_str());
                    let offer = self.fleets[i].offer(&task);
                    self.fleets[target.unwrap_or(i)].receive(offer);
                    self.fleets[i].release(&task);
                }
                _ => {}
            }
        }
    }

    /// The workers of one shard obey their commands and make progress.
    fn work(&mut self, i: usize) {
        let now = self.fleets[i].now;
        for worker in 0..self.fleets[i].workers.len() {
            self.fleets[i].apply_commands(worker);
            let Some((_, view)) = self.fleets[i].workers.get_index(worker) else {
                continue;
            };
            let tasks: Vec<_> = view.assigned.iter().map(|o| o.task.clone()).collect();
            for task in tasks {
                self.advance(i, &task, now);
            }
        }
    }

    fn advance(&mut self, i: usize, task: &TaskId, now: Time) {
        let work = &mut self.works[task];
        let age = now.since(work.since);
        if work.stopping {
            if age >= EVICT {
                work.stopping = false;
                if self.random.random_range(0..20) > 0 {
                    let run = work.run;
                    self.fleets[i].checkpoint(task, &checkpoint(run));
                }
                self.fleets[i].end_attempt(task, AttemptOutcome::Eviction, Phase::Evicted);
            }
            return;
        }
        if age < LOAD {
            return;
        }
        work.run += STEP.as_secs_f64();
        self.row.work += work.cores * STEP.as_secs_f64();
        if work.run >= work.total {
            self.alive -= work.cores;
            self.fleets[i].end_attempt(task, AttemptOutcome::Success, Phase::Succeeded);
        } else if work.run - work.saved >= CHECKPOINT {
            work.saved = work.run;
            let run = work.run;
            self.fleets[i].checkpoint(task, &checkpoint(run));
        }
    }
}

/// The fake's checkpoints are named by the seconds run.
fn checkpoint(run: f64) -> Checkpoint {
    Checkpoint(ArcStr::from(format!("{run}")))
}
