//! The snapshot value and its parts.

use serde::{Deserialize, Serialize};

use super::codec;
use crate::model::{Epoch, ShardName};
use crate::shard::State;
use crate::store::MAX_VALUE_BYTES;

/// Room left in a value for the head of the snapshot.
const HEAD_ROOM: usize = 4 << 10;

/// The value of `shard/<id>/snap`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    /// Index of the first segment that the snapshot does not cover.
    pub next: u64,
    /// Epoch of the writer.
    pub epoch: Epoch,
    /// Number of parts in keys of their own; 0 if the body is in the head.
    pub parts: u32,
    /// The encoded body, if it fits.
    pub body: Vec<u8>,
}

/// What a snapshot holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Body {
    pub state: State,
    pub policy: Vec<u8>,
}

/// Encodes a snapshot as a head and the parts that do not fit into it. The
/// oldest records are left out before the body is divided.
pub(super) fn encode(
    epoch: Epoch,
    state: &State,
    policy: &[u8],
) -> Result<(Head, Vec<Vec<u8>>), String> {
    let limit = MAX_VALUE_BYTES - HEAD_ROOM;
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
        next: state.next_segment,
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

/// Key of the snapshot.
pub(super) fn key(shard: &ShardName) -> String {
    format!("shard/{shard}/snap")
}

/// Prefix of the keys of parts.
pub(super) fn part_prefix(shard: &ShardName) -> String {
    format!("shard/{shard}/part/")
}

/// Key of one part. The epoch keeps a replaced writer from touching the parts of its successor.
pub(super) fn part_key(shard: &ShardName, head: &Head, part: u32) -> String {
    let (next, epoch) = (head.next, head.epoch);
    format!("shard/{shard}/part/{next:020}-{epoch}-{part:04}")
}

/// Prefix of the keys of segments.
pub(super) fn segment_prefix(shard: &ShardName) -> String {
    format!("shard/{shard}/seg/")
}

/// Key of a segment. The number is padded so that keys sort by index.
pub(super) fn segment_key(shard: &ShardName, index: u64) -> String {
    format!("shard/{shard}/seg/{index:020}")
}

/// The index in the key of a segment or part.
pub(super) fn index_in(key: &str, prefix: &str) -> Option<u64> {
    let rest = key.strip_prefix(prefix)?;
    rest.get(..20)?.parse().ok()
}
