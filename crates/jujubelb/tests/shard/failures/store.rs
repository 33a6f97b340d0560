//! Outages of the store and lost answers.

use jujubelb::model::{Action, Code, Span};
use jujubelb::shard::LEASE_EXPIRY_WAIT;
use jujubelb::worker::Phase;

use super::{IN_A, SECOND, finish, records, running, started, world};
use crate::support::policy::Wish;
use crate::support::store::Fault;
use crate::support::world::job;

/// Guards against acceptance, starts or lost completions while the store is down.
#[test]
fn nothing_is_accepted_started_or_forgotten_while_the_store_is_down() {
    let mut world = running(2);
    world.store.set_down(true);
    world.submit(job("j4", 1, 500));
    world.advance(SECOND);
    assert_eq!(world.last_codes["j4"], Code::StoreUnavailable);
    world.workers[0].0.finish(0, Phase::Succeeded);
    world.advance(Span::from_secs(30));
    assert!(world.oracle.completed.is_empty());
    assert_eq!(started(&world), 1, "running tasks go on");
    world.store.set_down(false);
    world.advance(Span::from_secs(5));
    assert_eq!(world.oracle.completed.len(), 1);
    finish(world);
}

/// Guards against tasks that stop during an outage that has to be tolerated,
/// and against leases that are renewed for ever.
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

/// Guards against an eviction that waits for the store although a stop needs no
/// stored intent, and against one that nobody can explain until the store is back.
#[test]
fn evictions_go_on_while_the_store_is_down() {
    let mut world = running(1);
    world.store.set_down(true);
    world.advance(SECOND);
    world.wish(0, Wish::Evict(0));
    world.advance(SECOND + SECOND + SECOND);
    assert_eq!(started(&world), 0);
    let records = records(&world, 0);
    assert!(records.iter().any(|r| r.action == Action::Evict));
    finish(world);
}

/// Guards against a task that is accepted or started twice after a lost answer of the store.
#[test]
fn lost_answers_of_the_store_change_nothing() {
    let mut world = world();
    world
        .store
        .fail_writes([Fault::LoseAnswer, Fault::LoseRequest, Fault::Delay]);
    world.submit(job(IN_A, 3, 1_000));
    world.advance(SECOND + SECOND + SECOND);
    assert_eq!(started(&world), 3);
    finish(world);
}
