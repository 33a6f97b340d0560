//! Leaders that are paused between a decision and the call that carries it out, while the
//! next leader acts on the same workers. [`Simulation`] checks each start.

use super::simulation::{BOUNDS, Fault, TIME_STEP};
use super::{Simulation, job, long_running, step};
use crate::dispatch::{
    Dispatcher, EarlierLeaders, InterferenceModel, Order, Roster, Succession, WorkerOrder,
    is_start_overdue,
};
use crate::model::{Span, Time};

/// Pauses between the decision and the send, in milliseconds. A start order is valid for
/// 2.5 s, and a leader goes on for 12 s without a renewal.
const PAUSES_MS: [u64; 9] = [
    100, 1_000, 2_000, 2_400, 2_600, 4_000, 9_000, 13_000, 30_000,
];

/// A leader that has planned orders and is paused before it sends them.
pub(super) struct PausedLeader {
    dispatcher: Dispatcher,
    orders: Vec<WorkerOrder>,
    planned: Time,
}

impl PausedLeader {
    /// Lets the present leader make one scheduling pass, and pauses it.
    pub(super) fn pause(sim: &mut Simulation) -> Self {
        let orders = plan(sim);
        let term = sim.dispatcher.term();
        let stand_in = Dispatcher::new(
            term,
            BOUNDS,
            EarlierLeaders::new(&Succession::empty(term.number), sim.now),
            &Roster::default(),
            InterferenceModel::default(),
            sim.now,
        );
        let dispatcher = std::mem::replace(&mut sim.dispatcher, stand_in);
        Self {
            dispatcher,
            orders,
            planned: sim.now,
        }
    }

    /// Acts as the leader, which reaches all workers.
    fn act<T>(&mut self, sim: &mut Simulation, act: impl FnOnce(&mut Simulation) -> T) -> T {
        let faults: Vec<Fault> = sim.workers.values().map(|w| w.fault).collect();
        for worker in sim.workers.values_mut() {
            worker.fault = Fault::None;
        }
        std::mem::swap(&mut self.dispatcher, &mut sim.dispatcher);
        let result = act(sim);
        std::mem::swap(&mut self.dispatcher, &mut sim.dispatcher);
        for (worker, fault) in sim.workers.values_mut().zip(faults) {
            worker.fault = fault;
        }
        result
    }

    /// Sends the planned orders, unless they are overdue.
    fn send_if_due(&mut self, sim: &mut Simulation) {
        let (planned, now) = (self.planned, sim.now);
        self.orders.retain(|_| !is_start_overdue(planned, now));
        self.send(sim);
    }

    /// Sends the planned orders, although they may be overdue: the process may be paused once
    /// more between the check and the call.
    pub(super) fn send(&mut self, sim: &mut Simulation) {
        let orders = std::mem::take(&mut self.orders);
        self.act(sim, |sim| orders.iter().for_each(|o| sim.execute(o)));
    }
}

/// One scheduling pass of a leader whose term is confirmed.
fn plan(sim: &mut Simulation) -> Vec<WorkerOrder> {
    sim.now = sim.now + TIME_STEP;
    sim.advance_workers();
    sim.commit();
    let arrived = sim.dispatcher.last_arrival();
    sim.dispatcher.term_confirmed(arrived);
    sim.dispatcher.plan(sim.wall(), sim.now)
}

fn starts(orders: &[WorkerOrder]) -> usize {
    let is_start = |o: &&WorkerOrder| matches!(o.order, Order::Start { .. });
    orders.iter().filter(is_start).count()
}

/// Guards against a start by an order that is sent after its deadline on the worker's clock:
/// the task may run elsewhere by then.
#[test]
fn an_order_that_is_sent_after_its_deadline_starts_nothing() {
    for pause in PAUSES_MS {
        let mut sim = Simulation::new(2);
        sim.submit(1, job(0, vec![long_running(4, 8)]));
        let orders = plan(&mut sim);
        assert_eq!(starts(&orders), 4);
        let end = sim.now + Span::from_millis(pause);
        while sim.now < end {
            sim.now = sim.now + TIME_STEP;
            sim.advance_workers();
        }
        orders.iter().for_each(|o| sim.execute(o));
        let expected = if pause < 2_500 { 4 } else { 0 };
        assert_eq!(sim.starts.len(), expected, "paused for {pause} ms");
    }
}

/// Guards against a start by an order of an earlier term that arrives, before its deadline,
/// on a worker that the next leader has reached.
#[test]
fn an_order_that_is_sent_after_the_next_leader_has_fenced_starts_nothing() {
    for pause in PAUSES_MS {
        let mut sim = Simulation::new(3);
        let key = sim.submit(1, job(0, vec![long_running(6, 8)]));
        let mut old = PausedLeader::pause(&mut sim);
        assert_eq!(starts(&old.orders), 6);
        sim.change_leader();
        (0..3).for_each(|i| sim.poll_worker(i));
        sim.run(Span::from_millis(pause));
        let before = sim.starts.len();
        old.send(&mut sim);
        assert_eq!(sim.starts.len(), before, "paused for {pause} ms");
        assert!(old.dispatcher.is_deposed());
        sim.run(Span::from_secs(2));
        assert_eq!(sim.running(key), 6);
    }
}

/// Guards against a task that runs twice because an order that was held back starts it on a
/// worker that the next leader can't reach, before or after that leader has given it up.
#[test]
fn an_order_to_a_worker_that_the_next_leader_does_not_reach_starts_no_second_run() {
    for (cut, pause) in (1..4).flat_map(|cut| PAUSES_MS.map(|p| (cut, p))) {
        let mut sim = Simulation::new(3);
        let serving = sim.submit(1, job(0, vec![long_running(6, 8)]));
        sim.submit(2, job(0, vec![step(6, 4, Span::from_secs(8))]));
        let mut old = PausedLeader::pause(&mut sim);
        assert_eq!(starts(&old.orders), 12);
        sim.change_leader();
        for i in 0..cut {
            sim.worker(i).fault = Fault::Partitioned;
        }
        sim.run(Span::from_millis(pause));
        old.send(&mut sim);
        sim.run(Span::from_secs(30));
        for i in 0..cut {
            sim.worker(i).fault = Fault::None;
        }
        sim.run(Span::from_secs(4));
        assert_eq!(sim.running(serving), 6, "{cut} cut, paused for {pause} ms");
    }
}

/// Guards against an order that is held back while its worker restarts under its name. The
/// clock of the new incarnation starts anew and it has seen no token, so that neither refuses
/// the order.
#[test]
fn an_order_that_was_held_back_while_its_worker_restarted_is_not_sent() {
    let mut sim = Simulation::new(2);
    sim.run(Span::from_secs(20));
    let key = sim.submit(1, job(0, vec![long_running(1, 8)]));
    let mut old = PausedLeader::pause(&mut sim);
    let victim = old.orders[0].worker.clone();
    sim.change_leader();
    (0..2).for_each(|i| sim.poll_worker(i));
    let i = sim.workers.get_index_of(&victim).unwrap();
    sim.crash_worker(i);
    sim.run(Span::from_secs(4));
    assert_eq!(sim.running(key), 1);
    sim.restart_worker(i);
    old.send_if_due(&mut sim);
    sim.run(Span::from_secs(2));
    assert_eq!(sim.running(key), 1);
    assert_eq!(sim.starts.len(), 1);
}

/// Guards against a leader that goes on after a pause that was longer than its grace period,
/// before it learns that its lease has ended. The next leader no longer waits for it, and a
/// worker that this one could not reach still obeys the old one.
#[test]
fn a_leader_that_was_paused_for_longer_than_its_grace_starts_nothing() {
    let mut sim = Simulation::new(2);
    let key = sim.submit(1, job(0, vec![long_running(1, 8)]));
    sim.run(Span::from_secs(1));
    let victim = sim.starts[0].1.clone();
    let mut old = PausedLeader::pause(&mut sim);
    sim.change_leader();
    sim.workers[&victim].fault = Fault::Partitioned;
    sim.run(Span::from_secs(24));
    assert_eq!(sim.starts.len(), 2);
    old.act(&mut sim, |sim| {
        sim.poll_by_name(&victim);
        let orders = sim.dispatcher.plan(sim.wall(), sim.now);
        orders.iter().for_each(|o| sim.execute(o));
    });
    assert_eq!(sim.running(key), 1);
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against a lease that a paused leader extends from the time at which it goes on. The next
/// leader counts it from the last proof that the old one was the newest, and may have started the
/// tasks of a worker that it does not reach.
#[test]
fn a_pause_between_the_last_proof_and_a_poll_extends_no_lease() {
    for pause in PAUSES_MS {
        let mut sim = Simulation::new(2);
        let key = sim.submit(1, job(0, vec![long_running(1, 8)]));
        sim.run(Span::from_secs(1));
        let victim = sim.starts[0].1.clone();
        let mut old = PausedLeader::pause(&mut sim);
        sim.change_leader();
        sim.workers[&victim].fault = Fault::Partitioned;
        // The voters of the old leader refuse its term at once.
        sim.dispatcher.leader_stopped(0, sim.now);
        sim.run(Span::from_millis(pause));
        old.act(&mut sim, |sim| sim.poll_by_name(&victim));
        sim.run(Span::from_secs(8));
        assert_eq!(sim.running(key), 1, "paused for {pause} ms");
    }
}
