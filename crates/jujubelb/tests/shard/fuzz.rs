//! Stateful fuzzing of owners, store and workers against the oracle.
//!
//! The seeds are fixed. `JUJUBELB_FUZZ_CASES=100000 cargo test --release -p
//! jujubelb --test shard fuzz` runs more cases, divided among the four seeds.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::support::ops::{COMPLETION_TIMEOUT, Op, op, run};
use super::support::world::{InjectedBug, World};

/// Default number of cases of all seeds together.
const CASES: u32 = 2_000;

/// Number of tests among which the cases are divided, so that they run in parallel.
const SEEDS: u32 = 4;

/// Reference model without state, because the oracle checks the invariants.
struct AnySequence;

impl ReferenceStateMachine for AnySequence {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Op> {
        op()
    }

    fn apply(_state: (), _op: &Op) {}
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = AnySequence;

    fn init_test(_state: &()) -> World {
        World::new(InjectedBug::None)
    }

    fn apply(mut world: World, _state: &(), op: Op) -> World {
        world.apply(&op);
        world
    }

    fn check_invariants(world: &World, _state: &()) {
        assert_eq!(world.oracle.violations, Vec::<String>::new());
    }

    fn teardown(mut world: World, _state: ()) {
        world.run_to_completion(COMPLETION_TIMEOUT);
        assert_eq!(world.oracle.violations, Vec::<String>::new());
    }
}

fn config(seed: u64) -> Config {
    let cases = std::env::var("JUJUBELB_FUZZ_CASES").ok();
    let cases = cases.and_then(|n| n.parse().ok()).unwrap_or(CASES);
    Config {
        cases: cases.div_ceil(SEEDS),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(20_261_204))]
    #[test]
    fn no_order_of_faults_breaks_a_rule_seed_1(sequential 1..80 => Fuzz);
}

prop_state_machine! {
    #![proptest_config(config(20_261_205))]
    #[test]
    fn no_order_of_faults_breaks_a_rule_seed_2(sequential 1..80 => Fuzz);
}

prop_state_machine! {
    #![proptest_config(config(20_261_206))]
    #[test]
    fn no_order_of_faults_breaks_a_rule_seed_3(sequential 1..80 => Fuzz);
}

prop_state_machine! {
    #![proptest_config(config(20_261_207))]
    #[test]
    fn no_order_of_faults_breaks_a_rule_seed_4(sequential 1..80 => Fuzz);
}

/// Runs generated cases with an injected bug until the oracle reports a violation of `rule`.
fn assert_detected(injected_bug: InjectedBug, rule: &str) {
    const MAX_CASES: usize = 2_000;
    let config = Config {
        rng_seed: RngSeed::Fixed(20_261_208),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let strategy = prop::collection::vec(op(), 1..50);
    for _ in 0..MAX_CASES {
        let ops = strategy.new_tree(&mut runner).unwrap().current();
        let violations = run(injected_bug, &ops);
        if violations.iter().any(|v| v.starts_with(rule)) {
            return;
        }
    }
    panic!("no violation of \"{rule}\" by {injected_bug:?} in {MAX_CASES} cases");
}

#[test]
fn the_oracle_notices_missing_fencing() {
    assert_detected(InjectedBug::SkipFencing, "");
}

#[test]
fn the_oracle_notices_ignored_start_evidence() {
    assert_detected(
        InjectedBug::IgnoreEvidence,
        "started in a domain out of service",
    );
}

#[test]
fn the_oracle_notices_ignored_lease_waits() {
    assert_detected(InjectedBug::IgnoreLeases, "ran in two places");
}

#[test]
fn the_oracle_notices_completed_work_that_runs_again() {
    assert_detected(InjectedBug::RerunCompleted, "completed task started");
}

#[test]
fn the_oracle_notices_an_old_checkpoint() {
    assert_detected(InjectedBug::ForgetCheckpoints, "not the newest checkpoint");
}

#[test]
fn the_oracle_notices_lost_work() {
    assert_detected(InjectedBug::LoseTask, "accepted work was lost");
}

#[test]
fn the_oracle_notices_exceeded_capacity() {
    assert_detected(InjectedBug::OverstateCapacity, "limits above capacity");
}

#[test]
fn the_oracle_notices_acceptance_without_a_stored_segment() {
    assert_detected(
        InjectedBug::AcceptUnstored,
        "accepted without a stored segment",
    );
}
