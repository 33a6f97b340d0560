//! Calls to peers over TCP, on connections that are used again.

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
use super::server::{self, Addressed, CALL, CALL_LIMIT, NONCE, REPLY, REPLY_LIMIT};
use super::{Call, CallFailure, Dropped, Reply, Shared};
use crate::model::{NodeName, Span};

/// Calls in flight at a time.
const CALLS: usize = 256;

/// Connections kept for each peer.
const KEPT: usize = 2;

/// Time for making a connection.
const CONNECT: Span = Span::from_millis(500);

/// A connection that the server opened with its random bytes.
#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    nonce: [u8; NONCE],
}

/// Makes calls.
#[derive(Debug)]
pub(super) struct Client {
    shared: Arc<Shared>,
    idle: Mutex<IndexMap<SocketAddr, Vec<Connection>>>,
    places: Semaphore,
}

impl Client {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            idle: Mutex::default(),
            places: Semaphore::new(CALLS),
        }
    }

    /// Makes a call. One that failed on a used connection is repeated once on
    /// a new one, because the peer may have closed it; all calls are idempotent.
    pub(super) async fn call(
        &self,
        to: &NodeName,
        address: SocketAddr,
        call: Call,
        limit: Span,
    ) -> Result<Reply, CallFailure> {
        self.shared.counters.calls.fetch_add(1, Relaxed);
        let mut sent = false;
        let result = timeout(limit.to_std(), self.exchange(to, address, call, &mut sent)).await;
        let result = match result {
            Ok(result) => result,
            Err(_) if sent => Err(CallFailure::Unknown(format!("no answer within {limit}"))),
            Err(_) => Err(CallFailure::Unavailable(format!(
                "no connection within {limit}"
            ))),
        };
        if result.is_err() {
            self.shared.counters.failures.fetch_add(1, Relaxed);
        }
        result
    }

    async fn exchange(
        &self,
        to: &NodeName,
        address: SocketAddr,
        call: Call,
        sent: &mut bool,
    ) -> Result<Reply, CallFailure> {
        let unavailable = |text: &str| CallFailure::Unavailable(text.to_owned());
        let _place = self
            .places
            .try_acquire()
            .map_err(|_| unavailable("too many calls are in flight"))?;
        let addressed = Addressed {
            to: to.clone(),
            body: call,
        };
        let body = postcard::to_allocvec(&addressed)
            .map_err(|e| CallFailure::Unavailable(e.to_string()))?;
        if body.len() + 256 > CALL_LIMIT {
            return Err(unavailable("the call is larger than allowed"));
        }
        if let Some(connection) = self.take(address) {
            *sent = true;
            if let Ok(reply) = self.attempt(to, address, connection, &body).await {
                return Ok(reply);
            }
        }
        let connection = match connect(address).await {
            Ok(connection) => connection,
            Err(error) if *sent => return Err(CallFailure::Unknown(error.to_string())),
            Err(error) => return Err(CallFailure::Unavailable(error.to_string())),
        };
        *sent = true;
        self.attempt(to, address, connection, &body)
            .await
            .map_err(CallFailure::Unknown)
    }

    async fn attempt(
        &self,
        to: &NodeName,
        address: SocketAddr,
        mut connection: Connection,
        body: &[u8],
    ) -> Result<Reply, String> {
        let header = self.shared.header();
        let context = server::context(CALL, &connection.nonce, 0);
        let message =
            seal::seal(&self.shared.keys(), &context, &header, body).map_err(|e| e.to_string())?;
        frame::write(&mut connection.stream, &message)
            .await
            .map_err(|e| e.to_string())?;
        let frame = frame::read(&mut connection.stream, REPLY_LIMIT)
            .await
            .map_err(|e| format!("no whole answer came: {e}"))?;
        let reply = self
            .open(to, &connection.nonce, &header, &frame)
            .inspect_err(|reason| self.shared.counters.count(*reason))
            .map_err(|reason| format!("the answer was dropped: {reason}"))?;
        self.keep(address, connection);
        Ok(reply)
    }

    fn open(
        &self,
        to: &NodeName,
        nonce: &[u8; NONCE],
        call: &Header,
        frame: &[u8],
    ) -> Result<Reply, Dropped> {
        let context = server::context(REPLY, nonce, call.counter);
        let (header, body) = seal::open(&self.shared.keys(), &context, frame)?;
        let reply: Addressed<Reply> = postcard::from_bytes(body).map_err(|_| Dropped::Malformed)?;
        if header.node != *to || reply.to != self.shared.node {
            return Err(Dropped::Misdirected);
        }
        Ok(reply.body)
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(address).or_default();
        if kept.len() < KEPT {
            kept.push(connection);
        }
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let connecting = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut nonce = [0; NONCE];
        stream.read_exact(&mut nonce).await?;
        Ok(Connection { stream, nonce })
    };
    timeout(CONNECT.to_std(), connecting)
        .await
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}
