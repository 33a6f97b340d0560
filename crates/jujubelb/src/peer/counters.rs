//! Counts of what came in from peers and of what was dropped.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use super::Dropped;

/// Counters of one process's traffic with its peers.
#[derive(Debug, Default)]
pub struct Counters {
    dropped: [AtomicU64; Dropped::ALL.len()],
    /// Heartbeats taken in.
    pub beats: AtomicU64,
    /// Calls answered.
    pub answered: AtomicU64,
    /// Calls made to peers.
    pub calls: AtomicU64,
    /// Calls to peers that failed.
    pub failures: AtomicU64,
    /// Bytes sent in heartbeats, without the network's headers.
    pub bytes: AtomicU64,
}

impl Counters {
    pub(crate) fn count(&self, reason: Dropped) {
        self.dropped[reason as usize].fetch_add(1, Relaxed);
    }

    /// Messages dropped for this reason.
    pub fn dropped(&self, reason: Dropped) -> u64 {
        self.dropped[reason as usize].load(Relaxed)
    }
}
