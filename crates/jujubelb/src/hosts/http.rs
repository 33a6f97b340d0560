//! Adapter of the host list over HTTP with JSON.

use std::net::SocketAddr;

use super::{HostList, HostsAnswer, HostsError};
use crate::http::{self, CallError, Http};
use crate::model::Span;

/// Time and size limits of a call.
const LIMITS: http::Limits = http::Limits {
    connect: Span::from_millis(500),
    whole: Span::from_secs(2),
    // 2,600 workers and their endpoints with about 100 bytes each, several times over.
    answer: 2 << 20,
};

/// The host list over HTTP.
#[derive(Debug)]
pub struct HttpHosts {
    address: SocketAddr,
    http: Http,
}

impl HttpHosts {
    /// An adapter for the list at this address.
    pub fn new(address: SocketAddr) -> Result<Self, HostsError> {
        let http = Http::new(LIMITS).map_err(|e| HostsError::Unreachable(http::describe(&e)))?;
        Ok(Self { address, http })
    }
}

impl HostList for HttpHosts {
    fn hosts(&self, after: u64) -> Result<HostsAnswer, HostsError> {
        let url = http::url_with(self.address, "/v1/hosts", &[("after", &after.to_string())]);
        let answer = self
            .http
            .get(url, Span::ZERO)
            .map_err(|error| match error {
                CallError::Oversized(_) => HostsError::Malformed(error.to_string()),
                error => HostsError::Unreachable(error.to_string()),
            })?;
        match answer.status {
            200 => answer.json().map_err(HostsError::Malformed),
            status => Err(HostsError::Unreachable(format!("status {status}"))),
        }
    }
}
