//! Starts without an answer whose worker restarts under its name.

use super::simulation::{Fault, TIME_STEP};
use super::{Simulation, job, step};
use crate::dispatch::{
    Incarnation, JobKey, Order, PollReply, PollRequest, Run, StartReply, Step, StopReply, TaskKey,
    WorkerOrder,
};
use crate::model::{Span, Time, WorkerName};

/// Time from the restart in which a quiet worker has to have room again: the poll that waits
/// when a stop is confirmed and the one after it take 1.5 s each.
const MAX_WAIT: Span = Span::from_secs(4);

/// A worker that dies before it answers a start and the stops of that run, is unlisted, and
/// comes back.
fn restarted_worker(step: Step) -> (Simulation, JobKey) {
    let mut sim = Simulation::new(1);
    sim.worker(0).fault = Fault::Partitioned;
    let key = sim.submit(1, job(0, vec![step]));
    sim.run(Span::from_millis(100));
    sim.crash_worker(0);
    sim.dispatcher.worker_unlisted(&WorkerName::new("w0"));
    sim.run(Span::from_secs(1));
    sim.restart_worker(0);
    assert_eq!(sim.starts.len(), 0);
    assert_eq!(sim.dispatcher.summary().unanswered, 3);
    (sim, key)
}

/// Three tasks, which may be a gang.
fn three_tasks(gang: bool) -> Step {
    Step {
        gang,
        ..step(3, 4, Span::from_secs(1))
    }
}

/// The answer of the only worker, on which nothing runs.
fn empty_reply(sim: &Simulation) -> PollReply {
    PollReply {
        incarnation: Some(Incarnation(sim.workers[0].incarnation)),
        clock: sim.workers[0].clock(sim.now),
        running: Vec::new(),
        finished: Vec::new(),
    }
}

/// Polls the worker for a span as the leader process does: each poll waits as long as it may,
/// because nothing ends on the worker. Returns when a start is ordered.
fn poll_until_start(sim: &mut Simulation, span: Span) -> Option<Span> {
    let name = WorkerName::new("w0");
    let (began, mut open): (Time, Option<(Time, PollRequest)>) = (sim.now, None);
    while sim.now.since(began) < span {
        sim.now = sim.now + TIME_STEP;
        match &open {
            Some((sent, request)) if sim.now.since(*sent) >= request.wait => {
                let reply = empty_reply(sim);
                sim.dispatcher.poll_answered(&name, *sent, &reply, sim.now);
                open = None;
            }
            Some(_) => {}
            None => open = sim.dispatcher.poll(&name, sim.now).map(|r| (sim.now, r)),
        }
        sim.commit();
        let arrived = sim.dispatcher.last_arrival();
        sim.dispatcher.term_confirmed(arrived);
        sim.dispatcher.set_authority(sim.now);
        for order in sim.dispatcher.plan(sim.wall(), sim.now) {
            if matches!(order.order, Order::Start { .. }) {
                return Some(sim.now.since(began));
            }
            sim.execute(&order);
        }
    }
    None
}

/// Guards against a task that never starts again: its start has no deadline on the clock of
/// the new incarnation, and each repeated stop replaced the time of the first confirmation,
/// so that no poll of 1.5 s was sent after it.
#[test]
fn a_start_is_ruled_out_while_its_stop_is_repeated() {
    for gang in [false, true] {
        let (mut sim, _) = restarted_worker(three_tasks(gang));
        sim.poll_worker(0);
        sim.list_workers();
        let start = poll_until_start(&mut sim, Span::from_secs(20));
        assert!(start.is_some_and(|t| t <= MAX_WAIT), "{gang} {start:?}");
    }
}

/// Guards against the same fault if the start is found unanswered only after the poll that
/// shows the restart.
#[test]
fn a_start_that_is_unanswered_after_the_restart_is_ruled_out() {
    for gang in [false, true] {
        let mut sim = Simulation::new(1);
        sim.submit(1, job(0, vec![three_tasks(gang)]));
        let arrived = sim.dispatcher.last_arrival();
        sim.dispatcher.term_confirmed(arrived);
        let orders = sim.dispatcher.plan(sim.wall(), sim.now);
        assert_eq!(orders.len(), 3);
        sim.crash_worker(0);
        sim.now = sim.now + TIME_STEP;
        sim.restart_worker(0);
        sim.poll_worker(0);
        sim.list_workers();
        for WorkerOrder { worker, order, .. } in &orders {
            if let Order::Start { task, run, .. } = order {
                let answer = StartReply::NoAnswer.into();
                sim.dispatcher
                    .start_answered(worker, *task, *run, answer, sim.now);
            }
        }
        let start = poll_until_start(&mut sim, Span::from_secs(20));
        assert!(start.is_some_and(|t| t <= MAX_WAIT), "{gang} {start:?}");
    }
}

/// Guards against runs of a cancelled job that take a worker's room for good.
#[test]
fn a_start_of_a_cancelled_job_is_ruled_out() {
    let (mut sim, key) = restarted_worker(three_tasks(false));
    sim.cancel(key);
    sim.poll_worker(0);
    sim.list_workers();
    assert_eq!(poll_until_start(&mut sim, MAX_WAIT), None);
    assert_eq!(sim.dispatcher.summary().running, 0);
}

/// The task and the run of the only order to stop among these.
fn stop_of(orders: &[WorkerOrder]) -> (TaskKey, Run) {
    match orders {
        [
            WorkerOrder {
                order: Order::Stop { task, run },
                ..
            },
        ] => (*task, *run),
        _ => panic!("{orders:?}"),
    }
}

/// Guards against a second run of a task: an earlier incarnation of its worker confirms a stop
/// and dies, the answer arrives after the restart was noticed, and the start order, still in
/// transit, reaches the new incarnation, which knows of no stop.
#[test]
fn a_stop_that_an_earlier_incarnation_confirmed_rules_nothing_out() {
    let mut sim = Simulation::new(1);
    let name = WorkerName::new("w0");
    sim.submit(1, job(0, vec![step(1, 4, Span::from_secs(1))]));
    let arrived = sim.dispatcher.last_arrival();
    sim.dispatcher.term_confirmed(arrived);
    let orders = sim.dispatcher.plan(sim.wall(), sim.now);
    let [
        WorkerOrder {
            order: Order::Start { task, run, .. },
            ..
        },
    ] = orders[..]
    else {
        panic!("{orders:?}");
    };
    let answer = StartReply::NoAnswer.into();
    sim.dispatcher
        .start_answered(&name, task, run, answer, sim.now);
    let stopped = sim.now + TIME_STEP;
    sim.now = stopped;
    let orders = sim.dispatcher.plan(sim.wall(), sim.now);
    assert_eq!(stop_of(&orders), (task, run));
    sim.crash_worker(0);
    sim.now = sim.now + TIME_STEP;
    sim.restart_worker(0);
    sim.poll_worker(0);
    sim.now = sim.now + TIME_STEP;
    let reply = StopReply::Stopped;
    sim.dispatcher
        .stop_answered(&name, task, run, reply, stopped, sim.now);
    sim.now = sim.now + TIME_STEP;
    sim.poll_worker(0);
    assert_eq!(sim.dispatcher.summary().running, 1);
    // A stop that the new incarnation confirms rules the run out.
    let orders = sim.dispatcher.plan(sim.wall(), sim.now);
    assert_eq!(stop_of(&orders), (task, run));
    sim.execute(&orders[0]);
    sim.now = sim.now + TIME_STEP;
    sim.poll_worker(0);
    assert_eq!(sim.dispatcher.summary().running, 0);
}
