//! Sends heartbeats and takes in those of others.

use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::net::UdpSocket;

use super::beat::{DATAGRAM, Packer, Plan};
use super::key::KeyRing;
use super::seal::{self, Replay};
use super::transport::{Inner, lock};
use super::{Dropped, Heartbeat, News};
use crate::model::{NodeName, Span, Time};
use crate::telemetry::QueueSender;

/// Interval at which due heartbeats and the age of others are looked at.
const TICK: Duration = Duration::from_millis(100);

/// Interval at which the key files are read again.
const KEYS: Span = Span::from_secs(2);

/// What the hash of a heartbeat depends on besides the message.
const CONTEXT: &[u8] = b"heartbeat";

/// Sends and receives until cancelled.
pub(super) async fn run(inner: &Inner, socket: &UdpSocket, news: QueueSender<News>) {
    let mut gossip = Gossip {
        inner,
        socket,
        replay: Replay::default(),
        plan: Plan::default(),
        packer: Packer::default(),
        outbox: Outbox::new(news),
        keys_read: inner.clock.now(),
    };
    // One byte more than allowed tells an oversized datagram from a full one.
    let mut buffer = [0; DATAGRAM + 1];
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => gossip.receive(&buffer[..length]),
                // The system reports refusals of earlier datagrams here.
                Err(error) => log::debug!(error:% = error; "a datagram was refused by its receiver"),
            },
            _ = tick.tick() => gossip.tick().await,
            () = inner.hasten.notified() => {
                gossip.plan.hasten();
                gossip.tick().await;
            }
        }
    }
}

struct Gossip<'a> {
    inner: &'a Inner,
    socket: &'a UdpSocket,
    replay: Replay,
    plan: Plan,
    packer: Packer,
    outbox: Outbox,
    keys_read: Time,
}

impl Gossip<'_> {
    fn receive(&mut self, datagram: &[u8]) {
        let shared = &self.inner.shared;
        match check(&shared.keys(), &shared.node, &mut self.replay, datagram) {
            Ok(beat) => {
                shared.counters.beats.fetch_add(1, Relaxed);
                let now = self.inner.clock.now();
                let news = lock(&self.inner.membership).heard(now, beat);
                self.outbox.push(news);
            }
            Err(reason) => {
                log::debug!(reason:% = reason; "a datagram was dropped");
                shared.counters.count(reason);
            }
        }
    }

    async fn tick(&mut self) {
        let now = self.inner.clock.now();
        self.reread_keys(now);
        let news = lock(&self.inner.membership).tick(now);
        self.outbox.push(news);
        let (near, far) = self.peers();
        self.plan.set_peers(near, far);
        for due in self.plan.due(now) {
            let mut whole = lock(&self.inner.own).clone();
            whole.every = due.every;
            match self.encode(&whole, due.size) {
                Ok(datagram) => self.send(&datagram, &due.peers).await,
                Err(error) => log::error!(error:% = error; "a heartbeat could not be encoded"),
            }
        }
    }

    fn encode(&mut self, whole: &Heartbeat, size: usize) -> Result<Vec<u8>, postcard::Error> {
        let shared = &self.inner.shared;
        let body = self.packer.pack(whole, size)?;
        seal::seal(&shared.keys(), CONTEXT, &shared.header(), &body)
    }

    async fn send(&self, datagram: &[u8], peers: &[SocketAddr]) {
        for peer in peers {
            match self.socket.send_to(datagram, peer).await {
                Ok(sent) => {
                    let counters = &self.inner.shared.counters;
                    counters.bytes.fetch_add(sent as u64, Relaxed);
                }
                Err(error) => {
                    log::debug!(peer:% = peer, error:% = error; "a heartbeat was not sent");
                }
            }
        }
    }

    /// Peers of the same failure domain and the others, without this process.
    /// A seed counts as near until its domain is known.
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
            let beat = &member.beat;
            let near = beat.domain == inner.domain;
            known.insert(beat.node.clone(), (beat.address, near));
        }
        known.swap_remove(&inner.shared.node);
        let (near, far): (Vec<_>, Vec<_>) = known.into_values().partition(|(_, near)| *near);
        let addresses = |peers: Vec<(SocketAddr, bool)>| peers.into_iter().map(|p| p.0).collect();
        (addresses(near), addresses(far))
    }

    fn reread_keys(&mut self, now: Time) {
        if now.since(self.keys_read) < KEYS {
            return;
        }
        self.keys_read = now;
        match KeyRing::read(&self.inner.key_files) {
            Ok(keys) => {
                if self.inner.shared.set_keys(keys) {
                    log::info!("the peer keys changed");
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "the peer keys could not be read again; the former ones stay");
            }
        }
    }
}

/// Checks a datagram and takes it into the replay window.
pub(super) fn check(
    keys: &KeyRing,
    node: &NodeName,
    replay: &mut Replay,
    datagram: &[u8],
) -> Result<Heartbeat, Dropped> {
    if datagram.len() > DATAGRAM {
        return Err(Dropped::Oversized);
    }
    let (header, body) = seal::open(keys, CONTEXT, datagram)?;
    let beat: Heartbeat = postcard::from_bytes(body).map_err(|_| Dropped::Malformed)?;
    if beat.node != header.node || beat.incarnation != header.incarnation {
        return Err(Dropped::Malformed);
    }
    if header.node == *node {
        return Err(Dropped::Misdirected);
    }
    replay.check(&header)?;
    Ok(beat)
}

/// News on their way into the ring. While the ring is full, only the newest
/// heartbeat of each process is kept.
#[derive(Debug)]
struct Outbox {
    ring: QueueSender<News>,
    waiting: IndexMap<(NodeName, u8), News>,
}

impl Outbox {
    fn new(ring: QueueSender<News>) -> Self {
        Self {
            ring,
            waiting: IndexMap::new(),
        }
    }

    fn push(&mut self, news: Vec<News>) {
        for item in news {
            let key = match &item {
                News::Restarted(node, _) => (node.clone(), 0),
                News::Beat(beat) => (beat.node.clone(), 1),
                News::Gone(node) => (node.clone(), 2),
            };
            // A later heartbeat of a process that was gone takes the word back.
            if key.1 == 1 {
                self.waiting.shift_remove(&(key.0.clone(), 2));
            }
            self.waiting.shift_remove(&key);
            self.waiting.insert(key, item);
        }
        while !self.waiting.is_empty() && !self.ring.is_full() {
            if let Some((_, item)) = self.waiting.shift_remove_index(0) {
                // The ring was not full and this is its only producer.
                let _ = self.ring.push(item);
            }
        }
    }
}
