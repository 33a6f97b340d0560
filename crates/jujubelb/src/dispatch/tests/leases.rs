//! Workers that vanish and come back.

use super::simulation::Fault;
use super::{World, job, long_running, step};
use crate::model::Span;

/// Guards against a lease that each unanswered look moves on, so that a dead
/// worker's tasks would never start elsewhere.
#[test]
fn tasks_of_a_dead_worker_start_elsewhere_after_its_lease() {
    let mut world = World::new(4);
    let key = world.submit(1, job(0, vec![long_running(4, 16)]));
    world.run(Span::from_secs(1));
    assert_eq!(world.running(key), 4);
    let victim = world.starts[0].1.clone();
    let i = world.workers.get_index_of(&victim).unwrap();
    world.kill(i);
    world.run(Span::from_secs(8));
    assert_eq!(world.running(key), 4);
}

/// The same for a worker that is cut off and whose looks are lost on the way.
#[test]
fn tasks_of_a_cut_worker_start_elsewhere_after_its_lease() {
    let mut world = World::new(4);
    let key = world.submit(1, job(0, vec![long_running(4, 16)]));
    world.run(Span::from_secs(1));
    let victim = world.starts[0].1.clone();
    world.workers[&victim].fault = Fault::Cut;
    world.run(Span::from_secs(5));
    // Its lease is not over yet: the world fails on a second run of a task.
    assert_eq!(world.starts.len(), 4);
    world.run(Span::from_secs(4));
    assert_eq!(world.running(key), 4);
    assert!(world.starts.len() > 4);
}

/// Guards against waiting for the lease of a worker that has restarted.
#[test]
fn a_new_incarnation_frees_tasks_at_once() {
    let mut world = World::new(1);
    let key = world.submit(1, job(0, vec![long_running(2, 16)]));
    world.run(Span::from_secs(1));
    world.kill(0);
    world.run(Span::from_secs(1));
    world.revive(0);
    world.list();
    world.run(Span::from_secs(2));
    assert_eq!(world.running(key), 2);
}

/// Guards against a second run while an order without an answer may still come.
#[test]
fn an_unanswered_start_is_fenced_off_before_the_next() {
    let mut world = World::new(3);
    for i in 0..3 {
        world.worker(i).fault = Fault::Late(Span::from_secs(2));
    }
    let key = world.submit(1, job(0, vec![step(6, 4, Span::from_secs(1))]));
    world.run(Span::from_millis(300));
    for i in 0..3 {
        world.worker(i).fault = Fault::None;
    }
    world.run(Span::from_secs(8));
    assert!(world.completed.contains_key(&key));
}

/// Guards against acknowledging an end before it is durable.
#[test]
fn ends_outlive_a_leader_that_could_not_write() {
    let mut world = World::new(2);
    let key = world.submit(1, job(0, vec![step(4, 4, Span::from_millis(400))]));
    world.run(Span::from_millis(100));
    world.store_up = false;
    world.run(Span::from_secs(1));
    world.store_up = true;
    world.change_leader();
    world.run(Span::from_secs(2));
    assert!(world.completed.contains_key(&key));
    assert_eq!(world.starts.len(), 4);
}
