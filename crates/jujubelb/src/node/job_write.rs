//! The transaction that stores a job, and what its result says about the job.
//!
//! A host that knows a leader stores a job under the condition that the leader key is at the
//! revision that it knows, which is the fencing token of the leader's term. The leader then
//! starts the job without a call to the store: every later leader reads the job when its term
//! begins.

use super::callers::WriteOutcome;
use super::keys;
use crate::dispatch::{JobKey, JobRecord};
use crate::platform::{Revision, Txn, TxnError};

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

/// What the result of [`job_txn`] with the same `leader` says about the job. `None` if the job
/// exists or the leader has changed, so that the job has to be stored without the condition.
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
        Err(TxnError::Conflict) if leader.is_some() => return None,
        Err(TxnError::Conflict) => WriteOutcome::Stored,
        Err(TxnError::LeaseExpired) => WriteOutcome::Refused,
        Err(TxnError::Call(error)) if error.had_no_effect() => WriteOutcome::Refused,
        Err(TxnError::Call(_)) => WriteOutcome::Unclear,
    };
    Some(outcome.into())
}
