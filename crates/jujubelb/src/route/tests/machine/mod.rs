//! Stateful test of routers and claims: several entry processes, fake endpoints
//! and a network that loses, delays and repeats. The oracle counts what the fake
//! endpoints really ran.

mod act;
mod world;

use std::collections::BTreeSet;

use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::super::router::Fault;
use act::{Act, Acts, ClaimActs};
use world::{Flaw, Rule, World};

/// Longest sequence of acts in a case.
const LENGTH: usize = 120;

fn runner_config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A test with the acts of `A`.
struct Routers<A>(std::marker::PhantomData<A>);

impl<A: ReferenceStateMachine<State = (), Transition = Act>> StateMachineTest for Routers<A> {
    type SystemUnderTest = World;
    type Reference = A;

    fn init_test(_: &()) -> World {
        World::new(None)
    }

    fn apply(mut world: World, _: &(), act: Act) -> World {
        world.apply(act);
        world
    }

    fn check_invariants(world: &World, _: &()) {
        assert!(world.broken.is_empty(), "{:?}", world.broken);
    }

    fn teardown(mut world: World, _: ()) {
        world.finish();
        assert!(world.broken.is_empty(), "{:?}", world.broken);
    }
}

prop_state_machine! {
    #![proptest_config(runner_config(2_000))]

    #[test]
    fn rules_hold(sequential 1..LENGTH => Routers<Acts>);
}

prop_state_machine! {
    #![proptest_config(runner_config(2_000))]

    #[test]
    fn claims_hold(sequential 1..LENGTH => Routers<ClaimActs>);
}

/// Runs cases with a broken rule until the oracle notices it.
fn notices<A>(flaw: Flaw, rule: Rule) -> bool
where
    A: ReferenceStateMachine<State = (), Transition = Act>,
{
    let mut runner = TestRunner::new(runner_config(1));
    let strategy = A::sequential_strategy(LENGTH..LENGTH + 1);
    (0..1_000).any(|_| {
        let tree = strategy
            .new_tree(&mut runner)
            .expect("the acts have no filter");
        let (_, acts, _) = tree.current();
        let mut world = World::new(Some(flaw));
        for act in acts {
            world.apply(act);
        }
        world.finish();
        world.broken.contains(&rule)
    })
}

/// Guards against an oracle that accepts anything.
#[test]
fn oracle_notices_each_broken_rule() {
    let flaws = [
        (Flaw::Router(Fault::RetryNonIdempotent), Rule::AtMostOnce),
        (Flaw::Router(Fault::SkipClaim), Rule::AtMostOnce),
        (Flaw::Router(Fault::ReportSentAsNotRun), Rule::NotRun),
        (Flaw::Router(Fault::IgnoreLeaving), Rule::Leaving),
        (Flaw::Router(Fault::DeliverAbandoned), Rule::OwnAnswer),
        (Flaw::Router(Fault::IgnoreDeadline), Rule::Deadline),
        (Flaw::Router(Fault::IgnoreShare), Rule::Slots),
        (Flaw::Router(Fault::IgnoreDrain), Rule::Draining),
    ];
    let missed: Vec<_> = flaws
        .iter()
        .filter(|(f, r)| !notices::<Acts>(*f, *r))
        .collect();
    assert!(missed.is_empty(), "not noticed: {missed:?}");
}

/// Guards against cases that never lose a claim.
#[test]
fn oracle_notices_lost_claims() {
    let flaws = [Flaw::NoAbstention, Flaw::ForgetSets, Flaw::TrustClaimant];
    let missed: Vec<_> = flaws
        .iter()
        .filter(|f| !notices::<ClaimActs>(**f, Rule::AtMostOnce))
        .collect();
    assert!(missed.is_empty(), "not noticed: {missed:?}");
}

/// Guards against cases in which nothing happens: each kind of end is reached.
#[test]
fn cases_reach_all_kinds_of_ends() {
    let mut runner = TestRunner::new(runner_config(1));
    let strategy = Acts::sequential_strategy(LENGTH..LENGTH + 1);
    let mut seen = BTreeSet::new();
    for _ in 0..200 {
        let tree = strategy
            .new_tree(&mut runner)
            .expect("the acts have no filter");
        let (_, acts, _) = tree.current();
        let mut world = World::new(None);
        acts.into_iter().for_each(|act| world.apply(act));
        world.finish();
        seen.extend(world.seen);
    }
    let wanted = [
        "answer",
        "hedge",
        "late answer",
        "claim granted",
        "claim held",
        "claim unavailable",
        "hang-up",
        "host died",
        "retry of caller",
        "declined",
        "unconnected",
        "broken",
        "timeout",
        "run after report",
        "code 203",
        "code 204",
        "code 205",
        "code 206",
        "code 209",
        "code 210",
        "code 300",
        "code 301",
        "code 302",
        "code 303",
        "code 304",
    ];
    let missing: Vec<_> = wanted.iter().filter(|w| !seen.contains(**w)).collect();
    assert!(
        missing.is_empty(),
        "never reached: {missing:?}, reached: {seen:?}"
    );
}
