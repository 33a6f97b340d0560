//! Stateful fuzzing of owners, store and workers against the oracle.
//!
//! Each run has a fixed seed. `JUJUBELB_FUZZ_CASES=100000 cargo test --release -p
//! jujubelb --test shard fuzz` runs more cases, divided over the four seeds.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::support::ops::{Op, SETTLE, op, run};
use super::support::world::{Sabotage, World};

/// Cases of all seeds in a plain run.
const CASES: u32 = 2_000;

/// Number of tests that divide the cases, so that they run in parallel.
const SEEDS: u32 = 4;

/// The oracle judges what happened, so the reference model has no state of its own.
struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
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
    type Reference = AnyOrder;

    fn init_test(_state: &()) -> World {
        World::new(Sabotage::None)
    }

    fn apply(mut world: World, _state: &(), op: Op) -> World {
        world.apply(&op);
        world
    }

    fn check_invariants(world: &World, _state: &()) {
        assert_eq!(world.oracle.violations, Vec::<String>::new());
    }

    fn teardown(mut world: World, _state: ()) {
        world.settle(SETTLE);
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

/// Runs generated cases with a deliberate fault until the oracle reports a rule.
fn caught(sabotage: Sabotage, rule: &str) {
    const MOST: usize = 2_000;
    let config = Config {
        rng_seed: RngSeed::Fixed(20_261_208),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let strategy = prop::collection::vec(op(), 1..50);
    for _ in 0..MOST {
        let ops = strategy.new_tree(&mut runner).unwrap().current();
        let violations = run(sabotage, &ops);
        if violations.iter().any(|v| v.starts_with(rule)) {
            return;
        }
    }
    panic!("{sabotage:?} was not caught as \"{rule}\" in {MOST} cases");
}

#[test]
fn the_oracle_notices_missing_fencing() {
    caught(Sabotage::SkipFencing, "");
}

#[test]
fn the_oracle_notices_ignored_start_evidence() {
    caught(
        Sabotage::IgnoreEvidence,
        "started in a domain out of service",
    );
}

#[test]
fn the_oracle_notices_ignored_lease_waits() {
    caught(Sabotage::IgnoreLeases, "ran in two places");
}

#[test]
fn the_oracle_notices_completed_work_that_runs_again() {
    caught(Sabotage::RerunCompleted, "completed task started");
}

#[test]
fn the_oracle_notices_an_old_checkpoint() {
    caught(Sabotage::ForgetCheckpoints, "not the newest checkpoint");
}

#[test]
fn the_oracle_notices_lost_work() {
    caught(Sabotage::LoseTask, "accepted work was lost");
}

#[test]
fn the_oracle_notices_exceeded_capacity() {
    caught(Sabotage::Overstate, "limits above capacity");
}

#[test]
fn the_oracle_notices_acceptance_without_a_stored_segment() {
    caught(
        Sabotage::AcceptUnstored,
        "accepted without a stored segment",
    );
}
