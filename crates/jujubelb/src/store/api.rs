//! The key-value service's HTTP interface: bodies are JSON, values are
//! hexadecimal text.
//!
//! | call | request | response |
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
//! The responses above have status 200. A call that had no effect has status 409
//! (condition not met), 410 (lease ended), 413 (value too large) or 503 (refused) and
//! an [`ErrorResponse`]. With any other status the effect of a write is unknown.

use serde::{Deserialize, Serialize};

use super::{Entry, Expect, LeaseId, Version};

/// JSON form of an [`Entry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEntry {
    /// Full key.
    pub key: String,
    /// Value, in JSON as hexadecimal text.
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

/// Response to a read or a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryResponse {
    /// The entry; absent if the key does not exist, or if the watch ended without a change.
    pub entry: Option<WireEntry>,
}

/// Response to a list call, in order of the keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListResponse {
    /// The entries: at most `limit`, with at most 4 MiB of values.
    pub entries: Vec<WireEntry>,
    /// Whether the list was truncated by size before `limit` and more keys follow.
    pub more: bool,
}

/// Request to write a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Full key.
    pub key: String,
    /// Value, in JSON as hexadecimal text.
    #[serde(with = "hex_text")]
    pub value: Vec<u8>,
    /// Precondition.
    pub expect: Expect,
    /// Lease to bind the key to, if any.
    pub lease: Option<LeaseId>,
}

/// Response to a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutResponse {
    /// New version of the key.
    pub version: Version,
}

/// Request to delete a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRequest {
    /// Full key.
    pub key: String,
    /// Precondition.
    pub expect: Expect,
}

/// Request for a new lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Duration of the lease in milliseconds.
    pub ttl_ms: u64,
}

/// Response to a request for a new lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// Identifier of the new lease.
    pub lease: LeaseId,
}

/// Request to renew or end a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Lease to renew or end.
    pub lease: LeaseId,
}

/// Response without content to a call that took effect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EmptyResponse {}

/// Reason why a call had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum ErrorResponse {
    /// Status 409: the precondition did not hold.
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
    /// Status 503: the service is unavailable or limits the rate of calls.
    Refused {
        /// Reason, for operators.
        message: String,
    },
}

impl ErrorResponse {
    /// The HTTP status of the response.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Conflict { .. } => 409,
            Self::LeaseEnded => 410,
            Self::TooLarge { .. } => 413,
            Self::Refused { .. } => 503,
        }
    }
}

/// Serializes bytes as hexadecimal text.
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
