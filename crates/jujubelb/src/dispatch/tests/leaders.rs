//! Changes of the leader.

use super::world::Fault;
use super::{World, job, lasting, step};
use crate::model::Span;

/// Guards against a second start of what runs when the leader changes.
#[test]
fn a_new_leader_adopts_what_runs() {
    let mut world = World::new(4);
    let standing = world.submit(1, job(0, vec![lasting(6, 8)]));
    let batch = world.submit(2, job(2, vec![step(12, 4, Span::from_secs(3))]));
    world.run(Span::from_secs(1));
    let starts = world.starts.len();
    world.change_leader();
    world.run(Span::from_secs(1));
    assert_eq!(world.starts.len(), starts);
    assert_eq!(world.running(standing), 6);
    world.run(Span::from_secs(4));
    assert!(world.completed.contains_key(&batch));
}

/// Guards against a start of a task that runs on a worker that the new leader
/// can't reach.
#[test]
fn a_new_leader_waits_for_workers_that_it_cannot_reach() {
    let mut world = World::new(4);
    let key = world.submit(1, job(0, vec![lasting(4, 40)]));
    world.run(Span::from_secs(1));
    world.worker(0).fault = Fault::Cut;
    world.change_leader();
    world.run(Span::from_secs(4));
    world.worker(0).fault = Fault::None;
    world.run(Span::from_secs(2));
    assert_eq!(world.running(key), 4);
}

/// Jobs that arrive after the change need not wait for an unreachable worker.
#[test]
fn new_jobs_start_while_old_tasks_wait() {
    let mut world = World::new(4);
    world.submit(1, job(0, vec![lasting(4, 40)]));
    world.run(Span::from_secs(1));
    world.worker(0).fault = Fault::Cut;
    world.change_leader();
    world.run(Span::from_millis(300));
    let key = world.submit(2, job(0, vec![step(2, 4, Span::from_millis(300))]));
    world.run(Span::from_secs(1));
    assert!(world.completed.contains_key(&key));
}

/// Guards against tasks of a cancelled job that go on under the next leader.
#[test]
fn a_new_leader_stops_what_was_cancelled() {
    let mut world = World::new(2);
    let key = world.submit(1, job(0, vec![lasting(4, 4)]));
    world.run(Span::from_secs(1));
    world.cancel(key);
    world.change_leader();
    world.run(Span::from_secs(2));
    assert_eq!(world.running(key), 0);
}
