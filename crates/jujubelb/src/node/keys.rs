//! Keys of the system in the platform's store, and the encoding of their values.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};

use crate::dispatch::{JobKey, JobRecord, LeaderTerm};
use crate::model::HostName;
use crate::platform::{Revision, Txn};

/// Prefix of the keys that every host watches.
pub(crate) const SYSTEM_PREFIX: &str = "jj/";

/// Key that names the leader. It is bound to the leader's lease.
pub(crate) const LEADER: &str = "jj/leader";

/// Key of the [`TermRecord`]: number of terms so far, and the last leader.
pub(crate) const TERM: &str = "term";

/// Key of the roster: workers on which tasks may have been started.
pub(crate) const ROSTER: &str = "roster";

/// Key of the interference model that leaders have learned.
pub(crate) const MODEL: &str = "model";

/// Key of the [`Resignation`] of the last leader that resigned.
pub(crate) const RESIGNED: &str = "resigned";

/// Key of the [`Succession`](crate::dispatch::Succession): earlier leaders that are not known
/// to have stopped. That the last one stopped is no evidence for those before it.
pub(crate) const SUCCESSION: &str = "succession";

/// Key of the [`VoterRecord`](crate::dispatch::VoterRecord): hosts that may confirm the newest
/// term, and earlier ones, while the store does not answer their leaders.
pub(crate) const VOTERS: &str = "voters";

/// Prefix of what hosts write for the leader: jobs and cancellations.
pub(crate) const INTAKE_PREFIX: &str = "in/";

/// Key of the [`ChainMark`], which each election and each write of a leader changes. A leader's write also
/// expects the key at its last known revision, so that an unanswered write that
/// reaches the store late has no effect.
pub(crate) const COMMIT_CHAIN: &str = "chain";

/// Prefix of the keys of accepted jobs.
pub(crate) const JOB_PREFIX: &str = "in/job/";

/// Value of a job's key if the job was cancelled when the store did not have it. While the key
/// exists, no write of the job takes effect, however late it reaches the store. Never the
/// encoding of a job: older versions log it as one that can't be decoded, and ignore it.
const TOMBSTONE: &[u8] = b"cancelled";

/// Prefix of the keys of cancellations.
pub(crate) const CANCEL_PREFIX: &str = "in/cancel/";

/// Prefix of the keys of jobs' progress.
pub(crate) const STATE_PREFIX: &str = "state/";

pub(crate) fn job(key: JobKey) -> String {
    format!("{JOB_PREFIX}{key}")
}

pub(crate) fn cancel(key: JobKey) -> String {
    format!("{CANCEL_PREFIX}{key}")
}

pub(crate) fn state(key: JobKey) -> String {
    format!("{STATE_PREFIX}{key}")
}

/// The transaction that keeps a job from being stored from now on, unless it is stored already.
pub(crate) fn tombstone_txn(key: JobKey) -> Txn {
    let name = job(key);
    Txn::default()
        .expect(&name, Revision::default())
        .put(&name, TOMBSTONE, None)
}

/// What the value of a job's key says.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StoredJob {
    /// The job was accepted. `None` if its record can't be decoded.
    Accepted(Option<Box<JobRecord>>),
    /// The job was cancelled before it was stored, and never runs.
    Withdrawn,
}

impl StoredJob {
    /// Decodes the value of a job's key.
    pub(crate) fn decode(name: &str, value: &[u8]) -> Self {
        match value == TOMBSTONE {
            true => Self::Withdrawn,
            false => Self::Accepted(decode(name, value).map(Box::new)),
        }
    }
}

/// Parses the job out of a key with this prefix.
pub(crate) fn parse_job(key: &str, prefix: &str) -> Option<JobKey> {
    JobKey::parse(key.strip_prefix(prefix)?)
}

/// Value of the [`LEADER`] key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Leader {
    /// Name of the leading host.
    pub(crate) host: HostName,
    /// Address on which the leader takes calls of other hosts.
    pub(crate) peer_address: SocketAddr,
    /// Random number drawn for each election attempt, so that an attempt whose
    /// response was lost can be recognised in the store.
    pub(crate) nonce: u64,
}

impl Leader {
    pub(crate) fn term(&self) -> LeaderTerm {
        LeaderTerm {
            nonce: self.nonce,
            address: self.peer_address,
        }
    }
}

/// Value of the [`TERM`] key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TermRecord {
    /// Number of terms so far, this one included.
    pub(crate) count: u64,
    /// Leader of the latest term.
    pub(crate) leader: Leader,
}

/// Value of the [`COMMIT_CHAIN`] key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChainMark {
    /// Nonce of the term that has written last.
    pub(crate) nonce: u64,
    /// Last known number of workers; 0 if it is not known. Older versions don't write it.
    #[serde(default, deserialize_with = "or_default")]
    pub(crate) workers: u32,
}

/// Value of the [`RESIGNED`] key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Resignation {
    /// Nonce of the term that is over.
    pub(crate) nonce: u64,
    /// Whether the leader has made room for a stronger host. Older versions don't write it.
    #[serde(default, deserialize_with = "or_default")]
    pub(crate) handed_over: bool,
}

/// Deserializes a field that was appended to a type. The default stands for it if the bytes
/// end early, since older versions don't write the field.
pub(crate) fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    match postcard::to_allocvec(value) {
        Ok(bytes) => bytes,
        Err(error) => {
            // postcard can't fail for the types that are stored.
            log::error!(error:% = error; "value can't be encoded for the store");
            Vec::new()
        }
    }
}

/// Decodes the value of a key. Logs an error and returns `None` if that fails.
pub(crate) fn decode<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Option<T> {
    match postcard::from_bytes(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!(key = key, error:% = error; "value in the store can't be decoded; ignored");
            None
        }
    }
}
