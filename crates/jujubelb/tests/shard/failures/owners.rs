//! Failures and planned stops of the process that owns a shard.

use jujubelb::model::{Action, Cause, Span};
use jujubelb::shard::{Input, LEASE_EXPIRY_WAIT, LEASE_RENEWAL_WINDOW};

use super::{IN_A, SECOND, attempts, causes, finish, running, started, world};
use crate::support::policy::PolicyCommand;
use crate::support::world::job;

/// Guards against tasks that stop or restart although only the scheduler died.
#[test]
fn tasks_go_on_while_a_dead_scheduler_is_replaced() {
    let mut world = running(4);
    let before = attempts(&world);
    world.crash(0, false);
    world.advance(Span::from_secs(10));
    assert!(world.processes[0].owner.is_some() || world.processes[1].owner.is_some());
    assert_eq!(attempts(&world), before);
    finish(world);
}

/// Guards against a paused scheduler that acts after it was replaced.
#[test]
fn a_paused_scheduler_steps_down_when_it_resumes() {
    let mut world = running(4);
    world.submit(job("j4", 2, 500));
    world.pause(0, true);
    world.advance(Span::from_secs(20));
    world.resume(0);
    world.advance(SECOND);
    assert!(world.processes[0].owner.is_none());
    finish(world);
}

/// Guards against a new owner that relocates although the former one, which
/// does not know that it was replaced, still renews the lease.
#[test]
fn a_new_owner_waits_for_a_former_one_that_renews() {
    let mut world = running(1);
    // The other worker would report the higher epoch to the former owner.
    world.cut_links.extend([(1, 0), (0, 1)]);
    world.take_over(1);
    world.processes[0].unreachable = true;
    world.advance(Span::from_secs(60));
    assert_eq!(attempts(&world), ["j2/0#1 on w0"]);
    world.crash(0, false);
    world.advance(LEASE_EXPIRY_WAIT + SECOND + SECOND);
    assert_eq!(attempts(&world), ["j2/0#2 on w1"]);
    finish(world);
}

/// Guards against waiting forever for a former owner whose host has failed.
#[test]
fn an_unreachable_former_owner_counts_as_stopped_after_its_renewal_window() {
    let mut world = running(1);
    world.crash(0, true);
    world.workers[0].0.unreachable = true;
    world.advance(Span::from_secs(60));
    assert_eq!(started(&world), 0);
    world.advance(LEASE_RENEWAL_WINDOW);
    assert_eq!(
        started(&world),
        0,
        "5 % for clock drift have not passed yet"
    );
    world.advance(Span::from_secs(300));
    assert_eq!(attempts(&world), ["j2/0#2 on w1"]);
    finish(world);
}

/// Guards against a planned stop that interrupts running work or leaves the
/// next owner waiting.
#[test]
fn a_planned_stop_interrupts_nothing() {
    let mut world = running(4);
    let before = attempts(&world);
    world.send_input(0, Input::Stop);
    world.advance(SECOND);
    assert!(world.processes[0].owner.is_none());
    world.take_over(1);
    world.advance(SECOND);
    assert!(
        world.processes[1]
            .owner
            .as_ref()
            .unwrap()
            .former_owners()
            .is_empty()
    );
    let stopped = causes(&world, 1, Action::TakeOver);
    assert_eq!(stopped.first(), Some(&Cause::PlannedStop));
    world.advance(Span::from_secs(20));
    assert_eq!(attempts(&world), before);
    finish(world);
}

/// Guards against leases that expire because a planned stop can't be stored.
#[test]
fn a_planned_stop_without_the_store_keeps_renewing_leases() {
    let mut world = running(4);
    let before = attempts(&world);
    world.store.set_down(true);
    world.send_input(0, Input::Stop);
    world.advance(Span::from_secs(60));
    assert_eq!(attempts(&world), before);
    world.store.set_down(false);
    world.advance(Span::from_secs(10));
    assert!(world.processes[0].owner.is_some() || world.processes[1].owner.is_some());
    assert_eq!(attempts(&world), before);
    finish(world);
}

/// Guards against a quarantine that is lost with its owner.
#[test]
fn quarantine_outlives_its_owner() {
    let mut world = world();
    world.command_policy(0, PolicyCommand::Quarantine(true));
    world.advance(SECOND);
    world.crash(0, false);
    world.advance(Span::from_secs(8));
    world.submit(job(IN_A, 2, 500));
    world.advance(SECOND + SECOND);
    assert_eq!(world.workers[0].0.running().count(), 0);
    assert_eq!(world.workers[1].0.running().count(), 2);
    finish(world);
}
