//! The platform's list of live and leaving hosts.
//!
//! `GET /v1/hosts?after=V` answers with a [`HostListResponse`]. The list lags behind
//! the actual state.

mod http;
#[cfg(test)]
mod tests;

pub use http::HttpHostList;

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One host in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Its address.
    pub address: IpAddr,
    /// If present, the entry stands only for what listens on this port of the address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub port: Option<u16>,
    /// Whether the host is leaving: it finishes its work and gets no more.
    pub leaving: bool,
}

/// Answer to a request for the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListResponse {
    /// Version of the list; grows with each change.
    pub version: u64,
    /// All hosts; absent if the version is the one that the caller has.
    pub hosts: Option<Vec<HostEntry>>,
}

/// Failure to get the list.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HostListError {
    /// No answer came.
    #[error("no answer from the host list: {0}; the last list stays in use")]
    Unreachable(String),
    /// The answer could not be understood.
    #[error("the host list's answer is malformed: {0}; the last list stays in use")]
    Malformed(String),
}

/// The platform's host list. Calls block until the answer or the adapter's timeout.
pub trait HostList: Send + Sync {
    /// The list, without the hosts if its version is `after`.
    fn hosts(&self, after: u64) -> Result<HostListResponse, HostListError>;
}

/// The newest list that a process knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostListView {
    version: u64,
    hosts: indexmap::IndexMap<(IpAddr, Option<u16>), bool>,
}

impl HostListView {
    /// Version of the list; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes an answer over. One with a lower version than the present one is
    /// dropped. Returns whether the list changed.
    pub fn update(&mut self, answer: HostListResponse) -> bool {
        let Some(hosts) = answer.hosts else {
            return false;
        };
        if answer.version <= self.version {
            return false;
        }
        self.version = answer.version;
        self.hosts = hosts
            .into_iter()
            .map(|host| ((host.address, host.port), host.leaving))
            .collect();
        true
    }

    /// Whether the host of this address is listed as leaving.
    pub fn is_leaving(&self, address: SocketAddr) -> bool {
        self.state(address) == Some(true)
    }

    /// Whether the host of this address is listed at all.
    pub fn is_listed(&self, address: SocketAddr) -> bool {
        self.state(address).is_some()
    }

    fn state(&self, address: SocketAddr) -> Option<bool> {
        self.hosts
            .get(&(address.ip(), Some(address.port())))
            .or_else(|| self.hosts.get(&(address.ip(), None)))
            .copied()
    }
}
