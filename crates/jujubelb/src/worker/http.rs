//! Adapter of the worker protocol over HTTP with JSON.

use std::net::SocketAddr;

use super::{SyncRequest, SyncResponse, WorkerClient, WorkerError};
use crate::http::{self, CallError, HttpClient};
use crate::model::Span;

/// Time and size limits of an exchange.
const LIMITS: http::Limits = http::Limits {
    connect: Span::from_millis(500),
    // A worker lease of 15 s leaves room for several exchanges that fail.
    total: Span::from_secs(2),
    // A whole inventory with measured use: about 400 bytes for each task.
    max_bytes: 1 << 20,
};

/// Exchanges with workers over HTTP.
#[derive(Debug)]
pub struct HttpWorkerClient {
    http: HttpClient,
}

impl HttpWorkerClient {
    /// An adapter with connections of its own.
    pub fn new() -> Result<Self, WorkerError> {
        let http =
            HttpClient::new(LIMITS).map_err(|e| WorkerError::Unreachable(http::error_chain(&e)))?;
        Ok(Self { http })
    }
}

impl WorkerClient for HttpWorkerClient {
    fn sync(
        &self,
        address: SocketAddr,
        request: &SyncRequest,
    ) -> Result<SyncResponse, WorkerError> {
        let answer = self
            .http
            .post(http::url(address, "/v1/sync"), request)
            .map_err(|error| match error {
                CallError::TooLarge(_) => WorkerError::Malformed(error.to_string()),
                error => WorkerError::Unreachable(error.to_string()),
            })?;
        match answer.status {
            200 => answer.json().map_err(WorkerError::Malformed),
            status => Err(WorkerError::Unreachable(format!("status {status}"))),
        }
    }
}
