//! The durable log of a shard: fenced appends of segments, snapshots and replay.

mod codec;
mod log;
mod open;
mod segment;
mod snapshot;

pub use log::{
    Journal, JournalError, RecoveredLog, SEGMENT_RETENTION, SEGMENTS_PER_SNAPSHOT,
    SNAPSHOT_CHECK_AFTER,
};
pub use segment::{AttemptOutcome, Change, Segment, WriterId};

/// Decodes the value of a segment's key. The error says why the value is invalid.
pub fn decode_segment(value: &[u8]) -> Result<Segment, String> {
    codec::decode(value)
}

/// Number of bytes that a value takes in a segment.
pub(crate) fn encoded_len<T: serde::Serialize>(value: &T) -> usize {
    // Encoding plain data into a growing buffer can't fail.
    postcard::to_allocvec(value).map_or(0, |bytes| bytes.len())
}
