//! Order in which changes become durable while there are more than a batch holds.

use super::{Simulation, job, step};
use crate::dispatch::{Commit, JobKey, Step};
use crate::model::Span;

/// Jobs of many short steps, so that all of them change all the time.
const BUSY_JOBS: u64 = 120;

/// A simulation with more changed jobs than two batches hold.
fn busy() -> Simulation {
    let mut sim = Simulation::new(40);
    for i in 0..BUSY_JOBS {
        let duration = Span::from_millis(200 + 10 * (i % 10));
        let chain = (0..40).map(|k: u16| Step {
            after: k.checked_sub(1).into_iter().collect(),
            ..step(6, 3, duration)
        });
        sim.submit(i, job(2, chain.collect()));
    }
    sim.store_available = false;
    sim.run(Span::from_millis(600));
    sim
}

/// Makes the next batch durable while every job changes again.
fn next_commit(sim: &mut Simulation) -> Commit {
    let commit = sim.dispatcher.take_commit(sim.now).unwrap();
    sim.run(Span::from_millis(300));
    sim.committed(&commit);
    commit
}

fn jobs(commit: &Commit) -> Vec<JobKey> {
    commit.jobs.iter().map(|(key, _)| *key).collect()
}

/// Guards against callers who wait for an outcome behind the progress of other jobs, which
/// nobody waits for.
#[test]
fn outcomes_precede_progress() {
    let mut sim = busy();
    let check = sim.submit(1_000, job(0, vec![step(1, 2, Span::from_millis(100))]));
    sim.run(Span::from_millis(400));
    assert_eq!(jobs(&next_commit(&mut sim))[0], check);
}

/// Guards against outcomes of batches that make callers of urgent queues wait.
#[test]
fn outcomes_of_urgent_queues_precede_others() {
    let mut sim = busy();
    sim.submit(1_000, job(2, vec![step(1, 2, Span::from_millis(100))]));
    sim.run(Span::from_millis(200));
    let check = sim.submit(1_001, job(0, vec![step(1, 2, Span::from_millis(100))]));
    sim.run(Span::from_millis(400));
    assert_eq!(jobs(&next_commit(&mut sim))[..2], [check, JobKey(1_000)]);
}

/// Guards against jobs that are never written because others, which change all the time,
/// are first in each batch. Their workers could not forget the ends of runs.
#[test]
fn every_changed_job_is_written_in_turn() {
    let mut sim = busy();
    let changed: Vec<JobKey> = sim.dispatcher.dirty_jobs.iter().copied().collect();
    assert!(changed.len() > 60, "{} changed jobs", changed.len());
    let mut written: Vec<JobKey> = Vec::new();
    for _ in 0..changed.len().div_ceil(20) {
        written.extend(jobs(&next_commit(&mut sim)));
    }
    let missing = changed.iter().filter(|key| !written.contains(key));
    assert_eq!(missing.count(), 0);
}

/// Guards against completions that are never acknowledged because the worker lists further
/// ones while each batch is written.
#[test]
fn completions_are_acknowledged_while_more_arrive() {
    let mut sim = Simulation::new(1);
    sim.store_available = false;
    let mut commit = None;
    for i in 0..60 {
        sim.submit(i, job(2, vec![step(1, 8, Span::from_millis(400))]));
        sim.run(Span::from_millis(60));
        if i % 5 == 4 {
            if let Some(written) = commit.take() {
                sim.committed(&written);
            }
            commit = sim.dispatcher.take_commit(sim.now);
        }
        // A completion waits for the batch in progress and for its own, 600 ms after at most
        // 300 ms without a batch, and there is one every 60 ms.
        assert!(sim.unacknowledged(0) <= 15, "{}", sim.unacknowledged(0));
    }
    assert!(sim.done.len() > 45);
}

/// Guards against completions of a worker that leaves the list while their effects are not
/// durable: it would be polled no more, and keep them for good.
#[test]
fn completions_of_a_worker_that_is_not_listed_are_acknowledged() {
    let mut sim = Simulation::new(1);
    sim.store_available = false;
    sim.submit(1, job(0, vec![step(4, 4, Span::from_millis(200))]));
    sim.run(Span::from_millis(500));
    let name = sim.workers[0].report.name.clone();
    sim.dispatcher.worker_unlisted(&name);
    sim.run(Span::from_millis(500));
    assert_eq!(sim.unacknowledged(0), 4);
    sim.store_available = true;
    sim.run(Span::from_secs(1));
    assert_eq!(sim.unacknowledged(0), 0);
}

/// Guards against progress that is never written because each batch is full of outcomes. No
/// worker could forget a completion that is later than that progress.
#[test]
fn progress_is_written_while_outcomes_fill_each_batch() {
    let mut sim = Simulation::new(40);
    let second = Step {
        after: vec![0],
        ..step(1, 4, Span::from_secs(60))
    };
    let chain = job(2, vec![step(1, 4, Span::from_millis(100)), second]);
    let slow = sim.submit(1_000, chain);
    sim.store_available = false;
    sim.run(Span::from_millis(400));
    for batch in 0..6 {
        for i in 0..40 {
            let duration = Span::from_millis(100);
            sim.submit(batch * 40 + i, job(0, vec![step(1, 4, duration)]));
        }
        sim.run(Span::from_millis(300));
        let commit = sim.dispatcher.take_commit(sim.now).unwrap();
        if jobs(&commit).contains(&slow) {
            return;
        }
        sim.committed(&commit);
    }
    panic!("six batches without the progress of a job");
}

/// Guards against marks of jobs that were cancelled before they were stored, and that stay in
/// the store for good: any client can cause one with an identifier that it has made up.
#[test]
fn marks_of_withdrawn_jobs_are_deleted() {
    let mut sim = Simulation::new(1);
    let key = JobKey(7);
    sim.dispatcher.job_withdrawn(key, sim.now);
    assert_eq!(sim.dispatcher.job_status(key), None);
    for (minutes, forgotten) in [(2, vec![]), (9, vec![key])] {
        sim.now = sim.now + Span::from_secs(60 * minutes);
        sim.dispatcher.expire(sim.now);
        let commit = sim.dispatcher.take_commit(sim.now);
        let deleted = commit.map(|commit| {
            sim.committed(&commit);
            commit.forgotten
        });
        assert_eq!(deleted.unwrap_or_default(), forgotten);
    }
    assert!(!sim.dispatcher.has_changes());
}
