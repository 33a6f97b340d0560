//! Simulated workers, services and tasks.

use std::collections::VecDeque;

use indexmap::IndexMap;
use jujubelb::config::{Config, Endpoint, Service, Team};
use jujubelb::journal::AttemptOutcome;
use jujubelb::model::{
    Bytes, Cause, ClassName, EndpointName, JobName, JobSpec, Millicores, Priority, Resources,
    ServiceName, ShardName, Span, TaskId, TaskKind, TaskSpec, TeamName, Time,
};
use jujubelb::place::LatencyReport;
use jujubelb::shard::{Choice, Policy, PolicyEvent};
use jujubelb::worker::{Phase, TaskUsage};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::super::fleet::{Fleet, add_domain};
use super::Row;

const WORKERS: usize = 48;
const WORKER_CAPACITY: Resources = Resources::new(64_000, 250 << 30, 0);
/// Resources of each worker that are reserved for its endpoint.
const RESERVED: Resources = Resources::new(16_000, 32 << 30, 0);
const SERVICES: [&str; 2] = ["booking", "desk"];
const CLASSES: usize = 12;

/// Relative slowdown of a service by one core of a disturbing class.
const DISTURBING_SLOWDOWN: f64 = 0.08;
/// Relative slowdown of a service by one core of any other class.
const OTHER_SLOWDOWN: f64 = 0.001;

/// Mean latency without interference at zero load.
const BASE_LATENCY_SECS: f64 = 0.020;
/// Deadline of requests.
const DEADLINE_SECS: f64 = 0.180;

/// Requests per second to each endpoint at full load.
const PEAK_REQUEST_RATE: f64 = 80.0;

/// Delay between a latency report and its delivery.
const REPORT_DELAY: Span = Span::from_secs(5);
/// Interval covered by each report.
const REPORT_INTERVAL_MILLIS: u64 = 1_000;

const STEP: Span = Span::from_millis(250);

/// Run time of a task without throttling.
const RUN_SECS: std::ops::Range<f64> = 120.0..600.0;
/// Run time lost by a restart.
const RESTART_SECS: f64 = 5.0;

/// Returns the mean latency without interference, in seconds.
pub(super) fn base_latency(load: f64) -> f64 {
    BASE_LATENCY_SECS * (1.0 + load / 2.0)
}

/// Returns the slowdown of a service by one core of a class. Two of the twelve
/// classes disturb each service.
fn slowdown_per_core(service: usize, class: usize) -> f64 {
    if class % 6 == service {
        DISTURBING_SLOWDOWN
    } else {
        OTHER_SLOWDOWN
    }
}

/// A task's class and the core-seconds that remain to be run.
#[derive(Debug, Clone, Copy)]
struct TaskWork {
    class: usize,
    cores: f64,
    remaining: f64,
}

pub(super) struct Simulation<P> {
    fleet: Fleet<P>,
    random: StdRng,
    offered: f64,
    /// Core-seconds submitted so far, and seconds simulated.
    submitted: f64,
    elapsed: f64,
    jobs: usize,
    task_work: IndexMap<TaskId, TaskWork>,
    reports: VecDeque<(Time, LatencyReport)>,
    /// Requests and late requests, in all and in the first five minutes.
    requests: [f64; 2],
    late: [f64; 2],
    done: f64,
    evictions: u64,
    throttles: u64,
}

fn service_of(worker: usize) -> usize {
    worker % SERVICES.len()
}

fn config(pairs: bool) -> Config {
    let mut config = Config::default();
    add_domain(&mut config, "shard", WORKERS, WORKER_CAPACITY);
    let names: Vec<_> = config.workers.keys().cloned().collect();
    for worker in config.workers.values_mut() {
        worker.reserved = RESERVED;
    }
    let domain = jujubelb::model::DomainName::from("shard");
    for (number, name) in SERVICES.iter().enumerate() {
        let endpoint = |i: usize| Endpoint {
            domain: domain.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            worker: pairs.then(|| names[i].clone()),
            slots: 8,
            connections: 64,
            leaving: false,
        };
        let endpoints = (0..WORKERS)
            .filter(|i| service_of(*i) == number)
            .map(|i| (EndpointName::new(format!("{name}-{i}")), endpoint(i)))
            .collect();
        let service = Service {
            deadline: Span::from_micros((DEADLINE_SECS * 1e6) as u64),
            body: Bytes(1 << 20),
            queue: 100,
            endpoints,
        };
        config.services.insert(ServiceName::from(*name), service);
    }
    let team = Team {
        quota: Resources::new(u64::MAX >> 24, u64::MAX >> 8, 0),
        weight: 1,
    };
    config.teams.insert(TeamName::from("team"), team);
    config
}

impl<P: Policy> Simulation<P> {
    pub(super) fn new(policy: P, seed: u64, offered: f64, pairs: bool) -> Self {
        Self {
            fleet: Fleet::new(config(pairs), ShardName::from("shard"), policy),
            random: StdRng::seed_from_u64(seed),
            offered,
            submitted: 0.0,
            elapsed: 0.0,
            jobs: 0,
            task_work: IndexMap::new(),
            reports: VecDeque::new(),
            requests: [0.0; 2],
            late: [0.0; 2],
            done: 0.0,
            evictions: 0,
            throttles: 0,
        }
    }

    pub(super) fn run(mut self, variant: &'static str, minutes: u64) -> Row {
        let steps = minutes * 60_000_000 / STEP.as_micros();
        (0..steps).for_each(|step| self.step(step));
        Row {
            variant,
            offered: self.offered,
            late: self.late[0] / self.requests[0],
            late_at_first: self.late[1] / self.requests[1],
            late_ratio: 1.0,
            work: self.done,
            work_ratio: 1.0,
            evictions: self.evictions,
            throttles: self.throttles,
            dropped: self.fleet.rejected,
        }
    }

    fn step(&mut self, step: u64) {
        self.fleet.now = self.fleet.now + STEP;
        self.elapsed += STEP.as_secs_f64();
        self.submit();
        self.deliver();
        let (decisions, _) = self.fleet.schedule();
        for decision in decisions.iter().filter(|d| d.cause == Cause::Interference) {
            self.evictions += u64::from(matches!(decision.choice, Choice::Evict { .. }));
            self.throttles += u64::from(matches!(decision.choice, Choice::Resize { .. }));
        }
        let report = (step * STEP.as_millis()).is_multiple_of(REPORT_INTERVAL_MILLIS);
        for worker in 0..WORKERS {
            let stopped = self.fleet.apply_commands(worker);
            for task in &stopped {
                self.fleet
                    .end_attempt(task, AttemptOutcome::Eviction, Phase::Evicted);
                self.task_work[task].remaining += self.task_work[task].cores * RESTART_SECS;
                self.done -= self.task_work[task].cores * RESTART_SECS;
            }
            self.serve(worker, report);
            self.advance_tasks(worker, report);
        }
    }

    /// Keeps the submitted work at the offered share of the capacity.
    fn submit(&mut self) {
        let cores = (WORKER_CAPACITY.cpu.0 - RESERVED.cpu.0) as f64 / 1_000.0 * WORKERS as f64;
        // One mean run time of work is submitted ahead, so that the workers are busy at the start.
        let ahead = (RUN_SECS.start + RUN_SECS.end) / 2.0;
        while self.submitted < (self.elapsed + ahead) * cores * self.offered {
            self.jobs += 1;
            let class = self.random.random_range(0..CLASSES);
            let cores = self.random.random_range(1..=4u32);
            let name = JobName::new(format!("job-{}", self.jobs));
            let tasks = 10;
            for index in 0..tasks {
                let remaining = f64::from(cores) * self.random.random_range(RUN_SECS);
                self.submitted += remaining;
                let job = name.clone();
                let work = TaskWork {
                    class,
                    cores: f64::from(cores),
                    remaining,
                };
                self.task_work.insert(TaskId { job, index }, work);
            }
            self.fleet.submit(JobSpec {
                name,
                team: TeamName::from("team"),
                tasks,
                task: TaskSpec {
                    kind: TaskKind::Batch,
                    class: ClassName::new(format!("class-{class}")),
                    priority: Priority::Batch,
                    size: Resources::new(u64::from(cores) * 1_000, u64::from(cores) << 30, 0),
                    duration: Some(Span::from_secs(300)),
                    domains: Vec::new(),
                    reclaimable: false,
                },
            });
        }
    }

    /// Delivers reports that are due.
    fn deliver(&mut self) {
        while let Some((due, _)) = self.reports.front()
            && *due <= self.fleet.now
        {
            if let Some((_, report)) = self.reports.pop_front() {
                self.fleet.notify(PolicyEvent::LatencyReported(&report));
            }
        }
    }

    /// Returns the load of the services, a sine with a period of half an hour.
    fn load(&self) -> f64 {
        0.5 + 0.3 * (self.elapsed / 1_800.0 * std::f64::consts::TAU).sin()
    }

    /// Counts the requests of the endpoint on a worker and reports their latency.
    fn serve(&mut self, worker: usize, report: bool) {
        let service = service_of(worker);
        let load = self.load();
        let Some((name, view)) = self.fleet.workers.get_index(worker) else {
            return;
        };
        let slowdown: f64 = view
            .assigned
            .iter()
            .filter(|o| o.running)
            .map(|o| {
                o.limit.cpu.0 as f64 / 1_000.0
                    * slowdown_per_core(service, self.task_work[&o.task].class)
            })
            .sum();
        let mean = base_latency(load) * (1.0 + slowdown * (0.5 + load));
        let requests = PEAK_REQUEST_RATE * load * STEP.as_secs_f64();
        let late = requests * (-DEADLINE_SECS / mean).exp();
        let first = usize::from(self.elapsed < 300.0);
        for period in 0..=first {
            self.requests[period] += requests;
            self.late[period] += late;
        }
        if report {
            let count = (PEAK_REQUEST_RATE * load * REPORT_INTERVAL_MILLIS as f64 / 1_000.0) as u32;
            let noise = self.random.random_range(-1.7..1.7) / f64::from(count).sqrt();
            let report = LatencyReport {
                service: ServiceName::from(SERVICES[service]),
                worker: name.clone(),
                mean: Span::from_micros((mean * (1.0 + noise) * 1e6) as u64),
                count,
                load: (load * 1_000.0) as u32,
                age: REPORT_DELAY,
            };
            self.reports
                .push_back((self.fleet.now + REPORT_DELAY, report));
        }
    }

    /// Advances the tasks on a worker within their limits.
    fn advance_tasks(&mut self, worker: usize, report: bool) {
        let Some((name, view)) = self.fleet.workers.get_index(worker) else {
            return;
        };
        let name = name.clone();
        let mut usage = Vec::new();
        let mut finished = Vec::new();
        for assignment in view.assigned.iter().filter(|o| o.running) {
            let work = &mut self.task_work[&assignment.task];
            let cores = work.cores.min(assignment.limit.cpu.0 as f64 / 1_000.0);
            work.remaining -= cores * STEP.as_secs_f64();
            self.done += cores * STEP.as_secs_f64();
            if work.remaining <= 0.0 {
                finished.push(assignment.task.clone());
            }
            usage.push(TaskUsage {
                task: assignment.task.clone(),
                attempt: assignment.attempt,
                used: Resources::new(
                    (cores * 1_000.0) as u64,
                    assignment.limit.memory.0 * 7 / 10,
                    0,
                ),
                wanted: Millicores((work.cores * 1_000.0) as u64),
            });
        }
        if report {
            self.fleet.notify(PolicyEvent::UsageReported {
                worker: &name,
                usage: &usage,
                lag: Span::from_secs(2),
            });
        }
        for task in finished {
            self.fleet
                .end_attempt(&task, AttemptOutcome::Success, Phase::Succeeded);
        }
    }
}
