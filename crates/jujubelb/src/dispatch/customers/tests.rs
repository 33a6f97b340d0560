//! Tests of what may start within a limit.

use super::usage::Usage;
use crate::dispatch::job_spec::Step;
use crate::model::Resources;

fn tasks(cores: u64) -> Step {
    Step {
        count: 2,
        size: Resources::new(cores * 1_000, 0, 0),
        ..Step::default()
    }
}

/// Guards against a small task that begins after a large one that has exceeded the limit, although
/// its start was sent before: the customer would have more running than its limit and that task.
#[test]
fn a_task_exceeds_the_limit_only_while_no_other_start_is_on_its_way() {
    let limit = tasks(5).size;
    let mut usage = Usage::default();
    (0..3).for_each(|_| usage.add(&tasks(1), true));
    assert_eq!(usage.allowed(&limit, &tasks(4), 2), 1);
    assert_eq!(usage.allowed(&limit, &tasks(1), 9), 2);
    usage.add(&tasks(1), false);
    assert_eq!(usage.allowed(&limit, &tasks(4), 2), 0);
    assert_eq!(usage.allowed(&limit, &tasks(1), 9), 1);
}

/// The same for a gang, of which one member may exceed the limit.
#[test]
fn a_gang_exceeds_the_limit_only_while_no_other_start_is_on_its_way() {
    let limit = tasks(5).size;
    let gang = Step {
        gang: true,
        ..tasks(3)
    };
    let mut usage = Usage::default();
    usage.add(&tasks(1), true);
    assert_eq!(usage.allowed(&limit, &gang, 2), 2);
    usage.add(&tasks(1), false);
    assert!(usage.allowed(&limit, &gang, 2) < 2);
}
