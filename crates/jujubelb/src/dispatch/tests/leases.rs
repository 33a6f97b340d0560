//! Workers that are lost and come back.

use super::simulation::Fault;
use super::{Simulation, job, long_running, step};
use crate::dispatch::{
    Incarnation, JobKey, PollReply, Run, RunCompletion, RunOutcome, Step, StepKey, TaskKey,
};
use crate::model::{Span, WorkerName};
use crate::node::RELAY_MARGIN;
use crate::platform::POLL_TIMEOUT_MARGIN;

/// Guards against extending the assumed lease with each unanswered poll, after which
/// the tasks of a crashed worker would never start elsewhere.
#[test]
fn tasks_of_a_crashed_worker_start_elsewhere_after_its_lease() {
    let mut sim = Simulation::new(4);
    let key = sim.submit(1, job(0, vec![long_running(4, 16)]));
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), 4);
    let victim = sim.starts[0].1.clone();
    let i = sim.workers.get_index_of(&victim).unwrap();
    sim.crash_worker(i);
    sim.run(Span::from_secs(8));
    assert_eq!(sim.running(key), 4);
}

/// Guards against the same fault for a partitioned worker, whose polls are lost in transit.
#[test]
fn tasks_of_a_partitioned_worker_start_elsewhere_after_its_lease() {
    let mut sim = Simulation::new(4);
    let key = sim.submit(1, job(0, vec![long_running(4, 16)]));
    sim.run(Span::from_secs(1));
    let victim = sim.starts[0].1.clone();
    sim.workers[&victim].fault = Fault::Partitioned;
    sim.run(Span::from_secs(5));
    // The lease has not expired yet, and the simulation fails on a second run of a task.
    assert_eq!(sim.starts.len(), 4);
    sim.run(Span::from_secs(4));
    assert_eq!(sim.running(key), 4);
    assert!(sim.starts.len() > 4);
}

/// Guards against a poll that was not sent and takes back the lease of a start made after it.
#[test]
fn a_poll_that_was_not_sent_does_not_end_the_lease_of_a_start() {
    let mut sim = Simulation::new(2);
    sim.worker(0).fault = Fault::Partitioned;
    sim.run(Span::from_secs(10));
    sim.worker(0).fault = Fault::None;
    sim.worker(1).fault = Fault::NoCapacity;
    // The first poll after one without an answer carries no lease.
    sim.poll_worker(0);
    let name = sim.workers.keys()[0].clone();
    let unsent = sim.dispatcher.poll(&name, sim.now).unwrap();
    let key = sim.submit(1, job(0, vec![long_running(1, 16)]));
    let arrived = sim.dispatcher.last_arrival();
    sim.dispatcher.term_confirmed(arrived);
    for order in sim.dispatcher.plan(sim.wall(), sim.now) {
        sim.execute(&order);
    }
    assert_eq!(sim.runs_on(0), 1);
    sim.dispatcher.poll_failed(&name, &unsent, true, sim.now);
    sim.worker(0).fault = Fault::Partitioned;
    sim.worker(1).fault = Fault::None;
    sim.run(Span::from_secs(8));
    assert_eq!((sim.runs_on(0), sim.running(key)), (0, 1));
}

/// Guards against waiting for the lease of a worker that has restarted.
#[test]
fn a_new_incarnation_frees_tasks_immediately() {
    let mut sim = Simulation::new(1);
    let key = sim.submit(1, job(0, vec![long_running(2, 16)]));
    sim.run(Span::from_secs(1));
    sim.crash_worker(0);
    sim.run(Span::from_secs(1));
    sim.restart_worker(0);
    sim.list_workers();
    sim.run(Span::from_secs(2));
    assert_eq!(sim.running(key), 2);
}

/// Guards against a restart that is overlooked because the store shows the new incarnation
/// before the next poll does. Completions are numbered from 1 again, so the new incarnation
/// would take its first ones for acknowledged and forget them.
#[test]
fn completions_of_a_new_incarnation_that_the_store_shows_first_are_kept() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![step(8, 2, Span::from_millis(300))]));
    sim.run(Span::from_secs(1));
    sim.crash_worker(0);
    sim.restart_worker(0);
    sim.list_workers();
    let key = sim.submit(2, job(0, vec![step(4, 2, Span::from_millis(300))]));
    sim.run(Span::from_secs(2));
    assert!(sim.completed.contains_key(&key));
    assert_eq!(sim.starts.len(), 12);
}

/// Guards against ignoring the completions of a restarted worker, whose numbering starts
/// anew, if its new entry in the store is read before a poll of the new incarnation is
/// answered. Their tasks would run twice.
#[test]
fn completions_of_a_listed_new_incarnation_count() {
    let mut sim = Simulation::new(1);
    let first = sim.submit(1, job(0, vec![step(4, 4, Span::from_millis(300))]));
    sim.run(Span::from_secs(1));
    assert!(sim.completed.contains_key(&first));
    sim.crash_worker(0);
    sim.run(Span::from_secs(1));
    sim.restart_worker(0);
    sim.list_workers();
    let second = sim.submit(2, job(0, vec![step(2, 4, Span::from_millis(300))]));
    sim.run(Span::from_secs(2));
    assert!(sim.completed.contains_key(&second));
    assert_eq!(sim.starts.len(), 6);
}

/// Guards against starts on an incarnation that has not been polled: the poll that shows the
/// restart would give them up with the runs of the former one.
#[test]
fn nothing_starts_on_an_incarnation_before_it_is_polled() {
    let mut sim = Simulation::new(1);
    sim.crash_worker(0);
    sim.restart_worker(0);
    sim.list_workers();
    sim.submit(1, job(0, vec![step(1, 4, Span::from_millis(300))]));
    let arrived = sim.dispatcher.last_arrival();
    sim.dispatcher.term_confirmed(arrived);
    assert_eq!(sim.dispatcher.plan(sim.wall(), sim.now), Vec::new());
    sim.run(Span::from_secs(1));
    assert_eq!(sim.starts.len(), 1);
}

/// Guards against a second run of a task while an unanswered start order may still arrive.
#[test]
fn an_unanswered_start_is_excluded_before_the_next_start() {
    let mut sim = Simulation::new(3);
    for i in 0..3 {
        sim.worker(i).fault = Fault::DelayedStarts(Span::from_secs(2));
    }
    let key = sim.submit(1, job(0, vec![step(6, 4, Span::from_secs(1))]));
    sim.run(Span::from_millis(300));
    for i in 0..3 {
        sim.worker(i).fault = Fault::None;
    }
    sim.run(Span::from_secs(8));
    assert!(sim.completed.contains_key(&key));
}

/// Guards against acknowledging a completion before its effect is durable.
#[test]
fn completions_survive_a_leader_that_could_not_write() {
    let mut sim = Simulation::new(2);
    let key = sim.submit(1, job(0, vec![step(4, 4, Span::from_millis(400))]));
    sim.run(Span::from_millis(100));
    sim.store_available = false;
    sim.run(Span::from_secs(1));
    sim.store_available = true;
    sim.change_leader();
    sim.run(Span::from_secs(2));
    assert!(sim.completed.contains_key(&key));
    assert_eq!(sim.starts.len(), 4);
}

/// Cuts off the worker of a task of 2 s, whose run succeeds behind the cut, until after its
/// lease. A second worker may be there, on which the task then starts again.
fn run_ends_behind_a_cut(workers: usize) -> (Simulation, JobKey) {
    let mut sim = Simulation::new(workers);
    let key = sim.submit(1, job(0, vec![step(1, 4, Span::from_secs(2))]));
    sim.run(Span::from_millis(500));
    let first = sim.starts[0].1.clone();
    sim.workers[&first].fault = Fault::Partitioned;
    // The lease lasts 6 s and is given up half a second later.
    sim.run(Span::from_secs(7));
    sim.workers[&first].fault = Fault::None;
    (sim, key)
}

/// Guards against a second run of a task whose success is reported after the lease of its
/// worker has expired, but before the task has started again.
#[test]
fn a_success_reported_before_the_next_start_counts() {
    let (mut sim, key) = run_ends_behind_a_cut(1);
    assert!(!sim.completed.contains_key(&key));
    sim.run(Span::from_secs(3));
    assert!(sim.completed.contains_key(&key));
    assert_eq!(sim.starts.len(), 1);
}

/// Guards against doing a task's work again although it has succeeded: the success of a run
/// that was given up with its worker's lease counts also after the next start, and the later
/// run is stopped. The start was allowed, since the worker's lease had certainly expired.
#[test]
fn a_success_reported_after_the_next_start_counts_as_well() {
    let (mut sim, key) = run_ends_behind_a_cut(2);
    assert_eq!(sim.starts.len(), 2);
    assert_eq!(sim.running(key), 1);
    sim.run(Span::from_millis(700));
    assert!(sim.completed.contains_key(&key));
    assert_eq!(sim.running(key), 0);
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against taking the ends of a restarted worker for known ones when the store shows
/// the new incarnation before a poll does: both number their ends from 1.
#[test]
fn a_restarted_worker_may_be_listed_before_it_is_polled() {
    let mut sim = Simulation::new(1);
    let first = sim.submit(1, job(0, vec![step(3, 4, Span::from_millis(200))]));
    sim.run(Span::from_secs(1));
    assert!(sim.completed.contains_key(&first));
    sim.crash_worker(0);
    sim.poll_worker(0);
    sim.restart_worker(0);
    sim.list_workers();
    let second = sim.submit(2, job(0, vec![step(1, 4, Span::from_millis(200))]));
    sim.run(Span::from_secs(2));
    assert!(sim.completed.contains_key(&second));
}

/// Guards against an acknowledgement that is meant for the former incarnation of a worker.
/// The new one numbers its ends from 1 again, so it would forget ends that nobody has seen.
#[test]
fn a_restarted_worker_is_sent_no_earlier_acknowledgement() {
    let mut sim = Simulation::new(1);
    let first = sim.submit(1, job(0, vec![step(3, 4, Span::from_millis(200))]));
    sim.run(Span::from_secs(1));
    assert!(sim.completed.contains_key(&first));
    let name = sim.workers[0].report.name.clone();
    assert_eq!(acknowledged(&mut sim, &name), 3);
    sim.crash_worker(0);
    sim.poll_worker(0);
    sim.restart_worker(0);
    assert_eq!(acknowledged(&mut sim, &name), 0);
    sim.list_workers();
    let second = sim.submit(2, job(0, vec![step(1, 4, Span::from_millis(200))]));
    sim.run(Span::from_secs(2));
    assert!(sim.completed.contains_key(&second));
}

/// Highest end that the next poll of a worker acknowledges.
fn acknowledged(sim: &mut Simulation, name: &WorkerName) -> u64 {
    sim.dispatcher.poll(name, sim.now).unwrap().acknowledged
}

/// Interval at which a leader renews its lease, from which the leases of workers count.
const RENEWAL_INTERVAL: Span = Span::from_millis(500);

/// Pause before the poll after one that was not answered.
const POLL_PAUSE: Span = Span::from_millis(200);

/// Guards against a lease that expires after one lost poll: the next poll carries no lease,
/// so the worker must not wait before it answers that one.
#[test]
fn a_lost_poll_does_not_end_a_lease() {
    let mut sim = Simulation::new(1);
    let name = WorkerName::new("w0");
    let mut lease = None;
    for i in 0..8 {
        sim.dispatcher.set_authority(sim.now - RENEWAL_INTERVAL);
        let request = sim.dispatcher.poll(&name, sim.now).unwrap();
        if i == 3 {
            sim.now = sim.now + request.wait + POLL_TIMEOUT_MARGIN + RELAY_MARGIN;
            sim.dispatcher.poll_failed(&name, &request, false, sim.now);
            sim.now = sim.now + POLL_PAUSE;
            continue;
        }
        let clock = sim.workers[0].clock(sim.now);
        assert!(
            lease.is_none_or(|deadline| clock < deadline),
            "the lease has expired before poll {i}"
        );
        lease = lease.max(request.lease_deadline);
        let sent = sim.now;
        sim.now = sim.now + request.wait;
        let reply = PollReply {
            incarnation: Some(Incarnation(1)),
            clock: sim.workers[0].clock(sim.now),
            running: Vec::new(),
            finished: Vec::new(),
        };
        sim.dispatcher.poll_answered(&name, sent, &reply, sim.now);
    }
}

/// A task that needs a worker with the label `kind`.
fn labelled() -> Step {
    Step {
        label: Some("kind".into()),
        ..step(1, 4, Span::from_millis(300))
    }
}

/// Guards against a start by the labels of a worker's former incarnation: after a restart the
/// worker may be of another kind, which only its new entry in the store says.
#[test]
fn nothing_starts_on_a_restarted_worker_before_it_is_listed() {
    for is_polled_between in [true, false] {
        let mut sim = Simulation::new(1);
        sim.crash_worker(0);
        if is_polled_between {
            sim.poll_worker(0);
        }
        sim.restart_worker(0);
        sim.poll_worker(0);
        sim.submit(1, job(0, vec![labelled()]));
        sim.run(Span::from_secs(1));
        assert_eq!(sim.starts.len(), 0, "poll between: {is_polled_between}");
        sim.list_workers();
        sim.run(Span::from_secs(1));
        assert_eq!(sim.starts.len(), 1);
    }
}

/// Guards against the same start by a new leader, whose first poll of the worker shows an
/// incarnation later than that in the store.
#[test]
fn nothing_starts_on_a_worker_that_restarted_while_there_was_no_leader() {
    let mut sim = Simulation::new(1);
    sim.crash_worker(0);
    sim.commit();
    sim.change_leader();
    let former = sim.worker(0).report.clone();
    sim.dispatcher.worker_listed(former, sim.now);
    sim.restart_worker(0);
    sim.poll_worker(0);
    sim.submit(1, job(0, vec![labelled()]));
    sim.run(Span::from_secs(1));
    assert_eq!(sim.starts.len(), 0);
    sim.list_workers();
    sim.run(Span::from_secs(1));
    assert_eq!(sim.starts.len(), 1);
}

/// Guards against completions of a restarted worker that are not acknowledged until it is
/// listed, which may take seconds.
#[test]
fn completions_of_a_restarted_worker_are_acknowledged_before_it_is_listed() {
    let mut sim = Simulation::new(1);
    sim.crash_worker(0);
    sim.restart_worker(0);
    sim.run(Span::from_secs(1));
    let step = StepKey {
        job: JobKey(9),
        occurrence: 0,
        step: 0,
    };
    // A start order that was still in transit has reached the new incarnation.
    sim.worker(0).completions.push(RunCompletion {
        sequence: 1,
        task: TaskKey { step, index: 0 },
        run: Run(1),
        outcome: RunOutcome::Failed,
        checkpoint: None,
    });
    sim.run(Span::from_secs(2));
    assert_eq!(sim.unacknowledged(0), 0);
}
