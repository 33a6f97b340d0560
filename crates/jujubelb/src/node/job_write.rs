//! The transactions that store and cancel a job, and what their results say about the job.
//!
//! A host that knows a leader stores a job under the condition that the leader key is at the
//! revision that it knows, which is the fencing token of the leader's term. The leader then
//! starts the job without a call to the store: every later leader reads the job when its term
//! begins.

use super::callers::WriteOutcome;
use super::keys::{self, StoredJob};
use crate::dispatch::{JobKey, JobRecord};
use crate::platform::{CallError, KeyState, Revision, Txn, TxnError};

/// What a host knows of a write that a caller has requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WriteResult {
    pub(crate) outcome: WriteOutcome,
    /// Token of the term under which the job was stored. Only set if the store has answered
    /// that it made this host's own transaction with the condition on the leader: the record
    /// of a job that is there already may name another term or none.
    pub(crate) token: Option<u64>,
}

impl From<WriteOutcome> for WriteResult {
    fn from(outcome: WriteOutcome) -> Self {
        let token = None;
        Self { outcome, token }
    }
}

impl WriteResult {
    /// The record to tell the leader of, with the token that this result proves.
    pub(crate) fn stored_record(self, record: JobRecord) -> JobRecord {
        JobRecord {
            term_token: self.token,
            ..record
        }
    }
}

/// The transaction that stores a job unless it exists. With the revision of the leader key it
/// also expects the key to be unchanged, and the record names the term. A token that `record`
/// has is not stored, since another transaction may have proved it.
pub(crate) fn job_txn(key: JobKey, record: &JobRecord, leader: Option<Revision>) -> Txn {
    let name = keys::job(key);
    let record = JobRecord {
        term_token: leader.map(|r| r.0),
        ..record.clone()
    };
    let txn =
        Txn::default()
            .expect(&name, Revision::default())
            .put(&name, &keys::encode(&record), None);
    match leader {
        Some(revision) => txn.expect(keys::LEADER, revision),
        None => txn,
    }
}

/// What the result of [`job_txn`] with the same `leader` says about the job. `None` if a
/// condition has failed: the key of the job exists, or the leader has changed.
pub(crate) fn assess_job_write(
    result: &Result<Revision, TxnError>,
    leader: Option<Revision>,
) -> Option<WriteResult> {
    let outcome = match result {
        Ok(_) => {
            return Some(WriteResult {
                outcome: WriteOutcome::Stored,
                token: leader.map(|r| r.0),
            });
        }
        Err(TxnError::Conflict) => return None,
        Err(TxnError::LeaseExpired) => WriteOutcome::Refused,
        Err(TxnError::Call(error)) if error.had_no_effect() => WriteOutcome::Refused,
        Err(TxnError::Call(_)) => WriteOutcome::Unclear,
    };
    Some(outcome.into())
}

/// What the key of a job says about a submission that found it existing.
pub(crate) fn assess_existing_job(
    key: JobKey,
    read: &Result<Option<KeyState>, CallError>,
) -> WriteOutcome {
    match read.as_ref().map(|item| stored_job(key, item.as_ref())) {
        Ok(Some(StoredJob::Withdrawn)) => WriteOutcome::Withdrawn,
        // A key that is gone since belonged to a job that ended long ago.
        Ok(Some(StoredJob::Accepted(_)) | None) => WriteOutcome::Stored,
        Err(_) => WriteOutcome::Unclear,
    }
}

/// What a submission that is to be refused for load is answered, by the key of the job; `None` if
/// the key could not be read. A job that is stored already is accepted, whatever the load.
pub(crate) fn assess_load_refusal(
    key: JobKey,
    read: &Result<Option<KeyState>, CallError>,
) -> Option<WriteOutcome> {
    let item = read.as_ref().ok()?;
    Some(match stored_job(key, item.as_ref()) {
        None => WriteOutcome::Refused,
        Some(StoredJob::Accepted(_)) => WriteOutcome::Stored,
        Some(StoredJob::Withdrawn) => WriteOutcome::Withdrawn,
    })
}

/// The content of a job's key; `None` if the key does not exist.
pub(crate) fn stored_job(key: JobKey, item: Option<&KeyState>) -> Option<StoredJob> {
    let value = item?.value.as_deref()?;
    Some(StoredJob::decode(&keys::job(key), value))
}

/// What to write to cancel a job, by the content of its key; `None` if it is withdrawn already.
///
/// A job that the store does not have may still be stored by a write that is on its way, also
/// one of another host that has given up on it. So the answer that there is no such job needs
/// a write that rules this out.
pub(crate) fn cancellation_txn(key: JobKey, stored: Option<&StoredJob>) -> Option<Txn> {
    match stored {
        None => Some(keys::tombstone_txn(key)),
        Some(StoredJob::Accepted(_)) => Some(Txn::default().put(keys::cancel(key), &[], None)),
        Some(StoredJob::Withdrawn) => None,
    }
}

/// What the result of [`cancellation_txn`] says. `None` if the job was stored in the meantime.
pub(crate) fn assess_cancellation(
    stored: Option<&StoredJob>,
    result: &Result<Revision, TxnError>,
) -> Option<WriteOutcome> {
    Some(match (result, stored) {
        (Ok(_), None) => WriteOutcome::Missing,
        (Ok(_), Some(_)) => WriteOutcome::Stored,
        (Err(TxnError::Conflict), _) => return None,
        (Err(TxnError::Call(error)), _) if !error.had_no_effect() => WriteOutcome::Unclear,
        (Err(_), _) => WriteOutcome::Refused,
    })
}
