//! Changes of the leader.

use super::simulation::Fault;
use super::{World, job, long_running, step};
use crate::model::Span;

/// Guards against a second start of what runs when the leader changes.
#[test]
fn a_new_leader_adopts_what_runs() {
    let mut world = World::new(4);
    let standing = world.submit(1, job(0, vec![long_running(6, 8)]));
    let batch = world.submit(2, job(2, vec![step(12, 4, Span::from_secs(3))]));
    world.run(Span::from_secs(1));
    let starts = world.starts.len();
    world.change_leader();
    world.run(Span::from_secs(1));
    assert_eq!(world.starts.len(), starts);
    assert_eq!(world.running(standing), 6);
    world.run(Span::from_secs(4));
    assert!(world.completed.contains_key(&batch));
}

/// Guards against a start of a task that runs on a worker that the new leader
/// can't reach.
#[test]
fn a_new_leader_waits_for_workers_that_it_cannot_reach() {
    let mut world = World::new(4);
    let key = world.submit(1, job(0, vec![long_running(4, 40)]));
    world.run(Span::from_secs(1));
    world.worker(0).fault = Fault::Cut;
    world.change_leader();
    world.run(Span::from_secs(4));
    world.worker(0).fault = Fault::None;
    world.run(Span::from_secs(2));
    assert_eq!(world.running(key), 4);
}

/// Jobs that arrive after the change need not wait for an unreachable worker.
#[test]
fn new_jobs_start_while_old_tasks_wait() {
    let mut world = World::new(4);
    world.submit(1, job(0, vec![long_running(4, 40)]));
    world.run(Span::from_secs(1));
    world.worker(0).fault = Fault::Cut;
    world.change_leader();
    world.run(Span::from_millis(300));
    let key = world.submit(2, job(0, vec![step(2, 4, Span::from_millis(300))]));
    world.run(Span::from_secs(1));
    assert!(world.completed.contains_key(&key));
}

/// Guards against tasks of a cancelled job that go on under the next leader.
#[test]
fn a_new_leader_stops_what_was_cancelled() {
    let mut world = World::new(2);
    let key = world.submit(1, job(0, vec![long_running(4, 4)]));
    world.run(Span::from_secs(1));
    world.cancel(key);
    world.change_leader();
    world.run(Span::from_secs(2));
    assert_eq!(world.running(key), 0);
}

/// Guards against a start beyond the attempts when the next leader hears of the
/// last failure before the one in between.
#[test]
fn failures_count_in_any_order() {
    let mut world = World::new(2);
    world.store_up = false;
    let blocker = world.submit(1, job(0, vec![step(1, 60, Span::from_millis(300))]));
    world.run(Span::from_millis(100));
    let busy = world.starts[0].1.clone();
    let free = 1 - world.workers.get_index_of(&busy).unwrap();
    for i in 0..2 {
        world.worker(i).fault = Fault::Failing;
    }
    world.workers[&busy].fault = Fault::None;
    let mut record = job(0, vec![step(1, 8, Span::from_millis(300))]);
    record.queue.attempts = 2;
    let key = world.submit(2, record);
    world.run(Span::from_millis(100));
    world.worker(free).fault = Fault::Full;
    world.workers[&busy].fault = Fault::None;
    world.run(Span::from_millis(400));
    world.workers[&busy].fault = Fault::Failing;
    world.run(Span::from_millis(60));
    world.store_up = true;
    let order = if free == 0 { [1, 0] } else { [0, 1] };
    world.change_leader();
    for i in order {
        world.look_at(i);
    }
    world.run(Span::from_secs(2));
    let runs = world.starts.iter().filter(|(_, _, t, _)| t.step.job == key);
    assert_eq!(runs.count(), 2);
    assert!(!world.completed.contains_key(&key));
    let _ = blocker;
}

/// Guards against a wait for a worker that has left long ago.
#[test]
fn workers_that_have_left_do_not_hold_up_a_new_leader() {
    let mut world = World::new(4);
    let key = world.submit(1, job(0, vec![long_running(4, 40)]));
    world.run(Span::from_secs(1));
    world.kill(0);
    world.list();
    world.run(Span::from_secs(9));
    assert_eq!(world.running(key), 3);
    assert!(world.roster.workers.len() == 3);
    world.kill(1);
    world.revive(1);
    world.change_leader();
    world.run(Span::from_secs(1));
    assert_eq!(world.running(key), 3);
}

/// A leader's process is killed while a worker is gone. The next leader hears from
/// the host that the process is no more, so it waits for leases only, and not for
/// as long as a leader might go on that nothing is known of.
#[test]
fn evidence_that_the_old_leader_is_dead_shortens_the_wait() {
    let mut world = World::new(4);
    let key = world.submit(1, job(0, vec![long_running(4, 20)]));
    world.run(Span::from_secs(1));
    let victim = world.starts[0].1.clone();
    let i = world.workers.get_index_of(&victim).unwrap();
    world.kill(i);
    world.list();
    world.change_leader();
    world.run(Span::from_secs(1));
    world.dispatcher.predecessor_stopped(world.now);
    world.run(Span::from_secs(5));
    assert!(world.running(key) < 4);
    world.run(Span::from_secs(2));
    assert_eq!(world.running(key), 4);
}

/// Workers leave one after the other while the leader stops in an orderly way:
/// what ran on one that has just left starts again when its lease is over, and
/// not only after the time that a lost leader is given.
#[test]
fn an_orderly_change_waits_only_for_leases() {
    let mut world = World::new(4);
    let key = world.submit(1, job(0, vec![long_running(4, 20)]));
    world.run(Span::from_secs(1));
    let victim = world.starts[0].1.clone();
    let i = world.workers.get_index_of(&victim).unwrap();
    world.kill(i);
    world.list();
    world.follow_leader(true);
    world.run(Span::from_secs(5));
    assert!(world.running(key) < 4);
    world.run(Span::from_secs(3));
    assert_eq!(world.running(key), 4);
}
