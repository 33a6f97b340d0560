//! Which transaction stores a job, and what its result proves.

use base64::prelude::{BASE64_STANDARD, Engine};
use indexmap::IndexMap;

use super::super::callers::WriteOutcome;
use super::super::job_write::{
    WriteResult, assess_cancellation, assess_existing_job, assess_job_write, cancellation_txn,
    job_txn, stored_job,
};
use super::super::keys::{self, StoredJob};
use crate::dispatch::{JobKey, JobRecord, JobSpec, QueueSettings};
use crate::model::{ServiceName, Span, WallTime};
use crate::platform::{CallError, KeyState, Revision, Txn, TxnError};

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
        customer: None,
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

/// A key of the store with this value.
fn item(value: &[u8]) -> KeyState {
    KeyState {
        key: keys::job(JobKey(1)),
        value: Some(value.to_vec()),
        revision: Revision(70_100),
    }
}

/// The store, as far as transactions without leases and deletions go.
#[derive(Default)]
struct FakeStore {
    revision: u64,
    items: IndexMap<String, KeyState>,
}

impl FakeStore {
    fn execute(&mut self, txn: &Txn) -> Result<Revision, TxnError> {
        let txn = serde_json::to_value(txn).unwrap();
        let rows = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
        for row in rows("expected") {
            let key = row["key"].as_str().unwrap();
            let known = self.items.get(key).map_or(0, |item| item.revision.0);
            if row["revision"].as_u64() != Some(known) {
                return Err(TxnError::Conflict);
            }
        }
        self.revision += 1;
        for row in rows("puts") {
            let key = row["key"].as_str().unwrap().to_owned();
            let value = BASE64_STANDARD.decode(row["value"].as_str().unwrap());
            let item = KeyState {
                key: key.clone(),
                value: value.ok(),
                revision: Revision(self.revision),
            };
            self.items.insert(key, item);
        }
        Ok(Revision(self.revision))
    }

    fn job(&self) -> Option<StoredJob> {
        stored_job(JobKey(1), self.items.get(&keys::job(JobKey(1))))
    }

    /// Cancels the job as a host does. `read` is what the host has read before.
    fn cancel(&mut self, read: Option<&StoredJob>) -> Option<WriteOutcome> {
        let Some(txn) = cancellation_txn(JobKey(1), read) else {
            return Some(WriteOutcome::Withdrawn);
        };
        let result = self.execute(&txn);
        assess_cancellation(read, &result)
    }
}

/// Guards against a cancelled job that runs for good: the write of a submission that got no
/// answer reaches the store after the caller was told that there is no such job.
#[test]
fn a_late_write_stores_no_job_after_its_cancellation() {
    for leader in [None, Some(Revision(1))] {
        let mut store = FakeStore::default();
        store
            .execute(&Txn::default().put(keys::LEADER, b"", None))
            .unwrap();
        let late = job_txn(JobKey(1), &record(), leader);
        let read = store.job();
        assert_eq!(store.cancel(read.as_ref()), Some(WriteOutcome::Missing));
        let result = store.execute(&late);
        assert!(matches!(result, Err(TxnError::Conflict)), "{result:?}");
        assert_eq!(store.job(), Some(StoredJob::Withdrawn));
        // The submission is sent again, and so is the cancellation.
        let existing = store.items.get(&keys::job(JobKey(1))).cloned();
        assert_eq!(
            assess_existing_job(JobKey(1), &Ok(existing)),
            WriteOutcome::Withdrawn
        );
        let read = store.job();
        assert_eq!(store.cancel(read.as_ref()), Some(WriteOutcome::Withdrawn));
    }
}

/// Guards against the answer that there is no such job if the late write comes between the read
/// and the write of the cancellation.
#[test]
fn a_job_that_is_stored_during_its_cancellation_is_cancelled() {
    let mut store = FakeStore::default();
    let read = store.job();
    store.execute(&job_txn(JobKey(1), &record(), None)).unwrap();
    assert_eq!(store.cancel(read.as_ref()), None);
    let read = store.job();
    assert_eq!(store.cancel(read.as_ref()), Some(WriteOutcome::Stored));
    assert!(store.items.contains_key(&keys::cancel(JobKey(1))));
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
    for leader in [None, Some(LEADER)] {
        // The key exists or the leader has changed: the key tells.
        assert_eq!(assess(Err(TxnError::Conflict), leader), None);
    }
    let existing = |value: &[u8]| assess_existing_job(JobKey(1), &Ok(Some(item(value))));
    assert_eq!(existing(&keys::encode(&record())), WriteOutcome::Stored);
    let unread = Err(CallError::NoResponse(store, String::new()));
    assert_eq!(
        assess_existing_job(JobKey(1), &unread),
        WriteOutcome::Unclear
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
