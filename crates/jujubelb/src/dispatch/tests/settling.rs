//! Drawn days of faults after which every accepted job has to be done.
//!
//! A fleet, jobs, faults of workers and changes of the leader are drawn. Then all faults end, and
//! each sound job has to complete, and each long-running task to run, within [`SETTLING_BOUND`].
//! [`Simulation`] checks each start, so a task that runs twice fails the seed too.

use std::panic::{AssertUnwindSafe, catch_unwind};

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::simulation::{Fault, TIME_STEP};
use super::{Simulation, job, long_running, step};
use crate::dispatch::{
    JobKey, JobRecord, JobStatus, QueueSettings, Run, RunOutcome, Step, StepKey, TaskKey,
};
use crate::model::{Bytes, DomainName, Resources, Span};

/// Seeds that a test run plays; `JUJUBELB_SETTLING_SEEDS` sets another number.
const DEFAULT_SEEDS: u64 = 600;

/// Simulated time with faults.
const DISTURBED: Span = Span::from_secs(10);

/// Time from the end of all faults until every job is done, besides the durations of all tasks
/// that are open then, which a single worker may have to run one after the other: 16 s in which
/// earlier leaders may act and 6.5 s for the leases that they may have extended, 15 s for a task
/// that waits for a worker apart from others, 8 s for the probe of a worker by a last attempt, and
/// 6 s for pauses in between.
const SETTLING_BOUND: Span = Span::from_secs(52);

/// Time in which the policy service answers.
const TICKET_PAUSE: Span = Span::from_millis(100);

const TICKET_LIFETIME: Span = Span::from_secs(2);

/// Crashes of a task's workers from which on its job may be given up.
const CRASHES_TO_GIVE_UP: usize = 3;

struct Day {
    rng: StdRng,
    sim: Simulation,
    /// Whether most jobs need the labelled workers and have few attempts, runs fail often, and no
    /// job comes near the end.
    narrow: bool,
    /// Workers that the policy service allows.
    allowed: Vec<usize>,
    /// Runs that ended as failed.
    failed: IndexMap<TaskKey, IndexSet<Run>>,
    crashes: usize,
    log: Vec<String>,
}

impl Day {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..9);
        let mut sim = Simulation::new(count);
        let mut allowed = Vec::new();
        for i in 0..count {
            let cores = [32, 48, 64][rng.random_range(0..3)];
            let report = &mut sim.worker(i).report;
            report.capacity = Resources::new(cores * 1_000, Bytes::from_gib(256).0, 0);
            if i == 0 || rng.random_bool(0.2) {
                report.labels.push(ArcStr::from("special"));
                allowed.push(i);
            } else if rng.random_bool(0.3) {
                allowed.push(i);
            }
        }
        sim.list_workers();
        Self {
            narrow: rng.random_bool(0.5),
            rng,
            sim,
            allowed,
            failed: IndexMap::new(),
            crashes: 0,
            log: Vec::new(),
        }
    }

    fn note(&mut self, text: String) {
        self.log.push(format!("{:?} {text}", self.sim.now));
    }

    fn draw_step(&mut self, index: u16) -> Step {
        let rng = &mut self.rng;
        let cores = rng.random_range(1..9);
        let mut drawn = match rng.random_bool(0.2) {
            true => long_running(rng.random_range(1..3), cores.min(3)),
            false => {
                let estimate = Span::from_millis(rng.random_range(100..2_000));
                step(rng.random_range(1..6), cores, estimate)
            }
        };
        if rng.random_bool(if self.narrow { 0.7 } else { 0.3 }) {
            drawn.label = Some(ArcStr::from("special"));
        }
        if !drawn.long_running {
            drawn.gang = rng.random_bool(0.2);
            drawn.same_rack = drawn.gang && rng.random_bool(0.5);
            if !drawn.gang && rng.random_bool(0.2) {
                drawn.per_worker = Some(rng.random_range(1..3));
            }
        }
        if drawn.gang {
            // All members fit on the smallest worker, beside 18 cores of lasting tasks.
            drawn.count = drawn.count.min(14 / cores as u32);
        }
        if index > 0 && rng.random_bool(0.6) {
            drawn.after = vec![index - 1];
        }
        drawn
    }

    fn submit(&mut self) {
        let steps = self.rng.random_range(1..4);
        let mut steps: Vec<Step> = (0..steps).map(|i| self.draw_step(i)).collect();
        // A step after a lasting one would never begin, and lasting tasks leave room to others.
        let lasting = steps.iter().any(|s| s.long_running);
        if lasting {
            steps.retain(|s| s.long_running);
            steps.truncate(1);
            steps[0].after.clear();
            let placed = self.sim.jobs.values().flat_map(|r| &r.spec.steps);
            if placed.filter(|s| s.long_running).count() >= 3 {
                return;
            }
        }
        let record = job(self.rng.random_range(0..3), steps);
        let ticketed = self.rng.random_bool(0.2);
        let record = JobRecord {
            queue: QueueSettings {
                attempts: self.rng.random_range(1..if self.narrow { 3 } else { 4 }),
                ticket_lifetime: ticketed.then_some(TICKET_LIFETIME),
                ..record.queue
            },
            ..record
        };
        let id = self.sim.jobs.len() as u64 + 1;
        self.sim.submit(id, record);
    }

    fn draw_fault(&mut self) -> Fault {
        if self.narrow && self.rng.random_bool(0.5) {
            return Fault::Failing;
        }
        match self.rng.random_range(0..9) {
            0 => Fault::Partitioned,
            1 => Fault::DelayedStarts(Span::from_millis(self.rng.random_range(100..4_000))),
            2 => Fault::LostAnswers,
            3 => Fault::Failing,
            4 => Fault::FailingStarts,
            5 => Fault::Stalled,
            6 => Fault::NoCapacity,
            _ => Fault::None,
        }
    }

    /// Ends a worker's process. Successes that no leader has acknowledged are lost with it.
    fn crash(&mut self, i: usize) {
        self.crashes += 1;
        for end in &self.sim.workers[i].completions {
            if !self.sim.acknowledged.contains(&end.task) {
                self.sim.done.shift_remove(&end.task);
            }
        }
        self.sim.crash_worker(i);
    }

    /// Starts a crashed worker again, under its name or as a worker of another one.
    fn bring_back(&mut self, i: usize, new_name: bool) {
        if !new_name {
            self.sim.restart_worker(i);
            return;
        }
        let former = self.sim.worker(i).report.clone();
        let new = self.sim.workers.len();
        self.sim.add_worker(new);
        let report = &mut self.sim.worker(new).report;
        report.labels = former.labels;
        report.rack = former.rack;
        report.capacity = former.capacity;
        self.sim.worker(new).incarnation = self.sim.now.as_micros() / 1_000;
        if self.allowed.contains(&i) {
            self.allowed.push(new);
        }
        self.sim.worker(i).report.capacity = Resources::ZERO;
    }

    /// Whether a worker has not been replaced by one of another name.
    fn is_current(&self, i: usize) -> bool {
        self.sim.workers[i].report.capacity != Resources::ZERO
    }

    fn disturb(&mut self) {
        let i = self.rng.random_range(0..self.sim.workers.len());
        match self.rng.random_range(0..100) {
            0..45 if self.is_current(i) && self.sim.workers[i].fault != Fault::Crashed => {
                let fault = self.draw_fault();
                self.note(format!("w{i} {fault:?}"));
                self.sim.worker(i).fault = fault;
            }
            45..55 if self.is_current(i) && self.sim.workers[i].fault != Fault::Crashed => {
                self.note(format!("w{i} crashes"));
                self.crash(i);
            }
            55..70 if self.is_current(i) && self.sim.workers[i].fault == Fault::Crashed => {
                let new_name = self.rng.random_bool(0.3);
                self.note(format!("w{i} back, other name: {new_name}"));
                self.bring_back(i, new_name);
                self.sim.list_workers();
            }
            70..80 => {
                let resigned = self.rng.random_bool(0.3);
                self.note(format!("leader changes, resigned: {resigned}"));
                self.sim.replace_leader(resigned);
            }
            80..84 => self.sim.store_available = !self.sim.store_available,
            84..88 => {
                let domain = DomainName::new(["a", "b"][i % 2]);
                self.sim.dispatcher.set_evacuated([domain].into());
            }
            88..90 if !self.sim.jobs.is_empty() => {
                let job = self.rng.random_range(0..self.sim.jobs.len());
                self.sim.cancel(JobKey(job as u64 + 1));
            }
            90..100 => self.sim.list_workers(),
            _ => {}
        }
    }

    fn run(&mut self, span: Span) {
        let end = self.sim.now + span;
        while self.sim.now < end {
            let elapsed = self.sim.now.as_micros();
            if elapsed.is_multiple_of(TICKET_PAUSE.as_micros()) {
                self.sim.grant_tickets(&self.allowed, TICKET_LIFETIME);
            }
            self.sim.run(TIME_STEP);
            for worker in self.sim.workers.values() {
                for end in &worker.completions {
                    if end.outcome == RunOutcome::Failed {
                        self.failed.entry(end.task).or_default().insert(end.run);
                    }
                }
            }
        }
    }

    /// Ends all faults.
    fn calm(&mut self) {
        self.note("calm".into());
        self.sim.store_available = true;
        self.sim.dispatcher.set_evacuated(IndexSet::new());
        for i in 0..self.sim.workers.len() {
            if !self.is_current(i) {
                continue;
            }
            match self.sim.workers[i].fault {
                Fault::Crashed => {
                    let new_name = self.rng.random_bool(0.5);
                    self.note(format!("w{i} back, other name: {new_name}"));
                    self.bring_back(i, new_name);
                }
                _ => self.sim.worker(i).fault = Fault::None,
            }
        }
        self.sim.list_workers();
    }

    /// Whether a job may be given up: a task used up its attempts, or workers have crashed so often
    /// that a task may look like the cause.
    fn may_fail(&self, key: JobKey) -> bool {
        let attempts = self.sim.jobs[&key].queue.attempts as usize;
        let steps = &self.sim.jobs[&key].spec.steps;
        let mut runs: IndexMap<StepKey, IndexSet<Run>> = IndexMap::new();
        let mut used_up = false;
        for (task, failed) in self.failed.iter().filter(|(t, _)| t.step.job == key) {
            used_up |= failed.len() >= attempts;
            if steps[usize::from(task.step.step)].gang {
                runs.entry(task.step).or_default().extend(failed);
            }
        }
        used_up || runs.values().any(|r| r.len() >= attempts) || self.crashes >= CRASHES_TO_GIVE_UP
    }

    /// Duration of all tasks of the jobs that have not ended.
    fn open_work(&self) -> Span {
        let has_ended = |key: &JobKey| {
            let status = self.sim.dispatcher.job_status(*key);
            status.is_some_and(|s| !matches!(s, JobStatus::Queued | JobStatus::Running))
        };
        let open = self.sim.jobs.iter().filter(|(key, _)| !has_ended(key));
        let steps = open.flat_map(|(_, record)| &record.spec.steps);
        let duration = |s: &Step| s.estimate.scale_up(s.count.into(), 1);
        steps.map(duration).fold(Span::ZERO, |sum, d| sum + d)
    }

    /// What is not done.
    fn open(&self) -> Vec<String> {
        let mut open = Vec::new();
        for (key, record) in &self.sim.jobs {
            if self.sim.cancelled.contains(key) {
                continue;
            }
            let status = self.sim.dispatcher.job_status(*key);
            let lasting = record.spec.steps.iter().filter(|s| s.long_running);
            let lasting: u32 = lasting.map(|s| s.count).sum();
            let is_done = match status {
                Some(JobStatus::Completed) => true,
                Some(JobStatus::Failed) => self.may_fail(*key),
                _ => lasting > 0 && self.sim.running(*key) == lasting as usize,
            };
            if !is_done {
                let running = self.sim.running(*key);
                open.push(format!(
                    "{key} {status:?}, running {running}: {record:#?} {:#?}",
                    self.sim.dispatcher.jobs.get(key).map(|j| &j.occurrences)
                ));
            }
        }
        open
    }

    /// Plays the day; returns what is not done at its end.
    fn play(&mut self) -> Vec<String> {
        let end = self.sim.now + DISTURBED;
        while self.sim.now < end {
            let quiet = self.narrow && self.sim.now + Span::from_secs(2) > end;
            if !quiet && self.rng.random_bool(0.4) {
                self.submit();
            }
            if self.rng.random_bool(0.7) {
                self.disturb();
            }
            let pause = Span::from_millis(self.rng.random_range(1..15) * 20);
            self.run(pause);
        }
        self.calm();
        let end = self.sim.now + SETTLING_BOUND + self.open_work();
        while self.sim.now < end && !self.open().is_empty() {
            self.run(Span::from_secs(1));
        }
        self.open()
    }
}

/// Guards against accepted tasks that never run although all faults have ended: a wait without a
/// bound.
#[test]
fn every_sound_job_is_done_when_all_faults_have_ended() {
    let seeds = std::env::var("JUJUBELB_SETTLING_SEEDS");
    let seeds = seeds.map_or(DEFAULT_SEEDS, |s| s.parse().unwrap());
    let first = std::env::var("JUJUBELB_SETTLING_FIRST").map_or(0, |s| s.parse().unwrap());
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let played = catch_unwind(AssertUnwindSafe(|| {
            let mut day = Day::new(seed);
            let open = day.play();
            if !open.is_empty() {
                println!("seed {seed}: {:#?}", day.log);
                println!("{:#?}", day.sim.dispatcher.summary());
                for text in &open {
                    println!("{text}");
                }
            }
            open.len()
        }));
        match played {
            Ok(0) => {}
            Ok(_) => failed.push(format!("{seed} open")),
            Err(_) => failed.push(format!("{seed} panic")),
        }
    }
    assert!(
        failed.is_empty(),
        "{} of {seeds} seeds: {failed:?}",
        failed.len()
    );
}
