//! Stateful property test of routers and claims: several entry processes, simulated
//! endpoints and a network that loses, delays and duplicates messages. The oracle
//! compares reported results with the runs at the simulated endpoints.

mod event;
mod simulation;

use std::collections::BTreeSet;

use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::super::router::Fault;
use event::{ClaimEvents, Event, RequestEvents};
use simulation::{Invariant, Simulation, SimulationFault};

/// Upper bound of the number of events in a case.
const MAX_EVENTS: usize = 120;

fn runner_config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A test with the events of `A`.
struct Routers<A>(std::marker::PhantomData<A>);

impl<A: ReferenceStateMachine<State = (), Transition = Event>> StateMachineTest for Routers<A> {
    type SystemUnderTest = Simulation;
    type Reference = A;

    fn init_test(_: &()) -> Simulation {
        Simulation::new(None)
    }

    fn apply(mut simulation: Simulation, _: &(), event: Event) -> Simulation {
        simulation.apply(event);
        simulation
    }

    fn check_invariants(simulation: &Simulation, _: &()) {
        assert!(
            simulation.violations.is_empty(),
            "{:?}",
            simulation.violations
        );
    }

    fn teardown(mut simulation: Simulation, _: ()) {
        simulation.finish();
        assert!(
            simulation.violations.is_empty(),
            "{:?}",
            simulation.violations
        );
    }
}

prop_state_machine! {
    #![proptest_config(runner_config(2_000))]

    #[test]
    fn invariants_hold(sequential 1..MAX_EVENTS => Routers<RequestEvents>);
}

prop_state_machine! {
    #![proptest_config(runner_config(2_000))]

    #[test]
    fn claim_invariants_hold(sequential 1..MAX_EVENTS => Routers<ClaimEvents>);
}

/// Runs up to 1,000 cases with an injected fault until the oracle reports the violation.
fn detects_violation<A>(fault: SimulationFault, invariant: Invariant) -> bool
where
    A: ReferenceStateMachine<State = (), Transition = Event>,
{
    let mut runner = TestRunner::new(runner_config(1));
    let strategy = A::sequential_strategy(MAX_EVENTS..MAX_EVENTS + 1);
    (0..1_000).any(|_| {
        let tree = strategy
            .new_tree(&mut runner)
            .expect("the events have no filter");
        let (_, events, _) = tree.current();
        let mut simulation = Simulation::new(Some(fault));
        for event in events {
            simulation.apply(event);
        }
        simulation.finish();
        simulation.violations.contains(&invariant)
    })
}

/// Guards against an oracle that accepts violations of an invariant.
#[test]
fn oracle_detects_each_violation() {
    let faults = [
        (
            SimulationFault::Router(Fault::RetryNonIdempotent),
            Invariant::AtMostOnce,
        ),
        (
            SimulationFault::Router(Fault::SkipClaim),
            Invariant::AtMostOnce,
        ),
        (
            SimulationFault::Router(Fault::ReportSentAsNotRun),
            Invariant::NotRun,
        ),
        (
            SimulationFault::Router(Fault::IgnoreLeaving),
            Invariant::Leaving,
        ),
        (
            SimulationFault::Router(Fault::DeliverAbandoned),
            Invariant::OwnAnswer,
        ),
        (
            SimulationFault::Router(Fault::IgnoreDeadline),
            Invariant::Deadline,
        ),
        (
            SimulationFault::Router(Fault::IgnoreShare),
            Invariant::Slots,
        ),
        (
            SimulationFault::Router(Fault::IgnoreDrain),
            Invariant::Draining,
        ),
    ];
    let undetected: Vec<_> = faults
        .iter()
        .filter(|(f, r)| !detects_violation::<RequestEvents>(*f, *r))
        .collect();
    assert!(undetected.is_empty(), "not detected: {undetected:?}");
}

/// Guards against cases that can't reveal a lost claim.
#[test]
fn oracle_detects_lost_claims() {
    let faults = [
        SimulationFault::NoAbstention,
        SimulationFault::ForgetSets,
        SimulationFault::TrustClaimant,
    ];
    let undetected: Vec<_> = faults
        .iter()
        .filter(|f| !detects_violation::<ClaimEvents>(**f, Invariant::AtMostOnce))
        .collect();
    assert!(undetected.is_empty(), "not detected: {undetected:?}");
}

/// Guards against generated cases that do not reach some kind of outcome.
#[test]
fn cases_reach_all_outcomes() {
    let mut runner = TestRunner::new(runner_config(1));
    let strategy = RequestEvents::sequential_strategy(MAX_EVENTS..MAX_EVENTS + 1);
    let mut observed = BTreeSet::new();
    for _ in 0..200 {
        let tree = strategy
            .new_tree(&mut runner)
            .expect("the events have no filter");
        let (_, events, _) = tree.current();
        let mut simulation = Simulation::new(None);
        events.into_iter().for_each(|event| simulation.apply(event));
        simulation.finish();
        observed.extend(simulation.observed);
    }
    let expected = [
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
    let missing: Vec<_> = expected
        .iter()
        .filter(|w| !observed.contains(**w))
        .collect();
    assert!(
        missing.is_empty(),
        "never reached: {missing:?}, reached: {observed:?}"
    );
}
