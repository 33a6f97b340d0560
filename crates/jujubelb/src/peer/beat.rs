//! When heartbeats are sent and what fits into them.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::{EndpointLoad, Heartbeat};
use crate::model::{EndpointName, ServiceName, Span, Time};

/// Largest datagram, which passes common networks unfragmented.
pub(crate) const DATAGRAM: usize = 1_200;

/// Bytes that IPv4 and UDP add to a datagram; counted against the budget.
const OVERHEAD: usize = 28;

/// Bytes a second for heartbeats: a third of the 9 KB/s that a host has for control.
const BUDGET: u64 = 3_000;

/// Shortest interval between heartbeats.
const SHORTEST: Span = Span::from_millis(500);

/// Interval that is aimed at by making heartbeats smaller.
const AIM: Span = Span::from_millis(1_000);

/// Smallest size to which heartbeats are cut for the aim; leaves room for names and one shard.
const SMALLEST: usize = 320;

/// Bytes of the keyed hash and the message header, less than this with names of ordinary length.
const SEAL: usize = 32 + 96;

/// Peers at about the same distance, which get heartbeats at the same interval.
#[derive(Debug, Default)]
struct Ring {
    peers: Vec<SocketAddr>,
    due: Time,
}

impl Ring {
    /// Bytes for one datagram.
    fn size(&self) -> usize {
        let share = BUDGET / 2 * AIM.as_micros() / 1_000_000;
        let room = share as usize / self.peers.len().max(1);
        room.saturating_sub(OVERHEAD).clamp(SMALLEST, DATAGRAM)
    }

    /// Interval at which full datagrams stay within half of the budget.
    fn every(&self) -> Span {
        let bytes = ((self.size() + OVERHEAD) * self.peers.len()) as u64;
        SHORTEST.max(Span::from_micros(bytes * 1_000_000 / (BUDGET / 2)))
    }
}

/// A heartbeat to be sent now.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Due {
    /// To whom.
    pub(crate) peers: Vec<SocketAddr>,
    /// Largest datagram.
    pub(crate) size: usize,
    /// Interval until the next one.
    pub(crate) every: Span,
}

/// Plans heartbeats: half of the byte budget goes to peers of the same failure
/// domain, so that these learn of each other quickly also in large deployments.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    near: Ring,
    far: Ring,
}

impl Plan {
    /// Sets the peers of the same failure domain and the others.
    pub(crate) fn set_peers(&mut self, near: Vec<SocketAddr>, far: Vec<SocketAddr>) {
        self.near.peers = near;
        self.far.peers = far;
    }

    /// The heartbeats that are due.
    pub(crate) fn due(&mut self, now: Time) -> Vec<Due> {
        let mut due = Vec::new();
        for ring in [&mut self.near, &mut self.far] {
            if ring.peers.is_empty() || now < ring.due {
                continue;
            }
            let every = ring.every();
            ring.due = now + every;
            due.push(Due {
                peers: ring.peers.clone(),
                size: ring.size(),
                every,
            });
        }
        due
    }

    /// Makes the next heartbeat due at once, for example when the process starts to stop.
    pub(crate) fn hasten(&mut self) {
        self.near.due = Time::ZERO;
        self.far.due = Time::ZERO;
    }
}

/// Times that a load of zero is repeated, in case datagrams are lost.
const ZEROS: u8 = 4;

/// What was last sent of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Sent {
    inflight: u16,
    count: u64,
    zeros: u8,
}

/// Chooses what a heartbeat carries if not everything fits: shards in turn,
/// then loads that changed, then the loads that were sent longest ago.
#[derive(Debug, Default)]
pub(crate) struct Packer {
    sent: IndexMap<(ServiceName, EndpointName), Sent>,
    count: u64,
    turn: usize,
}

impl Packer {
    /// Encodes a heartbeat into at most `size` bytes with its seal.
    pub(crate) fn pack(
        &mut self,
        whole: &Heartbeat,
        size: usize,
    ) -> Result<Vec<u8>, postcard::Error> {
        self.count += 1;
        let mut beat = whole.clone();
        beat.loads.clear();
        beat.shards.clear();
        let mut room = size.saturating_sub(SEAL + encoded(&beat)?);
        let shards = whole.shards.len();
        for n in 0..shards {
            let shard = &whole.shards[(self.turn + n) % shards];
            if !take(&mut room, encoded(shard)?) {
                break;
            }
            beat.shards.push(shard.clone());
        }
        self.turn = (self.turn + beat.shards.len())
            .checked_rem(shards)
            .unwrap_or(0);
        for load in self.in_order(&whole.loads) {
            if !take(&mut room, encoded(&load)?) {
                break;
            }
            self.note(&load);
            beat.loads.push(load);
        }
        postcard::to_allocvec(&beat)
    }

    fn note(&mut self, load: &EndpointLoad) {
        let key = (load.service.clone(), load.endpoint.clone());
        let last = self.sent.get(&key).copied().unwrap_or_default();
        let zeros = if load.inflight == 0 {
            last.zeros + 1
        } else {
            0
        };
        if zeros == ZEROS {
            self.sent.swap_remove(&key);
            return;
        }
        let sent = Sent {
            inflight: load.inflight,
            count: self.count,
            zeros,
        };
        self.sent.insert(key, sent);
    }

    /// All loads, with a zero for each endpoint that has none any more.
    fn in_order(&mut self, loads: &[EndpointLoad]) -> Vec<EndpointLoad> {
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

fn encoded<T: serde::Serialize>(item: &T) -> Result<usize, postcard::Error> {
    postcard::to_allocvec(item).map(|bytes| bytes.len())
}

/// Takes room for an item. Two bytes stay free for the growth of a list's length.
fn take(room: &mut usize, bytes: usize) -> bool {
    if bytes + 2 > *room {
        return false;
    }
    *room -= bytes;
    true
}
