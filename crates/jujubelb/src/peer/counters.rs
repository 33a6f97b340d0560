//! Counters of the traffic with peers.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use super::DropReason;

/// Traffic of this process with its peers since its start.
#[derive(Debug, Default)]
pub struct Counters {
    dropped: [AtomicU64; DropReason::ALL.len()],
    /// Heartbeats received and accepted.
    pub heartbeats: AtomicU64,
    /// Calls of peers that the handler answered.
    pub calls_answered: AtomicU64,
    /// Calls to peers with a known address, including those that failed before they were sent.
    pub calls_sent: AtomicU64,
    /// Calls to peers that returned a [`CallError`](super::CallError).
    pub call_failures: AtomicU64,
    /// Bytes sent in heartbeats, without IP and UDP headers.
    pub heartbeat_bytes: AtomicU64,
}

impl Counters {
    pub(crate) fn count_dropped(&self, reason: DropReason) {
        self.dropped[reason as usize].fetch_add(1, Relaxed);
    }

    /// Number of messages dropped for this reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize].load(Relaxed)
    }
}
