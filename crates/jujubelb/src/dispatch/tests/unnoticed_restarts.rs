//! Workers that restart under their names while the leader's poll of the former incarnation
//! still waits. Starts then reach an incarnation that no poll has shown.

use super::simulation::{Fault, TIME_STEP};
use super::{Simulation, job, long_running, step};
use crate::dispatch::{Order, PollRequest, Run, StartReply, TaskKey, WorkerOrder};
use crate::model::{Span, Time, WorkerName};

/// Uptime of the worker before it restarts. The deadlines of its orders lie so far ahead on
/// the clock of the next incarnation that they bind nothing there.
const UPTIME: Span = Span::from_secs(30);

/// Three workers, and orders to start tasks on one of them that have not been sent yet.
struct Play {
    sim: Simulation,
    orders: Vec<WorkerOrder>,
    /// Poll of that worker that waits for its answer.
    poll: PollRequest,
}

impl Play {
    /// Orders tasks of a job. Those for all workers but one are started.
    fn order(tasks: u32) -> Self {
        let mut sim = Simulation::new(3);
        sim.run(UPTIME);
        sim.submit(1, job(0, vec![step(tasks, 4, Span::from_secs(20))]));
        let arrived = sim.dispatcher.last_arrival();
        sim.dispatcher.term_confirmed(arrived);
        let mut orders = sim.dispatcher.plan(sim.wall(), sim.now);
        let first = orders[0].worker.clone();
        let (kept, others): (Vec<_>, Vec<_>) =
            orders.drain(..).partition(|order| order.worker == first);
        for order in &others {
            sim.execute(order);
        }
        let poll = sim.dispatcher.poll(&first, sim.now).unwrap();
        Self {
            sim,
            orders: kept,
            poll,
        }
    }

    fn victim(&self) -> WorkerName {
        self.orders[0].worker.clone()
    }

    fn index(&self) -> usize {
        self.sim.workers.get_index_of(&self.victim()).unwrap()
    }

    /// Starts the worker again, while the poll that the leader has sent before still waits.
    fn restart(&mut self) {
        let i = self.index();
        self.sim.crash_worker(i);
        self.sim.now = self.sim.now + TIME_STEP;
        self.sim.restart_worker(i);
    }

    /// Cuts the worker off for longer than a lease. [`Simulation`] fails on a task that runs
    /// on another worker before its run on this one has lapsed.
    fn cut(&mut self) {
        let (i, name) = (self.index(), self.victim());
        let now = self.sim.now;
        self.sim
            .dispatcher
            .poll_failed(&name, &self.poll, false, now);
        self.sim.worker(i).fault = Fault::Partitioned;
        self.sim.run(Span::from_secs(14));
        self.sim.worker(i).fault = Fault::None;
        self.sim.run(Span::from_secs(3));
    }
}

fn start_of(order: &WorkerOrder) -> (TaskKey, Run) {
    match &order.order {
        Order::Start { task, run, .. } => (*task, *run),
        other => panic!("{other:?}"),
    }
}

/// Lets time pass in which the leader's poll of the worker waits.
fn let_poll_wait(sim: &mut Simulation) {
    let end: Time = sim.now + Span::from_millis(1_400);
    while sim.now < end {
        sim.now = sim.now + TIME_STEP;
        sim.advance_workers();
    }
}

/// Guards against a second run of a task whose start was answered by an incarnation that the
/// leader did not know of: its lease begins with that start, later than the leader counts.
#[test]
fn a_run_on_an_unnoticed_incarnation_is_not_given_up_early() {
    for answers_are_lost in [false, true] {
        let mut play = Play::order(6);
        let_poll_wait(&mut play.sim);
        play.restart();
        let i = play.index();
        if answers_are_lost {
            play.sim.worker(i).fault = Fault::LostAnswers;
        }
        for order in &play.orders.clone() {
            play.sim.execute(order);
        }
        assert!(play.sim.runs_on(i) > 0);
        // The entry of the new incarnation is in the store before the cut.
        play.sim.list_workers();
        play.cut();
        assert_eq!(play.sim.running(play.sim.jobs.keys()[0].to_owned()), 6);
    }
}

/// Guards against starts that had waited behind unanswered ones and reach the incarnation that
/// follows, which may be of another kind.
#[test]
fn a_start_behind_an_unanswered_one_is_not_sent() {
    let mut play = Play::order(6);
    let name = play.victim();
    let (first, second) = (start_of(&play.orders[0]), start_of(&play.orders[1]));
    assert!(
        play.sim
            .dispatcher
            .may_send_start(&name, second.0, second.1)
    );
    let (now, answer) = (play.sim.now, StartReply::NoAnswer.into());
    play.sim
        .dispatcher
        .start_answered(&name, first.0, first.1, answer, now);
    assert!(
        !play
            .sim
            .dispatcher
            .may_send_start(&name, second.0, second.1)
    );
    // A poll that was sent later shows which incarnation is there.
    play.sim.now = play.sim.now + TIME_STEP;
    play.sim.poll_by_name(&name);
    assert!(
        play.sim
            .dispatcher
            .may_send_start(&name, second.0, second.1)
    );
}

/// Guards against a start on an incarnation that the store shows already.
#[test]
fn a_start_is_not_sent_once_the_store_shows_a_restart() {
    let mut play = Play::order(6);
    let (name, (task, run)) = (play.victim(), start_of(&play.orders[0]));
    assert!(play.sim.dispatcher.may_send_start(&name, task, run));
    play.restart();
    play.sim.list_workers();
    assert!(!play.sim.dispatcher.may_send_start(&name, task, run));
}

/// Guards against further starts on an incarnation whose clock shows that it is a new one.
#[test]
fn an_earlier_clock_shows_a_restart() {
    let mut play = Play::order(6);
    let name = play.victim();
    let second = start_of(&play.orders[1]);
    play.restart();
    play.sim.execute(&play.orders[0].clone());
    assert!(
        !play
            .sim
            .dispatcher
            .may_send_start(&name, second.0, second.1)
    );
    let poll = play.sim.dispatcher.poll(&name, play.sim.now).unwrap();
    assert_eq!((poll.lease_deadline, poll.wait), (None, Span::ZERO));
}

/// Guards against a task of a worker that is gone for good and has left a start unanswered: it
/// has to run again within 6 s and the time in which the store notices.
#[test]
fn an_unanswered_start_on_a_lost_worker_delays_nothing() {
    let mut sim = Simulation::new(3);
    sim.run(UPTIME);
    for i in 0..3 {
        sim.worker(i).fault = Fault::Partitioned;
    }
    let key = sim.submit(1, job(0, vec![long_running(1, 8)]));
    sim.run(TIME_STEP.scale_up(2, 1));
    assert_eq!(sim.dispatcher.summary().unanswered, 1);
    let lost = sim
        .dispatcher
        .workers
        .values()
        .position(|w| !w.runs.is_empty());
    for i in (0..3).filter(|i| Some(*i) != lost) {
        sim.worker(i).fault = Fault::None;
    }
    sim.run(Span::from_secs(7));
    assert_eq!(sim.running(key), 1);
}
