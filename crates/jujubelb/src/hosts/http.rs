//! Client of the host list over HTTP with JSON.

use std::net::SocketAddr;

use super::{HostList, HostListError, HostListResponse};
use crate::http::{self, CallError, HttpClient};
use crate::model::Span;

/// Limits of a call.
const LIMITS: http::Limits = http::Limits {
    connect: Span::from_millis(500),
    total: Span::from_secs(2),
    // Several times the size for 2,600 workers and their endpoints, about 100 bytes each.
    max_bytes: 2 << 20,
};

/// Reads the host list over HTTP.
#[derive(Debug)]
pub struct HttpHostList {
    address: SocketAddr,
    http: HttpClient,
}

impl HttpHostList {
    /// Creates a client for the list at this address.
    pub fn new(address: SocketAddr) -> Result<Self, HostListError> {
        let http = HttpClient::new(LIMITS)
            .map_err(|e| HostListError::Unreachable(http::error_chain(&e)))?;
        Ok(Self { address, http })
    }
}

impl HostList for HttpHostList {
    fn hosts(&self, after: u64) -> Result<HostListResponse, HostListError> {
        let url = http::url_with_query(self.address, "/v1/hosts", &[("after", &after.to_string())]);
        let response = self
            .http
            .get(url, Span::ZERO)
            .map_err(|error| match error {
                CallError::TooLarge(_) => HostListError::Malformed(error.to_string()),
                error => HostListError::Unreachable(error.to_string()),
            })?;
        match response.status {
            200 => response.json().map_err(HostListError::Malformed),
            status => Err(HostListError::Unreachable(format!("status {status}"))),
        }
    }
}
