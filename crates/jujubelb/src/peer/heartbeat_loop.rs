//! Event loop that sends heartbeats and processes received ones.

use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::net::UdpSocket;

use super::heartbeat::{HeartbeatSchedule, LoadPacker, MAX_DATAGRAM_BYTES};
use super::key::KeyRing;
use super::seal::{self, ReplayFilter};
use super::transport::{Inner, lock};
use super::{DropReason, Heartbeat, PeerEvent};
use crate::model::{NodeName, Span, Time};
use crate::telemetry::QueueSender;

/// Interval of the checks for due heartbeats and for peers whose heartbeats are overdue.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the key files are read again, so that keys can be rotated.
const KEY_REREAD_INTERVAL: Span = Span::from_secs(2);

/// Context of a heartbeat's hash; keeps other messages from being accepted as heartbeats.
const HASH_CONTEXT: &[u8] = b"heartbeat";

/// Sends and receives heartbeats until the future is dropped.
pub(super) async fn run(inner: &Inner, socket: &UdpSocket, events: QueueSender<PeerEvent>) {
    let mut heartbeat_loop = HeartbeatLoop {
        inner,
        socket,
        replay: ReplayFilter::default(),
        schedule: HeartbeatSchedule::default(),
        packer: LoadPacker::default(),
        outbox: EventOutbox::new(events),
        keys_read: inner.clock.now(),
    };
    // One byte more than the limit distinguishes an oversized datagram from a full one.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => heartbeat_loop.receive(&buffer[..length]),
                // The operating system reports ICMP errors for earlier datagrams here.
                Err(error) => log::debug!(error:% = error; "could not receive a datagram, or a peer rejected an earlier one"),
            },
            _ = tick.tick() => heartbeat_loop.tick().await,
            () = inner.send_now.notified() => {
                heartbeat_loop.schedule.send_now();
                heartbeat_loop.tick().await;
            }
        }
    }
}

struct HeartbeatLoop<'a> {
    inner: &'a Inner,
    socket: &'a UdpSocket,
    replay: ReplayFilter,
    schedule: HeartbeatSchedule,
    packer: LoadPacker,
    outbox: EventOutbox,
    keys_read: Time,
}

impl HeartbeatLoop<'_> {
    fn receive(&mut self, datagram: &[u8]) {
        let shared = &self.inner.shared;
        match check(&shared.keys(), &shared.node, &mut self.replay, datagram) {
            Ok(heartbeat) => {
                shared.counters.heartbeats.fetch_add(1, Relaxed);
                let now = self.inner.clock.now();
                let events = lock(&self.inner.membership).on_heartbeat(now, heartbeat);
                self.outbox.push(events);
            }
            Err(reason) => {
                log::debug!(reason:% = reason; "dropped a datagram of a peer");
                shared.counters.count_dropped(reason);
            }
        }
    }

    async fn tick(&mut self) {
        let now = self.inner.clock.now();
        self.reread_keys(now);
        let events = lock(&self.inner.membership).update_liveness(now);
        self.outbox.push(events);
        let (near, far) = self.peers();
        self.schedule.set_peers(near, far);
        for due in self.schedule.due(now) {
            let mut full = lock(&self.inner.own_heartbeat).clone();
            full.interval = due.interval;
            match self.encode(&full, due.size) {
                Ok(datagram) => self.send(&datagram, &due.peers).await,
                Err(error) => log::error!(error:% = error; "could not encode a heartbeat"),
            }
        }
    }

    fn encode(&mut self, full: &Heartbeat, size: usize) -> Result<Vec<u8>, postcard::Error> {
        let shared = &self.inner.shared;
        let body = self.packer.pack(full, size)?;
        seal::seal(&shared.keys(), HASH_CONTEXT, &shared.header(), &body)
    }

    async fn send(&self, datagram: &[u8], peers: &[SocketAddr]) {
        for peer in peers {
            match self.socket.send_to(datagram, peer).await {
                Ok(sent) => {
                    let counters = &self.inner.shared.counters;
                    counters.heartbeat_bytes.fetch_add(sent as u64, Relaxed);
                }
                Err(error) => {
                    log::debug!(peer:% = peer, error:% = error; "could not send a heartbeat");
                }
            }
        }
    }

    /// Addresses of the peers in the own failure domain and in the others, without this
    /// process. A seed counts as near until its domain is known.
    fn peers(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let inner = self.inner;
        let mut known: IndexMap<NodeName, (SocketAddr, bool)> = IndexMap::new();
        for (node, address) in &inner.seeds {
            known.insert(node.clone(), (*address, true));
        }
        for (node, (address, domain)) in &*lock(&inner.configured) {
            known.insert(node.clone(), (*address, *domain == inner.domain));
        }
        for member in lock(&inner.membership).present() {
            let heartbeat = &member.heartbeat;
            let near = heartbeat.domain == inner.domain;
            known.insert(heartbeat.node.clone(), (heartbeat.address, near));
        }
        known.swap_remove(&inner.shared.node);
        let (near, far): (Vec<_>, Vec<_>) = known.into_values().partition(|(_, near)| *near);
        let addresses = |peers: Vec<(SocketAddr, bool)>| peers.into_iter().map(|p| p.0).collect();
        (addresses(near), addresses(far))
    }

    fn reread_keys(&mut self, now: Time) {
        if now.since(self.keys_read) < KEY_REREAD_INTERVAL {
            return;
        }
        self.keys_read = now;
        match KeyRing::read(&self.inner.key_files) {
            Ok(keys) => {
                if self.inner.shared.set_keys(keys) {
                    log::info!("the peer keys were replaced");
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "could not reread the peer keys; the current ones stay valid");
            }
        }
    }
}

/// Authenticates and decodes a datagram and records it in the replay filter.
pub(super) fn check(
    keys: &KeyRing,
    node: &NodeName,
    replay: &mut ReplayFilter,
    datagram: &[u8],
) -> Result<Heartbeat, DropReason> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::Oversized);
    }
    let (header, body) = seal::open(keys, HASH_CONTEXT, datagram)?;
    let heartbeat: Heartbeat = postcard::from_bytes(body).map_err(|_| DropReason::Malformed)?;
    if heartbeat.node != header.node || heartbeat.incarnation != header.incarnation {
        return Err(DropReason::Malformed);
    }
    if header.node == *node {
        return Err(DropReason::Misdirected);
    }
    replay.check(&header)?;
    Ok(heartbeat)
}

/// Events on their way into a bounded queue. While the queue is full, only the newest
/// event of each kind and process is kept.
#[derive(Debug)]
struct EventOutbox {
    queue: QueueSender<PeerEvent>,
    pending: IndexMap<(NodeName, u8), PeerEvent>,
}

impl EventOutbox {
    fn new(queue: QueueSender<PeerEvent>) -> Self {
        Self {
            queue,
            pending: IndexMap::new(),
        }
    }

    fn push(&mut self, events: Vec<PeerEvent>) {
        for item in events {
            let key = match &item {
                PeerEvent::Restarted(node, _) => (node.clone(), 0),
                PeerEvent::Heartbeat(heartbeat) => (heartbeat.node.clone(), 1),
                PeerEvent::Gone(node) => (node.clone(), 2),
            };
            // A heartbeat supersedes an earlier pending report that the process is gone.
            if key.1 == 1 {
                self.pending.shift_remove(&(key.0.clone(), 2));
            }
            self.pending.shift_remove(&key);
            self.pending.insert(key, item);
        }
        while !self.pending.is_empty() && !self.queue.is_full() {
            if let Some((_, item)) = self.pending.shift_remove_index(0) {
                // Can't fail: the queue was not full and this is its only producer.
                let _ = self.queue.push(item);
            }
        }
    }
}
