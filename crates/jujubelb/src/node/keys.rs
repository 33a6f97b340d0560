//! Keys of the system in the store, and their values.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::dispatch::JobKey;
use crate::model::HostName;

/// Prefix of the keys that tell the hosts of each other.
pub(crate) const SYSTEM: &str = "jj/";

/// The leader's key, bound to its lease.
pub(crate) const LEADER: &str = "jj/leader";

/// Number of terms so far, and the last leader.
pub(crate) const TERM: &str = "term";

/// Workers on which tasks may have been started.
pub(crate) const ROSTER: &str = "roster";

/// What leaders have learned of the interference between tasks.
pub(crate) const MODEL: &str = "model";

/// The last leader that has resigned, by its nonce.
pub(crate) const RESIGNED: &str = "resigned";

/// Prefix of what entries write for the leader: jobs and cancellations.
pub(crate) const INTAKE: &str = "in/";

/// Changed by each write of a leader and by each new one. A write that was not
/// answered and is made late finds it changed and has no effect.
pub(crate) const CHAIN: &str = "chain";

/// Prefix of accepted jobs.
pub(crate) const JOBS: &str = "in/job/";

/// Prefix of cancellations.
pub(crate) const CANCELS: &str = "in/cancel/";

/// Prefix of the states of jobs.
pub(crate) const STATES: &str = "state/";

pub(crate) fn job(key: JobKey) -> String {
    format!("{JOBS}{key}")
}

pub(crate) fn cancel(key: JobKey) -> String {
    format!("{CANCELS}{key}")
}

pub(crate) fn state(key: JobKey) -> String {
    format!("{STATES}{key}")
}

/// The job that a key with this prefix belongs to.
pub(crate) fn job_of(key: &str, prefix: &str) -> Option<JobKey> {
    JobKey::parse(key.strip_prefix(prefix)?)
}

/// Value of the leader's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Leader {
    /// The leading host.
    pub(crate) host: HostName,
    /// Where it takes calls of other hosts.
    pub(crate) peers: SocketAddr,
    /// Drawn for each try, so that a try without an answer can be recognised.
    pub(crate) nonce: u64,
}

/// Value of the term's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TermRecord {
    /// Terms so far.
    pub(crate) count: u64,
    /// Who led the last one.
    pub(crate) leader: Leader,
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    match postcard::to_allocvec(value) {
        Ok(bytes) => bytes,
        Err(error) => {
            // The types that are stored have no case that fails.
            log::error!(error:% = error; "value can't be encoded");
            Vec::new()
        }
    }
}

/// Decodes a value; one that can't be read is reported and left out.
pub(crate) fn decode<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Option<T> {
    match postcard::from_bytes(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!(key = key, error:% = error; "value of the store can't be decoded; left out");
            None
        }
    }
}
