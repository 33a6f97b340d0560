//! Runs of one task that a new leader finds on two workers.
//!
//! A poll of the former leader is still answered after the next one has fenced the worker. If it
//! reports an end, the former leader starts the task again on a worker that is not fenced yet,
//! and the new one finds the earlier run first and the later one next.

use crate::dispatch::{
    Incarnation, Order, PollReply, Run, RunCompletion, RunOutcome, RunStatus, TaskKey,
};
use crate::model::{Span, WorkerName};

use super::simulation::TIME_STEP;
use super::{Simulation, job, long_running, step};

/// Time in which a task starts again after its last run has ended.
const RESTART_BOUND: Span = Span::from_secs(1);

const EARLIER: Run = Run(1);
const LATER: Run = Run(2);

/// What the worker of a run lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listing {
    Running,
    Ended(RunOutcome),
    Missing,
}

/// A new leader, and the two workers that report a task's runs to it.
struct Overlap {
    sim: Simulation,
    task: TaskKey,
}

impl Overlap {
    fn new(lasting: bool) -> Self {
        let mut sim = Simulation::new(2);
        let step = match lasting {
            true => long_running(1, 8),
            false => step(1, 8, Span::from_secs(60)),
        };
        sim.submit(1, job(0, vec![step]));
        sim.run(Span::from_millis(100));
        let task = sim.starts[0].2;
        sim.change_leader();
        Self { sim, task }
    }

    /// Answers a poll of a worker that lists a run of the task.
    fn report(&mut self, worker: usize, run: Run, listing: Listing) {
        let (task, now) = (self.task, self.sim.now);
        let name = WorkerName::new(format!("w{worker}"));
        let mut reply = PollReply {
            incarnation: Some(Incarnation(1)),
            clock: self.sim.worker(worker).clock(now),
            running: Vec::new(),
            finished: Vec::new(),
        };
        match listing {
            Listing::Running => reply.running.push(RunStatus {
                task,
                run,
                checkpoint: None,
                percent: 10,
                usage: 100,
            }),
            Listing::Ended(outcome) => reply.finished.push(RunCompletion {
                sequence: 1,
                task,
                run,
                outcome,
                checkpoint: None,
            }),
            Listing::Missing => {}
        }
        self.sim.dispatcher.poll(&name, now);
        self.sim.dispatcher.poll_answered(&name, now, &reply, now);
    }

    /// Plans once; returns whether the task starts.
    fn starts(&mut self) -> bool {
        let sim = &mut self.sim;
        sim.now = sim.now + TIME_STEP;
        sim.commit();
        let arrived = sim.dispatcher.last_arrival();
        sim.dispatcher.term_confirmed(arrived);
        sim.dispatcher.set_authority(sim.now);
        let orders = sim.dispatcher.plan(sim.wall(), sim.now);
        orders
            .iter()
            .any(|o| matches!(o.order, Order::Start { task, .. } if task == self.task))
    }

    /// Whether the task starts within a time in which the workers repeat their lists.
    fn starts_within(&mut self, span: Span, runs: [(Run, Listing); 2]) -> bool {
        let end = self.sim.now + span;
        while self.sim.now < end {
            for (worker, (run, listing)) in runs.into_iter().enumerate() {
                self.report(worker, run, listing);
            }
            if self.starts() {
                return true;
            }
        }
        false
    }
}

const ENDS: [Listing; 6] = [
    Listing::Ended(RunOutcome::Failed),
    Listing::Ended(RunOutcome::Stopped),
    Listing::Ended(RunOutcome::Lapsed),
    Listing::Ended(RunOutcome::Broken),
    Listing::Ended(RunOutcome::Alone),
    Listing::Missing,
];

/// Guards against a task that stays assigned for good, since the end of neither of its two runs
/// made it wait again, and against a start beside the run that is left.
#[test]
fn a_task_starts_again_when_both_of_its_runs_have_ended() {
    let (mut early, mut idle) = (Vec::new(), Vec::new());
    for (first, second) in [(EARLIER, LATER), (LATER, EARLIER)] {
        for (end, other) in ENDS.iter().flat_map(|e| ENDS.map(|o| (*e, o))) {
            for first_ends in [true, false] {
                let mut overlap = Overlap::new(false);
                overlap.report(0, first, Listing::Running);
                overlap.report(1, second, Listing::Running);
                let one_left = match first_ends {
                    true => [(first, end), (second, Listing::Running)],
                    false => [(first, Listing::Running), (second, other)],
                };
                let ended = [(first, end), (second, other)];
                let case = (first, end, second, other, first_ends);
                if overlap.starts_within(Span::from_millis(500), one_left) {
                    early.push(case);
                } else if !overlap.starts_within(RESTART_BOUND, ended) {
                    idle.push(case);
                }
            }
        }
    }
    let counts = (early.len(), idle.len());
    assert_eq!(counts, (0, 0), "early {early:?}, idle {idle:?}");
}

/// Guards against a task that stays assigned for good: a later run had ended before the new leader
/// found out about it, so the end of the earlier run was taken for an old one.
#[test]
fn a_task_starts_again_when_a_later_run_has_ended_unseen() {
    let mut idle = Vec::new();
    for (end, other) in ENDS.iter().flat_map(|e| ENDS.map(|o| (*e, o))) {
        let mut overlap = Overlap::new(false);
        overlap.report(0, EARLIER, Listing::Running);
        let one_left = [(EARLIER, Listing::Running), (LATER, other)];
        let early = overlap.starts_within(Span::from_millis(500), one_left);
        assert!(!early, "starts beside a run: {end:?}, {other:?}");
        let ended = [(EARLIER, end), (LATER, other)];
        if !overlap.starts_within(RESTART_BOUND, ended) {
            idle.push((end, other));
        }
    }
    assert!(idle.is_empty(), "{} stay idle: {idle:?}", idle.len());
}

/// Guards against a long-running task that runs twice: the end of its earlier run, reported by
/// another worker, made it start again beside the run that was adopted.
#[test]
fn a_long_running_task_does_not_start_beside_its_later_run() {
    let done = Listing::Ended(RunOutcome::Done);
    let mut overlap = Overlap::new(true);
    overlap.report(1, LATER, Listing::Running);
    let runs = [(EARLIER, done), (LATER, Listing::Running)];
    assert!(!overlap.starts_within(RESTART_BOUND, runs));
    let runs = [(EARLIER, done), (LATER, done)];
    assert!(overlap.starts_within(RESTART_BOUND, runs));
}
