//! Client for calls to peers over TCP, with a pool of idle connections.

use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::frame;
use super::seal::{self, Header};
use super::server::{self, Addressed, CALL, MAX_CALL_BYTES, MAX_REPLY_BYTES, NONCE_BYTES, REPLY};
use super::{Call, CallError, DropReason, Reply, SharedState};
use crate::model::{NodeName, Span};

/// Calls of this process in flight; further ones fail at once.
const MAX_CALLS_IN_FLIGHT: usize = 256;

/// Idle connections kept for each peer.
const MAX_IDLE_PER_PEER: usize = 2;

/// Time limit for connecting and receiving the server's nonce.
const CONNECT_TIMEOUT: Span = Span::from_millis(500);

/// A connection and the nonce that the server sent on it.
#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    nonce: [u8; NONCE_BYTES],
}

/// Sends calls and pools connections.
#[derive(Debug)]
pub(super) struct Client {
    shared: Arc<SharedState>,
    idle: Mutex<IndexMap<SocketAddr, Vec<Connection>>>,
    call_slots: Semaphore,
}

impl Client {
    pub(super) fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            idle: Mutex::default(),
            call_slots: Semaphore::new(MAX_CALLS_IN_FLIGHT),
        }
    }

    /// Sends a call and awaits its reply. A call that fails on a pooled connection is
    /// retried once on a new one, because the peer may have closed the pooled one.
    /// The retry is safe: all calls are idempotent.
    pub(super) async fn call(
        &self,
        to: &NodeName,
        address: SocketAddr,
        call: Call,
        limit: Span,
    ) -> Result<Reply, CallError> {
        self.shared.counters.calls_sent.fetch_add(1, Relaxed);
        let mut sent = false;
        let result = timeout(limit.to_std(), self.exchange(to, address, call, &mut sent)).await;
        let result = match result {
            Ok(result) => result,
            Err(_) if sent => Err(CallError::Unknown(format!("no reply within {limit}"))),
            Err(_) => Err(CallError::Unavailable(format!(
                "no connection within {limit}"
            ))),
        };
        if result.is_err() {
            self.shared.counters.call_failures.fetch_add(1, Relaxed);
        }
        result
    }

    async fn exchange(
        &self,
        to: &NodeName,
        address: SocketAddr,
        call: Call,
        sent: &mut bool,
    ) -> Result<Reply, CallError> {
        let unavailable = |text: &str| CallError::Unavailable(text.to_owned());
        let _slot = self
            .call_slots
            .try_acquire()
            .map_err(|_| unavailable("too many calls to peers are in flight"))?;
        let addressed = Addressed {
            to: to.clone(),
            body: call,
        };
        let body =
            postcard::to_allocvec(&addressed).map_err(|e| CallError::Unavailable(e.to_string()))?;
        if body.len() + 256 > MAX_CALL_BYTES {
            return Err(unavailable("the call exceeds the size limit for calls"));
        }
        if let Some(connection) = self.take_idle(address) {
            *sent = true;
            if let Ok(reply) = self.call_once(to, address, connection, &body).await {
                return Ok(reply);
            }
        }
        let connection = match connect(address).await {
            Ok(connection) => connection,
            Err(error) if *sent => return Err(CallError::Unknown(error.to_string())),
            Err(error) => return Err(CallError::Unavailable(error.to_string())),
        };
        *sent = true;
        self.call_once(to, address, connection, &body)
            .await
            .map_err(CallError::Unknown)
    }

    async fn call_once(
        &self,
        to: &NodeName,
        address: SocketAddr,
        mut connection: Connection,
        body: &[u8],
    ) -> Result<Reply, String> {
        let header = self.shared.header();
        let hash_context = server::hash_context(CALL, &connection.nonce, 0);
        let message = seal::seal(&self.shared.keys(), &hash_context, &header, body)
            .map_err(|e| e.to_string())?;
        frame::write(&mut connection.stream, &message)
            .await
            .map_err(|e| e.to_string())?;
        let frame = frame::read(&mut connection.stream, MAX_REPLY_BYTES)
            .await
            .map_err(|e| format!("no complete reply was received: {e}"))?;
        let reply = self
            .open_reply(to, &connection.nonce, &header, &frame)
            .inspect_err(|reason| self.shared.counters.count_dropped(*reason))
            .map_err(|reason| format!("the reply was dropped: {reason}"))?;
        self.put_idle(address, connection);
        Ok(reply)
    }

    fn open_reply(
        &self,
        to: &NodeName,
        nonce: &[u8; NONCE_BYTES],
        call: &Header,
        frame: &[u8],
    ) -> Result<Reply, DropReason> {
        let hash_context = server::hash_context(REPLY, nonce, call.counter);
        let (header, body) = seal::open(&self.shared.keys(), &hash_context, frame)?;
        let reply: Addressed<Reply> =
            postcard::from_bytes(body).map_err(|_| DropReason::Malformed)?;
        if header.node != *to || reply.to != self.shared.node {
            return Err(DropReason::Misdirected);
        }
        Ok(reply.body)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            connections.push(connection);
        }
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let connecting = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut nonce = [0; NONCE_BYTES];
        stream.read_exact(&mut nonce).await?;
        Ok(Connection { stream, nonce })
    };
    timeout(CONNECT_TIMEOUT.to_std(), connecting)
        .await
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}
