//! Counts of what came in from peers and of what was dropped.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use super::DropReason;

/// Counters of one process's traffic with its peers.
#[derive(Debug, Default)]
pub struct Counters {
    dropped: [AtomicU64; DropReason::ALL.len()],
    /// Heartbeats taken in.
    pub heartbeats: AtomicU64,
    /// Calls answered.
    pub calls_answered: AtomicU64,
    /// Calls made to peers.
    pub calls_sent: AtomicU64,
    /// Calls to peers that failed.
    pub call_failures: AtomicU64,
    /// Bytes sent in heartbeats, without the network's headers.
    pub heartbeat_bytes: AtomicU64,
}

impl Counters {
    pub(crate) fn count_dropped(&self, reason: DropReason) {
        self.dropped[reason as usize].fetch_add(1, Relaxed);
    }

    /// Messages dropped for this reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize].load(Relaxed)
    }
}
