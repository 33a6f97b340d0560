//! The platform's key-value service, met through one small trait.

pub mod api;
mod http;
mod pace;
#[cfg(test)]
mod tests;

pub use http::HttpStore;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::model::Span;

/// Version of a value; grows with each write to any key.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// A lease of the store. Keys written under it are removed when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; at most 1 MB.
    pub value: Vec<u8>,
    /// The version of the last write.
    pub version: Version,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// The key must have this version.
    Version(Version),
    /// No condition.
    Any,
}

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The condition did not hold; nothing was written.
    #[error("the key has changed (current version: {current:?}); read it and try again")]
    Conflict {
        /// Current version, or `None` if the key does not exist.
        current: Option<Version>,
    },
    /// The call certainly had no effect.
    #[error("the store refused the call: {0}; retry later")]
    Refused(String),
    /// No answer came; a write may have taken effect.
    #[error("no answer from the store: {0}; read the key back before repeating a write")]
    Unknown(String),
    /// The value is larger than the store takes.
    #[error("the value has {size} bytes and the store takes {limit}; split it")]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The lease has ended.
    #[error("the store lease has ended; ask for a new one")]
    LeaseEnded,
    /// The answer could not be understood.
    #[error("the store's answer is malformed: {0}")]
    Malformed(String),
}

/// The largest value that the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The platform's key-value service.
///
/// Calls block until the answer or the adapter's timeout.
pub trait Store: Send + Sync {
    /// Reads a key.
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Reads up to `limit` keys with this prefix that sort after `after`.
    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, StoreError>;

    /// Writes a key if the condition holds, bound to a lease if one is given.
    fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Version, StoreError>;

    /// Deletes a key if the condition holds. Deleting a missing key succeeds.
    fn delete(&self, key: &str, expect: Expect) -> Result<(), StoreError>;

    /// Waits until the key has a version above `after`; `None` after `wait`.
    fn watch(&self, key: &str, after: Version, wait: Span) -> Result<Option<Entry>, StoreError>;

    /// Makes a lease.
    fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError>;

    /// Renews a lease for its whole length.
    fn renew(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;
}

impl<S: Store + ?Sized> Store for std::sync::Arc<S> {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        (**self).get(key)
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, StoreError> {
        (**self).list(prefix, after, limit)
    }

    fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Version, StoreError> {
        (**self).put(key, value, expect, lease)
    }

    fn delete(&self, key: &str, expect: Expect) -> Result<(), StoreError> {
        (**self).delete(key, expect)
    }

    fn watch(&self, key: &str, after: Version, wait: Span) -> Result<Option<Entry>, StoreError> {
        (**self).watch(key, after, wait)
    }

    fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError> {
        (**self).grant(ttl)
    }

    fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        (**self).renew(lease)
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        (**self).revoke(lease)
    }
}
