//! Workers that the store no longer lists.

use super::{Simulation, job, long_running, step};
use crate::model::Span;

/// Lists all workers but the first.
fn list_without_first(sim: &mut Simulation) {
    let reports = sim.workers.values().skip(1).map(|w| w.report.clone());
    let listed = reports.collect();
    sim.dispatcher.workers_listed(listed, sim.now);
}

/// Names of the workers on which tasks have started.
fn used(sim: &Simulation, from: usize) -> Vec<String> {
    let mut names: Vec<String> = sim.starts[from..]
        .iter()
        .map(|(_, worker, ..)| worker.to_string())
        .collect();
    names.sort();
    names.dedup();
    names
}

/// Guards against starts on a worker whose key is gone from a list of all keys, as it is read
/// after the store has forgotten the history with the removal.
#[test]
fn a_worker_that_a_list_lacks_gets_no_starts() {
    let mut sim = Simulation::new(2);
    sim.submit(1, job(0, vec![step(24, 4, Span::from_millis(200))]));
    sim.run(Span::from_secs(1));
    assert_eq!(used(&sim, 0), ["w0", "w1"]);
    let before = sim.starts.len();
    list_without_first(&mut sim);
    let key = sim.submit(2, job(0, vec![step(16, 4, Span::from_millis(200))]));
    sim.run(Span::from_secs(2));
    assert!(sim.completed.contains_key(&key));
    assert_eq!(used(&sim, before), ["w1"]);
}

/// Guards against a new leader that starts tasks on a worker which the roster of an earlier
/// leader names and the store does not list any more, although it still answers.
#[test]
fn a_worker_of_the_roster_that_is_not_listed_gets_no_starts() {
    let mut sim = Simulation::new(2);
    let running = sim.submit(1, job(0, vec![long_running(8, 8)]));
    sim.run(Span::from_secs(1));
    assert_eq!(used(&sim, 0), ["w0", "w1"]);
    assert_eq!(sim.roster.workers.len(), 2);
    let before = sim.starts.len();
    sim.change_leader();
    list_without_first(&mut sim);
    let key = sim.submit(2, job(0, vec![step(16, 2, Span::from_millis(200))]));
    sim.run(Span::from_secs(3));
    assert!(sim.completed.contains_key(&key));
    assert_eq!(used(&sim, before), ["w1"]);
    // What runs there goes on.
    assert_eq!(sim.running(running), 8);
}
