//! Entries that name a worker that never answers.

use super::simulation::Fault;
use super::{Simulation, job, long_running, step};
use crate::model::{Span, Time};

/// Adds an entry that names a worker which never answers.
fn list_odd_worker(sim: &mut Simulation) {
    let odd = sim.workers.len();
    sim.add_worker(odd);
    sim.worker(odd).fault = Fault::Partitioned;
    sim.list_workers();
    sim.run(Span::from_secs(1));
}

/// Guards against a new leader that waits, before it starts the tasks of earlier terms, for
/// workers which no leader has ever heard of.
#[test]
fn a_new_leader_does_not_wait_for_a_worker_that_never_answered() {
    for resigned in [false, true] {
        let mut sim = Simulation::new(3);
        list_odd_worker(&mut sim);
        let key = sim.submit(1, job(0, vec![step(6, 4, Span::from_millis(300))]));
        sim.replace_leader(resigned);
        let replaced = sim.now;
        sim.run(Span::from_secs(30));
        let waited = sim.completed[&key].since(replaced);
        assert!(
            waited < Span::from_secs(2),
            "{waited}, resigned: {resigned}"
        );
        let names = sim.roster.workers.iter().map(|w| w.name.to_string());
        assert_eq!(names.collect::<Vec<_>>(), ["w0", "w1", "w2"]);
    }
}

/// Guards against a worker that was in the roster of an earlier term and is dropped from it
/// while the new leader has not heard from it: the leader after that would not wait for it.
#[test]
fn a_worker_of_the_roster_stays_in_it_until_it_answers() {
    let mut sim = Simulation::new(3);
    let key = sim.submit(1, job(0, vec![long_running(3, 60)]));
    sim.run(Span::from_secs(1));
    sim.worker(0).fault = Fault::Partitioned;
    sim.change_leader();
    list_odd_worker(&mut sim);
    sim.add_worker(4);
    sim.list_workers();
    sim.run(Span::from_secs(1));
    let names = sim.roster.workers.iter().map(|w| w.name.to_string());
    assert_eq!(names.collect::<Vec<_>>(), ["w0", "w1", "w2", "w4"]);
    sim.change_leader();
    sim.run(Span::from_secs(1));
    sim.worker(0).fault = Fault::None;
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), 3);
    assert_eq!(sim.starts.len(), 3);
}

/// Guards against tasks that wait noticeably longer for a new worker, since it joins the roster
/// only after its first answer.
#[test]
fn a_new_worker_is_used_within_two_hundred_milliseconds() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![long_running(1, 60)]));
    sim.run(Span::from_secs(1));
    let key = sim.submit(2, job(0, vec![step(1, 60, Span::from_millis(300))]));
    sim.run(Span::from_millis(500));
    sim.add_worker(1);
    sim.list_workers();
    let listed = sim.now;
    sim.run(Span::from_secs(1));
    let started: Vec<Time> = sim
        .starts
        .iter()
        .filter(|(_, _, task, _)| task.step.job == key)
        .map(|(at, ..)| *at)
        .collect();
    let [first] = started.as_slice() else {
        panic!("one start: {started:?}");
    };
    let waited = first.since(listed);
    assert!(waited < Span::from_millis(200), "{waited}");
}

/// Guards against giving up what runs on a worker whose entry an odd one overwrites for a moment.
#[test]
fn an_overwritten_entry_does_not_end_runs() {
    let mut sim = Simulation::new(2);
    let key = sim.submit(
        1,
        job(0, vec![long_running(2, 40), step(2, 8, Span::from_secs(4))]),
    );
    sim.run(Span::from_secs(1));
    let starts = sim.starts.len();
    assert_eq!(starts, 4);
    for _ in 0..3 {
        let name = sim.worker(0).report.name.clone();
        sim.dispatcher.worker_unlisted(&name);
        sim.run(Span::from_millis(300));
        sim.list_workers();
        sim.run(Span::from_millis(300));
    }
    sim.run(Span::from_secs(1));
    assert_eq!((sim.starts.len(), sim.running(key)), (starts, 4));
}
