//! Text and stored forms.

use crate::dispatch::{JobKey, Run, StepProgress, TaskKey, TaskProgress};

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
        saved: Some("a".into()),
    });
    let bytes = postcard::to_allocvec(&step).unwrap();
    let read: StepProgress = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, step);
    assert!(read.is_done(9) && read.is_done(31) && !read.is_done(8) && !read.is_done(100));
}
