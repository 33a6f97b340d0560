//! Processor time of the dispatcher by the number of workers, at a constant load for each
//! worker: the cost of a decision should not grow with the fleet.
//!
//! Workers answer at once and end runs after their estimate, so that only the dispatcher
//! is measured.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use arcstr::ArcStr;
use indexmap::IndexMap;
use jujubelb::dispatch::{
    Bounds, Dispatcher, EarlierLeaders, Incarnation, InterferenceModel, JobKey, JobRecord, JobSpec,
    Order, PollReply, QueueSettings, Roster, Run, RunCompletion, RunOutcome, RunStatus, StartReply,
    Step, StopReply, Succession, TaskKey, Term, WorkerOrder, WorkerReport,
};
use jujubelb::model::{
    Bytes, DomainName, Resources, ServiceName, Span, Time, WallTime, WorkerName, WorkerTime,
};

use super::{Cell, Measurement, Report, Table};

/// Simulated time between two scheduling passes, as in the leader.
const PASS_INTERVAL: Span = Span::from_millis(20);

/// Simulated time between two polls of a worker without completions.
const POLL_INTERVAL: Span = Span::from_millis(1_500);

/// Time in which the load builds up, which is not measured.
const WARM_UP: Span = Span::from_secs(5);

const RACK_SIZE: usize = 20;

/// Workers for each short job, batch job and long-running job that arrives in a second.
const WORKERS_PER_CHECK: usize = 67;
const WORKERS_PER_BATCH: usize = 45;
const WORKERS_PER_SERVICE: usize = 920;

/// Workers for each long-running job that exists from the start.
const WORKERS_PER_INITIAL_SERVICE: usize = 5;

/// Number of images of serving tasks and of best-effort batch tasks.
const SERVING_IMAGES: u64 = 16;
const BATCH_IMAGES: u64 = 30;

/// Options of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct Dispatch {
    /// Numbers of workers to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [50, 350, 1_100, 3_000])]
    workers: Vec<usize>,
    /// Simulated seconds for each number of workers, after the load has built up.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

/// Time spent in the dispatcher and what it did in that time.
#[derive(Debug, Default)]
struct Row {
    workers: usize,
    passes: u64,
    starts: u64,
    polls: u64,
    commits: u64,
    pass_time: Duration,
    poll_time: Duration,
    commit_time: Duration,
    waiting: usize,
}

impl Measurement for Dispatch {
    fn run(&self) -> Report {
        let seconds = self.seconds as f64;
        let rows: Vec<Row> = self
            .workers
            .iter()
            .map(|&workers| measure(workers, Span::from_secs(self.seconds)))
            .collect();
        let micros = |time: Duration, count: u64| time.as_secs_f64() * 1e6 / count.max(1) as f64;
        let columns = [
            "workers",
            "starts/s",
            "waiting",
            "µs a pass",
            "µs of passes a start",
            "µs a poll",
            "µs a commit",
            "% of a core",
        ];
        let cells = |row: &Row| {
            let total = row.pass_time + row.poll_time + row.commit_time;
            vec![
                Cell::from(row.workers as f64),
                Cell::from(row.starts as f64 / seconds),
                Cell::from(row.waiting as f64),
                Cell::from(micros(row.pass_time, row.passes)),
                Cell::from(micros(row.pass_time, row.starts)),
                Cell::from(micros(row.poll_time, row.polls)),
                Cell::from(micros(row.commit_time, row.commits)),
                Cell::from(total.as_secs_f64() * 100.0 / seconds),
            ]
        };
        Report {
            title: "Processor time of the dispatcher".to_owned(),
            conditions: vec![
                format!(
                    "{} simulated seconds at a constant load for each worker",
                    self.seconds
                ),
                "workers answer at once; a pass every 20 ms".to_owned(),
            ],
            tables: vec![Table {
                title: "By number of workers".to_owned(),
                columns: columns.map(str::to_owned).to_vec(),
                rows: rows.iter().map(cells).collect(),
            }],
            targets: Vec::new(),
        }
    }
}

/// A worker that executes orders at once.
#[derive(Debug)]
struct FakeWorker {
    runs: IndexMap<TaskKey, (Run, bool)>,
    completions: Vec<RunCompletion>,
    sequence: u64,
    last_poll: Time,
}

struct Fleet {
    now: Time,
    dispatcher: Dispatcher,
    workers: IndexMap<WorkerName, FakeWorker>,
    jobs: IndexMap<JobKey, JobRecord>,
    /// Ends of runs by the time at which they are due.
    due: BTreeMap<(Time, u64), (WorkerName, TaskKey, Run)>,
    counter: u64,
    row: Row,
}

fn wall(now: Time) -> WallTime {
    WallTime::from_micros(1_700_000_000_000_000 + now.as_micros())
}

fn worker_clock(now: Time) -> WorkerTime {
    WorkerTime::from_micros(now.as_micros())
}

fn report(index: usize) -> WorkerReport {
    let rack = ArcStr::from(format!("r{}", index / RACK_SIZE));
    WorkerReport {
        name: WorkerName::new(format!("w{index}")),
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
        service: ServiceName::new("desk"),
        domain: DomainName::new(format!("d{}", index % 6)),
        labels: vec![ArcStr::from("a"), rack.clone()],
        rack: Some(rack),
        capacity: Resources::new(64_000, Bytes::from_gib(250).0, 0),
        drain_remaining: None,
        incarnation: Some(Incarnation(1)),
    }
}

fn steps(count: usize, tasks: u32, cores: u64, memory_gib: u64, estimate: Span) -> Vec<Step> {
    let step = |i: usize| Step {
        count: tasks,
        size: Resources::new(cores * 1_000, Bytes::from_gib(memory_gib).0, 0),
        estimate,
        after: (i > 0).then(|| i as u16 - 1).into_iter().collect(),
        ..Step::default()
    };
    (0..count).map(step).collect()
}

fn measure(workers: usize, measured: Span) -> Row {
    let now = Time::from_millis(1_000);
    let term = Term {
        token: 1,
        number: 0,
    };
    let bounds = Bounds {
        max_lease: Span::from_secs(6),
        max_stop: Span::from_millis(200),
        max_early_start: Span::from_millis(250),
        remote_factor: 1.5,
        evacuation: Span::from_secs(5),
        drain: Span::from_millis(2_500),
    };
    let dispatcher = Dispatcher::new(
        term,
        bounds,
        EarlierLeaders::new(&Succession::empty(0), now),
        &Roster::default(),
        InterferenceModel::default(),
        now,
    );
    let fake = |_| FakeWorker {
        runs: IndexMap::new(),
        completions: Vec::new(),
        sequence: 0,
        last_poll: Time::ZERO,
    };
    let mut fleet = Fleet {
        now,
        dispatcher,
        workers: (0..workers).map(|i| (report(i).name, fake(i))).collect(),
        jobs: IndexMap::new(),
        due: BTreeMap::new(),
        counter: 0,
        row: Row::default(),
    };
    fleet
        .dispatcher
        .workers_listed((0..workers).map(report).collect(), now);
    for _ in 0..workers / WORKERS_PER_INITIAL_SERVICE {
        fleet.submit_service();
    }
    fleet.advance(WARM_UP);
    fleet.row = Row::default();
    fleet.advance(measured);
    fleet.row.workers = workers;
    fleet.row.waiting = fleet.dispatcher.summary().waiting;
    fleet.row
}

impl Fleet {
    fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + PASS_INTERVAL;
            self.submit_due();
            self.end_due();
            self.poll_due();
            let began = Instant::now();
            if let Some(commit) = self.dispatcher.take_commit(self.now) {
                self.row.commits += 1;
                // The token of the term is lower than the revisions of its writes.
                let revision = self.dispatcher.term().token + self.row.commits;
                self.dispatcher.committed(&commit, revision, self.now);
            }
            self.row.commit_time += began.elapsed();
            let began = Instant::now();
            self.dispatcher.set_authority(self.now);
            self.dispatcher.confirm_evacuations(self.now);
            self.dispatcher.confirm_entries(self.now);
            let orders = self.dispatcher.plan(wall(self.now), self.now);
            self.row.pass_time += began.elapsed();
            self.row.passes += 1;
            for order in &orders {
                self.execute(order);
            }
        }
    }

    /// Submits the jobs that arrive in this interval.
    fn submit_due(&mut self) {
        let interval = PASS_INTERVAL.as_secs_f64();
        let begun = self.row_time();
        let due = |per: usize| {
            let rate = self.workers.len() as f64 / per as f64;
            (((begun + interval) * rate) as u64).saturating_sub((begun * rate) as u64)
        };
        let (checks, batches, services) = (
            due(WORKERS_PER_CHECK),
            due(WORKERS_PER_BATCH),
            due(WORKERS_PER_SERVICE),
        );
        for _ in 0..checks {
            self.submit(0, steps(2, 13, 12, 23, Span::from_millis(1_000)));
        }
        for _ in 0..batches {
            let image = ArcStr::from(format!("b{}", self.counter % BATCH_IMAGES));
            // Sizes differ between jobs, so that one failed search does not cover the others.
            let (cores, memory) = (5 + self.counter % 5, 8 + self.counter % 11);
            let mut batch = steps(2, 40, cores, memory, Span::from_millis(2_200));
            for step in &mut batch {
                step.best_effort = true;
                step.checkpoints = true;
                step.image = Some(image.clone());
            }
            self.submit(2, batch);
        }
        for _ in 0..services {
            self.submit_service();
        }
    }

    fn submit_service(&mut self) {
        let mut lasting = steps(1, 24, 13, 25, Span::from_millis(500));
        lasting[0].long_running = true;
        lasting[0].target = Some(Span::from_millis(150));
        lasting[0].image = Some(ArcStr::from(format!("s{}", self.counter % SERVING_IMAGES)));
        self.submit(0, lasting);
    }

    /// Simulated time since the start, in seconds.
    fn row_time(&self) -> f64 {
        self.now.since(Time::from_millis(1_000)).as_secs_f64()
    }

    fn submit(&mut self, priority: u8, steps: Vec<Step>) {
        self.counter += 1;
        let key = JobKey(self.counter);
        let record = JobRecord {
            queue: QueueSettings {
                host: ArcStr::from("desk.example"),
                prefix: ArcStr::from("/work/"),
                service: ServiceName::new("desk"),
                priority,
                attempts: 3,
                slack_factor: 2.0,
                target_duration: Span::from_millis(500),
                ticket_lifetime: None,
            },
            spec: JobSpec {
                payload: ArcStr::from("payload"),
                steps,
                schedule: None,
            },
            accepted: wall(self.now),
            term_token: None,
            customer: None,
        };
        self.jobs.insert(key, record.clone());
        self.dispatcher
            .accept(key, record, None, false, wall(self.now), self.now);
    }

    fn end_due(&mut self) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (name, task, run) = entry.remove();
            let worker = &mut self.workers[&name];
            if worker.runs.swap_remove(&task).is_some() {
                worker.end(task, run, RunOutcome::Done);
            }
        }
    }

    fn poll_due(&mut self) {
        let now = self.now;
        for (name, worker) in &mut self.workers {
            if worker.completions.is_empty() && now.since(worker.last_poll) < POLL_INTERVAL {
                continue;
            }
            worker.last_poll = now;
            let began = Instant::now();
            let Some(request) = self.dispatcher.poll(name, now) else {
                continue;
            };
            self.row.poll_time += began.elapsed();
            worker
                .completions
                .retain(|c| c.sequence > request.acknowledged);
            let status = |(task, (run, lasts)): (&TaskKey, &(Run, bool))| RunStatus {
                task: *task,
                run: *run,
                checkpoint: None,
                percent: if *lasts {
                    100
                } else {
                    now.as_micros() as u32 % 97
                },
                usage: if *lasts { 40 } else { 9_000 },
            };
            let reply = PollReply {
                incarnation: Some(Incarnation(1)),
                clock: worker_clock(now),
                running: worker.runs.iter().map(status).collect(),
                finished: worker.completions.clone(),
            };
            let began = Instant::now();
            self.dispatcher.poll_answered(name, now, &reply, now);
            self.row.poll_time += began.elapsed();
            self.row.polls += 1;
        }
    }

    fn execute(&mut self, order: &WorkerOrder) {
        let now = self.now;
        let worker = &mut self.workers[&order.worker];
        match &order.order {
            Order::Start { task, run, .. } => {
                let step = &self.jobs[&task.step.job].spec.steps[usize::from(task.step.step)];
                worker.runs.insert(*task, (*run, step.long_running));
                if !step.long_running {
                    self.counter += 1;
                    let end = (now + step.estimate, self.counter);
                    self.due.insert(end, (order.worker.clone(), *task, *run));
                }
                self.dispatcher.start_answered(
                    &order.worker,
                    *task,
                    *run,
                    StartReply::Started.into(),
                    now,
                );
                self.row.starts += 1;
            }
            Order::Stop { task, run } => {
                if worker.runs.swap_remove(task).is_some() {
                    worker.end(*task, *run, RunOutcome::Stopped);
                }
                self.dispatcher.stop_answered(
                    &order.worker,
                    *task,
                    *run,
                    StopReply::Stopped,
                    now,
                    now,
                );
            }
            Order::Pace { .. } => {}
        }
    }
}

impl FakeWorker {
    fn end(&mut self, task: TaskKey, run: Run, outcome: RunOutcome) {
        self.sequence += 1;
        self.completions.push(RunCompletion {
            sequence: self.sequence,
            task,
            run,
            outcome,
            checkpoint: None,
        });
    }
}
