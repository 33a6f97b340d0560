//! Measures batch work while one of three failure domains is taken out of service and restored.
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
const WORKERS_PER_DOMAIN: usize = 16;
const WORKER_CAPACITY: Resources = Resources::new(64_000, 250 << 30, 0);
const CORES_PER_WORKER: f64 = 64.0;

const STEP: Span = Span::from_millis(100);

/// Duration of an eviction, including its checkpoint.
const EVICTION_TIME: Span = Span::from_secs(2);
/// Time to load a checkpoint at a start.
const CHECKPOINT_LOAD_TIME: Span = Span::from_secs(2);

/// Run time between two periodic checkpoints of a task.
const CHECKPOINT_INTERVAL_SECS: f64 = 60.0;

/// Simulation steps between two exchanges of shard summaries.
const HEARTBEAT_STEPS: u64 = 10;

/// Durations before the domain goes out of service, while it is out and after its return.
const PHASE_SECS: [f64; 3] = [300.0, 600.0, 300.0];

/// Range of the run time of a task.
const RUN_SECS: std::ops::Range<f64> = 60.0..600.0;

/// Results of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Name of the placement policy.
    pub variant: &'static str,
    /// Work offered at any time, as a share of the capacity of all domains.
    pub offered: f64,
    /// Core-seconds of work completed, without repeated work.
    pub work: f64,
    /// Core-seconds that the capacity in service could have completed.
    pub ideal: f64,
    /// `work` as a share of `ideal`.
    pub ratio: f64,
    /// Core-seconds run a second time after a failed checkpoint.
    pub repeated: f64,
    /// Maximum seconds that one task repeated; bounded by the time between two checkpoints.
    pub most_repeated: f64,
    /// Number of evictions and handoffs.
    pub evictions: u64,
    /// See `evictions`.
    pub handoffs: u64,
    /// Starts in a domain that is out of service; must be 0.
    pub wrong_starts: u64,
    /// Decisions that the owner would have dropped.
    pub dropped: u64,
}

/// Minimum work as a share of what the capacity in service could have completed.
const MIN_WORK_RATIO: f64 = 0.97;

/// Options of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct DomainMove {
    /// Seed of arrivals, sizes and failed checkpoints.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

impl DomainMove {
    /// The default options; the full run is short enough for a quick check.
    pub const QUICK: Self = Self { seed: 7 };
}

impl Measurement for DomainMove {
    fn run(&self) -> Report {
        let rows = run(self.seed);
        let mut targets: Vec<_> = rows.iter().map(work_target).collect();
        let wrong = rows.iter().map(|r| r.wrong_starts).sum();
        targets.push(Target::none("starts in the domain that is out", wrong));
        let most = rows.iter().map(|r| r.most_repeated).fold(0.0, f64::max);
        targets.push(Target {
            target: format!("at most {CHECKPOINT_INTERVAL_SECS} s of a task repeated"),
            measured: format!("{most:.1} s"),
            met: most <= CHECKPOINT_INTERVAL_SECS,
        });
        Report {
            title: "Batch work while a failure domain leaves and returns".to_owned(),
            conditions: vec![format!(
                "3 domains of {WORKERS_PER_DOMAIN} workers, one out for 600 of 1,200 s, seed {}",
                self.seed
            )],
            tables: vec![Table::of("Work completed", &COLUMNS, &rows)],
            targets,
        }
    }
}

fn work_target(row: &Row) -> Target {
    Target {
        target: format!(
            "at least 97 % of what the capacity in service could complete, {:.0} % offered",
            row.offered * 100.0
        ),
        measured: format!("{:.1} %", row.ratio * 100.0),
        met: row.ratio >= MIN_WORK_RATIO,
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

/// Runs the simulation with work that fits the remaining domains and with more work
/// than all domains hold.
fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for offered in [0.6, 1.2] {
        let place = |i: usize| PlacementPolicy::new(seed + i as u64);
        rows.push(Simulation::new("place", place, seed, offered).run());
    }
    rows
}

/// One task: its cores, its total run time and what it has run so far.
#[derive(Debug, Clone, Copy)]
struct TaskProgress {
    cores: f64,
    total: f64,
    /// Seconds run.
    run: f64,
    /// Seconds run at the newest checkpoint.
    checkpointed: f64,
    /// When the current attempt was assigned or its eviction began.
    since: Time,
    stopping: bool,
}

struct Simulation<P> {
    fleets: Vec<Fleet<P>>,
    random: StdRng,
    progress: IndexMap<TaskId, TaskProgress>,
    /// Cores of all unfinished tasks.
    unfinished_cores: f64,
    jobs: usize,
    step: u64,
    out: bool,
    row: Row,
}

impl<P: Policy> Simulation<P> {
    fn new(variant: &'static str, policy: impl Fn(usize) -> P, seed: u64, offered: f64) -> Self {
        let mut config = Config::default();
        for domain in DOMAINS {
            add_domain(&mut config, domain, WORKERS_PER_DOMAIN, WORKER_CAPACITY);
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
            progress: IndexMap::new(),
            unfinished_cores: 0.0,
            jobs: 0,
            step: 0,
            out: false,
            row,
        }
    }

    fn run(mut self) -> Row {
        // Warm-up: the queues fill and the workers start tasks.
        self.phase(120.0, false);
        self.row.work = 0.0;
        self.row.ideal = 0.0;
        let [before, out, after] = PHASE_SECS;
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
        // The owner, not the policy, evicts tasks from a domain that is out of service.
        let first = &mut self.fleets[0];
        for view in first.workers.values_mut() {
            view.usable = !out;
            for assignment in view.assigned.iter_mut().filter(|_| out) {
                assignment.stopping = true;
                self.row.evictions += 1;
                self.progress[&assignment.task].since = first.now;
                self.progress[&assignment.task].stopping = true;
            }
        }
    }

    fn step(&mut self) {
        self.step += 1;
        for fleet in &mut self.fleets {
            fleet.now = fleet.now + STEP;
        }
        let total = CORES_PER_WORKER * (WORKERS_PER_DOMAIN * DOMAINS.len()) as f64;
        let serving = if self.out { 2.0 / 3.0 } else { 1.0 };
        self.row.ideal += total * self.row.offered.min(serving) * STEP.as_secs_f64();
        while self.unfinished_cores < total * self.row.offered {
            self.submit();
        }
        if self.step.is_multiple_of(HEARTBEAT_STEPS) {
            self.exchange();
        }
        for i in 0..self.fleets.len() {
            self.decide(i);
        }
        for i in 0..self.fleets.len() {
            self.advance_workers(i);
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
            let work = TaskProgress {
                cores: f64::from(cores),
                total: self.random.random_range(RUN_SECS),
                run: 0.0,
                checkpointed: 0.0,
                since: Time::ZERO,
                stopping: false,
            };
            self.unfinished_cores += work.cores;
            let job = job.name.clone();
            self.progress.insert(TaskId { job, index }, work);
        }
        self.fleets[home].submit(job);
    }

    /// Sends the summary of each shard to all shards.
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
                    let checkpointed = self.fleets[i].state.tasks[&task].checkpoint.as_ref();
                    let checkpointed = checkpointed.map_or(0.0, |c| c.0.parse().unwrap_or(0.0));
                    let work = &mut self.progress[&task];
                    let repeated_secs = work.run - checkpointed;
                    self.row.repeated += repeated_secs * work.cores;
                    self.row.work -= repeated_secs * work.cores;
                    self.row.most_repeated = self.row.most_repeated.max(repeated_secs);
                    work.run = checkpointed;
                    work.checkpointed = checkpointed;
                    work.since = now;
                }
                Choice::Evict { task } => {
                    self.row.evictions += 1;
                    self.progress[&task].since = now;
                    self.progress[&task].stopping = true;
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

    /// Executes the commands and advances the tasks on the workers of one shard.
    fn advance_workers(&mut self, i: usize) {
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
        let work = &mut self.progress[task];
        let age = now.since(work.since);
        if work.stopping {
            if age >= EVICTION_TIME {
                work.stopping = false;
                if self.random.random_range(0..20) > 0 {
                    let run = work.run;
                    self.fleets[i].checkpoint(task, &checkpoint(run));
                }
                self.fleets[i].end_attempt(task, AttemptOutcome::Eviction, Phase::Evicted);
            }
            return;
        }
        if age < CHECKPOINT_LOAD_TIME {
            return;
        }
        work.run += STEP.as_secs_f64();
        self.row.work += work.cores * STEP.as_secs_f64();
        if work.run >= work.total {
            self.unfinished_cores -= work.cores;
            self.fleets[i].end_attempt(task, AttemptOutcome::Success, Phase::Succeeded);
        } else if work.run - work.checkpointed >= CHECKPOINT_INTERVAL_SECS {
            work.checkpointed = work.run;
            let run = work.run;
            self.fleets[i].checkpoint(task, &checkpoint(run));
        }
    }
}

/// Builds a checkpoint that encodes the seconds run.
fn checkpoint(run: f64) -> Checkpoint {
    Checkpoint(ArcStr::from(format!("{run}")))
}
