//! The key-value service's HTTP interface: bodies are JSON, values are
//! hexadecimal text.
//!
//! | call | request | answer |
//! |---|---|---|
//! | `GET /v1/kv/get?key=K` | | [`EntryResponse`] |
//! | `GET /v1/kv/list?prefix=P&after=A&limit=N` | | [`ListResponse`] |
//! | `POST /v1/kv/put` | [`PutRequest`] | [`PutResponse`] |
//! | `POST /v1/kv/delete` | [`DeleteRequest`] | [`EmptyResponse`] |
//! | `GET /v1/watch?key=K&after=V&wait_ms=N` | | [`EntryResponse`] |
//! | `POST /v1/leases/grant` | [`GrantRequest`] | [`GrantResponse`] |
//! | `POST /v1/leases/renew` | [`LeaseRequest`] | [`EmptyResponse`] |
//! | `POST /v1/leases/revoke` | [`LeaseRequest`] | [`EmptyResponse`] |
//!
//! Status 200 goes with the answers above. A call that certainly had no effect
//! has status 409 (condition), 410 (lease ended), 413 (value too large) or 503
//! (refused) and an [`ErrorResponse`]. With any other status the effect of a
//! write is not known.

use serde::{Deserialize, Serialize};

use super::{Entry, Expect, LeaseId, Version};

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEntry {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(with = "hex_text")]
    pub value: Vec<u8>,
    /// Version of the last write.
    pub version: Version,
}

impl From<Entry> for WireEntry {
    fn from(entry: Entry) -> Self {
        Self {
            key: entry.key,
            value: entry.value,
            version: entry.version,
        }
    }
}

impl From<WireEntry> for Entry {
    fn from(entry: WireEntry) -> Self {
        Self {
            key: entry.key,
            value: entry.value,
            version: entry.version,
        }
    }
}

/// Answer to a read or a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryResponse {
    /// The entry; absent if there is no such key, or if the watch ended without a change.
    pub entry: Option<WireEntry>,
}

/// Answer to a list call, in order of the keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListResponse {
    /// The entries: at most `limit`, and at most 4 MiB of values.
    pub entries: Vec<WireEntry>,
    /// Whether the size ended the list before `limit` and more keys follow.
    pub more: bool,
}

/// A write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(with = "hex_text")]
    pub value: Vec<u8>,
    /// Condition.
    pub expect: Expect,
    /// Lease to which the key is bound.
    pub lease: Option<LeaseId>,
}

/// Answer to a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutResponse {
    /// The key's new version.
    pub version: Version,
}

/// A deletion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRequest {
    /// The key.
    pub key: String,
    /// Condition.
    pub expect: Expect,
}

/// A request for a new lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Length in milliseconds.
    pub ttl_ms: u64,
}

/// Answer to a request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// The lease.
    pub lease: LeaseId,
}

/// A renewal or the end of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease.
    pub lease: LeaseId,
}

/// The call took effect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EmptyResponse {}

/// Why a call had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum ErrorResponse {
    /// Status 409: the condition did not hold.
    Conflict {
        /// Current version, absent if the key does not exist.
        current: Option<Version>,
    },
    /// Status 410: the lease has ended.
    LeaseEnded,
    /// Status 413: the value is too large.
    TooLarge {
        /// Size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// Status 503: the service takes no calls now, or not so many.
    Refused {
        /// Text for people.
        message: String,
    },
}

impl ErrorResponse {
    /// The HTTP status that goes with the error.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Conflict { .. } => 409,
            Self::LeaseEnded => 410,
            Self::TooLarge { .. } => 413,
            Self::Refused { .. } => 503,
        }
    }
}

/// Bytes as hexadecimal text.
mod hex_text {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    const DIGITS: &[u8; 16] = b"0123456789abcdef";

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        let text: String = bytes
            .iter()
            .flat_map(|b| [b >> 4, b & 15])
            .map(|digit| char::from(DIGITS[usize::from(digit)]))
            .collect();
        to.serialize_str(&text)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(from)?;
        let (pairs, rest) = text.as_bytes().as_chunks::<2>();
        if !rest.is_empty() {
            return Err(D::Error::custom("odd number of hexadecimal digits"));
        }
        pairs
            .iter()
            .map(|[high, low]| Some(digit(*high)? << 4 | digit(*low)?))
            .collect::<Option<_>>()
            .ok_or_else(|| D::Error::custom("not a hexadecimal digit"))
    }

    fn digit(text: u8) -> Option<u8> {
        char::from(text).to_digit(16).map(|d| d as u8)
    }
}
