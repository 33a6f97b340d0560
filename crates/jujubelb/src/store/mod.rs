//! Interface to the platform's key-value service, and its HTTP adapter.

pub mod api;
mod http;
mod rate_limit;
#[cfg(test)]
mod tests;

pub use http::HttpStore;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::model::Span;

/// Version of a value; increases with each write to any key.
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

/// Identifier of a lease in the store. Keys bound to a lease are removed when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A key with its value and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Full key.
    pub key: String,
    /// Value of at most [`MAX_VALUE_BYTES`] bytes.
    pub value: Vec<u8>,
    /// Version of the last write.
    pub version: Version,
}

/// Precondition of a write or deletion.
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

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The condition did not hold; nothing was written.
    #[error("the key has changed (current version: {current:?}); read it again before retrying")]
    Conflict {
        /// Current version, or `None` if the key does not exist.
        current: Option<Version>,
    },
    /// The store or the adapter rejected the call; it had no effect.
    #[error("the store refused the call: {0}; retry later")]
    Refused(String),
    /// No valid reply arrived; a write may have taken effect.
    #[error("no reply from the store: {0}; read the key before repeating a write")]
    Unknown(String),
    /// The value exceeds the maximum size; nothing was written.
    #[error("the value has {size} bytes, more than the store's maximum of {limit}; split it")]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The lease has ended; nothing was written.
    #[error("the store lease has ended; request a new one")]
    LeaseEnded,
    /// The reply to a read could not be decoded.
    #[error("the store's reply is malformed: {0}")]
    Malformed(String),
}

/// Maximum size of a value in the store.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The platform's key-value service.
///
/// Calls block until the reply arrives or the adapter's timeout expires.
pub trait Store: Send + Sync {
    /// Reads a key; `None` if it does not exist.
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Reads up to `limit` keys that start with `prefix` and sort after `after`, in order.
    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, StoreError>;

    /// Writes a key if the precondition holds, bound to `lease` if one is given. Returns
    /// the new version.
    fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Version, StoreError>;

    /// Deletes a key if the precondition holds. Deleting a missing key succeeds.
    fn delete(&self, key: &str, expect: Expect) -> Result<(), StoreError>;

    /// Waits until the key has a version above `after`; `None` if it has none within `wait`.
    fn watch(&self, key: &str, after: Version, wait: Span) -> Result<Option<Entry>, StoreError>;

    /// Creates a lease that ends `ttl` after its last renewal.
    fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError>;

    /// Renews a lease for its full duration.
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
