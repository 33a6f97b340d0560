//! Gangs start together or not at all.

use super::{World, job, step};
use crate::dispatch::Step;
use crate::model::Span;

/// Guards against a gang that is started in part and waits for room.
#[test]
fn a_gang_waits_until_all_members_fit() {
    let mut world = World::new(1);
    let blocker = world.submit(1, job(0, vec![step(1, 40, Span::from_secs(2))]));
    world.run(Span::from_millis(200));
    let gang = Step {
        gang: true,
        ..step(4, 10, Span::from_secs(1))
    };
    let key = world.submit(2, job(0, vec![gang]));
    world.run(Span::from_secs(1));
    assert_eq!(world.running(key), 0);
    world.run(Span::from_secs(4));
    assert!(world.completed.contains_key(&blocker));
    assert!(world.completed.contains_key(&key));
}

/// Guards against a gang over racks while one rack has room for it.
#[test]
fn a_gang_for_one_rack_starts_on_one_rack() {
    let mut world = World::new(8);
    let gang = Step {
        gang: true,
        same_rack: true,
        ..step(6, 30, Span::from_secs(1))
    };
    world.submit(1, job(0, vec![gang]));
    world.run(Span::from_millis(400));
    let racks: std::collections::BTreeSet<_> = world
        .starts
        .iter()
        .map(|(_, w, ..)| world.workers[w].report.rack.clone())
        .collect();
    assert_eq!(world.starts.len(), 6);
    assert_eq!(racks.len(), 1);
}
