//! The page and the recorded slopes must not part.

use super::*;

const PAGE: &str = include_str!("../../../../docs/CAPACITY.md");

/// Guards against a page whose table was not computed from the recorded slopes.
#[test]
fn the_page_has_the_computed_table() {
    let table = Slopes::parse(SLOPES).unwrap().table();
    assert!(
        PAGE.contains(&table),
        "write this table into the page:\n{table}"
    );
}

/// Guards against slopes that were measured at another size of a shard.
#[test]
fn the_owner_was_measured_at_the_size_of_a_shard() {
    let (tasks, starts) = Slopes::parse(SLOPES).unwrap().shard();
    assert!((tasks - 1_773.0).abs() < 1.0, "{tasks}");
    assert!((9.0..10.0).contains(&starts), "{starts}");
}
