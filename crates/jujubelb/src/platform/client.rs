//! HTTP client for all calls to the platform and between the hosts of the system.

use std::net::SocketAddr;
use std::sync::Arc;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use reqwest::Url;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::Instant;

use super::connections::{Connection, ConnectionCounts, Connections, IdleLimits};
use crate::model::Span;
use crate::telemetry::Clock;

/// Timeout for opening a connection. A lost SYN packet is sent again only after a
/// second, so that a new attempt is faster.
const CONNECT_TIMEOUT: Span = Span::from_millis(500);

/// Idle connections to a host or to the store. A new one takes a round trip, while an idle one takes
/// only a file descriptor.
const IDLE_LIMITS: IdleLimits = IdleLimits {
    count: usize::MAX,
    after_timeout: usize::MAX,
    timeout: Span::from_secs(60),
};

/// Why a call has no usable response.
#[derive(Debug, Clone, Error)]
pub enum CallError {
    /// The request was not sent, so that it had no effect.
    #[error("can't connect to {0}: {1}")]
    NotSent(SocketAddr, String),
    /// No connection was opened, for another reason than a timeout: the peer has refused or reset it.
    /// As with [`CallError::NotSent`], the call had no effect.
    #[error("can't connect to {0}: {1}")]
    Refused(SocketAddr, String),
    /// The request was sent and no complete response came in time. It may have had an
    /// effect, or have one later.
    #[error("no response from {0}: {1}")]
    NoResponse(SocketAddr, String),
    /// The request was sent, and its timeout has passed without a complete response. As with
    /// [`CallError::NoResponse`], it may have an effect. Idle connections that were opened before
    /// may be silent as well.
    #[error("no response from {0} in time: {1}")]
    TimedOut(SocketAddr, String),
    /// The response has a status that the call doesn't expect.
    #[error("unexpected status {1} from {0}")]
    UnexpectedStatus(SocketAddr, u16),
    /// The response has a body that can't be decoded.
    #[error("the response of {0} can't be decoded: {1}")]
    UnreadableBody(SocketAddr, String),
}

impl CallError {
    /// Whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::NotSent(..) | Self::Refused(..) => true,
            // Too many requests, or service unavailable: the platform guarantees that
            // such a request had no effect.
            Self::UnexpectedStatus(_, status) => matches!(status, 429 | 503),
            Self::NoResponse(..) | Self::TimedOut(..) | Self::UnreadableBody(..) => false,
        }
    }
}

/// A response whose body is not decoded yet.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
    peer: SocketAddr,
}

impl HttpResponse {
    pub(crate) fn json<'a, T: Deserialize<'a>>(&'a self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| CallError::UnreadableBody(self.peer, e.to_string()))
    }

    /// The error for a status that the call doesn't expect.
    pub(crate) fn unexpected_status(&self) -> CallError {
        CallError::UnexpectedStatus(self.peer, self.status.as_u16())
    }
}

/// HTTP client that keeps idle connections to each peer.
///
/// Open connections may go silent together, without a reset. After a call has timed out, all idle
/// connections to its peer are therefore closed: a client that tries them one by one waits for as
/// many timeouts. Those to other peers stay in use.
#[derive(Debug, Clone)]
pub struct HttpClient {
    clock: Clock,
    connections: Arc<Connections>,
}

/// One HTTP request.
#[derive(Debug)]
pub(crate) struct HttpRequest<'a, B> {
    pub(crate) peer: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) query: &'a [(&'a str, String)],
    pub(crate) headers: &'a [(&'a str, &'a str)],
    pub(crate) body: Option<&'a B>,
    /// Time for the whole call, connecting and the response body included.
    pub(crate) timeout: Span,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(IDLE_LIMITS)
    }
}

impl HttpClient {
    /// A client without open connections.
    pub(super) fn new(limits: IdleLimits) -> Self {
        Self {
            clock: Clock::start(),
            connections: Arc::new(Connections::new(limits)),
        }
    }

    /// Sends a request with a JSON body, if any, and reads the response.
    pub(crate) async fn call<B: Serialize>(
        &self,
        call: HttpRequest<'_, B>,
    ) -> Result<HttpResponse, CallError> {
        self.call_with_waiting(&call, || 0).await
    }

    /// Like [`HttpClient::call`]. `waiting` tells how many calls wait for a connection to the peer
    /// when this one has ended.
    pub(super) async fn call_with_waiting<B: Serialize>(
        &self,
        call: &HttpRequest<'_, B>,
        waiting: impl Fn() -> usize,
    ) -> Result<HttpResponse, CallError> {
        let request = encode(call).map_err(|e| CallError::NotSent(call.peer, e))?;
        self.send(call.peer, request, call.timeout, waiting).await
    }

    /// Sends bytes to another host of the system and reads the response.
    pub(crate) async fn post_bytes(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Span,
    ) -> Result<HttpResponse, CallError> {
        let request = Request::post(path)
            .header(HOST, peer.to_string())
            .body(Full::from(body))
            .map_err(|e| CallError::NotSent(peer, e.to_string()))?;
        self.send(peer, request, timeout, || 0).await
    }

    /// Closes all idle connections, and those in use when their call ends. Returns the number of
    /// idle ones.
    pub(super) fn close_all(&self) -> usize {
        self.connections.give_up_all()
    }

    /// Closes all connections to a peer after a call of another client to it has timed out.
    pub(super) fn suspect(&self, peer: SocketAddr) {
        self.connections.suspect(peer, self.clock.now());
    }

    /// Whether there is an idle connection to a peer.
    pub(super) fn has_idle(&self, peer: SocketAddr) -> bool {
        self.connections.has_idle(peer, self.clock.now())
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_unused(&self) {
        self.connections.close_unused(self.clock.now());
    }

    /// Numbers of connections.
    pub(crate) fn connection_counts(&self) -> ConnectionCounts {
        self.connections.counts()
    }

    async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Span,
        waiting: impl Fn() -> usize,
    ) -> Result<HttpResponse, CallError> {
        let deadline = Instant::now() + timeout.to_std();
        loop {
            let idle = self.connections.take(peer, self.clock.now());
            let was_idle = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(peer, deadline).await?,
            };
            let exchanged = exchange(&mut connection, request.clone());
            match tokio::time::timeout_at(deadline, exchanged).await {
                Ok(Ok((status, body))) => {
                    let now = self.clock.now();
                    if let Some(surplus) = self.connections.put(connection, waiting(), now) {
                        surplus.close().await;
                    }
                    return Ok(HttpResponse { status, body, peer });
                }
                // The peer has closed the connection while it was idle, before the request
                // was written to it.
                Ok(Err(error)) if was_idle && (error.is_canceled() || error.is_closed()) => {
                    connection.close().await;
                }
                Ok(Err(error)) => {
                    connection.close().await;
                    return Err(CallError::NoResponse(peer, describe(&error)));
                }
                Err(_) => {
                    self.give_up(&connection, peer);
                    connection.close().await;
                    let reason = format!("timeout of {timeout}");
                    return Err(CallError::TimedOut(peer, reason));
                }
            }
        }
    }

    async fn connect(&self, peer: SocketAddr, deadline: Instant) -> Result<Connection, CallError> {
        let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT.to_std());
        match tokio::time::timeout_at(limit, self.connections.open(peer)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(CallError::Refused(peer, describe(&error))),
            Err(_) => Err(CallError::NotSent(peer, "timeout".to_owned())),
        }
    }

    /// Closes the idle connections that may be silent like this one.
    fn give_up(&self, silent: &Connection, peer: SocketAddr) {
        let now = self.clock.now();
        // Of many calls that time out together the first one is enough.
        if let Some(closed) = self.connections.timed_out(peer, silent.generation(), now) {
            log::info!(peer:% = peer, closed = closed; "a call has timed out; its idle connections are closed");
        }
    }
}

/// Encodes a request with a JSON body, if any.
fn encode<B: Serialize>(call: &HttpRequest<'_, B>) -> Result<Request<Full<Bytes>>, String> {
    let mut target = call.path.to_owned();
    if !call.query.is_empty() {
        let url = format!("http://{}{}", call.peer, call.path);
        let url = Url::parse_with_params(&url, call.query).map_err(|e| e.to_string())?;
        target = format!("{}?{}", url.path(), url.query().unwrap_or_default());
    }
    let mut request = Request::builder()
        .method(&call.method)
        .uri(target)
        .header(HOST, call.peer.to_string());
    for (name, value) in call.headers {
        request = request.header(*name, *value);
    }
    let body = match call.body {
        Some(body) => {
            request = request.header(CONTENT_TYPE, "application/json");
            serde_json::to_vec(body).map_err(|e| e.to_string())?
        }
        None => Vec::new(),
    };
    request.body(Full::from(body)).map_err(|e| e.to_string())
}

/// Sends a request on a connection and reads the whole response.
async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), hyper::Error> {
    connection.sender.ready().await?;
    let response = connection.sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((status, body))
}

/// The error with the causes that its own text leaves out.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
