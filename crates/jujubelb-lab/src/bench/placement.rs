//! Cost of placement decisions by the number of workers of one owner.
//!
//! A shard with 46,000 running tasks (or its part of them) takes 240 starts a
//! second (or its part), as many ends, and a usage report of each worker a
//! second. Only the time spent in the policy is counted. All decisions are the
//! same for the same seed; the times are not.

use std::time::Duration;

use hdrhistogram::Histogram;
use jujubelb::config::{Config, Team};
use jujubelb::journal::AttemptOutcome;
use jujubelb::model::{
    ClassName, JobName, JobSpec, Millicores, Priority, Resources, ShardName, Span, TaskId,
    TaskKind, TaskSpec, TeamName,
};
use jujubelb::place::PlacementPolicy;
use jujubelb::shard::{Choice, FirstFit, Policy, PolicyEvent};
use jujubelb::worker::{Phase, TaskUsage};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::fleet::{Fleet, add_domain};
use super::report::Target;
use super::{Column, Measurement, Report, Table};

/// Running tasks of the whole deployment, and those of them that are urgent.
const TASKS: usize = 46_000;
const URGENT: usize = 7_100;

/// Starts a second of the whole deployment.
const STARTS: usize = 240;

/// Teams of the deployment.
const TEAMS: usize = 390;

/// Workers of one shard when the deployment is divided.
const SHARD: usize = 104;

/// Time between two passes, and their number in a second.
const PASS: Span = Span::from_millis(100);
const PASSES: usize = 10;

/// Part of the capacity that is in use.
const USED: f64 = 0.8;

const HOST: Resources = Resources::new(64_000, 250 << 30, 0);

/// Cost of the decisions of one owner.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The policy.
    pub policy: &'static str,
    /// Workers of the deployment.
    pub workers: usize,
    /// Workers of the owner under measurement.
    pub owned: usize,
    /// Tasks running in its shard.
    pub running: usize,
    /// Starts decided.
    pub starts: usize,
    /// Decisions that the owner would have dropped.
    pub dropped: u64,
    /// Starts that the policy can decide in a second of processor time.
    pub starts_per_second: f64,
    /// Processor time for one start, with its share of reports and ends.
    pub micros_per_start: f64,
    /// Median and 99th percentile of a pass that decided at least one start.
    pub pass_p50_micros: u64,
    /// See `pass_p50_micros`.
    pub pass_p99_micros: u64,
    /// Processor time at the owner's part of 240 starts/s, as a share of a core.
    pub core_share: f64,
}

/// Most of a core that control may use on one node.
const CORE_SHARE: f64 = 0.014;

/// Options of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct Placement {
    /// Seed of arrivals and sizes.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Seconds of simulated time for each row.
    #[arg(long, default_value_t = 30)]
    seconds: usize,
}

impl Placement {
    /// A short run, which shows only that the measurement works.
    pub const QUICK: Self = Self {
        seed: 7,
        seconds: 2,
    };
}

impl Measurement for Placement {
    fn run(&self) -> Report {
        let rows = run(self.seed, self.seconds);
        let waves = waves(self.seed);
        Report {
            title: "Processor time of placement decisions".to_owned(),
            conditions: vec![
format!(
"46,000 running tasks, 240 starts/s and 390 teams in the whole deployment, \
                     {} simulated seconds, seed {}",
self.seconds, self.seed
),
"only the time in the policy counts; an owner's part is in proportion to its workers"
.to_owned(),
],
            tables: vec![
                Table::of("Steady load", &COLUMNS, &rows),
                Table::of("Waves", &WAVES, &waves),
            ],
            targets: targets(&rows),
        }
    }
}

const COLUMNS: [Column<Row>; 11] = [
    ("policy", |r| r.policy.into()),
    ("workers", |r| r.workers.into()),
    ("owned", |r| r.owned.into()),
    ("running", |r| r.running.into()),
    ("starts", |r| r.starts.into()),
    ("dropped", |r| r.dropped.into()),
    ("starts per core-second", |r| r.starts_per_second.into()),
    ("µs per start", |r| r.micros_per_start.into()),
    ("pass p50 µs", |r| r.pass_p50_micros.into()),
    ("pass p99 µs", |r| r.pass_p99_micros.into()),
    ("core %", |r| (r.core_share * 100.0).into()),
];

const WAVES: [Column<WaveRow>; 5] = [
    ("wave", |r| r.wave.into()),
    ("tasks", |r| r.tasks.into()),
    ("running", |r| r.running.into()),
    ("longest pass µs", |r| r.longest_micros.into()),
    ("core %", |r| (r.core_share * 100.0).into()),
];

fn targets(rows: &[Row]) -> Vec<Target> {
    let product = rows.iter().filter(|r| r.policy == "place");
    let share = |row: &Row| Target {
        target: format!(
            "at most 1.4 % of a core, an owner of {} of {} workers",
            row.owned, row.workers
        ),
        measured: format!("{:.2} %", row.core_share * 100.0),
        met: row.core_share <= CORE_SHARE,
    };
    product.map(share).collect()
}

/// Measures all sizes, undivided and divided, for `seconds` of simulated time each.
fn run(seed: u64, seconds: usize) -> Vec<Row> {
    let mut rows = Vec::new();
    for workers in [48, 500, 2_600] {
        rows.push(measure(
            "place",
            PlacementPolicy::new(seed),
            seed,
            seconds,
            workers,
            workers,
        ));
        if workers > SHARD {
            let policy = PlacementPolicy::new(seed);
            rows.push(measure("place", policy, seed, seconds, workers, SHARD));
        }
        rows.push(measure(
            "first-fit",
            FirstFit,
            seed,
            seconds,
            workers,
            workers,
        ));
    }
    rows
}

/// Cost of a wave of submissions or cancellations for one owner of 104 workers.
#[derive(Debug, Clone, Serialize)]
pub struct WaveRow {
    /// What the wave is.
    pub wave: &'static str,
    /// Tasks in it, and tasks running meanwhile.
    pub tasks: usize,
    /// See `tasks`.
    pub running: usize,
    /// The longest pass within ten seconds after the wave.
    pub longest_micros: u64,
    /// Processor time in these ten seconds, as a share of a core.
    pub core_share: f64,
}

/// Measures waves of 10,000 tasks of one job, beside the usual load of a shard.
fn waves(seed: u64) -> Vec<WaveRow> {
    let mut load = Load::new(PlacementPolicy::new(seed), seed, 2_600, SHARD);
    (0..35 * PASSES).for_each(|_| load.pass());
    let wave = load.job(10_000, false);
    let name = wave.name.clone();
    load.fleet.submit(wave);
    let submitted = load.wave("10,000 submissions");
    load.fleet.cancel(&name);
    vec![submitted, load.wave("10,000 cancellations")]
}

fn measure<P: Policy>(
    name: &'static str,
    policy: P,
    seed: u64,
    seconds: usize,
    workers: usize,
    owned: usize,
) -> Row {
    let mut load = Load::new(policy, seed, workers, owned);
    // Learned sizes settle first, and the bound on starts of new workers ends.
    (0..35 * PASSES).for_each(|_| load.pass());
    load.reset();
    (0..seconds * PASSES).for_each(|_| load.pass());
    let spent = load.fleet.policy_time.as_secs_f64();
    Row {
        policy: name,
        workers,
        owned,
        running: load.running.len(),
        starts: load.starts,
        dropped: load.fleet.rejected,
        starts_per_second: load.starts as f64 / spent,
        micros_per_start: spent * 1e6 / load.starts.max(1) as f64,
        pass_p50_micros: load.passes.value_at_quantile(0.5),
        pass_p99_micros: load.passes.value_at_quantile(0.99),
        core_share: spent / seconds as f64,
    }
}

/// One shard under a steady load.
struct Load<P> {
    fleet: Fleet<P>,
    random: StdRng,
    /// Running tasks in no order.
    running: Vec<TaskId>,
    /// Mean size of a task.
    mean: Resources,
    /// Starts a second, and those not yet submitted, in thousandths.
    rate: usize,
    owed: usize,
    jobs: usize,
    starts: usize,
    passes: Histogram<u64>,
    longest: Duration,
    pass: usize,
}

impl<P: Policy> Load<P> {
    fn new(policy: P, seed: u64, workers: usize, owned: usize) -> Self {
        let mut config = Config::default();
        add_domain(&mut config, "shard", owned, HOST);
        for i in 0..TEAMS {
            let team = Team {
                quota: Resources::new(u64::MAX >> 24, u64::MAX >> 8, 0),
                weight: 1 + i as u32 % 3,
            };
            config
                .teams
                .insert(TeamName::new(format!("team-{i}")), team);
        }
        let tasks = TASKS * owned / workers;
        let part = USED * owned as f64 / tasks as f64;
        let mean = Resources::new(
            (HOST.cpu.0 as f64 * part) as u64,
            (HOST.memory.0 as f64 * part) as u64,
            0,
        );
        let fleet = Fleet::new(config, ShardName::from("shard"), policy);
        // These bounds, 1 µs to 10 s with three significant digits, are valid.
        let passes = Histogram::new_with_bounds(1, 10_000_000, 3).expect("valid bounds");
        let mut load = Self {
            fleet,
            random: StdRng::seed_from_u64(seed),
            running: Vec::new(),
            mean,
            rate: STARTS * 1_000 * owned / workers,
            owed: 0,
            jobs: 0,
            starts: 0,
            passes,
            longest: Duration::ZERO,
            pass: 0,
        };
        load.fill(tasks);
        load
    }

    /// Runs for ten seconds after a wave.
    fn wave(&mut self, wave: &'static str) -> WaveRow {
        self.reset();
        (0..10 * PASSES).for_each(|_| self.pass());
        WaveRow {
            wave,
            tasks: 10_000,
            running: self.running.len(),
            longest_micros: self.longest.as_micros() as u64,
            core_share: self.fleet.policy_time.as_secs_f64() / 10.0,
        }
    }

    fn reset(&mut self) {
        self.longest = Duration::ZERO;
        self.fleet.policy_time = Duration::ZERO;
        self.fleet.rejected = 0;
        self.starts = 0;
        self.passes.reset();
    }

    /// Places the running tasks in turn, without the policy.
    fn fill(&mut self, tasks: usize) {
        let workers: Vec<_> = self.fleet.workers.keys().cloned().collect();
        let mut placed = 0;
        while placed < tasks {
            let urgent = placed * URGENT / TASKS != (placed + 100) * URGENT / TASKS
                && self.random.random_bool(URGENT as f64 / TASKS as f64);
            let job = self.job(100.min(tasks - placed) as u32, urgent);
            self.fleet.submit(job.clone());
            for index in 0..job.tasks {
                let id = TaskId {
                    job: job.name.clone(),
                    index,
                };
                let worker = workers[placed % workers.len()].clone();
                if self.fleet.assign(id.clone(), worker, job.task.size) {
                    self.running.push(id);
                }
                placed += 1;
            }
        }
        (0..workers.len()).for_each(|i| drop(self.fleet.apply_commands(i)));
    }

    fn job(&mut self, tasks: u32, urgent: bool) -> JobSpec {
        self.jobs += 1;
        let team = self.random.random_range(0..TEAMS);
        let class = self.random.random_range(0..50);
        let tenths = self.random.random_range(5..=15);
        let size = Resources::new(
            (self.mean.cpu.0 * tenths / 10).max(1),
            self.mean.memory.0 * tenths / 10,
            0,
        );
        JobSpec {
            name: JobName::new(format!("job-{}", self.jobs)),
            team: TeamName::new(format!("team-{team}")),
            tasks,
            task: TaskSpec {
                kind: TaskKind::Batch,
                class: ClassName::new(format!("class-{class}-{tenths}")),
                priority: if urgent {
                    Priority::Urgent
                } else {
                    Priority::Batch
                },
                size,
                duration: Some(Span::from_secs(200)),
                domains: Vec::new(),
                reclaimable: false,
            },
        }
    }

    fn pass(&mut self) {
        self.fleet.now = self.fleet.now + PASS;
        self.pass += 1;
        self.owed += self.rate / PASSES;
        while self.owed >= 1_000 {
            self.owed -= 1_000;
            let urgent = self.random.random_bool(0.5);
            let job = self.job(1, urgent);
            self.fleet.submit(job);
            let ended = self.random.random_range(0..self.running.len());
            let ended = self.running.swap_remove(ended);
            self.fleet
                .end_attempt(&ended, AttemptOutcome::Success, Phase::Succeeded);
        }
        self.report();
        let (decisions, took) = self.fleet.schedule();
        self.longest = self.longest.max(took);
        let mut started = 0;
        for decision in &decisions {
            if let Choice::Assign { task, .. } = &decision.choice {
                self.running.push(task.clone());
                started += 1;
            }
        }
        if started > 0 {
            self.passes.saturating_record(took.as_micros() as u64);
        }
        self.starts += started;
        (0..self.fleet.workers.len()).for_each(|i| drop(self.fleet.apply_commands(i)));
    }

    /// Each worker reports its use once a second.
    fn report(&mut self) {
        for i in (self.pass % PASSES..self.fleet.workers.len()).step_by(PASSES) {
            let Some((name, view)) = self.fleet.workers.get_index(i) else {
                continue;
            };
            let name = name.clone();
            let usage = view
                .assigned
                .iter()
                .filter(|o| o.running)
                .map(|o| TaskUsage {
                    task: o.task.clone(),
                    attempt: o.attempt,
                    used: Resources::new(o.limit.cpu.0 * 7 / 10, o.limit.memory.0 * 7 / 10, 0),
                    wanted: Millicores(o.limit.cpu.0 * 7 / 10),
                });
            let usage: Vec<_> = usage.collect();
            let news = PolicyEvent::UsageReported {
                worker: &name,
                usage: &usage,
                lag: Span::from_secs(2),
            };
            self.fleet.notify(news);
        }
    }
}
