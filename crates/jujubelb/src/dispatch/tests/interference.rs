//! Filling tasks beside serving ones.

use super::{World, job, long_running, step};
use crate::dispatch::Step;
use crate::model::{Bytes, Span};

fn filling(count: u32, cores: u64, estimate: Span) -> Step {
    Step {
        best_effort: true,
        checkpoints: true,
        ..step(count, cores, estimate)
    }
}

/// Time in which it becomes known how serving tasks do without neighbours. No
/// image of unknown effect is tried beside them before.
const BASELINE: Span = Span::from_millis(2_500);

/// A batch beside serving tasks while other workers are free: the batch goes
/// where it disturbs nobody and is not slowed.
#[test]
fn filling_tasks_keep_away_from_serving_ones() {
    let mut world = World::new(4);
    world.submit(1, job(0, vec![long_running(8, 13)]));
    world.run(Span::from_millis(500));
    let key = world.submit(2, job(2, vec![filling(16, 7, Span::from_secs(2))]));
    world.run(Span::from_secs(4));
    assert!(world.completed.contains_key(&key));
}

/// Serving tasks that arrive while batches run on all workers: they gather on
/// few workers, and what they displace goes on elsewhere instead of standing still.
#[test]
fn serving_tasks_displace_filling_ones() {
    let mut world = World::new(4);
    let key = world.submit(1, job(2, vec![filling(32, 7, Span::from_secs(3))]));
    world.run(Span::from_millis(500));
    world.submit(2, job(0, vec![long_running(4, 13)]));
    world.run(Span::from_secs(14));
    assert!(world.completed.contains_key(&key));
    let serving: std::collections::BTreeSet<_> = world
        .starts
        .iter()
        .filter(|(_, _, t, _)| t.step.job.0 == 2)
        .map(|(_, w, ..)| w.clone())
        .collect();
    assert_eq!(serving.len(), 1);
}

/// Two kinds of batches beside serving tasks on the only worker, one of which
/// disturbs them: the harmless one is not slowed for what the other does, and
/// the serving tasks are not above their target for long.
#[test]
fn only_the_cause_of_a_high_tail_is_slowed() {
    let mut world = World::new(1);
    let serving = long_running(2, 10);
    world.submit(1, job(0, vec![serving]));
    world.run(BASELINE);
    let harmless = Step {
        image: Some("light".into()),
        ..filling(3, 6, Span::from_secs(3))
    };
    let harmful = Step {
        image: Some("heavy".into()),
        checkpoints: false,
        ..filling(1, 6, Span::from_secs(3))
    };
    let light = world.submit(2, job(2, vec![harmless]));
    world.submit(3, job(2, vec![harmful]));
    world.run(Span::from_secs(6));
    assert!(world.completed.contains_key(&light));
    assert!(world.longest_harm < Span::from_secs(4));
}

/// A batch that no worker bears waits before one that every worker bears: the
/// second one must not be held up because the first found no place.
#[test]
fn a_batch_that_finds_no_place_does_not_hold_up_another() {
    let mut world = World::new(1);
    world.submit(1, job(0, vec![long_running(2, 10)]));
    world.run(BASELINE);
    let image = |name: &str| Step {
        image: Some(name.into()),
        ..filling(2, 6, Span::from_secs(1))
    };
    // Both are tried once, so that their effects are known.
    world.submit(2, job(2, vec![image("light")]));
    world.run(Span::from_secs(3));
    world.submit(3, job(2, vec![image("heavy")]));
    world.run(Span::from_secs(3));
    world.submit(4, job(1, vec![image("heavy")]));
    let light = world.submit(5, job(2, vec![image("light")]));
    world.run(Span::from_millis(2_500));
    assert!(world.completed.contains_key(&light));
}

/// Lasting tasks of two images, the second of which would fill up the worker of the
/// first: a filling task disturbs some images and not others, so two workers with
/// one image each take more of them than a mixed one.
#[test]
fn images_gather_on_workers_of_their_own() {
    let mut world = World::new(3);
    for (i, image) in [(0, "red"), (1, "blue")] {
        let mut serving = long_running(4, 10);
        serving.image = Some(image.into());
        serving.size.memory = Bytes::from_gib(40);
        world.submit(i, job(0, vec![serving]));
        world.run(Span::from_millis(500));
    }
    let workers = |id: u64| -> std::collections::BTreeSet<_> {
        let starts = world
            .starts
            .iter()
            .filter(|(_, _, t, _)| t.step.job.0 == id);
        starts.map(|(_, w, ..)| w.clone()).collect()
    };
    assert_eq!(workers(0).len(), 1);
    assert_eq!(workers(1).len(), 1);
    assert_ne!(workers(0), workers(1));
}
