//! HTTP client for all calls to the platform and between the hosts of the system.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use reqwest::header::HOST;
use reqwest::{Method, RequestBuilder, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::generations::{GenerationResolver, PeerGenerations, host_name};
use crate::model::Span;
use crate::telemetry::Clock;

/// Timeout for opening a connection. A lost SYN packet is sent again only after a
/// second, so that a new attempt is faster.
const CONNECT_TIMEOUT: Span = Span::from_millis(500);

/// How long an idle connection is kept. New connections to workers have a cost, while
/// an idle one takes only a file descriptor.
const IDLE_TIMEOUT: Span = Span::from_secs(60);

/// Why a call has no usable response.
#[derive(Debug, Clone, Error)]
pub enum CallError {
    /// The request was not sent, so that it had no effect.
    #[error("can't connect to {0}: {1}")]
    NotSent(SocketAddr, String),
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
            Self::NotSent(..) => true,
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
    pub(crate) body: Vec<u8>,
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

/// HTTP client with a pool of connections to each peer. After a call to a peer has timed out, its
/// idle connections are not used any more, those to other peers are.
#[derive(Debug, Clone)]
pub struct HttpClient {
    http: reqwest::Client,
    clock: Clock,
    peers: Arc<Mutex<PeerGenerations>>,
}

/// HTTP client whose idle connections are all closed after a call has timed out on one. Open
/// connections may go silent together, and a client that tries them one by one waits for as
/// many timeouts.
#[derive(Debug, Clone)]
pub(crate) struct RenewingClient {
    current: Arc<Mutex<Generation>>,
}

/// Connections that were opened since the last timeout.
#[derive(Debug, Clone)]
struct Generation {
    client: HttpClient,
    number: u64,
}

impl RenewingClient {
    /// A client without open connections.
    pub(crate) fn new() -> Result<Self, reqwest::Error> {
        let client = HttpClient::new()?;
        let first = Generation { client, number: 0 };
        Ok(Self {
            current: Arc::new(Mutex::new(first)),
        })
    }

    /// Sends a request with a JSON body, if any, and reads the response.
    pub(crate) async fn call<B: Serialize>(
        &self,
        call: HttpRequest<'_, B>,
    ) -> Result<HttpResponse, CallError> {
        let used = self.lock().clone();
        let result = used.client.call(call).await;
        if let Err(CallError::TimedOut(peer, _)) = result {
            self.replace(peer, used.number);
        }
        result
    }

    /// Lets later calls open new connections. Calls that are on their way go on.
    fn replace(&self, peer: SocketAddr, suspected: u64) {
        let mut current = self.lock();
        // Of many calls that time out together the first one is enough.
        if current.number != suspected {
            return;
        }
        match HttpClient::new() {
            Ok(client) => {
                let number = suspected + 1;
                *current = Generation { client, number };
                log::info!(peer:% = peer, generation = number; "a call has timed out; its idle connections are closed");
            }
            Err(error) => {
                log::error!(peer:% = peer, error:% = error; "idle connections can't be replaced");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Generation> {
        // No holder can leave the data inconsistent.
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
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

impl HttpClient {
    /// A client without open connections.
    pub fn new() -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT.to_std())
            .pool_idle_timeout(IDLE_TIMEOUT.to_std())
            .tcp_nodelay(true)
            .http1_only()
            .no_proxy()
            .dns_resolver(Arc::new(GenerationResolver))
            .build()?;
        Ok(Self {
            http,
            clock: Clock::start(),
            peers: Arc::default(),
        })
    }

    /// Sends a request with a JSON body, if any, and reads the response.
    pub(crate) async fn call<B: Serialize>(
        &self,
        call: HttpRequest<'_, B>,
    ) -> Result<HttpResponse, CallError> {
        let build = |url: String| {
            let mut request = self
                .http
                .request(call.method, url)
                .timeout(call.timeout.to_std());
            if !call.query.is_empty() {
                request = request.query(call.query);
            }
            for (name, value) in call.headers {
                request = request.header(*name, *value);
            }
            match call.body {
                Some(body) => request.json(body),
                None => request,
            }
        };
        self.send(call.peer, call.path, build).await
    }

    /// Sends bytes to another host of the system and reads the response.
    pub(crate) async fn post_bytes(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Span,
    ) -> Result<HttpResponse, CallError> {
        let build = |url: String| self.http.post(url).timeout(timeout.to_std()).body(body);
        self.send(peer, path, build).await
    }

    /// Sends the request that `build` makes for a URL, on a connection of the peer's present
    /// generation.
    async fn send(
        &self,
        peer: SocketAddr,
        path: &str,
        build: impl FnOnce(String) -> RequestBuilder,
    ) -> Result<HttpResponse, CallError> {
        let generation = self.lock_peers().current(peer);
        let request = match generation {
            None => build(format!("http://{peer}{path}")),
            Some(number) => {
                let name = host_name(peer.ip(), number);
                let url = format!("http://{name}:{}{path}", peer.port());
                build(url).header(HOST, peer.to_string())
            }
        };
        let result = exchange(peer, request).await;
        if let Err(CallError::TimedOut(..)) = result
            && let Some(number) = self
                .lock_peers()
                .timed_out(peer, generation, self.clock.now())
        {
            log::info!(peer:% = peer, generation = number; "a call has timed out; its idle connections are not used any more");
        }
        result
    }

    fn lock_peers(&self) -> MutexGuard<'_, PeerGenerations> {
        // No holder can leave the data inconsistent.
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn exchange(peer: SocketAddr, request: RequestBuilder) -> Result<HttpResponse, CallError> {
    let response = request.send().await.map_err(|e| failure(peer, &e))?;
    let status = response.status();
    let body = response.bytes().await.map_err(|e| failure(peer, &e))?;
    Ok(HttpResponse {
        status,
        body: body.to_vec(),
        peer,
    })
}

/// What an error of a call says of the effect of its request.
fn failure(peer: SocketAddr, error: &reqwest::Error) -> CallError {
    let text = describe(error);
    if error.is_connect() || error.is_builder() {
        CallError::NotSent(peer, text)
    } else if error.is_timeout() {
        CallError::TimedOut(peer, text)
    } else {
        CallError::NoResponse(peer, text)
    }
}

/// The error with the causes that its own text leaves out.
fn describe(error: &reqwest::Error) -> String {
    use std::error::Error;
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
