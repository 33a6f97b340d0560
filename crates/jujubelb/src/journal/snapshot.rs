//! Snapshots: the head, the body and its parts, and the keys of the log.

use serde::{Deserialize, Serialize};

use super::codec;
use crate::model::{Epoch, ShardName};
use crate::shard::State;
use crate::store::MAX_VALUE_BYTES;

/// Bytes of a value that are left for the fields of the snapshot's head besides the body.
const HEAD_RESERVED_BYTES: usize = 4 << 10;

/// Value of the key `shard/<id>/snap`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    /// Index of the first segment that the snapshot does not cover.
    pub next_index: u64,
    /// Epoch of the owner that wrote the snapshot.
    pub epoch: Epoch,
    /// Number of parts, each stored under its own key; 0 if the body is in the head.
    pub parts: u32,
    /// Encoded body if it fits into the head, else empty.
    pub body: Vec<u8>,
}

/// Content of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Body {
    pub state: State,
    /// Estimates of the placement policy, in its own encoding.
    pub policy: Vec<u8>,
}

/// Encodes a snapshot as a head and, if the body doesn't fit into it, the parts of the
/// body. Drops the oldest decision records before it divides the body.
pub(super) fn encode(
    epoch: Epoch,
    state: &State,
    policy: &[u8],
) -> Result<(Head, Vec<Vec<u8>>), String> {
    let limit = MAX_VALUE_BYTES - HEAD_RESERVED_BYTES;
    let mut body = Body {
        state: state.clone(),
        policy: policy.to_vec(),
    };
    let mut bytes = codec::encode(&body)?;
    while bytes.len() > limit && !body.state.records.is_empty() {
        let half = body.state.records.len().div_ceil(2);
        body.state.records.drain(..half);
        bytes = codec::encode(&body)?;
    }
    let mut head = Head {
        next_index: state.next_segment,
        epoch,
        parts: 0,
        body: Vec::new(),
    };
    if bytes.len() <= limit {
        head.body = bytes;
        return Ok((head, Vec::new()));
    }
    let parts: Vec<_> = bytes.chunks(limit).map(<[u8]>::to_vec).collect();
    head.parts = u32::try_from(parts.len()).map_err(|e| e.to_string())?;
    Ok((head, parts))
}

/// Key of the snapshot's head.
pub(super) fn head_key(shard: &ShardName) -> String {
    format!("shard/{shard}/snap")
}

/// Prefix of the keys of snapshot parts.
pub(super) fn part_prefix(shard: &ShardName) -> String {
    format!("shard/{shard}/part/")
}

/// Key of one part of a snapshot. The key has the epoch so that a replaced owner can't
/// overwrite the parts of its successor.
pub(super) fn part_key(shard: &ShardName, head: &Head, part: u32) -> String {
    let (next, epoch) = (head.next_index, head.epoch);
    format!("shard/{shard}/part/{next:020}-{epoch}-{part:04}")
}

/// Prefix of the keys of segments.
pub(super) fn segment_prefix(shard: &ShardName) -> String {
    format!("shard/{shard}/seg/")
}

/// Key of a segment. The index is padded so that keys sort by it.
pub(super) fn segment_key(shard: &ShardName, index: u64) -> String {
    format!("shard/{shard}/seg/{index:020}")
}

/// Parses the index out of the key of a segment or part with this prefix.
pub(super) fn parse_index(key: &str, prefix: &str) -> Option<u64> {
    let rest = key.strip_prefix(prefix)?;
    rest.get(..20)?.parse().ok()
}
