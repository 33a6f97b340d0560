//! Calls without an answer that are executed late, by the next incarnation of their worker.

use super::simulation::{LatePoll, TIME_STEP};
use super::{Simulation, job, step};
use crate::dispatch::{Order, Run, TaskKey, WorkerOrder};
use crate::model::{Span, WorkerName};

/// Tasks of each job of these tests.
const TASKS: usize = 2;

/// A worker that was started again under its name after a poll that acknowledges the ends of
/// one job had no answer. A second job runs on the new incarnation.
fn restarted_with_late_poll() -> (Simulation, LatePoll) {
    let mut sim = Simulation::new(1);
    let short = |count| job(0, vec![step(count, 4, Span::from_millis(200))]);
    sim.submit(1, short(TASKS as u32));
    sim.run(Span::from_secs(1));
    assert_eq!((sim.done.len(), sim.unacknowledged(0)), (TASKS, 0));
    let late = sim.poll_late(0);
    sim.crash_worker(0);
    sim.run(Span::from_millis(200));
    sim.restart_worker(0);
    sim.list_workers();
    sim.submit(2, short(TASKS as u32));
    for _ in 0..100 {
        if sim.starts.len() == 2 * TASKS {
            break;
        }
        sim.run(TIME_STEP);
    }
    assert_eq!(sim.starts.len(), 2 * TASKS);
    (sim, late)
}

/// Guards against an end that a worker forgets before it was read, because an acknowledgement
/// of an earlier incarnation's ends arrives late. Its task would start again.
#[test]
fn a_late_poll_acknowledges_nothing_of_the_next_incarnation() {
    let (mut sim, late) = restarted_with_late_poll();
    for _ in 0..15 {
        sim.now = sim.now + TIME_STEP;
        sim.advance_workers();
    }
    assert_eq!(sim.unacknowledged(0), TASKS);
    sim.execute_late(&late);
    assert_eq!(sim.unacknowledged(0), TASKS);
    sim.run(Span::from_secs(2));
    assert_eq!((sim.completed.len(), sim.starts.len()), (2, 2 * TASKS));
}

/// A worker with one planned start that has not been sent.
fn planned_start() -> (Simulation, WorkerName, TaskKey, Run) {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![step(1, 4, Span::from_millis(200))]));
    let arrived = sim.dispatcher.last_arrival();
    sim.dispatcher.term_confirmed(arrived);
    sim.now = sim.now + TIME_STEP;
    let orders = sim.dispatcher.plan(sim.wall(), sim.now);
    let [
        WorkerOrder {
            worker,
            order: Order::Start { task, run, .. },
            ..
        },
    ] = &orders[..]
    else {
        panic!("{orders:?}");
    };
    let (worker, task, run) = (worker.clone(), *task, *run);
    assert!(sim.dispatcher.may_send_start(&worker, task, run));
    (sim, worker, task, run)
}

/// Guards against a start that waits for others of its worker while the worker restarts: the new
/// incarnation would accept it under the former token.
#[test]
fn a_start_that_waited_over_a_restart_is_not_sent() {
    let (mut sim, worker, task, run) = planned_start();
    sim.crash_worker(0);
    sim.now = sim.now + TIME_STEP;
    sim.restart_worker(0);
    sim.poll_worker(0);
    sim.list_workers();
    assert!(!sim.dispatcher.may_send_start(&worker, task, run));
    sim.commit();
    sim.now = sim.now + TIME_STEP;
    sim.poll_worker(0);
    assert!(sim.dispatcher.workers[&worker].is_admitted());
    assert!(!sim.dispatcher.may_send_start(&worker, task, run));
}

/// Guards against the same start before the restart was noticed.
#[test]
fn a_start_that_waited_over_an_unanswered_poll_is_not_sent() {
    let (mut sim, worker, task, run) = planned_start();
    sim.poll_late(0);
    assert!(!sim.dispatcher.may_send_start(&worker, task, run));
    sim.poll_worker(0);
    assert!(sim.dispatcher.may_send_start(&worker, task, run));
}
