//! The processes of a small deployment against the stand-in platform.

mod bad_input;
mod failures;
mod world;

use jujubelb::model::{Span, TaskId};
use world::{World, code};

/// Guards against parts that fit each other only in theory: a declaration is
/// applied, a request is answered and a declared job runs to its end.
#[test]
fn a_declaration_a_request_and_a_job_go_all_the_way() {
    let world = World::new(1, Span::from_millis(5));
    let scheduler = world.scheduler(0);
    let entry = world.entry(0);
    let applied = world.apply(&entry);
    assert_eq!(applied.change.revision.0, 1);
    let answer = world.serve(&entry);
    assert_eq!(code(&answer), 100);
    assert_eq!(answer.headers()["Lab-Request"], "first");
    let task = |index| TaskId {
        job: "tidy-up".into(),
        index,
    };
    world.until("the job's end", || {
        (0..4).all(|index| world.platform.ledger().is_done(&task(index)))
    });
    world.until("a task list without the job", || {
        let view = world.tasks(entry.operators());
        let answered = view.sources.iter().all(|source| source.answered);
        answered && view.tasks.iter().all(|t| t.task.job.as_str() == "watch")
    });
    assert!(scheduler.stop());
    assert!(entry.stop());
    assert_eq!(world.platform.ledger().violations(), 0);
}
