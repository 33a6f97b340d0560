//! Which transaction stores a job, and what its result proves.

use super::super::callers::WriteOutcome;
use super::super::job_write::{WriteResult, assess_job_write, job_txn};
use super::super::keys;
use crate::dispatch::{JobKey, JobRecord, JobSpec, QueueSettings};
use crate::model::{ServiceName, Span, WallTime};
use crate::platform::{CallError, Revision, Txn, TxnError};

const LEADER: Revision = Revision(70_001);

fn record() -> JobRecord {
    JobRecord {
        queue: QueueSettings {
            host: "a.example".into(),
            prefix: "/q/".into(),
            service: ServiceName::new("s"),
            priority: 0,
            attempts: 3,
            slack_factor: 2.0,
            target_duration: Span::from_millis(500),
            ticket_lifetime: None,
        },
        spec: JobSpec {
            payload: "p".into(),
            steps: Vec::new(),
            schedule: None,
        },
        accepted: WallTime::from_micros(7),
        term_token: None,
    }
}

/// The transaction as it is sent: it is compared as a whole, in any order of its conditions.
fn expected(record: &JobRecord, conditions: &[(&str, Revision)]) -> String {
    let name = keys::job(JobKey(1));
    let txn =
        Txn::default()
            .expect(&name, Revision::default())
            .put(&name, &keys::encode(record), None);
    let txn = conditions
        .iter()
        .fold(txn, |txn, (key, revision)| txn.expect(*key, *revision));
    serde_json::to_string(&txn).unwrap()
}

/// Guards against a record with a token that the same transaction does not check.
#[test]
fn a_token_is_stored_only_with_the_condition_on_the_leader() {
    let sent = |record: &JobRecord, leader| {
        serde_json::to_string(&job_txn(JobKey(1), record, leader)).unwrap()
    };
    let plain = record();
    let named = JobRecord {
        term_token: Some(LEADER.0),
        ..record()
    };
    assert_eq!(sent(&plain, None), expected(&plain, &[]));
    let condition = [(keys::LEADER, LEADER)];
    assert_eq!(sent(&plain, Some(LEADER)), expected(&named, &condition));
    // A record of another host's message may have a token already.
    assert_eq!(sent(&named, None), expected(&plain, &[]));
    let newer = Revision(LEADER.0 + 9);
    let renamed = JobRecord {
        term_token: Some(newer.0),
        ..record()
    };
    let condition = [(keys::LEADER, newer)];
    assert_eq!(sent(&named, Some(newer)), expected(&renamed, &condition));
}

/// Guards against a message with a token that no transaction of this host has proved.
#[test]
fn only_an_answered_write_with_the_condition_gives_a_token() {
    let store = ([127, 0, 0, 1], 1).into();
    let no_answer = || TxnError::Call(CallError::NoResponse(store, String::new()));
    let not_sent = || TxnError::Call(CallError::NotSent(store, String::new()));
    let assess = |result: Result<Revision, TxnError>, leader| assess_job_write(&result, leader);
    let known = |outcome, token| Some(WriteResult { outcome, token });
    let stored = Ok(Revision(70_500));
    assert_eq!(
        assess(stored.clone(), Some(LEADER)),
        known(WriteOutcome::Stored, Some(LEADER.0))
    );
    assert_eq!(assess(stored, None), known(WriteOutcome::Stored, None));
    // The job exists or the leader has changed: it is stored again without the condition.
    assert_eq!(assess(Err(TxnError::Conflict), Some(LEADER)), None);
    assert_eq!(
        assess(Err(TxnError::Conflict), None),
        known(WriteOutcome::Stored, None)
    );
    for leader in [None, Some(LEADER)] {
        assert_eq!(
            assess(Err(no_answer()), leader),
            known(WriteOutcome::Unclear, None)
        );
        for refusal in [TxnError::LeaseExpired, not_sent()] {
            assert_eq!(
                assess(Err(refusal), leader),
                known(WriteOutcome::Refused, None)
            );
        }
    }
}

/// Guards against a message that passes on a token of another host or of an earlier attempt.
#[test]
fn a_message_names_only_the_token_that_was_proved() {
    let named = JobRecord {
        term_token: Some(LEADER.0),
        ..record()
    };
    let unproved = WriteResult::from(WriteOutcome::Stored);
    assert_eq!(unproved.stored_record(named).term_token, None);
    let proved = WriteResult {
        token: Some(LEADER.0),
        ..unproved
    };
    assert_eq!(proved.stored_record(record()).term_token, Some(LEADER.0));
}
