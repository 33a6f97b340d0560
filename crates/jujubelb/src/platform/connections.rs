//! Open connections of a client to its peers.
//!
//! Peers accept a limited number of connections from all hosts together. A connection that is not
//! going to be used again is therefore closed at once: it would keep its place at the peer for as
//! long as this process lives.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::model::{Span, Time};

/// Why no connection was opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum OpenError {
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    #[error(transparent)]
    Protocol(#[from] hyper::Error),
}

/// Numbers of connections of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionCounts {
    /// All open ones.
    pub(crate) open: usize,
    /// Those that no call uses.
    pub(crate) idle: usize,
}

/// Which idle connections are kept.
#[derive(Debug, Clone, Copy)]
pub(super) struct IdleLimits {
    /// Largest number to one peer.
    pub(super) count: usize,
    /// Largest number to a peer of which a call has timed out within [`SILENCE_MEMORY`], besides
    /// those that calls wait for.
    pub(super) after_timeout: usize,
    /// How long each is kept.
    pub(super) timeout: Span,
}

/// How long a timeout limits the idle connections to its peer. Silences come in series, and the peer
/// does not learn that a silent connection was closed: it keeps the place until it notices itself,
/// which takes minutes.
pub(super) const SILENCE_MEMORY: Span = Span::from_secs(120);

/// Idle connections to each peer, and the number of all open ones.
#[derive(Debug)]
pub(super) struct Connections {
    limits: IdleLimits,
    peers: Mutex<Peers>,
    open: Arc<AtomicUsize>,
}

#[derive(Debug, Default)]
struct Peers {
    peers: IndexMap<SocketAddr, Peer>,
    /// Number of the last generation of any peer. Only grows.
    last: u64,
}

#[derive(Debug)]
struct Peer {
    /// Connections of other generations are closed when their call ends.
    generation: u64,
    /// The most recently used one is the last.
    idle: Vec<IdleConnection>,
    /// When a call to it timed out last; `None` if none has within [`SILENCE_MEMORY`].
    timed_out: Option<Time>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Time,
}

/// An open connection. It is closed when it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    peer: SocketAddr,
    generation: u64,
    /// Moves the bytes of the connection and owns its socket.
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Closes the connection. Returns when its socket is closed.
    pub(super) async fn close(mut self) {
        self.driver.abort();
        // The driver was aborted or had ended; there is nothing else to learn from it.
        let _ = (&mut self.driver).await;
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Relaxed);
        Self(count)
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

impl Connections {
    pub(super) fn new(limits: IdleLimits) -> Self {
        Self {
            limits,
            peers: Mutex::default(),
            open: Arc::default(),
        }
    }

    /// Opens a connection to a peer.
    pub(super) async fn open(&self, peer: SocketAddr) -> Result<Connection, OpenError> {
        let generation = self.lock().generation(peer);
        let count = OpenCount::new(self.open.clone());
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // The call on the connection gets the error.
            let _ = connection.await;
            drop(count);
        });
        Ok(Connection {
            sender,
            peer,
            generation,
            driver,
        })
    }

    /// Whether there is an idle connection to a peer.
    pub(super) fn has_idle(&self, peer: SocketAddr, now: Time) -> bool {
        let peers = self.lock();
        let idle = peers.peers.get(&peer).map(|p| &p.idle);
        idle.is_some_and(|idle| idle.iter().any(|c| c.is_usable(self.limits.timeout, now)))
    }

    /// Takes the idle connection to a peer that was used last.
    pub(super) fn take(&self, peer: SocketAddr, now: Time) -> Option<Connection> {
        let mut peers = self.lock();
        let idle = &mut peers.peers.get_mut(&peer)?.idle;
        let usable = |c: &IdleConnection| c.is_usable(self.limits.timeout, now);
        std::iter::from_fn(|| idle.pop())
            .find(usable)
            .map(|c| c.connection)
    }

    /// Keeps a connection on which a call was answered for the next call. Returns it if there are
    /// enough for the calls that wait, or those of its generation were given up.
    pub(super) fn put(
        &self,
        connection: Connection,
        waiting: usize,
        now: Time,
    ) -> Option<Connection> {
        let mut peers = self.lock();
        let peer = peers.peer(connection.peer);
        let mut room = self.limits.count;
        if peer.timed_out.is_some() {
            room = room.min(self.limits.after_timeout.saturating_add(waiting));
        }
        if peer.generation != connection.generation || peer.idle.len() >= room {
            return Some(connection);
        }
        let since = now;
        peer.idle.push(IdleConnection { connection, since });
        None
    }

    /// Records that a call to a peer has timed out on a connection of a generation, and gives up all
    /// connections of that generation: idle ones are closed, those in use when their call ends.
    /// Returns the number of idle ones, or `None` if the generation was given up before.
    pub(super) fn timed_out(&self, peer: SocketAddr, generation: u64, now: Time) -> Option<usize> {
        let mut peers = self.lock();
        peers.peer(peer).timed_out = Some(now);
        if peers.generation(peer) != generation {
            return None;
        }
        Some(peers.begin_generation(peer).len())
    }

    /// Records that a call to a peer has timed out on a connection of another client, and gives up
    /// all connections to it.
    pub(super) fn suspect(&self, peer: SocketAddr, now: Time) {
        let mut peers = self.lock();
        peers.peer(peer).timed_out = Some(now);
        peers.begin_generation(peer);
    }

    /// Gives up all connections. Returns the number of idle ones.
    pub(super) fn give_up_all(&self) -> usize {
        let mut peers = self.lock();
        let known: Vec<SocketAddr> = peers.peers.keys().copied().collect();
        let closed = known.into_iter().map(|p| peers.begin_generation(p).len());
        closed.sum()
    }

    /// Closes idle connections whose time is over, and forgets peers of which nothing is known.
    pub(super) fn close_unused(&self, now: Time) {
        self.lock().peers.retain(|_, peer| {
            let is_recent = |at: &Time| now.since(*at) < SILENCE_MEMORY;
            peer.timed_out = peer.timed_out.filter(is_recent);
            peer.idle.retain(|c| c.is_usable(self.limits.timeout, now));
            !peer.idle.is_empty() || peer.timed_out.is_some()
        });
    }

    pub(super) fn counts(&self) -> ConnectionCounts {
        let idle = self.lock().peers.values().map(|p| p.idle.len()).sum();
        let open = self.open.load(Relaxed);
        ConnectionCounts { open, idle }
    }

    fn lock(&self) -> MutexGuard<'_, Peers> {
        // No holder can leave the data inconsistent.
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnection {
    fn is_usable(&self, idle_timeout: Span, now: Time) -> bool {
        !self.connection.sender.is_closed() && now.since(self.since) < idle_timeout
    }
}

impl Peers {
    fn peer(&mut self, peer: SocketAddr) -> &mut Peer {
        let generation = self.last;
        self.peers.entry(peer).or_insert_with(|| Peer {
            generation,
            idle: Vec::new(),
            timed_out: None,
        })
    }

    fn generation(&mut self, peer: SocketAddr) -> u64 {
        self.peer(peer).generation
    }

    /// Begins the next generation of a peer. Returns the idle connections of the last one.
    fn begin_generation(&mut self, peer: SocketAddr) -> Vec<IdleConnection> {
        self.last += 1;
        let generation = self.last;
        let peer = self.peer(peer);
        peer.generation = generation;
        std::mem::take(&mut peer.idle)
    }
}
