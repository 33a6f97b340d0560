//! The bound on best-effort jobs, and lasting overload of them.

use std::collections::VecDeque;

use super::simulation::TIME_STEP;
use super::{Simulation, job, long_running, step};
use crate::dispatch::{
    FullPool, JobKey, JobRecord, JobStatus, LoadEstimate, Schedule, SizeLimit, Step,
};
use crate::model::{Bytes, Resources, ServiceName, Span, Time};

const WORKERS: usize = 4;

/// Memory of a task. Eight fit on a worker, as do eight tasks' cores.
const TASK_MEMORY: Bytes = Bytes::from_gib(32);

/// Most runs that the workers hold at a time, by memory.
const SLOTS: usize = WORKERS * 8;

/// Processor time of a job in core-seconds: eight tasks of eight cores and 8 s.
const JOB_WORK: u64 = 8 * 8 * 8;

/// Cores of the workers that have no serving tasks.
const FREE_CORES: u64 = (WORKERS as u64 - 1) * 64;

const OVERLOAD: Span = Span::from_secs(600);

/// Time between two submissions: about twice what the workers can do.
const ARRIVAL_INTERVAL: Span = Span::from_millis(JOB_WORK * 1_000 / FREE_CORES / 2);

/// Time after the overload in which all accepted jobs end: as many as have a slot take as much as
/// this with half of the free cores in use.
const DRAIN: Span = Span::from_secs(2 * SLOTS as u64 * JOB_WORK / FREE_CORES);

const HOSTS: usize = 3;

/// Time until the leader's answer has reached a host.
const ANSWER_TIME: Span = Span::from_millis(100);

/// Interval of the announcements of hosts.
const ANNOUNCE_INTERVAL: Span = Span::from_secs(5);

fn best_effort_job() -> JobRecord {
    let memory = TASK_MEMORY.0;
    job(
        2,
        vec![Step {
            best_effort: true,
            checkpoints: true,
            size: Resources::new(8_000, memory, 0),
            ..step(8, 8, Span::from_secs(8))
        }],
    )
}

/// A play of hosts that take submissions and know of the load what the leader answers them.
struct Play {
    sim: Simulation,
    hosts: Vec<Option<(LoadEstimate, Time)>>,
    /// Answers of the leader on their way to a host.
    answers: VecDeque<(Time, usize, Option<LoadEstimate>)>,
    accepted: Vec<(JobKey, Time)>,
    refused: Vec<JobKey>,
    most_jobs: usize,
    most_paused: usize,
}

impl Play {
    fn new() -> Self {
        let mut sim = Simulation::new(WORKERS);
        sim.submit(1, job(0, vec![long_running(2, 13)]));
        sim.run(Span::from_secs(4));
        Self {
            sim,
            hosts: vec![None; HOSTS],
            answers: VecDeque::new(),
            accepted: Vec::new(),
            refused: Vec::new(),
            most_jobs: 0,
            most_paused: 0,
        }
    }

    /// Lets the leader answer a call of a host.
    fn call(&mut self, host: usize) {
        let estimate = self.sim.dispatcher.load_estimate(self.sim.now);
        self.answers.push_back((self.sim.now, host, estimate));
    }

    /// Submits a job to a host, which answers it at once.
    fn submit(&mut self, host: usize) {
        let now = self.sim.now;
        let record = best_effort_job();
        let id = 100 + (self.accepted.len() + self.refused.len()) as u64;
        let known = self.hosts[host].as_ref();
        let refusal = known.and_then(|(estimate, sent)| {
            estimate.refuses(&record.queue, &record.spec, now.since(*sent))
        });
        if refusal.is_some() {
            self.refused.push(JobKey(id));
            return;
        }
        let key = self.sim.submit(id, record);
        self.accepted.push((key, now));
        self.call(host);
    }

    fn advance(&mut self) {
        self.sim.run(TIME_STEP);
        let now = self.sim.now;
        while let Some((sent, host, estimate)) = self.answers.front().cloned()
            && now.since(sent) >= ANSWER_TIME
        {
            self.answers.pop_front();
            self.hosts[host] = estimate.map(|e| (e, sent));
        }
        if now
            .as_micros()
            .is_multiple_of(ANNOUNCE_INTERVAL.as_micros())
        {
            (0..HOSTS).for_each(|host| self.call(host));
        }
        let ended = |(key, _): &&(JobKey, Time)| self.sim.completed.contains_key(key);
        let open = self.accepted.len() - self.accepted.iter().filter(ended).count();
        self.most_jobs = self.most_jobs.max(open);
        let runs = self.sim.dispatcher.workers.values();
        let paused = runs.flat_map(|w| w.runs.values()).filter(|r| r.pace == 0);
        self.most_paused = self.most_paused.max(paused.count());
    }

    fn play(&mut self) {
        let end = self.sim.now + OVERLOAD;
        let mut next = self.sim.now;
        let mut host = 0;
        while self.sim.now < end {
            while next <= self.sim.now {
                self.submit(host);
                host = (host + 1) % HOSTS;
                next = next + ARRIVAL_INTERVAL;
            }
            self.advance();
        }
        let end = self.sim.now + DRAIN;
        while self.sim.now < end {
            self.advance();
        }
    }

    /// Longest time from the acceptance of a job to its end, or until now.
    fn longest_job(&self) -> Span {
        let age = |(key, at): &(JobKey, Time)| {
            let ended = self.sim.completed.get(key).copied();
            ended.unwrap_or(self.sim.now).since(*at)
        };
        self.accepted.iter().map(age).max().unwrap_or_default()
    }
}

/// Guards against a backlog of accepted jobs that grows for as long as an overload lasts.
#[test]
fn lasting_overload_keeps_the_backlog_bounded() {
    let mut play = Play::new();
    play.play();
    let served = (play.sim.completed.len() as u64) * JOB_WORK;
    println!(
        "accepted {}, refused {}, most jobs {}, longest {}, most paused {}, served {served} core-s",
        play.accepted.len(),
        play.refused.len(),
        play.most_jobs,
        play.longest_job(),
        play.most_paused,
    );
    assert!(play.most_jobs <= SLOTS, "{} jobs", play.most_jobs);
    assert!(play.most_paused <= SLOTS, "{} paused", play.most_paused);
    // Each of the others has had its answer, and none of them is known to the leader.
    let status = |key: &JobKey| play.sim.dispatcher.job_status(*key);
    assert!(play.refused.iter().all(|key| status(key).is_none()));
    let done = |(key, _): &&(JobKey, Time)| status(key) == Some(JobStatus::Completed);
    let open = play.accepted.len() - play.accepted.iter().filter(done).count();
    assert_eq!(open, 0, "accepted jobs that are not done");
    // The bound keeps a stock: the free workers are busy for most of the time.
    let possible = FREE_CORES * OVERLOAD.as_millis() / 1_000;
    assert!(served * 4 >= possible * 3, "{served} of {possible} core-s");
}

/// Guards against refusals while the workers have room.
#[test]
fn nothing_is_refused_without_overload() {
    let mut sim = Simulation::new(WORKERS);
    sim.run(Span::from_secs(4));
    for id in 0..SLOTS as u64 / 2 {
        sim.submit(id + 1, best_effort_job());
    }
    sim.run(Span::from_secs(1));
    let estimate = sim.dispatcher.load_estimate(sim.now).unwrap();
    assert_eq!(estimate.full, []);
    assert_eq!(sim.dispatcher.pool_loads()[0].jobs, SLOTS as u32 / 2);
}

/// Guards against a limit by what jobs need later, which refuses jobs that could start now.
#[test]
fn later_steps_do_not_lower_the_limit() {
    let mut sim = Simulation::new(WORKERS);
    sim.run(Span::from_secs(4));
    let mut record = best_effort_job();
    let first = Step {
        size: Resources::new(1_000, TASK_MEMORY.0 / 4, 0),
        ..record.spec.steps[0].clone()
    };
    record.spec.steps.insert(0, first);
    record.spec.steps[1].after = vec![0];
    sim.submit(1, record);
    sim.run(Span::from_millis(600));
    // Nine tenths of four times the slots.
    let limit = sim.dispatcher.pool_loads()[0].limit.unwrap();
    assert_eq!(limit as usize, SLOTS * 4 * 9 / 10);
}

/// Guards against a new leader that refuses because workers have not answered it yet.
#[test]
fn a_new_leader_knows_no_load_before_its_workers_have_answered() {
    let mut sim = Simulation::new(WORKERS);
    assert_eq!(sim.dispatcher.load_estimate(sim.now), None);
    sim.run(Span::from_secs(4));
    assert!(sim.dispatcher.load_estimate(sim.now).is_some());
    sim.change_leader();
    sim.run(Span::from_secs(1));
    assert_eq!(sim.dispatcher.load_estimate(sim.now), None);
}

/// Guards against an answer that changes with every job that ends.
#[test]
fn a_full_pool_accepts_again_only_when_jobs_have_ended() {
    let mut sim = Simulation::new(WORKERS);
    sim.run(Span::from_secs(4));
    let full = |sim: &Simulation| {
        !sim.dispatcher
            .load_estimate(sim.now)
            .unwrap()
            .full
            .is_empty()
    };
    let mut keys = Vec::new();
    while !full(&sim) {
        keys.push(sim.submit(keys.len() as u64 + 1, best_effort_job()));
        sim.run(Span::from_millis(200));
    }
    let limit = keys.len();
    assert!((SLOTS / 2..=SLOTS).contains(&limit), "{limit}");
    sim.cancel(keys.pop().unwrap());
    sim.run(Span::from_millis(200));
    assert!(full(&sim));
    while sim.dispatcher.summary().jobs * 10 > limit * 9 {
        sim.cancel(keys.pop().unwrap());
    }
    sim.run(Span::from_millis(200));
    assert!(!full(&sim));
}

fn full_pool() -> LoadEstimate {
    LoadEstimate {
        age: Span::from_millis(50),
        full: vec![FullPool {
            service: ServiceName::new("desk"),
            jobs: 40,
            limit: 30,
            size_limits: vec![SizeLimit {
                priority: 2,
                work: 0,
            }],
            retry_after: Span::from_secs(2),
        }],
    }
}

/// Guards against refusals of work that does not wait for what best-effort jobs leave.
#[test]
fn only_best_effort_jobs_of_the_pool_are_refused() {
    let estimate = full_pool();
    let refuses = |record: &JobRecord| {
        let pool = estimate.refuses(&record.queue, &record.spec, Span::ZERO);
        pool.is_some()
    };
    let best_effort = best_effort_job();
    assert!(refuses(&best_effort));
    let batch = step(1, 1, Span::from_secs(1));
    assert!(!refuses(&job(2, vec![batch.clone()])));
    assert!(!refuses(&job(2, vec![long_running(1, 1)])));
    let mut mixed = best_effort.clone();
    mixed.spec.steps.push(batch);
    assert!(!refuses(&mixed));
    let mut urgent = best_effort.clone();
    urgent.queue.priority = 0;
    assert!(!refuses(&urgent));
    let mut elsewhere = best_effort;
    elsewhere.queue.service = ServiceName::new("other");
    assert!(!refuses(&elsewhere));
}

/// Guards against refusals because of a load that may be over.
#[test]
fn an_old_estimate_refuses_nothing() {
    let estimate = full_pool();
    let record = best_effort_job();
    let refuses = |held| {
        estimate
            .refuses(&record.queue, &record.spec, held)
            .is_some()
    };
    assert!(refuses(Span::from_millis(5_900)));
    assert!(!refuses(Span::from_secs(6)));
}

/// Guards against refusals of jobs that would be done in time because larger ones wait.
#[test]
fn a_full_pool_accepts_jobs_smaller_than_late_ones() {
    let mut sim = Simulation::new(1);
    sim.run(Span::from_secs(4));
    for id in 0..30 {
        sim.submit(id + 1, best_effort_job());
    }
    sim.run(Span::from_secs(25));
    let estimate = sim.dispatcher.load_estimate(sim.now).unwrap();
    let refuses = |record: &JobRecord| {
        let pool = estimate.refuses(&record.queue, &record.spec, Span::ZERO);
        pool.is_some()
    };
    let large = best_effort_job();
    assert!(refuses(&large));
    let mut small = large.clone();
    small.spec.steps[0].count = 1;
    assert!(!refuses(&small));
    let mut other = large;
    other.queue.priority = 3;
    assert!(!refuses(&other));
}

/// Guards against refusals while the workers are idle, because of jobs that are not due yet.
#[test]
fn jobs_that_are_not_due_take_no_part_of_the_limit() {
    let mut sim = Simulation::new(WORKERS);
    sim.run(Span::from_secs(4));
    for id in 0..40 {
        let mut record = best_effort_job();
        record.spec.schedule = Some(Schedule {
            first: sim.wall() + Span::from_secs(3_600),
            interval: Span::from_secs(60),
            count: 3,
        });
        sim.submit(id + 1, record);
    }
    sim.run(Span::from_secs(60));
    let estimate = sim.dispatcher.load_estimate(sim.now).unwrap();
    assert_eq!(estimate.full, []);
}
