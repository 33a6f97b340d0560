use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use super::index::CapacityIndex;
use super::score::{Assessment, PlacementRequest, SelectionError, select_worker};
use crate::model::Resources;

const GIB: u64 = 1 << 30;

fn host() -> Resources {
    Resources::new(64_000, 250 * GIB, 0)
}

fn index(free: &[Resources]) -> CapacityIndex {
    let mut index = CapacityIndex::new(free.len());
    for (i, free) in free.iter().enumerate() {
        index.update(i, *free, host(), true);
    }
    index
}

fn request(need: Resources) -> PlacementRequest {
    PlacementRequest { need, tie_break: 1 }
}

/// Guards against a search that finds no worker although one fits, or returns workers
/// that don't fit.
#[test]
fn search_agrees_with_a_linear_scan() {
    let amount = || (0..70_000u64, 0..260u64, 0..3u32);
    let free = proptest::collection::vec(amount(), 1..60);
    let config = Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x1DE),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new(config)
        .run(
            &(free, amount(), any::<u64>()),
            |(free, need, tie_break)| {
                let resources = |(c, m, a): &(u64, u64, u32)| Resources::new(*c, m * GIB, *a);
                let free: Vec<_> = free.iter().map(resources).collect();
                let need = resources(&need);
                let mut index = index(&free);
                index.update(0, free[0], host(), false);
                let linear = free.iter().skip(1).any(|f| need.fits(f));
                let found = index.search(&need, 12, tie_break);
                prop_assert!(found.iter().all(|&w| w > 0 && need.fits(&free[w])));
                let selected =
                    select_worker(&index, &PlacementRequest { need, tie_break }, assess_equal);
                prop_assert_eq!(selected.is_ok(), linear);
                Ok(())
            },
        )
        .unwrap();
}

fn assess_equal(_: usize) -> Option<Assessment> {
    Some(Assessment::default())
}

/// Guards against fragmentation of the free capacity by small tasks.
#[test]
fn small_task_avoids_an_empty_worker() {
    let tight = Resources::new(2_000, 8 * GIB, 0);
    let index = index(&[host(), tight, host()]);
    let selected = select_worker(
        &index,
        &request(Resources::new(1_000, 4 * GIB, 0)),
        assess_equal,
    )
    .unwrap();
    assert_eq!(selected.worker, 1);
}

/// Guards against filling hosts with accelerators with tasks that need none.
#[test]
fn accelerator_hosts_are_reserved_for_tasks_that_need_them() {
    let with = Resources::new(2_000, 8 * GIB, 4);
    let index = index(&[with, host()]);
    let plain = Resources::new(1_000, 4 * GIB, 0);
    assert_eq!(
        select_worker(&index, &request(plain), assess_equal)
            .unwrap()
            .worker,
        1
    );
    let accelerated = Resources::new(1_000, 4 * GIB, 1);
    assert_eq!(
        select_worker(&index, &request(accelerated), assess_equal)
            .unwrap()
            .worker,
        0
    );
}

/// Guards against selecting a worker whose services would be slowed while another
/// worker fits.
#[test]
fn worker_with_expected_interference_is_avoided() {
    let tight = Resources::new(2_000, 8 * GIB, 0);
    let index = index(&[tight, host()]);
    let assess = |w: usize| {
        Some(Assessment {
            slowdown: if w == 0 { 0.5 } else { 0.0 },
            ..Assessment::default()
        })
    };
    let need = Resources::new(1_000, 4 * GIB, 0);
    assert_eq!(
        select_worker(&index, &request(need), assess)
            .unwrap()
            .worker,
        1
    );
    assert_eq!(
        select_worker(&index, &request(need), |_| None),
        Err(SelectionError::AllExcluded)
    );
}

/// Guards against workers that stay in a bucket after their free capacity changed.
#[test]
fn reserved_capacity_is_not_offered_again() {
    let mut index = index(&[host()]);
    assert!(index.reserve(0, &Resources::new(60_000, 100 * GIB, 0)));
    assert!(!index.reserve(0, &Resources::new(5_000, GIB, 0)));
    assert!(
        index
            .search(&Resources::new(5_000, GIB, 0), 12, 0)
            .is_empty()
    );
    index.update(0, host(), host(), true);
    assert_eq!(index.search(&Resources::new(5_000, GIB, 0), 12, 0), [0]);
}
