//! Leases that calls to the former incarnation of a worker grant on the next one. The deadline in
//! such a call is a time on another clock, so the worker may grant the longest lease of all,
//! which is longer than the leases that leaders ask for.

use super::simulation::{Fault, LatePoll, TIME_STEP};
use super::{Simulation, job, long_running};
use crate::dispatch::JobKey;
use crate::model::{Span, WorkerTime};

/// Longest lease of the workers, longer than the leases that leaders ask for.
const LONGEST_LEASE: Span = Span::from_secs(10);

/// How long a worker is down before its next incarnation starts.
const DOWNTIME: Span = Span::from_millis(600);

const WORKERS: usize = 3;

/// Tasks of the job of which the first worker gets all.
const TASKS: usize = 2;

/// Workers with a poll that the first one has not executed before it crashed. Its next
/// incarnation has just started, and is not known to the leader.
fn restarted_with_poll_under_way() -> (Simulation, LatePoll) {
    let mut sim = Simulation::with_max_lease(WORKERS, LONGEST_LEASE);
    sim.run(Span::from_secs(1));
    let poll = sim.poll_late(0);
    sim.crash_worker(0);
    sim.now = sim.now + DOWNTIME;
    sim.restart_worker(0);
    (sim, poll)
}

/// Runs until the tasks of a long-running job are on the first worker.
fn start_on_first(sim: &mut Simulation) -> JobKey {
    let key = sim.submit(1, job(0, vec![long_running(TASKS as u32, 16)]));
    (1..WORKERS).for_each(|i| sim.worker(i).fault = Fault::NoCapacity);
    for _ in 0..200 {
        sim.run(TIME_STEP);
        if sim.runs_on(0) == TASKS {
            (1..WORKERS).for_each(|i| sim.worker(i).fault = Fault::None);
            return key;
        }
    }
    panic!("the tasks don't start on the first worker");
}

/// Cuts the first worker off for good. [`Simulation`] fails on a task that starts elsewhere
/// before its run on this worker has lapsed.
fn expect_restart_after_cut(sim: &mut Simulation, key: JobKey) {
    sim.worker(0).fault = Fault::Partitioned;
    sim.run(Span::from_secs(16));
    assert_eq!((sim.runs_on(0), sim.running(key)), (0, TASKS));
}

/// Guards against a new leader that counts a shorter lease for a worker which it never reaches
/// than a call to the worker's former incarnation has granted.
#[test]
fn a_new_leader_outlasts_the_longest_lease_of_workers_it_does_not_reach() {
    let (mut sim, poll) = restarted_with_poll_under_way();
    sim.execute_late(&poll);
    sim.list_workers();
    let key = start_on_first(&mut sim);
    sim.worker(0).fault = Fault::Partitioned;
    sim.replace_leader(true);
    expect_restart_after_cut(&mut sim, key);
}

/// Guards against a lease that is counted from the poll that shows a restart, although calls to
/// the former incarnation take effect until the worker has seen the raised token.
#[test]
fn a_lease_counts_from_the_poll_that_rules_out_calls_to_the_former_incarnation() {
    let (mut sim, poll) = restarted_with_poll_under_way();
    sim.list_workers();
    sim.poll_worker(0);
    // The token is raised by a write.
    sim.store_available = false;
    sim.run(Span::from_millis(1_500));
    sim.execute_late(&poll);
    sim.store_available = true;
    let key = start_on_first(&mut sim);
    expect_restart_after_cut(&mut sim, key);
}

/// Guards against a new leader that takes a worker without runs for one without a lease.
#[test]
fn a_lease_without_runs_counts_at_the_first_poll_of_a_term() {
    let (mut sim, poll) = restarted_with_poll_under_way();
    sim.execute_late(&poll);
    sim.replace_leader(true);
    let key = start_on_first(&mut sim);
    expect_restart_after_cut(&mut sim, key);
}

/// Guards against a new leader that takes a worker for an old one, on which an outdated call can't
/// have granted a lease, because its clock shows a late time.
#[test]
fn the_clock_of_a_worker_does_not_tell_how_long_it_has_been_up() {
    let mut sim = Simulation::with_max_lease(WORKERS, LONGEST_LEASE);
    sim.run(Span::from_secs(1));
    let poll = sim.poll_late(0);
    sim.crash_worker(0);
    sim.now = sim.now + DOWNTIME;
    sim.restart_with_clock(0, WorkerTime::ZERO + Span::from_secs(100));
    sim.execute_late(&poll);
    sim.list_workers();
    let key = start_on_first(&mut sim);
    sim.replace_leader(true);
    sim.poll_worker(0);
    expect_restart_after_cut(&mut sim, key);
}
