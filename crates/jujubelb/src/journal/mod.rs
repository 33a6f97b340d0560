//! The durable log of a shard: segments, snapshots, fenced appends and replay.

mod segment;

pub use segment::{Change, EndedBy, Segment, Writer};
