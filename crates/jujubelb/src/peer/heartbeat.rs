//! Schedules heartbeats and packs their content into datagrams.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::{EndpointLoad, Heartbeat};
use crate::model::{EndpointName, ServiceName, Span, Time};

/// Largest datagram; it passes common networks unfragmented.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Headers that IPv4 and UDP add to a datagram. They count against the byte budget.
const IP_UDP_HEADER_BYTES: usize = 28;

/// Budget for sent heartbeats: a third of the 9 KB/s that a host has for control traffic.
const HEARTBEAT_BYTES_PER_S: u64 = 3_000;

/// Shortest interval between heartbeats to a peer.
const MIN_INTERVAL: Span = Span::from_millis(500);

/// Interval that the size limit of datagrams is computed for, within
/// [`MIN_DATAGRAM_BYTES`] and [`MAX_DATAGRAM_BYTES`].
const TARGET_INTERVAL: Span = Span::from_millis(1_000);

/// Smallest datagram limit; the sender's names and one shard fit into it.
const MIN_DATAGRAM_BYTES: usize = 320;

/// Space reserved for the keyed hash (32 bytes) and the message header, which is
/// shorter than 96 bytes with names of ordinary length.
const RESERVED_HEADER_BYTES: usize = 32 + 96;

/// Peers that receive heartbeats at the same interval.
#[derive(Debug, Default)]
struct PeerGroup {
    peers: Vec<SocketAddr>,
    due: Time,
}

impl PeerGroup {
    /// Size limit of one datagram, in bytes.
    fn size(&self) -> usize {
        let share = HEARTBEAT_BYTES_PER_S / 2 * TARGET_INTERVAL.as_micros() / 1_000_000;
        let free_bytes = share as usize / self.peers.len().max(1);
        free_bytes
            .saturating_sub(IP_UDP_HEADER_BYTES)
            .clamp(MIN_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES)
    }

    /// Interval at which datagrams of the full size use at most half of the byte budget.
    fn interval(&self) -> Span {
        let bytes = ((self.size() + IP_UDP_HEADER_BYTES) * self.peers.len()) as u64;
        MIN_INTERVAL.max(Span::from_micros(
            bytes * 1_000_000 / (HEARTBEAT_BYTES_PER_S / 2),
        ))
    }
}

/// A heartbeat that is due for a group of peers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct DueHeartbeat {
    /// Receivers.
    pub(crate) peers: Vec<SocketAddr>,
    /// Size limit of the datagram, in bytes.
    pub(crate) size: usize,
    /// Interval until the next heartbeat to these peers.
    pub(crate) interval: Span,
}

/// Schedules heartbeats. Peers of the same failure domain get half of the byte budget,
/// so that they learn of each other's changes quickly in large deployments too.
#[derive(Debug, Default)]
pub(crate) struct HeartbeatSchedule {
    near: PeerGroup,
    far: PeerGroup,
}

impl HeartbeatSchedule {
    /// Sets the peers of the own failure domain (`near`) and of the others (`far`).
    pub(crate) fn set_peers(&mut self, near: Vec<SocketAddr>, far: Vec<SocketAddr>) {
        self.near.peers = near;
        self.far.peers = far;
    }

    /// Returns the heartbeats that are due and schedules the next ones.
    pub(crate) fn due(&mut self, now: Time) -> Vec<DueHeartbeat> {
        let mut due = Vec::new();
        for group in [&mut self.near, &mut self.far] {
            if group.peers.is_empty() || now < group.due {
                continue;
            }
            let interval = group.interval();
            group.due = now + interval;
            due.push(DueHeartbeat {
                peers: group.peers.clone(),
                size: group.size(),
                interval,
            });
        }
        due
    }

    /// Makes the next heartbeats due at once, for example when the process starts to drain.
    pub(crate) fn send_now(&mut self) {
        self.near.due = Time::ZERO;
        self.far.due = Time::ZERO;
    }
}

/// Number of heartbeats that repeat a load of zero, because datagrams can be lost.
const ZERO_LOAD_REPEATS: u8 = 4;

/// The load of an endpoint that was sent last, and in which heartbeat.
#[derive(Debug, Clone, Copy, Default)]
struct LastSent {
    inflight: u16,
    count: u64,
    zeros: u8,
}

/// Selects the content of heartbeats that can't carry everything: shards by round robin,
/// then loads that changed, then the loads that were sent longest ago.
#[derive(Debug, Default)]
pub(crate) struct LoadPacker {
    sent: IndexMap<(ServiceName, EndpointName), LastSent>,
    count: u64,
    next_shard: usize,
}

impl LoadPacker {
    /// Encodes a heartbeat that takes at most `size` bytes including hash and header.
    pub(crate) fn pack(
        &mut self,
        full: &Heartbeat,
        size: usize,
    ) -> Result<Vec<u8>, postcard::Error> {
        self.count += 1;
        let mut heartbeat = full.clone();
        heartbeat.loads.clear();
        heartbeat.shards.clear();
        let mut free_bytes =
            size.saturating_sub(RESERVED_HEADER_BYTES + encoded_bytes(&heartbeat)?);
        let shards = full.shards.len();
        for n in 0..shards {
            let shard = &full.shards[(self.next_shard + n) % shards];
            if !take_bytes(&mut free_bytes, encoded_bytes(shard)?) {
                break;
            }
            heartbeat.shards.push(shard.clone());
        }
        self.next_shard = (self.next_shard + heartbeat.shards.len())
            .checked_rem(shards)
            .unwrap_or(0);
        for load in self.loads_by_priority(&full.loads) {
            if !take_bytes(&mut free_bytes, encoded_bytes(&load)?) {
                break;
            }
            self.record_sent(&load);
            heartbeat.loads.push(load);
        }
        postcard::to_allocvec(&heartbeat)
    }

    fn record_sent(&mut self, load: &EndpointLoad) {
        let key = (load.service.clone(), load.endpoint.clone());
        let last = self.sent.get(&key).copied().unwrap_or_default();
        let zeros = if load.inflight == 0 {
            last.zeros + 1
        } else {
            0
        };
        if zeros == ZERO_LOAD_REPEATS {
            self.sent.swap_remove(&key);
            return;
        }
        let sent = LastSent {
            inflight: load.inflight,
            count: self.count,
            zeros,
        };
        self.sent.insert(key, sent);
    }

    /// Sorts the loads by urgency and adds a zero for each endpoint whose last sent load
    /// is no longer listed.
    fn loads_by_priority(&mut self, loads: &[EndpointLoad]) -> Vec<EndpointLoad> {
        let mut now: IndexMap<_, u16> = loads
            .iter()
            .map(|l| ((l.service.clone(), l.endpoint.clone()), l.inflight))
            .collect();
        for key in self.sent.keys() {
            now.entry(key.clone()).or_insert(0);
        }
        let mut order: Vec<_> = now
            .into_iter()
            .map(|(key, inflight)| {
                let last = self.sent.get(&key).copied().unwrap_or_default();
                (last.inflight == inflight, last.count, key, inflight)
            })
            .collect();
        order.sort();
        order
            .into_iter()
            .map(|(_, _, (service, endpoint), inflight)| EndpointLoad {
                service,
                endpoint,
                inflight,
            })
            .collect()
    }
}

fn encoded_bytes<T: serde::Serialize>(item: &T) -> Result<usize, postcard::Error> {
    postcard::to_allocvec(item).map(|bytes| bytes.len())
}

/// Reserves space for an item; returns whether it fits. Two bytes stay free because the
/// length prefix of a list grows with its length.
fn take_bytes(free_bytes: &mut usize, bytes: usize) -> bool {
    if bytes + 2 > *free_bytes {
        return false;
    }
    *free_bytes -= bytes;
    true
}
