//! Outages of the store and lost replies.

use jujubelb::model::{Action, Code, Span};
use jujubelb::shard::LEASE_EXPIRY_WAIT;
use jujubelb::worker::Phase;

use super::{IN_A, SECOND, finish, records, running, started, world};
use crate::support::policy::PolicyCommand;
use crate::support::store::WriteFault;
use crate::support::world::job;

/// Guards against acceptance, starts or lost completions while the store is down.
#[test]
fn nothing_is_accepted_started_or_forgotten_while_the_store_is_down() {
    let mut world = running(2);
    world.store.set_down(true);
    world.submit(job("j4", 1, 500));
    world.advance(SECOND);
    assert_eq!(world.submit_codes["j4"], Code::StoreUnavailable);
    world.workers[0].0.finish(0, Phase::Succeeded);
    world.advance(Span::from_secs(30));
    assert!(world.oracle.completed.is_empty());
    assert_eq!(started(&world), 1, "running tasks continue");
    world.store.set_down(false);
    world.advance(Span::from_secs(5));
    assert_eq!(world.oracle.completed.len(), 1);
    finish(world);
}

/// Guards against tasks that stop during an outage of an hour, which they have to
/// survive, and against leases that are renewed without limit.
#[test]
fn leases_are_renewed_for_an_hour_without_the_store_but_not_for_ever() {
    let mut world = running(2);
    world.store.set_down(true);
    world.advance(Span::from_secs(3_600));
    assert_eq!(started(&world), 2);
    world.advance(Span::from_secs(1_800) + LEASE_EXPIRY_WAIT);
    assert_eq!(started(&world), 0);
    finish(world);
}

/// Guards against an eviction that waits for the store although stopping a task
/// needs no stored change, and against one whose decision record is not visible
/// until the store is back.
#[test]
fn evictions_go_on_while_the_store_is_down() {
    let mut world = running(1);
    world.store.set_down(true);
    world.advance(SECOND);
    world.command_policy(0, PolicyCommand::Evict(0));
    world.advance(SECOND + SECOND + SECOND);
    assert_eq!(started(&world), 0);
    let records = records(&world, 0);
    assert!(records.iter().any(|r| r.action == Action::Evict));
    finish(world);
}

/// Guards against a task that is accepted or started twice after the store's reply was lost.
#[test]
fn lost_answers_of_the_store_change_nothing() {
    let mut world = world();
    world.store.fail_writes([
        WriteFault::LoseReply,
        WriteFault::LoseRequest,
        WriteFault::Delay,
    ]);
    world.submit(job(IN_A, 3, 1_000));
    world.advance(SECOND + SECOND + SECOND);
    assert_eq!(started(&world), 3);
    finish(world);
}
