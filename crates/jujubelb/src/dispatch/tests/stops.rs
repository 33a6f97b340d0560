//! Stop orders to workers that are slow to answer.

use indexmap::IndexSet;

use super::super::stops::{MAX_OUTSTANDING_STOPS, MAX_STOP_ANSWER};
use super::simulation::BOUNDS;
use super::{Simulation, job, long_running};
use crate::dispatch::{JobKey, Order, Step, StopReply, WorkerOrder};
use crate::model::{Resources, Span};
use crate::node::RELAY_MARGIN;
use crate::platform::{ORDER_PLACES, STOP_TIMEOUT};

/// Makes scheduling passes for a span without executing their orders.
fn plan_for(sim: &mut Simulation, span: Span) -> Vec<WorkerOrder> {
    let end = sim.now + span;
    let mut orders = Vec::new();
    while sim.now < end {
        sim.now = sim.now + Span::from_millis(20);
        orders.extend(sim.dispatcher.plan(sim.wall(), sim.now));
    }
    orders
}

/// Guards against stop orders that pile up in front of a worker that is slow to answer, and
/// delay the stops of other runs there.
#[test]
fn a_stop_is_not_repeated_while_it_is_outstanding() {
    let mut sim = Simulation::new(1);
    let key = sim.submit(1, job(0, vec![long_running(1, 4)]));
    sim.run(Span::from_secs(1));
    sim.cancel(key);
    let orders = plan_for(&mut sim, Span::from_secs(3));
    let [order] = &orders[..] else {
        panic!("{} orders instead of one", orders.len());
    };
    let Order::Stop { task, run } = order.order else {
        panic!("{order:?}");
    };
    let reply = StopReply::NoAnswer;
    sim.dispatcher
        .stop_answered(&order.worker, task, run, reply, sim.now, sim.now);
    assert_eq!(plan_for(&mut sim, Span::from_secs(1)).len(), 1);
}

/// Time after a cancellation within which the tasks have to be gone.
const CANCEL_LIMIT: Span = Span::from_millis(3_400);

/// Guards against a cancelled task that runs on because two stop orders, or the results of
/// their relay, were lost.
#[test]
fn a_third_stop_is_in_time_after_two_were_lost() {
    let mut sim = Simulation::new(1);
    let key = sim.submit(1, job(0, vec![long_running(1, 4)]));
    sim.run(Span::from_secs(1));
    let cancelled = sim.now;
    sim.cancel(key);
    let mut sent = Vec::new();
    while sent.len() < 3 {
        for order in plan_for(&mut sim, Span::from_millis(20)) {
            let Order::Stop { task, run } = order.order else {
                panic!("{order:?}");
            };
            sent.push(sim.now.since(cancelled));
            if sent.len() < 3 {
                sim.now = sim.now + STOP_TIMEOUT + RELAY_MARGIN;
                let reply = StopReply::NoAnswer;
                sim.dispatcher
                    .stop_answered(&order.worker, task, run, reply, sim.now, sim.now);
            }
        }
    }
    let gone = sent[2] + BOUNDS.max_stop;
    // The rest is for the way of the third order, a batch of 250 ms on a slow link.
    assert!(gone + Span::from_millis(250) <= CANCEL_LIMIT, "{sent:?}");
}

/// Guards against the stops of a large job that are all sent at once, and against some that wait
/// behind others which the worker does not answer.
#[test]
fn a_worker_has_a_limited_number_of_outstanding_stops() {
    const RUNS: usize = 240;
    let mut sim = Simulation::new(1);
    let tiny = Step {
        size: Resources::new(10, 0, 0),
        ..long_running(RUNS as u32, 1)
    };
    let key = sim.submit(1, job(0, vec![tiny]));
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), RUNS);
    sim.cancel(key);
    let mut stopped = IndexSet::new();
    let mut unanswered: Vec<WorkerOrder> = Vec::new();
    while stopped.len() < RUNS {
        unanswered.extend(plan_for(&mut sim, Span::from_millis(20)));
        assert!(!unanswered.is_empty(), "{} of {RUNS} stops", stopped.len());
        assert!(unanswered.len() <= MAX_OUTSTANDING_STOPS);
        for order in unanswered.drain(..ORDER_PLACES.min(unanswered.len())) {
            let Order::Stop { task, run } = order.order else {
                panic!("{order:?}");
            };
            assert!(
                stopped.insert(task),
                "{task} is stopped again before others"
            );
            let reply = StopReply::NoAnswer;
            sim.dispatcher
                .stop_answered(&order.worker, task, run, reply, sim.now, sim.now);
        }
    }
}

/// Guards against a stop that is ordered again while it still waits for a connection.
#[test]
fn all_outstanding_stops_time_out_before_they_are_repeated() {
    let rounds = MAX_OUTSTANDING_STOPS.div_ceil(ORDER_PLACES) as u64;
    assert!(STOP_TIMEOUT.scale_up(rounds, 1) < MAX_STOP_ANSWER);
}

/// Guards against starting a job whose cancellation has reached the leader before the job.
#[test]
fn a_job_that_is_cancelled_before_it_arrives_does_not_start() {
    let mut sim = Simulation::new(1);
    sim.cancel(JobKey(1));
    sim.submit(1, job(0, vec![long_running(1, 4)]));
    sim.run(Span::from_secs(1));
    assert_eq!(sim.starts.len(), 0);
}
