//! HTTP servers, and a client for blocking calls with JSON bodies to the platform with
//! bounded time and response size.

pub(crate) mod body;
pub(crate) mod response;
#[cfg(test)]
pub(crate) mod test_server;

mod serve;
#[cfg(test)]
mod tests;

pub use serve::ServeError;
pub(crate) use serve::{Server, rocket_config};

use std::io::Read;
use std::time::Duration;

use reqwest::Url;
use reqwest::blocking::{Client, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::model::Span;

/// Why a call returned no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection was established, so the request was certainly not sent.
    NotSent(String),
    /// The request may have been sent, and no complete response was received.
    NoResponse(String),
    /// The response's body exceeds the limit, given in bytes.
    TooLarge(usize),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(text) | Self::NoResponse(text) => f.write_str(text),
            Self::TooLarge(limit) => write!(f, "the response is larger than {limit} bytes"),
        }
    }
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl HttpResponse {
    /// Parses the body as JSON; the error is a human-readable message.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|e| e.to_string())
    }
}

/// Limits of the time and size of calls.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Time for establishing a connection.
    pub(crate) connect: Span,
    /// Time for the call, including the connection.
    pub(crate) total: Span,
    /// Maximum size of a response's body in bytes.
    pub(crate) max_bytes: usize,
}

/// HTTP client that reuses connections.
#[derive(Debug)]
pub(crate) struct HttpClient {
    client: Client,
    limits: Limits,
}

impl HttpClient {
    /// Creates a client with these limits.
    pub(crate) fn new(limits: Limits) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(limits.connect.to_std())
            .timeout(limits.total.to_std())
            .pool_idle_timeout(Duration::from_secs(60))
            .build()?;
        Ok(Self { client, limits })
    }

    /// Sends a GET request, with `wait` added to the time for the call.
    pub(crate) fn get(&self, url: Url, wait: Span) -> Result<HttpResponse, CallError> {
        let timeout = (self.limits.total + wait).to_std();
        self.send(self.client.get(url).timeout(timeout))
    }

    /// Sends a POST request with a JSON body.
    pub(crate) fn post<T: Serialize>(&self, url: Url, body: &T) -> Result<HttpResponse, CallError> {
        self.send(self.client.post(url).json(body))
    }

    fn send(&self, request: RequestBuilder) -> Result<HttpResponse, CallError> {
        let response = request.send().map_err(|error| {
            if error.is_connect() || error.is_builder() {
                CallError::NotSent(error_chain(&error))
            } else {
                CallError::NoResponse(error_chain(&error))
            }
        })?;
        let status = response.status().as_u16();
        let limit = self.limits.max_bytes;
        let mut body = Vec::new();
        response
            .take(limit as u64 + 1)
            .read_to_end(&mut body)
            .map_err(|error| CallError::NoResponse(error_chain(&error)))?;
        if body.len() > limit {
            return Err(CallError::TooLarge(limit));
        }
        Ok(HttpResponse { status, body })
    }
}

/// Formats an error and its causes in one line.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text
}

/// The URL of a path at an address.
pub(crate) fn url(address: std::net::SocketAddr, path: &str) -> Url {
    let mut url = base(address);
    url.set_path(path);
    url
}

/// The URL of a path at an address, with query parameters.
pub(crate) fn url_with_query(
    address: std::net::SocketAddr,
    path: &str,
    query: &[(&str, &str)],
) -> Url {
    let mut url = url(address, path);
    url.query_pairs_mut().extend_pairs(query);
    url
}

fn base(address: std::net::SocketAddr) -> Url {
    // A socket address is always a valid authority; its format encloses IPv6 addresses in
    // brackets.
    Url::parse(&format!("http://{address}/")).expect("a socket address forms a URL")
}
