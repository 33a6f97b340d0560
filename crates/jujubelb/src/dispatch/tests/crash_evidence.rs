//! Evidence of crashes: when a lost worker counts as crashed, and when it no longer does.

use super::simulation::{Fault, Return, TIME_STEP};
use super::{Simulation, job, long_running, step};
use crate::dispatch::crash::Isolation;
use crate::dispatch::progress::{Crash, OccurrenceProgress, Progress, StepProgress, TaskCrashes};
use crate::dispatch::{JobKey, JobRecord, JobStatus, Run, Step, TaskKey};
use crate::model::{Span, WorkerName};

/// The platform's rule: after three crashes under a task, it may start twice more.
const MAX_STARTS: usize = 5;

fn first_task(job: JobKey) -> TaskKey {
    TaskKey::parse(&format!("{job}.0.0.0")).unwrap()
}

fn crash(run: u64) -> Crash {
    Crash {
        run: Run(run),
        worker: WorkerName::new(format!("gone{run}")),
    }
}

/// A leader that has just taken over and finds a job whose first task has these crashes.
fn with_stored_crashes(
    workers: usize,
    record: JobRecord,
    crashes: Vec<Crash>,
) -> (Simulation, JobKey) {
    let mut sim = Simulation::new(workers);
    let key = sim.submit(1, record);
    let progress = Progress {
        occurrences: vec![OccurrenceProgress {
            number: 0,
            steps: vec![StepProgress::default()],
        }],
        crashes: vec![TaskCrashes {
            occurrence: 0,
            step: 0,
            index: 0,
            crashes,
        }],
        ..Progress::default()
    };
    sim.states.insert(key, progress);
    sim.replace_leader(true);
    (sim, key)
}

/// Runs until the leader has ordered a start, and returns the worker.
fn next_placement(sim: &mut Simulation) -> WorkerName {
    for _ in 0..2_000 {
        let mut workers = sim.dispatcher.workers.iter();
        let reachable = |name: &WorkerName| sim.workers[name].fault != Fault::Partitioned;
        if let Some((name, _)) = workers.find(|(n, w)| !w.runs.is_empty() && reachable(n)) {
            return name.clone();
        }
        sim.run(TIME_STEP);
    }
    panic!("nothing was started");
}

/// Guards against a crash that is not counted because the leader changes before the lease of
/// the worker has expired.
#[test]
fn crashes_before_a_change_of_the_leader_count() {
    let mut sim = Simulation::new(8);
    sim.back = Return::NewName;
    sim.submit(1, job(0, vec![long_running(12, 8)]));
    sim.run(Span::from_secs(3));
    let faulty = sim.submit(2, job(0, vec![step(4, 4, Span::from_secs(1))]));
    let task = first_task(faulty);
    sim.faulty.insert(task);
    for _ in 0..12 {
        sim.run(Span::from_secs(9));
        sim.replace_leader(true);
    }
    let starts = sim.starts.iter().filter(|(_, _, t, _)| *t == task).count();
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(sim.dispatcher.job_status(faulty), Some(JobStatus::Failed));
}

/// A worker that is cut off from the leader and the store, after its crash was counted against
/// the only task.
fn with_unlisted_worker() -> (Simulation, JobKey, WorkerName) {
    let mut sim = Simulation::new(2);
    let key = sim.submit(1, job(0, vec![step(1, 16, Span::from_secs(60))]));
    sim.run(Span::from_millis(100));
    let victim = sim.starts[0].1.clone();
    let other = 1 - sim.workers.get_index_of(&victim).unwrap();
    sim.worker(other).fault = Fault::NoCapacity;
    sim.workers[&victim].fault = Fault::Partitioned;
    sim.run(Span::from_secs(4));
    sim.dispatcher.worker_unlisted(&victim);
    sim.run(Span::from_secs(4));
    assert_eq!(sim.states[&key].crashes.len(), 1);
    (sim, key, victim)
}

/// Guards against a count that stays after the same incarnation of an unlisted worker has
/// answered.
#[test]
fn a_partition_of_an_unlisted_worker_is_not_counted_as_a_crash() {
    let (mut sim, key, victim) = with_unlisted_worker();
    // A run that outlives its probation would clear the task as well.
    sim.workers[&victim].fault = Fault::NoCapacity;
    sim.list_workers();
    sim.run(Span::from_millis(700));
    assert_eq!(sim.states[&key].crashes, Vec::new());
}

/// Guards against a count that stays because another leader had assumed the crash.
#[test]
fn a_partition_is_not_counted_as_a_crash_by_the_next_leader() {
    let (mut sim, key, victim) = with_unlisted_worker();
    sim.replace_leader(true);
    sim.dispatcher.worker_unlisted(&victim);
    sim.run(Span::from_secs(1));
    assert_eq!(sim.states[&key].crashes.len(), 1);
    // A run that outlives its probation would clear the task as well.
    sim.workers[&victim].fault = Fault::NoCapacity;
    sim.list_workers();
    sim.run(Span::from_millis(700));
    assert_eq!(sim.states[&key].crashes, Vec::new());
}

/// Guards against failing a sound job because its starts get no answer and their workers are
/// then cut off from the leader. The store shows all the time that they are up.
#[test]
fn cuts_of_listed_workers_do_not_fail_a_sound_job() {
    let mut sim = Simulation::new(6);
    for i in 0..6 {
        sim.worker(i).fault = Fault::DelayedStarts(Span::from_secs(5));
    }
    let key = sim.submit(1, job(0, vec![step(1, 4, Span::from_secs(1))]));
    for _ in 0..5 {
        let victim = next_placement(&mut sim);
        sim.workers[&victim].fault = Fault::Partitioned;
        sim.run(Span::from_secs(8));
        assert_ne!(sim.dispatcher.job_status(key), Some(JobStatus::Failed));
    }
    for i in 0..6 {
        sim.worker(i).fault = Fault::None;
    }
    sim.run(Span::from_secs(25));
    assert_eq!(sim.dispatcher.job_status(key), Some(JobStatus::Completed));
}

/// Guards against suspects that start beside others right after the wait for an unreachable
/// worker, because it was taken for a wait for a worker apart from others.
#[test]
fn suspects_are_kept_apart_after_the_wait_of_a_new_leader() {
    // Larger than any worker, so that it keeps waiting.
    let record = job(0, vec![long_running(1, 100)]);
    let (mut sim, key) = with_stored_crashes(3, record, vec![crash(1), crash(2)]);
    sim.worker(0).fault = Fault::Partitioned;
    let isolation = |sim: &Simulation| {
        let task = sim.dispatcher.jobs[&key].task(first_task(key)).unwrap();
        task.isolation_at(true, sim.now)
    };
    while !sim.dispatcher.inherited_resolved {
        sim.run(TIME_STEP);
    }
    sim.run(Span::from_secs(2));
    assert_eq!(isolation(&sim), Isolation::Alone);
    sim.run(Span::from_secs(1));
    assert_eq!(isolation(&sim), Isolation::Spread);
}

/// Guards against a count that stays although an adopted run has outlived its probation.
#[test]
fn an_adopted_run_that_outlives_its_probation_clears_its_task() {
    let record = job(0, vec![step(1, 4, Span::from_secs(60))]);
    let (mut sim, key) = with_stored_crashes(4, record, vec![crash(1)]);
    next_placement(&mut sim);
    sim.run(Span::from_millis(100));
    sim.replace_leader(true);
    assert_eq!(sim.states[&key].crashes.len(), 1);
    sim.run(Span::from_secs(2));
    assert_eq!(sim.running(key), 1);
    assert_eq!(sim.states[&key].crashes, Vec::new());
}

fn gang(estimate: Span) -> JobRecord {
    let step = Step {
        gang: true,
        ..step(2, 40, estimate)
    };
    job(0, vec![step])
}

/// Guards against a gang that is given up for crashes between which it ran well.
#[test]
fn a_gang_that_outlives_its_probation_is_cleared() {
    let (mut sim, key) = with_stored_crashes(4, gang(Span::from_secs(60)), vec![crash(1)]);
    sim.run(Span::from_secs(3));
    assert_eq!(sim.running(key), 2);
    assert_eq!(sim.states[&key].crashes, Vec::new());
}

/// Guards against clearing a gang of which one member has crashed its worker.
#[test]
fn a_gang_is_cleared_only_when_all_members_have_outlived_probation() {
    let (mut sim, key) = with_stored_crashes(2, gang(Span::from_secs(60)), vec![crash(1)]);
    next_placement(&mut sim);
    sim.run(Span::from_millis(100));
    sim.crash_worker(1);
    sim.run(Span::from_secs(3));
    assert!(!sim.states[&key].crashes.is_empty());
}

/// Guards against a crash under one member of a gang that is forgotten when the worker of
/// another member, which was only cut off, answers again.
#[test]
fn the_return_of_a_worker_keeps_the_crash_of_another() {
    let mut sim = Simulation::new(2);
    let key = sim.submit(1, gang(Span::from_secs(60)));
    sim.run(Span::from_millis(100));
    assert_eq!(sim.running(key), 2);
    sim.worker(0).fault = Fault::Partitioned;
    sim.crash_worker(1);
    sim.run(Span::from_millis(100));
    sim.restart_worker(1);
    sim.worker(1).fault = Fault::NoCapacity;
    sim.list_workers();
    sim.run(Span::from_secs(8));
    sim.worker(0).fault = Fault::NoCapacity;
    sim.run(Span::from_millis(700));
    let workers: Vec<&str> = sim.states[&key]
        .crashes
        .iter()
        .flat_map(|c| &c.crashes)
        .map(|c| c.worker.as_str())
        .collect();
    assert_eq!(workers, ["w1"]);
}

/// Guards against giving up a sound task because of a host that crashes again and again, and
/// whose worker comes back under another name each time.
#[test]
fn crashes_on_one_address_count_as_crashes_of_one_worker() {
    let mut sim = Simulation::new(2);
    sim.worker(0).fault = Fault::NoCapacity;
    let key = sim.submit(1, job(0, vec![step(1, 4, Span::from_secs(2))]));
    for _ in 0..3 {
        let task = first_task(key);
        let holds =
            |w: &WorkerName, sim: &Simulation| sim.dispatcher.workers[w].runs.contains_key(&task);
        let last = sim.workers.len() - 1;
        let name = sim.workers.get_index(last).unwrap().0.clone();
        while !holds(&name, &sim) {
            sim.run(TIME_STEP);
        }
        sim.crash_worker(last);
        sim.run(Span::from_secs(3));
        let address = sim.worker(last).report.address;
        sim.add_worker(last + 1);
        sim.worker(last + 1).report.address = address;
        sim.list_workers();
    }
    sim.run(Span::from_secs(30));
    assert_eq!(sim.dispatcher.job_status(key), Some(JobStatus::Completed));
}
