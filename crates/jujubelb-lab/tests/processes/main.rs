//! The processes of a small deployment against the stand-in platform.

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
    let mut answer = None;
    world.until("an answer", || {
        let url = format!("http://{}/svc/hello/some/path?x=1", entry.callers());
        let response = world
            .http
            .get(url)
            .header("Lab-Request", "t1")
            .send()
            .unwrap();
        let done = response.status() == 200;
        answer = Some(response);
        done
    });
    assert_eq!(code(&answer.unwrap()), 100);
    let task = |index| TaskId {
        job: "tidy-up".into(),
        index,
    };
    world.until("the job's end", || {
        (0..4).all(|index| world.platform.ledger().is_done(&task(index)))
    });
    world.until("an empty task list", || {
        let view = world.tasks(entry.operators());
        view.sources.iter().all(|source| source.answered) && view.tasks.is_empty()
    });
    assert!(scheduler.stop());
    assert!(entry.stop());
    assert_eq!(world.platform.ledger().violations(), 0);
}
