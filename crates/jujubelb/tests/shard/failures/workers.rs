//! Failures of workers, and limits that they enforce.

use jujubelb::model::{Action, Cause, Resources, Span};
use jujubelb::shard::{Input, LEASE_DURATION};
use jujubelb::worker::Phase;

use super::{SECOND, attempts, causes, finish, records, running, started};
use crate::support::policy::PolicyCommand;
use crate::support::world::{MessageFault, job};

/// Guards against relocation before the lease has expired, and against no relocation at all.
#[test]
fn work_moves_from_an_unreachable_worker_after_its_lease() {
    let mut world = running(1);
    world.workers[0].0.unreachable = true;
    // The last lease was granted in reply to a report at most two exchanges old.
    world.advance(LEASE_DURATION.saturating_sub(SECOND + SECOND));
    assert_eq!(started(&world), 1, "the task runs until its lease expires");
    assert_eq!(world.workers[0].0.running().count(), 1);
    world.advance(Span::from_secs(6));
    assert_eq!(world.workers[1].0.running().count(), 1);
    let causes = causes(&world, 0, Action::Stop);
    let expected = [Cause::WorkerUnreachable, Cause::WorkerUnreachable];
    assert_eq!(causes, expected, "of the task, then of the worker");
    finish(world);
}

/// Guards against running a task again whose attempt succeeded on an unreachable
/// worker and appears in its inventory before the task was started elsewhere.
#[test]
fn a_result_found_after_the_lease_is_not_run_again() {
    let mut world = running(1);
    let lapse = LEASE_DURATION + SECOND + SECOND + SECOND;
    for (worker, _) in world.workers.iter_mut().skip(1) {
        worker.unreachable = true;
    }
    world.advance(lapse);
    world.workers[0].0.unreachable = true;
    world.workers[0].0.finish(0, Phase::Succeeded).unwrap();
    world.advance(lapse);
    let lost = causes(&world, 0, Action::Stop);
    assert!(lost.contains(&Cause::WorkerUnreachable));
    world.workers[0].0.unreachable = false;
    world.advance(SECOND + SECOND + SECOND);
    for (worker, _) in &mut world.workers {
        worker.unreachable = false;
    }
    world.advance(Span::from_secs(10));
    assert_eq!(started(&world), 0);
    let expected = [
        Cause::Finished,
        Cause::WorkerUnreachable,
        Cause::WorkerUnreachable,
    ];
    assert_eq!(causes(&world, 0, Action::Complete), expected);
    let records = records(&world, 0);
    let starts = records.iter().filter(|r| r.action == Action::Start);
    assert_eq!(starts.count(), 1);
    finish(world);
}

/// Guards against ignoring an operator's confirmation that a host is dead.
#[test]
fn a_confirmed_dead_host_is_given_up_after_the_lease() {
    let mut world = running(1);
    world.crash(0, true);
    world.workers[0].0.unreachable = true;
    world.advance(Span::from_secs(60));
    world.send_input(1, Input::ConfirmDead("w0".into()));
    world.advance(Span::from_secs(10));
    assert_eq!(started(&world), 0);
    world.advance(Span::from_secs(10));
    assert_eq!(attempts(&world), ["j2/0#2 on w1"]);
    finish(world);
}

/// Guards against losing the tasks of a restarted worker or their checkpoints.
#[test]
fn a_restarted_workers_tasks_resume_from_their_checkpoints() {
    let mut world = running(2);
    world.workers[0].0.checkpoint(0);
    world.workers[0].0.checkpoint(1);
    world.advance(SECOND + SECOND);
    world.workers[0].0.restart();
    world.advance(SECOND + SECOND + SECOND);
    let resumed = world.workers.iter().flat_map(|(w, _)| w.running());
    let resumed: Vec<_> = resumed.filter(|r| r.checkpoint.is_some()).collect();
    assert_eq!(resumed.len(), 2);
    let expected = [Cause::WorkerRestarted, Cause::WorkerRestarted];
    assert_eq!(
        causes(&world, 0, Action::Stop),
        expected,
        "of the task, then of the worker"
    );
    finish(world);
}

/// Guards against tasks that stay on a worker that leaves or is no longer declared.
#[test]
fn work_moves_from_workers_that_leave_or_are_removed() {
    let mut world = running(2);
    world.workers[0].0.leaving = true;
    world.advance(Span::from_secs(5));
    assert_eq!(world.workers[0].0.running().count(), 0);
    assert_eq!(world.workers[1].0.running().count(), 2);
    world.workers[0].0.leaving = false;
    world.configure(|config| {
        config.workers.shift_remove("w1");
    });
    world.advance(Span::from_secs(6));
    assert_eq!(world.workers[1].0.running().count(), 0);
    assert_eq!(world.workers[0].0.running().count(), 2);
    finish(world);
}

/// Guards against a hanging task that prevents the evacuation of its domain.
#[test]
fn a_task_that_does_not_stop_for_its_checkpoint_is_stopped_without_one() {
    let mut world = running(1);
    world.workers[0].0.ignores_evictions = true;
    world.command_policy(0, PolicyCommand::Evict(0));
    world.advance(Span::from_secs(50));
    assert_eq!(attempts(&world), ["j2/0#1 on w0"]);
    world.advance(Span::from_secs(20));
    assert_eq!(attempts(&world), ["j2/0#2 on w0"]);
    finish(world);
}

/// Guards against assigning capacity to another task while a larger limit may still
/// apply on the worker.
#[test]
fn capacity_is_free_only_after_a_smaller_limit_is_confirmed() {
    let mut world = running(1);
    world.message_faults = vec![MessageFault::LoseReply; 6];
    world.command_policy(0, PolicyCommand::Resize(0, 4_000));
    world.advance(Span::from_millis(1_600));
    assert_eq!(
        world.workers[0].0.limits_in_use(),
        Resources::new(4_000, 4 << 30, 0)
    );
    world.cut_links.insert((0, 0));
    world.command_policy(0, PolicyCommand::Resize(0, 250));
    world.submit(job("j4", 8, 1_000));
    world.advance(SECOND + SECOND);
    let owner = world.processes[0].owner.as_ref().unwrap();
    let on_first = owner
        .tasks()
        .iter()
        .filter(|t| t.worker == Some("w0".into()))
        .count();
    assert_eq!(on_first, 1, "the larger limit may still apply");
    world.cut_links.clear();
    world.message_faults.clear();
    world.advance(SECOND + SECOND);
    finish(world);
}
