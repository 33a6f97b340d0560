use jujubelb::model::{ClassName, Priority, Resources, Span, TaskId, TaskKind, TaskSpec};

use super::parse;

/// Guards against factors that are read but have no effect.
#[test]
fn factors_apply_to_what_a_task_declares() {
    let text = "classes:\n  sort:\n    size: 1.5\n    duration: 0.01\n    noise: 0.2\n";
    let behaviours = parse(text).unwrap();
    let spec = TaskSpec {
        kind: TaskKind::Batch,
        class: ClassName::from("sort"),
        priority: Priority::Batch,
        size: Resources::new(1_000, 2_000, 0),
        duration: Some(Span::from_secs(100)),
        domains: Vec::new(),
        reclaimable: false,
    };
    assert_eq!(behaviours.usage(&spec), Resources::new(1_500, 3_000, 0));
    let task = TaskId {
        job: "j".into(),
        index: 0,
    };
    let duration = behaviours.duration(&task, &spec).unwrap();
    assert!(duration >= Span::from_millis(900) && duration <= Span::from_millis(1_100));
    assert_eq!(behaviours.of(&spec.class).noise, 200);
}

/// Guards against a misspelt field or an impossible factor that is ignored.
#[test]
fn wrong_fields_and_factors_are_errors() {
    assert!(parse("classes: {sort: {sise: 2}}").is_err());
    let error = parse("classes: {sort: {size: -1}}").unwrap_err();
    assert_eq!(
        format!("{error:#}"),
        "class sort: `size` is -1; name a factor from 0 to 100"
    );
}
