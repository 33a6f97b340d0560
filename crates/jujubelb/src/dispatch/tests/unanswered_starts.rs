//! Starts without an answer whose worker restarts under its name.

use super::simulation::{Fault, TIME_STEP};
use super::{Simulation, job, step};
use crate::dispatch::{Incarnation, Order, PollReply, PollRequest};
use crate::model::{Span, Time, WorkerName};

/// A worker that dies before it answers a start and the stops of that run, is unlisted, and
/// comes back.
fn restarted_worker() -> Simulation {
    let mut sim = Simulation::new(1);
    sim.worker(0).fault = Fault::Partitioned;
    sim.submit(1, job(0, vec![step(3, 4, Span::from_secs(1))]));
    sim.run(Span::from_millis(100));
    sim.crash_worker(0);
    sim.dispatcher.worker_unlisted(&WorkerName::new("w0"));
    sim.run(Span::from_secs(1));
    sim.restart_worker(0);
    assert_eq!(sim.starts.len(), 0);
    assert_eq!(sim.dispatcher.summary().running, 3);
    sim
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
        sim.dispatcher.set_lease_renewed(sim.now);
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
    let mut sim = restarted_worker();
    sim.poll_worker(0);
    sim.list_workers();
    let start = poll_until_start(&mut sim, Span::from_secs(20));
    assert!(start.is_some_and(|t| t <= Span::from_secs(4)), "{start:?}");
}
