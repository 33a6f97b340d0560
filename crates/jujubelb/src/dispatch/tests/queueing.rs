//! Order of what waits.

use super::world::Fault;
use super::{World, job, step};
use crate::model::Span;

/// A burst of batch jobs before urgent checks: the checks don't queue behind it.
#[test]
fn urgent_checks_pass_a_burst_of_batches() {
    let mut world = World::new(2);
    for i in 0..20 {
        world.submit(i, job(2, vec![step(8, 8, Span::from_secs(2))]));
    }
    world.run(Span::from_secs(1));
    let mut checks = Vec::new();
    for i in 100..105 {
        checks.push(world.submit(i, job(0, vec![step(4, 4, Span::from_millis(500))])));
    }
    world.run(Span::from_secs(4));
    assert!(checks.iter().all(|k| world.completed.contains_key(k)));
}

/// Steps start only after the steps that they wait for.
#[test]
fn steps_run_in_order() {
    let mut world = World::new(2);
    let mut second = step(4, 4, Span::from_millis(200));
    second.after = vec![0];
    let key = world.submit(1, job(0, vec![step(4, 4, Span::from_millis(500)), second]));
    world.run(Span::from_millis(400));
    assert!(world.starts.iter().all(|(_, _, t, _)| t.step.step == 0));
    world.run(Span::from_secs(2));
    assert!(world.completed.contains_key(&key));
}

/// A worker on which everything stands still: its tasks go elsewhere, and it
/// gets no further ones while others have room.
#[test]
fn stalled_tasks_move_to_other_workers() {
    let mut world = World::new(3);
    world.worker(0).fault = Fault::Hanging;
    let mut keys = Vec::new();
    for i in 0..6 {
        keys.push(world.submit(i, job(0, vec![step(4, 8, Span::from_millis(500))])));
    }
    world.run(Span::from_secs(8));
    assert!(keys.iter().all(|k| world.completed.contains_key(k)));
}
