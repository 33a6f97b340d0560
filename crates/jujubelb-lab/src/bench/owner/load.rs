//! A shard under a steady load, with its workers and its store in virtual time.

use std::rc::Rc;
use std::sync::Arc;

use indexmap::IndexMap;
use jujubelb::config::{Config, Team};
use jujubelb::journal::{Change, RecoveredLog, Segment, WriterId};
use jujubelb::model::{
    Attempt, ClassName, Epoch, Incarnation, JobName, JobSpec, Priority, Resources, Revision,
    ShardName, Span, TaskId, TaskKind, TaskSpec, TeamName, Time, WallTime, WorkerName,
};
use jujubelb::place::PlacementPolicy;
use jujubelb::shard::{
    Input, OfferReply, Output, Owner, OwnerIdentity, RequestId, State, Submission,
};
use jujubelb::worker::SyncResponse;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::Sizes;
use super::replay::{PolicyTimer, RecordedRun, TimedPolicy};
use super::worker::Worker;
use crate::bench::fleet::add_domain;

/// Time before the measurement, in which the learned task sizes converge.
pub(super) const WARMUP_SECONDS: u64 = 35;

const SHARD_COUNT: usize = 26;

const TEAM_COUNT: usize = 390;

/// Running tasks of one worker: 46,000 on 2,600 workers.
const TASKS_PER_WORKER: usize = 17;

/// One job a second for 104 workers gives 10 starts a second.
const TASKS_PER_JOB: u32 = 10;

/// One job a second is submitted for this number of workers.
const WORKERS_PER_JOB_PER_SECOND: u64 = 104;

/// Permille of the tasks that are urgent: 7,100 of 46,100.
const URGENT_PERMILLE: u32 = 154;

/// Duration of a simulation step, and reply latency of workers and the store.
const STEP: Span = Span::from_millis(10);

const STEPS_PER_SECOND: u64 = 100;

const HOST_CAPACITY: Resources = Resources::new(64_000, 250 << 30, 0);

/// Events and bytes since the measurement began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) starts: u64,
    pub(super) exchanges: u64,
    pub(super) segments: u64,
    request_bytes: u64,
    report_bytes: u64,
    segment_bytes: u64,
}

pub(super) struct Load {
    owner: Owner<TimedPolicy>,
    /// Seed, identity, state and configuration from which the owner was created.
    initial: (u64, OwnerIdentity, State, Arc<Config>),
    workers: IndexMap<WorkerName, Worker>,
    now: Time,
    step: u64,
    random: StdRng,
    jobs: u64,
    /// Replies that are delivered in the next step.
    replies: Vec<Input>,
    inputs: Vec<(Time, Input)>,
    warmup_inputs: usize,
    pub(super) counts: Counts,
}

impl Load {
    pub(super) fn new(seed: u64, size: usize) -> Self {
        let config = Arc::new(config(size));
        let mut random = StdRng::seed_from_u64(seed);
        let shard = ShardName::from("shard-0");
        let mut workers: IndexMap<_, _> = config
            .workers_of(&shard)
            .map(|(name, _)| (name.clone(), Worker::new(name.clone())))
            .collect();
        let now = Time::from_millis(10_000_000);
        let writer = WriterId {
            node: "node-0".into(),
            incarnation: Incarnation(1),
        };
        let mut jobs = 0;
        let state = fill(&mut random, &mut workers, &writer, &mut jobs);
        let identity = OwnerIdentity {
            shard,
            writer,
            clock_anchor: (now, WallTime::from_millis(1_700_000_000_000)),
        };
        let initial = (seed, identity, state, config);
        Self {
            owner: new_owner(&initial, Rc::default()),
            initial,
            workers,
            now,
            step: 0,
            random,
            jobs,
            replies: Vec::new(),
            inputs: Vec::new(),
            warmup_inputs: 0,
            counts: Counts::default(),
        }
    }

    pub(super) fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * STEPS_PER_SECOND {
            self.advance();
        }
    }

    /// Resets the counts and marks the inputs so far as warm-up.
    pub(super) fn measure(&mut self) {
        self.counts = Counts::default();
        self.warmup_inputs = self.inputs.len();
    }

    pub(super) fn running(&self) -> usize {
        self.workers.values().map(Worker::running).sum()
    }

    pub(super) fn sizes(&self, seconds: u64) -> Sizes {
        let counts = &self.counts;
        let mean = |sum: u64, count: u64| sum as f64 / count.max(1) as f64;
        let bytes = counts.request_bytes + counts.report_bytes;
        let snapshot = (self.owner.stored(), self.owner.saved_policy());
        Sizes {
            request: mean(counts.request_bytes, counts.exchanges),
            report: mean(counts.report_bytes, counts.exchanges),
            segment: mean(counts.segment_bytes, counts.segments),
            snapshot: postcard_len(&snapshot) as f64,
            summary: postcard_len(&self.owner.summary(self.now)) as f64,
            exchange: mean(bytes, seconds * self.workers.len() as u64),
        }
    }

    pub(super) fn into_recording(self) -> RecordedRun {
        let timer = Rc::default();
        RecordedRun {
            owner: new_owner(&self.initial, Rc::clone(&timer)),
            timer,
            inputs: self.inputs,
            warmup_inputs: self.warmup_inputs,
        }
    }

    fn advance(&mut self) {
        self.now = self.now + STEP;
        self.step += 1;
        if self.step % STEPS_PER_SECOND == 1 {
            self.handle_input(Input::Evidence(self.now));
        }
        for input in std::mem::take(&mut self.replies) {
            self.handle_input(input);
        }
        let size = self.workers.len() as u64;
        // Spreads the arrivals of a second evenly, without drift.
        let due = |step: u64| step * size / (WORKERS_PER_JOB_PER_SECOND * STEPS_PER_SECOND);
        if due(self.step) > due(self.step - 1) {
            self.submit_job();
        }
        let due = |step: u64| {
            step * size * u64::from(TASKS_PER_JOB) / (WORKERS_PER_JOB_PER_SECOND * STEPS_PER_SECOND)
        };
        if due(self.step) > due(self.step - 1) {
            self.finish_task();
        }
        self.handle_input(Input::Tick);
    }

    fn submit_job(&mut self) {
        let job = job(&mut self.random, &mut self.jobs, TASKS_PER_JOB);
        let shard = self.initial.1.shard.clone();
        let request = RequestId(self.jobs);
        self.handle_input(Input::Submit(request, Submission { shard, job }));
    }

    fn finish_task(&mut self) {
        let index = self.random.random_range(0..self.workers.len());
        if let Some((_, worker)) = self.workers.get_index_mut(index) {
            worker.finish();
        }
    }

    fn handle_input(&mut self, input: Input) {
        self.inputs.push((self.now, input.clone()));
        self.owner.handle(self.now, input);
        for output in self.owner.take_outputs() {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Append(segment) => {
                self.counts.segments += 1;
                self.counts.segment_bytes += postcard_len(&segment);
                self.replies.push(Input::Appended(segment.seq, Ok(())));
            }
            Output::Sync(name, request) => {
                let Some(worker) = self.workers.get_mut(&name) else {
                    return;
                };
                let (report, starts) = worker.sync(self.now, &request);
                let reply = SyncResponse::Report(report);
                self.counts.starts += starts;
                self.counts.exchanges += 1;
                self.counts.request_bytes += json_len(&request);
                self.counts.report_bytes += json_len(&reply);
                self.replies.push(Input::SyncReply(name, reply));
            }
            Output::Offer(offer) => {
                let reply = Some(OfferReply::Received);
                let input = Input::OfferReply(offer.task, offer.attempt, reply);
                self.replies.push(input);
            }
            _ => {}
        }
    }
}

fn new_owner(
    initial: &(u64, OwnerIdentity, State, Arc<Config>),
    timer: Rc<PolicyTimer>,
) -> Owner<TimedPolicy> {
    let (seed, identity, state, config) = initial;
    let now = identity.clock_anchor.0;
    let recovered = RecoveredLog {
        state: state.clone(),
        policy: Vec::new(),
    };
    let policy = PlacementPolicy::new(*seed);
    let policy = TimedPolicy { policy, timer };
    Owner::new(
        identity.clone(),
        now,
        now,
        recovered,
        config.clone(),
        policy,
    )
}

fn config(size: usize) -> Config {
    let mut config = Config {
        revision: Revision(1),
        ..Config::default()
    };
    for shard in 0..SHARD_COUNT {
        add_domain(&mut config, &format!("shard-{shard}"), size, HOST_CAPACITY);
    }
    for i in 0..TEAM_COUNT {
        let team = Team {
            quota: Resources::new(u64::MAX >> 24, u64::MAX >> 8, 0),
            weight: 1 + i as u32 % 3,
        };
        let name = TeamName::new(format!("team-{i}"));
        config.teams.insert(name, team);
    }
    config
}

/// Returns the state of a shard in which each worker runs `TASKS_PER_WORKER` tasks.
fn fill(
    random: &mut StdRng,
    workers: &mut IndexMap<WorkerName, Worker>,
    writer: &WriterId,
    jobs: &mut u64,
) -> State {
    let mut changes = Vec::new();
    let mut placed = 0;
    while placed < workers.len() * TASKS_PER_WORKER {
        let job = job(random, jobs, TASKS_PER_JOB);
        changes.push(Change::Accepted { job: job.clone() });
        for index in 0..job.tasks {
            let task = TaskId {
                job: job.name.clone(),
                index,
            };
            let at = placed % workers.len();
            placed += 1;
            if let Some((name, worker)) = workers.get_index_mut(at) {
                let limit = job.task.size;
                worker.add(task.clone(), Attempt(1), limit);
                changes.push(Change::Assigned {
                    task,
                    attempt: Attempt(1),
                    worker: name.clone(),
                    limit,
                });
            }
        }
    }
    let segment = Segment {
        epoch: Epoch(1),
        writer: writer.clone(),
        seq: 0,
        changes,
        records: Vec::new(),
    };
    let mut state = State::default();
    state
        .apply(&segment)
        .expect("each task is accepted before it is assigned");
    state
}

fn job(random: &mut StdRng, jobs: &mut u64, tasks: u32) -> JobSpec {
    *jobs += 1;
    let team = random.random_range(0..TEAM_COUNT);
    let class = random.random_range(0..50);
    let tenths = random.random_range(5..=15);
    let mean = Resources::new(
        HOST_CAPACITY.cpu.0 * 7 / 170,
        HOST_CAPACITY.memory.0 * 7 / 170,
        0,
    );
    let urgent = random.random_ratio(URGENT_PERMILLE, 1_000);
    JobSpec {
        name: JobName::new(format!("job-{jobs}")),
        team: TeamName::new(format!("team-{team}")),
        tasks,
        task: TaskSpec {
            kind: TaskKind::Batch,
            class: ClassName::new(format!("class-{class}-{tenths}")),
            priority: match urgent {
                true => Priority::Urgent,
                false => Priority::Batch,
            },
            size: Resources::new(mean.cpu.0 * tenths / 10, mean.memory.0 * tenths / 10, 0),
            duration: Some(Span::from_secs(200)),
            domains: Vec::new(),
            reclaimable: false,
        },
    }
}

fn json_len<T: Serialize>(value: &T) -> u64 {
    // Encoding these types into memory cannot fail.
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}

/// Bytes in the store or in a datagram, without checksums.
fn postcard_len<T: Serialize>(value: &T) -> u64 {
    // Encoding these types into memory cannot fail.
    postcard::to_allocvec(value).map_or(0, |bytes| bytes.len() as u64)
}
