//! Changes of the leader: adoption of runs and waits for unreachable workers.

use super::simulation::{Fault, leader_term};
use super::{Simulation, job, long_running, step};
use crate::dispatch::JobKey;
use crate::model::Span;

/// Guards against starting a task again that is running when the leader changes.
#[test]
fn a_new_leader_adopts_running_tasks() {
    let mut sim = Simulation::new(4);
    let long_running_job = sim.submit(1, job(0, vec![long_running(6, 8)]));
    let batch = sim.submit(2, job(2, vec![step(12, 4, Span::from_secs(3))]));
    sim.run(Span::from_secs(1));
    let starts = sim.starts.len();
    sim.change_leader();
    sim.run(Span::from_secs(1));
    assert_eq!(sim.starts.len(), starts);
    assert_eq!(sim.running(long_running_job), 6);
    sim.run(Span::from_secs(4));
    assert!(sim.completed.contains_key(&batch));
}

/// Guards against starting a task again that is running on a worker that the new leader
/// cannot reach.
#[test]
fn a_new_leader_waits_for_workers_that_it_cannot_reach() {
    let mut sim = Simulation::new(4);
    let key = sim.submit(1, job(0, vec![long_running(4, 40)]));
    sim.run(Span::from_secs(1));
    sim.worker(0).fault = Fault::Partitioned;
    sim.change_leader();
    sim.run(Span::from_secs(4));
    sim.worker(0).fault = Fault::None;
    sim.run(Span::from_secs(2));
    assert_eq!(sim.running(key), 4);
}

/// Guards against delaying new jobs because an unreachable worker may run older tasks.
#[test]
fn new_jobs_start_while_inherited_tasks_wait() {
    let mut sim = Simulation::new(4);
    sim.submit(1, job(0, vec![long_running(4, 40)]));
    sim.run(Span::from_secs(1));
    sim.worker(0).fault = Fault::Partitioned;
    sim.change_leader();
    sim.run(Span::from_millis(300));
    let key = sim.submit(2, job(0, vec![step(2, 4, Span::from_millis(300))]));
    sim.run(Span::from_secs(1));
    assert!(sim.completed.contains_key(&key));
}

/// Guards against tasks of a cancelled job that keep running under the next leader.
#[test]
fn a_new_leader_stops_cancelled_jobs() {
    let mut sim = Simulation::new(2);
    let key = sim.submit(1, job(0, vec![long_running(4, 4)]));
    sim.run(Span::from_secs(1));
    sim.cancel(key);
    sim.change_leader();
    sim.run(Span::from_secs(2));
    assert_eq!(sim.running(key), 0);
}

/// Guards against exceeding the attempts of a task when the next leader receives the last
/// failure before an earlier one.
#[test]
fn failures_count_in_any_order() {
    let mut sim = Simulation::new(2);
    sim.store_available = false;
    let blocker = sim.submit(1, job(0, vec![step(1, 60, Span::from_millis(300))]));
    sim.run(Span::from_millis(100));
    let busy = sim.starts[0].1.clone();
    let free = 1 - sim.workers.get_index_of(&busy).unwrap();
    for i in 0..2 {
        sim.worker(i).fault = Fault::Failing;
    }
    sim.workers[&busy].fault = Fault::None;
    let mut record = job(0, vec![step(1, 8, Span::from_millis(300))]);
    record.queue.attempts = 2;
    let key = sim.submit(2, record);
    sim.run(Span::from_millis(100));
    sim.worker(free).fault = Fault::NoCapacity;
    sim.workers[&busy].fault = Fault::None;
    sim.run(Span::from_millis(400));
    sim.workers[&busy].fault = Fault::Failing;
    sim.run(Span::from_millis(60));
    sim.store_available = true;
    let order = if free == 0 { [1, 0] } else { [0, 1] };
    sim.change_leader();
    for i in order {
        sim.poll_worker(i);
    }
    sim.run(Span::from_secs(2));
    let runs = sim.starts.iter().filter(|(_, _, t, _)| t.step.job == key);
    assert_eq!(runs.count(), 2);
    assert!(!sim.completed.contains_key(&key));
    let _ = blocker;
}

/// Guards against waiting for a worker that was removed long before the leader changed.
#[test]
fn a_new_leader_does_not_wait_for_removed_workers() {
    let mut sim = Simulation::new(4);
    let key = sim.submit(1, job(0, vec![long_running(4, 40)]));
    sim.run(Span::from_secs(1));
    sim.crash_worker(0);
    sim.list_workers();
    sim.run(Span::from_secs(9));
    assert_eq!(sim.running(key), 3);
    assert!(sim.roster.workers.len() == 3);
    sim.crash_worker(1);
    sim.restart_worker(1);
    sim.change_leader();
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), 3);
}

/// Guards against waiting for the grace period of a leader that is known to have stopped.
/// Its process ended while a worker was gone, so the new leader has to wait only for the
/// lease of that worker.
#[test]
fn evidence_of_a_stopped_predecessor_shortens_the_wait() {
    let mut sim = Simulation::new(4);
    let key = sim.submit(1, job(0, vec![long_running(4, 20)]));
    sim.run(Span::from_secs(1));
    let victim = sim.starts[0].1.clone();
    let i = sim.workers.get_index_of(&victim).unwrap();
    sim.crash_worker(i);
    sim.list_workers();
    sim.change_leader();
    sim.run(Span::from_secs(1));
    sim.dispatcher.leader_stopped(0, sim.now);
    sim.run(Span::from_secs(5));
    assert!(sim.running(key) < 4);
    sim.run(Span::from_secs(2));
    assert_eq!(sim.running(key), 4);
}

/// Guards against waiting for the grace period of a leader that resigned. The tasks of a
/// worker that was lost just before restart as soon as its lease has expired.
#[test]
fn a_change_after_resignation_waits_only_for_leases() {
    let mut sim = Simulation::new(4);
    let key = sim.submit(1, job(0, vec![long_running(4, 20)]));
    sim.run(Span::from_secs(1));
    let victim = sim.starts[0].1.clone();
    let i = sim.workers.get_index_of(&victim).unwrap();
    sim.crash_worker(i);
    sim.list_workers();
    sim.replace_leader(true);
    sim.run(Span::from_secs(5));
    assert!(sim.running(key) < 4);
    sim.run(Span::from_secs(3));
    assert_eq!(sim.running(key), 4);
}

/// Guards against a third leader that takes the end of the second for the end of the first.
/// The second can't reach a worker, whose lease the first may still extend.
#[test]
fn a_leader_answers_for_earlier_ones_only_when_they_have_stopped() {
    let mut sim = Simulation::new(4);
    sim.submit(1, job(0, vec![long_running(4, 20)]));
    sim.run(Span::from_secs(1));
    sim.worker(0).fault = Fault::Partitioned;
    sim.change_leader();
    assert!(!sim.dispatcher.earlier_leaders(sim.now).is_empty());
    sim.run(Span::from_secs(2));
    assert!(!sim.dispatcher.earlier_leaders(sim.now).is_empty());
    sim.worker(0).fault = Fault::None;
    sim.run(Span::from_secs(1));
    assert!(sim.dispatcher.earlier_leaders(sim.now).is_empty());
}

/// A job with a task on each of four workers, of which one is lost when the leader is.
fn lose_worker_and_leader(sim: &mut Simulation) -> JobKey {
    let key = sim.submit(1, job(0, vec![long_running(4, 20)]));
    sim.run(Span::from_secs(1));
    let victim = sim.starts[0].1.clone();
    let i = sim.workers.get_index_of(&victim).unwrap();
    sim.crash_worker(i);
    sim.list_workers();
    sim.change_leader();
    key
}

/// Guards against waiting for a leader that is lost for good: once its voters refuse its term,
/// the tasks of lost workers start again as soon as the leases have ended that it can have granted.
/// Those that last have to run again within 6 s, and 7 s after the last disruption.
#[test]
fn refused_votes_shorten_the_wait_for_a_lost_leader() {
    let mut sim = Simulation::new(4);
    let key = lose_worker_and_leader(&mut sim);
    sim.run(Span::from_millis(300));
    sim.dispatcher.leader_stopped(0, sim.now);
    sim.run(Span::from_secs(6));
    assert!(sim.running(key) < 4);
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), 4);
}

/// Guards against each change of the leader beginning anew the wait for an earlier leader that
/// can't be asked.
#[test]
fn further_changes_do_not_prolong_the_wait() {
    let mut sim = Simulation::new(4);
    let key = lose_worker_and_leader(&mut sim);
    let first = sim.now;
    for (number, term) in [(1, 6), (2, 8)] {
        sim.run(Span::from_secs(term));
        sim.change_leader();
        sim.run(Span::from_millis(400));
        sim.dispatcher.leader_stopped(number, sim.now);
    }
    while sim.running(key) < 4 && sim.now.since(first) < Span::from_secs(60) {
        sim.run(Span::from_millis(20));
    }
    // 16 s and the lease on clocks that are 2 % apart, and a second for each change, which is
    // the age that is not stored yet.
    let waited = sim.now.since(first);
    assert!(waited > Span::from_millis(22_300), "waited {waited}");
    assert!(waited < Span::from_millis(25_000), "waited {waited}");
}

/// Guards against taking the answer of one earlier leader for that of all.
#[test]
fn an_answer_removes_one_earlier_leader() {
    let mut sim = Simulation::new(4);
    let key = lose_worker_and_leader(&mut sim);
    let first = sim.now;
    sim.run(Span::from_secs(2));
    sim.change_leader();
    assert_eq!(sim.dispatcher.earlier_leaders(sim.now).len(), 2);
    sim.dispatcher.leader_stopped(1, sim.now);
    let left = sim.dispatcher.earlier_leaders(sim.now);
    assert_eq!(
        left.iter().map(|l| l.term).collect::<Vec<_>>(),
        [Some(leader_term(0))]
    );
    while sim.now.since(first) < Span::from_secs(22) {
        sim.run(Span::from_millis(20));
        assert!(sim.running(key) < 4);
    }
    sim.run(Span::from_secs(3));
    assert_eq!(sim.running(key), 4);
}

/// Guards against counting the lease of a worker from the beginning of the term, when an
/// earlier leader that answers late may have extended it since.
#[test]
fn a_late_answer_begins_the_lease() {
    let mut sim = Simulation::new(4);
    let key = lose_worker_and_leader(&mut sim);
    sim.run(Span::from_secs(7));
    sim.dispatcher.leader_stopped(0, sim.now);
    sim.run(Span::from_secs(6));
    assert!(sim.running(key) < 4);
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), 4);
}

/// Guards against waiting for the lease of a lost worker at whose address another one answers:
/// the address has one process at a time, so that the former one has ended with its runs.
#[test]
fn tasks_of_a_replaced_worker_start_again_at_once() {
    for changes_leader in [false, true] {
        let mut sim = Simulation::new(4);
        let key = sim.submit(1, job(0, vec![long_running(4, 20)]));
        sim.run(Span::from_secs(1));
        let victim = sim.starts[0].1.clone();
        let i = sim.workers.get_index_of(&victim).unwrap();
        sim.crash_worker(i);
        if changes_leader {
            sim.change_leader();
        }
        sim.run(Span::from_secs(1));
        assert!(sim.running(key) < 4, "{changes_leader}");
        sim.dispatcher.worker_replaced(&victim, sim.now);
        sim.run(Span::from_millis(200));
        assert_eq!(sim.running(key), 4, "{changes_leader}");
    }
}

/// Guards against taking the end of a worker's process at one address for the end of the next
/// one at another address, which the next leader would not find: nothing is started at an
/// address that the durable roster does not name.
#[test]
fn nothing_starts_at_an_address_that_the_roster_does_not_name() {
    let mut sim = Simulation::new(1);
    sim.worker(0).report.address = ([10, 0, 0, 99], 80).into();
    sim.store_available = false;
    sim.list_workers();
    let key = sim.submit(1, job(0, vec![long_running(1, 8)]));
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), 0);
    sim.store_available = true;
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), 1);
    assert_eq!(sim.roster.workers[0].address, sim.workers[0].report.address);
}
