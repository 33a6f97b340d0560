//! Measures the processor time of placement decisions by number of workers.
//!
//! The whole deployment runs 46,000 tasks with 240 starts and as many completions a
//! second; a shard has its share of them. Each worker reports its usage once a
//! second. Only the time spent in the policy is counted. The decisions are the same
//! for the same seed; the times are not.

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

/// Running tasks of the whole deployment.
const TOTAL_TASKS: usize = 46_000;
/// Urgent tasks among `TOTAL_TASKS`.
const URGENT_TASKS: usize = 7_100;

/// Task starts per second of the whole deployment.
const STARTS_PER_SECOND: usize = 240;

/// Number of teams of the deployment.
const TEAM_COUNT: usize = 390;

/// Workers of one shard when the deployment is divided.
const SHARD_WORKERS: usize = 104;

/// Time between two scheduling passes.
const PASS_INTERVAL: Span = Span::from_millis(100);
/// Scheduling passes per second.
const PASSES_PER_SECOND: usize = 10;

/// Share of the capacity that is in use.
const USED_SHARE: f64 = 0.8;

const WORKER_CAPACITY: Resources = Resources::new(64_000, 250 << 30, 0);

/// Cost of the decisions of one owner.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Name of the placement policy.
    pub policy: &'static str,
    /// Workers of the deployment.
    pub workers: usize,
    /// Workers of the owner under measurement.
    pub owned: usize,
    /// Tasks running in its shard.
    pub running: usize,
    /// Task starts decided by the policy.
    pub starts: usize,
    /// Decisions that the owner would have dropped.
    pub dropped: u64,
    /// Starts that the policy can decide in a second of processor time.
    pub starts_per_second: f64,
    /// Processor time for one start, with its share of reports and completions.
    pub micros_per_start: f64,
    /// Median and 99th percentile of a pass that decided at least one start.
    pub pass_p50_micros: u64,
    /// See `pass_p50_micros`.
    pub pass_p99_micros: u64,
    /// Processor time at the owner's share of 240 starts/s, as a share of a core.
    pub core_share: f64,
}

/// Maximum share of a core that control may use on one node.
const MAX_CORE_SHARE: f64 = 0.014;

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
    /// Options of a short run that only checks that the measurement works.
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
                Table::of("Waves", &WAVE_COLUMNS, &waves),
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

const WAVE_COLUMNS: [Column<WaveRow>; 5] = [
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
        met: row.core_share <= MAX_CORE_SHARE,
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
        if workers > SHARD_WORKERS {
            let policy = PlacementPolicy::new(seed);
            rows.push(measure(
                "place",
                policy,
                seed,
                seconds,
                workers,
                SHARD_WORKERS,
            ));
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
    /// Size and kind of the wave.
    pub wave: &'static str,
    /// Tasks submitted or cancelled, and tasks running at the end of the measurement.
    pub tasks: usize,
    /// See `tasks`.
    pub running: usize,
    /// The longest pass within ten seconds after the wave.
    pub longest_micros: u64,
    /// Processor time in these ten seconds, as a share of a core.
    pub core_share: f64,
}

/// Measures waves of 10,000 tasks of one job, in addition to the steady load of a shard.
fn waves(seed: u64) -> Vec<WaveRow> {
    let mut load = LoadedShard::new(PlacementPolicy::new(seed), seed, 2_600, SHARD_WORKERS);
    (0..35 * PASSES_PER_SECOND).for_each(|_| load.pass());
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
    let mut load = LoadedShard::new(policy, seed, workers, owned);
    // Warm-up: size estimates converge and the start limit of new workers expires.
    (0..35 * PASSES_PER_SECOND).for_each(|_| load.pass());
    load.reset();
    (0..seconds * PASSES_PER_SECOND).for_each(|_| load.pass());
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
struct LoadedShard<P> {
    fleet: Fleet<P>,
    random: StdRng,
    /// Running tasks, unordered.
    running: Vec<TaskId>,
    /// Mean size of a task.
    mean: Resources,
    /// Task starts per second, in thousandths.
    rate: usize,
    /// Task starts that are due but not submitted, in thousandths.
    unsubmitted: usize,
    jobs: usize,
    starts: usize,
    passes: Histogram<u64>,
    longest: Duration,
    pass: usize,
}

impl<P: Policy> LoadedShard<P> {
    fn new(policy: P, seed: u64, workers: usize, owned: usize) -> Self {
        let mut config = Config::default();
        add_domain(&mut config, "shard", owned, WORKER_CAPACITY);
        for i in 0..TEAM_COUNT {
            let team = Team {
                quota: Resources::new(u64::MAX >> 24, u64::MAX >> 8, 0),
                weight: 1 + i as u32 % 3,
            };
            config
                .teams
                .insert(TeamName::new(format!("team-{i}")), team);
        }
        let tasks = TOTAL_TASKS * owned / workers;
        let part = USED_SHARE * owned as f64 / tasks as f64;
        let mean = Resources::new(
            (WORKER_CAPACITY.cpu.0 as f64 * part) as u64,
            (WORKER_CAPACITY.memory.0 as f64 * part) as u64,
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
            rate: STARTS_PER_SECOND * 1_000 * owned / workers,
            unsubmitted: 0,
            jobs: 0,
            starts: 0,
            passes,
            longest: Duration::ZERO,
            pass: 0,
        };
        load.assign_initial(tasks);
        load
    }

    /// Runs for ten seconds after a wave.
    fn wave(&mut self, wave: &'static str) -> WaveRow {
        self.reset();
        (0..10 * PASSES_PER_SECOND).for_each(|_| self.pass());
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

    /// Assigns the initial tasks to the workers round-robin, without the policy.
    fn assign_initial(&mut self, tasks: usize) {
        let workers: Vec<_> = self.fleet.workers.keys().cloned().collect();
        let mut placed = 0;
        while placed < tasks {
            let urgent = placed * URGENT_TASKS / TOTAL_TASKS
                != (placed + 100) * URGENT_TASKS / TOTAL_TASKS
                && self
                    .random
                    .random_bool(URGENT_TASKS as f64 / TOTAL_TASKS as f64);
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
        let team = self.random.random_range(0..TEAM_COUNT);
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
        self.fleet.now = self.fleet.now + PASS_INTERVAL;
        self.pass += 1;
        self.unsubmitted += self.rate / PASSES_PER_SECOND;
        while self.unsubmitted >= 1_000 {
            self.unsubmitted -= 1_000;
            let urgent = self.random.random_bool(0.5);
            let job = self.job(1, urgent);
            self.fleet.submit(job);
            let completed = self.random.random_range(0..self.running.len());
            let completed = self.running.swap_remove(completed);
            self.fleet
                .end_attempt(&completed, AttemptOutcome::Success, Phase::Succeeded);
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

    /// Reports the usage of each worker once a second.
    fn report(&mut self) {
        for i in
            (self.pass % PASSES_PER_SECOND..self.fleet.workers.len()).step_by(PASSES_PER_SECOND)
        {
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
            let event = PolicyEvent::UsageReported {
                worker: &name,
                usage: &usage,
                lag: Span::from_secs(2),
            };
            self.fleet.notify(event);
        }
    }
}
