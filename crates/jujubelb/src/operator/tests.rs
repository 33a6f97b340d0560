use super::query::newest_attempts;
use super::token::{TokenError, Tokens};
use crate::model::{Attempt, Priority, Resources, TaskId, Time};
use crate::shard::TaskView;

/// Guards against a valid token that is rejected during a rotation, and a replaced one that
/// is accepted after it.
#[test]
fn tokens_are_checked_and_rotated() {
    let dir = tempfile::tempdir().unwrap();
    let (old, new) = (dir.path().join("old"), dir.path().join("new"));
    std::fs::write(&old, "old-token-0123456789\n").unwrap();
    std::fs::write(&new, "new-token-0123456789").unwrap();
    let second = |s: u64| Time::from_millis(s * 1_000);
    let tokens = Tokens::read(second(0), vec![old.clone(), new.clone()]).unwrap();
    let valid = |s, token| tokens.is_valid(second(s), token);
    assert!(valid(1, "old-token-0123456789") && valid(1, "new-token-0123456789"));
    for wrong in ["", "old-token-012345678", "OLD-token-0123456789", "x"] {
        assert!(!valid(1, wrong), "{wrong}");
    }
    std::fs::write(&old, "third-token-0123456789").unwrap();
    assert!(!valid(4, "old-token-0123456789"));
    assert!(valid(4, "third-token-0123456789"));
    std::fs::write(&old, "short").unwrap();
    assert!(
        valid(8, "third-token-0123456789"),
        "a bad file replaced the token"
    );
    let text = format!("{tokens:?}");
    assert!(!text.contains("token-0123456789"), "{text}");
}

/// Guards against a process that starts without a usable token, and against error texts
/// that contain the token.
#[test]
fn missing_and_short_tokens_are_errors() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("token");
    let read = || Tokens::read(Time::ZERO, vec![file.clone()]).unwrap_err();
    assert!(matches!(read(), TokenError::File { .. }));
    std::fs::write(&file, "guessable").unwrap();
    assert!(matches!(read(), TokenError::Short(_)));
    assert!(!read().to_string().contains("guessable"));
}

/// Guards against a task that is listed twice during its handoff.
#[test]
fn a_task_is_listed_once_with_its_newest_attempt() {
    let view = |index, attempt, state: &str| TaskView {
        task: TaskId {
            job: "j".into(),
            index,
        },
        team: "t".into(),
        priority: Priority::Batch,
        state: state.to_owned(),
        attempt: Attempt(attempt),
        worker: None,
        limit: Resources::ZERO,
        checkpoint: None,
    };
    let all = vec![
        view(1, 0, "queued"),
        view(0, 2, "offered to b"),
        view(0, 3, "queued"),
    ];
    let shown: Vec<_> = newest_attempts(all).into_iter().map(|v| v.state).collect();
    assert_eq!(shown, ["queued", "queued"]);
}
