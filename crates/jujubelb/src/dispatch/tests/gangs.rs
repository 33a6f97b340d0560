//! Gangs: all members start or none.

use super::{Simulation, job, step};
use crate::dispatch::Step;
use crate::model::Span;

/// Guards against starting some members of a gang that then hold capacity while the others
/// wait.
#[test]
fn a_gang_waits_until_all_members_fit() {
    let mut sim = Simulation::new(1);
    let blocker = sim.submit(1, job(0, vec![step(1, 40, Span::from_secs(2))]));
    sim.run(Span::from_millis(200));
    let gang = Step {
        gang: true,
        ..step(4, 10, Span::from_secs(1))
    };
    let key = sim.submit(2, job(0, vec![gang]));
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), 0);
    sim.run(Span::from_secs(4));
    assert!(sim.completed.contains_key(&blocker));
    assert!(sim.completed.contains_key(&key));
}

/// Guards against spreading a gang over racks although a single rack has enough capacity.
#[test]
fn a_same_rack_gang_starts_on_one_rack() {
    let mut sim = Simulation::new(8);
    let gang = Step {
        gang: true,
        same_rack: true,
        ..step(6, 30, Span::from_secs(1))
    };
    sim.submit(1, job(0, vec![gang]));
    sim.run(Span::from_millis(400));
    let racks: std::collections::BTreeSet<_> = sim
        .starts
        .iter()
        .map(|(_, w, ..)| sim.workers[w].report.rack.clone())
        .collect();
    assert_eq!(sim.starts.len(), 6);
    assert_eq!(racks.len(), 1);
}
