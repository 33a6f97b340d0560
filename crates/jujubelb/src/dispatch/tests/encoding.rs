//! Text and stored forms.

use super::{World, job, step};
use crate::dispatch::commit::MOST_ENTRIES;
use crate::dispatch::{JobKey, Run, StepProgress, TaskKey, TaskProgress};
use crate::model::Span;

/// Guards against names that workers would not take for the same task.
#[test]
fn task_names_are_read_as_written() {
    let text = "5c0e7a21d94b36f8.0.1.17";
    let task = TaskKey::parse(text).unwrap();
    assert_eq!(task.to_string(), text);
    assert_eq!(task.index, 17);
    for bad in [
        "",
        "5c0e7a21d94b36f8.0.1",
        "5C0E7A21D94B36F8.0.1.1",
        "x.0.0.0",
    ] {
        assert_eq!(TaskKey::parse(bad), None, "{bad}");
    }
    assert_eq!(JobKey::parse("+c0e7a21d94b36f8"), None);
}

/// Guards against done tasks that a later leader doesn't see.
#[test]
fn progress_keeps_done_tasks() {
    let mut step = StepProgress::default();
    for i in [0, 9, 31] {
        step.set_done(i);
    }
    step.tasks.push(TaskProgress {
        index: 3,
        failed: vec![Run(7), Run(3)],
        checkpoint: Some("a".into()),
    });
    let bytes = postcard::to_allocvec(&step).unwrap();
    let read: StepProgress = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, step);
    assert!(read.is_done(9) && read.is_done(31) && !read.is_done(8) && !read.is_done(100));
}

/// Many jobs change while the store is away and workers come: the batch with all
/// of that has to fit into one transaction. One entry more, and the store refuses
/// it however often it is tried, so that nothing becomes durable any more.
#[test]
fn a_batch_fits_into_a_transaction() {
    let mut world = World::new(4);
    world.store_up = false;
    for i in 0..60 {
        world.submit(i, job(0, vec![step(1, 2, Span::from_millis(200))]));
    }
    world.run(Span::from_secs(4));
    world.add_worker(4);
    world.list();
    let batch = world.dispatcher.take_commit(world.now).unwrap();
    assert!(batch.roster.is_some() && batch.model.is_some());
    assert!(batch.jobs.len() > MOST_ENTRIES / 2);
    assert!(batch.entries() <= MOST_ENTRIES, "{}", batch.entries());
}
