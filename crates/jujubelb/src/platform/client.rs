//! The one HTTP client for everything that the platform offers.

use std::net::SocketAddr;

use reqwest::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::model::Span;

/// Time to open a connection. A dropped opening packet is sent again after a
/// second, which is longer than a fresh attempt takes.
const CONNECT: Span = Span::from_millis(500);

/// How long an unused connection is kept. New connections to workers have a
/// price, and an unused one costs only a descriptor.
const IDLE: Span = Span::from_secs(60);

/// Why a call has no usable answer.
#[derive(Debug, Clone, Error)]
pub enum CallError {
    /// The connection could not be opened, so that nothing was done.
    #[error("no connection to {0}: {1}")]
    NotSent(SocketAddr, String),
    /// It was sent and not answered in time; it may have an effect, also later.
    #[error("no answer from {0}: {1}")]
    NoAnswer(SocketAddr, String),
    /// Answered with a status that the call doesn't know.
    #[error("{0} answered with status {1}")]
    Status(SocketAddr, u16),
    /// Answered with a body that can't be read.
    #[error("the answer of {0} can't be read: {1}")]
    Body(SocketAddr, String),
}

impl CallError {
    /// Whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::NotSent(..) => true,
            // Too many calls, or not now: the platform says that nothing was done.
            Self::Status(_, status) => matches!(status, 429 | 503),
            Self::NoAnswer(..) | Self::Body(..) => false,
        }
    }
}

/// An answer before its body is decoded.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Vec<u8>,
    peer: SocketAddr,
}

impl Answer {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|e| CallError::Body(self.peer, e.to_string()))
    }

    pub(crate) fn unexpected(&self) -> CallError {
        CallError::Status(self.peer, self.status.as_u16())
    }
}

/// HTTP client with kept connections.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
}

/// One call.
#[derive(Debug)]
pub(crate) struct Call<'a, B> {
    pub(crate) peer: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) query: &'a [(&'a str, String)],
    pub(crate) headers: &'a [(&'a str, &'a str)],
    pub(crate) body: Option<&'a B>,
    /// Time for the whole call.
    pub(crate) limit: Span,
}

impl Client {
    /// A client without connections.
    pub fn new() -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT.to_std())
            .pool_idle_timeout(IDLE.to_std())
            .tcp_nodelay(true)
            .http1_only()
            .no_proxy()
            .build()?;
        Ok(Self { http })
    }

    pub(crate) async fn call<B: Serialize>(&self, call: Call<'_, B>) -> Result<Answer, CallError> {
        let peer = call.peer;
        let url = format!("http://{peer}{}", call.path);
        let mut request = self
            .http
            .request(call.method, url)
            .timeout(call.limit.to_std());
        if !call.query.is_empty() {
            request = request.query(call.query);
        }
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        if let Some(body) = call.body {
            request = request.json(body);
        }
        let failed = |e: reqwest::Error| match e.is_connect() || e.is_builder() {
            true => CallError::NotSent(peer, describe(&e)),
            false => CallError::NoAnswer(peer, describe(&e)),
        };
        let response = request.send().await.map_err(failed)?;
        let status = response.status();
        let body = response
            .bytes()
            .await
            .map_err(|e| CallError::NoAnswer(peer, describe(&e)))?;
        Ok(Answer {
            status,
            body: body.to_vec(),
            peer,
        })
    }

    /// Sends bytes between the system's own processes.
    pub(crate) async fn exchange(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Vec<u8>,
        limit: Span,
    ) -> Result<Answer, CallError> {
        let url = format!("http://{peer}{path}");
        let request = self.http.post(url).timeout(limit.to_std()).body(body);
        let response = request.send().await.map_err(|e| match e.is_connect() {
            true => CallError::NotSent(peer, describe(&e)),
            false => CallError::NoAnswer(peer, describe(&e)),
        })?;
        let status = response.status();
        let body = response
            .bytes()
            .await
            .map_err(|e| CallError::NoAnswer(peer, describe(&e)))?;
        Ok(Answer {
            status,
            body: body.to_vec(),
            peer,
        })
    }
}

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
