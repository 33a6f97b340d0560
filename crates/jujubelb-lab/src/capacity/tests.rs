//! Consistency of docs/CAPACITY.md with the recorded slopes.

use super::*;

const PAGE: &str = include_str!("../../../../docs/CAPACITY.md");

/// Guards against a page whose table is out of date after the slopes changed.
#[test]
fn page_contains_computed_table() {
    let table = Slopes::parse(SLOPES).unwrap().table();
    assert!(
        PAGE.contains(&table),
        "write this table into the page:\n{table}"
    );
}

/// Guards against a target size that no longer matches the shard at which the owner was measured.
#[test]
fn owner_costs_match_target_shard_size() {
    let (tasks, starts) = Slopes::parse(SLOPES).unwrap().shard_load();
    assert!((tasks - 1_773.0).abs() < 1.0, "{tasks}");
    assert!((9.0..10.0).contains(&starts), "{starts}");
}
