//! The processes of a small deployment against the stand-in platform.

mod bad_input;
mod deployment;
mod failures;

use deployment::{Deployment, code};
use jujubelb::model::{Span, TaskId};

/// Guards against components that fail only in combination: a declaration is applied,
/// a request is served and a declared job runs to completion.
#[test]
fn applied_deployment_serves_request_and_completes_job() {
    let deployment = Deployment::new(1, Span::from_millis(5));
    let scheduler = deployment.scheduler(0);
    let entry = deployment.entry(0);
    let applied = deployment.apply(&entry);
    assert_eq!(applied.change.revision.0, 1);
    let answer = deployment.request_until_served(&entry);
    assert_eq!(code(&answer), 100);
    assert_eq!(answer.headers()["Lab-Request"], "first");
    let task = |index| TaskId {
        job: "tidy-up".into(),
        index,
    };
    deployment.wait_until("the job's completion", || {
        (0..4).all(|index| deployment.platform.ledger().is_done(&task(index)))
    });
    deployment.wait_until("a task list without the job", || {
        let view = deployment.tasks(entry.operators());
        let answered = view.sources.iter().all(|source| source.answered);
        answered && view.tasks.iter().all(|t| t.task.job.as_str() == "watch")
    });
    assert!(scheduler.stop());
    assert!(entry.stop());
    assert_eq!(deployment.platform.ledger().violations(), 0);
}
