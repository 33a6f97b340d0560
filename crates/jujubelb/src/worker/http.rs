//! Client of the worker protocol over HTTP with JSON.

use std::net::SocketAddr;

use super::{SyncRequest, SyncResponse, WorkerClient, WorkerError};
use crate::http::{self, CallError, HttpClient};
use crate::model::Span;

/// Timeouts and response size limit of an exchange.
const LIMITS: http::Limits = http::Limits {
    connect: Span::from_millis(500),
    // Several exchanges may fail within a worker lease of 15 s.
    total: Span::from_secs(2),
    // A complete inventory with resource usage: about 400 bytes for each task.
    max_bytes: 1 << 20,
};

/// Worker client over HTTP.
#[derive(Debug)]
pub struct HttpWorkerClient {
    http: HttpClient,
}

impl HttpWorkerClient {
    /// Creates a client with its own connection pool.
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
        let response = self
            .http
            .post(http::url(address, "/v1/sync"), request)
            .map_err(|error| match error {
                CallError::TooLarge(_) => WorkerError::Malformed(error.to_string()),
                error => WorkerError::Unreachable(error.to_string()),
            })?;
        match response.status {
            200 => response.json().map_err(WorkerError::Malformed),
            status => Err(WorkerError::Unreachable(format!("status {status}"))),
        }
    }
}
