use proptest::prelude::*;
use proptest::test_runner::{Config as RunConfig, RngSeed, TestRunner};

use super::*;

fn runner() -> TestRunner {
    TestRunner::new(RunConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x51),
        failure_persistence: None,
        ..RunConfig::default()
    })
}

fn resources() -> impl Strategy<Value = Resources> {
    (0..5_000_000u64, 0..(20u64 << 40), 0..500u32).prop_map(|(c, m, a)| Resources::new(c, m, a))
}

fn shards(count: usize) -> Vec<ShardName> {
    (0..count)
        .map(|i| ShardName::new(format!("shard-{i}")))
        .collect()
}

fn sum(shares: &[(&ShardName, Resources)]) -> Resources {
    shares.iter().map(|(_, r)| *r).sum()
}

/// Guards against quota that is lost or granted twice when shards are added or removed.
#[test]
fn shares_sum_to_the_quota_for_any_number_of_shards() {
    let inputs = (resources(), resources(), 1..40usize);
    runner()
        .run(&inputs, |(quota, largest, count)| {
            let division = QuotaDivision::new(shards(count), largest);
            prop_assert_eq!(sum(&division.shares("team", &quota)), quota);
            Ok(())
        })
        .unwrap();
}

/// The check above fails if each chunk is rounded down.
#[test]
fn sum_check_detects_rounding_down() {
    let quota = Resources::new(10_001, 7, 3);
    let rounded: Resources = (0..4).map(|_| Resources::new(10_001 / 4, 7 / 4, 0)).sum();
    let exact: Resources = (0..4).map(|i| chunk(&quota, 4, i)).sum();
    assert_ne!(rounded, quota);
    assert_eq!(exact, quota);
}

/// Guards against a team whose largest permitted task fits the share of no shard.
#[test]
fn each_chunk_fits_the_largest_task() {
    runner()
        .run(&(resources(), resources()), |(quota, largest)| {
            let task = component_min(&quota, &largest);
            let count = chunk_count(&quota, &task);
            for index in 0..count {
                prop_assert!(task.fits(&chunk(&quota, count, index)));
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against an outage of a domain that also moves quota between healthy shards.
#[test]
fn removed_shard_moves_only_its_own_chunks() {
    let quota = Resources::new(1_000_000, 0, 0);
    let largest = Resources::new(10_000, 0, 0);
    let before = QuotaDivision::new(shards(6), largest);
    let after = QuotaDivision::new(shards(5), largest);
    let team = name_hash("team");
    for index in 0..chunk_count(&quota, &largest) {
        let old = before.chunk_owner(team, index).unwrap();
        if old < 5 {
            assert_eq!(after.chunk_owner(team, index), Some(old));
        }
    }
}

/// Guards against dividing a quota smaller than the largest task, which no shard could
/// then use completely.
#[test]
fn small_quota_is_not_divided() {
    let quota = Resources::new(8_000, 16 << 30, 1);
    let division = QuotaDivision::new(shards(9), Resources::new(64_000, 256 << 30, 8));
    let shares = division.shares("small", &quota);
    assert_eq!(shares.iter().filter(|(_, r)| *r == quota).count(), 1);
    assert_eq!(sum(&shares), quota);
}
