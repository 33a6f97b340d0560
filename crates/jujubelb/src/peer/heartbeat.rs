//! When heartbeats are sent and what fits into them.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::{EndpointLoad, Heartbeat};
use crate::model::{EndpointName, ServiceName, Span, Time};

/// Largest datagram, which passes common networks unfragmented.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Bytes that IPv4 and UDP add to a datagram; counted against the budget.
const IP_UDP_HEADER_BYTES: usize = 28;

/// Bytes a second for heartbeats: a third of the 9 KB/s that a host has for control.
const HEARTBEAT_BYTES_PER_S: u64 = 3_000;

/// Shortest interval between heartbeats.
const MIN_INTERVAL: Span = Span::from_millis(500);

/// Interval that is aimed at by making heartbeats smaller.
const TARGET_INTERVAL: Span = Span::from_millis(1_000);

/// Smallest size to which heartbeats are cut for the aim; leaves room for names and one shard.
const MIN_DATAGRAM_BYTES: usize = 320;

/// Bytes of the keyed hash and the message header, less than this with names of ordinary length.
const RESERVED_HEADER_BYTES: usize = 32 + 96;

/// Peers at about the same distance, which get heartbeats at the same interval.
#[derive(Debug, Default)]
struct PeerGroup {
    peers: Vec<SocketAddr>,
    due: Time,
}

impl PeerGroup {
    /// Bytes for one datagram.
    fn size(&self) -> usize {
        let share = HEARTBEAT_BYTES_PER_S / 2 * TARGET_INTERVAL.as_micros() / 1_000_000;
        let free_bytes = share as usize / self.peers.len().max(1);
        free_bytes
            .saturating_sub(IP_UDP_HEADER_BYTES)
            .clamp(MIN_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES)
    }

    /// Interval at which full datagrams stay within half of the budget.
    fn interval(&self) -> Span {
        let bytes = ((self.size() + IP_UDP_HEADER_BYTES) * self.peers.len()) as u64;
        MIN_INTERVAL.max(Span::from_micros(
            bytes * 1_000_000 / (HEARTBEAT_BYTES_PER_S / 2),
        ))
    }
}

/// A heartbeat to be sent now.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct DueHeartbeat {
    /// To whom.
    pub(crate) peers: Vec<SocketAddr>,
    /// Largest datagram.
    pub(crate) size: usize,
    /// Interval until the next one.
    pub(crate) interval: Span,
}

/// Plans heartbeats: half of the byte budget goes to peers of the same failure
/// domain, so that these learn of each other quickly also in large deployments.
#[derive(Debug, Default)]
pub(crate) struct HeartbeatSchedule {
    near: PeerGroup,
    far: PeerGroup,
}

impl HeartbeatSchedule {
    /// Sets the peers of the same failure domain and the others.
    pub(crate) fn set_peers(&mut self, near: Vec<SocketAddr>, far: Vec<SocketAddr>) {
        self.near.peers = near;
        self.far.peers = far;
    }

    /// The heartbeats that are due.
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

    /// Makes the next heartbeat due at once, for example when the process starts to stop.
    pub(crate) fn send_now(&mut self) {
        self.near.due = Time::ZERO;
        self.far.due = Time::ZERO;
    }
}

/// Times that a load of zero is repeated, in case datagrams are lost.
const ZERO_LOAD_REPEATS: u8 = 4;

/// What was last sent of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct LastSent {
    inflight: u16,
    count: u64,
    zeros: u8,
}

/// Chooses what a heartbeat carries if not everything fits: shards in turn,
/// then loads that changed, then the loads that were sent longest ago.
#[derive(Debug, Default)]
pub(crate) struct LoadPacker {
    sent: IndexMap<(ServiceName, EndpointName), LastSent>,
    count: u64,
    next_shard: usize,
}

impl LoadPacker {
    /// Encodes a heartbeat into at most `size` bytes with its seal.
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

    /// All loads, with a zero for each endpoint that has none any more.
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

/// Takes room for an item. Two bytes stay free for the growth of a list's length.
fn take_bytes(free_bytes: &mut usize, bytes: usize) -> bool {
    if bytes + 2 > *free_bytes {
        return false;
    }
    *free_bytes -= bytes;
    true
}
