//! The platform's list of live and leaving hosts.
//!
//! `GET /v1/hosts?after=V` responds with a [`HostListResponse`]. The list lags behind the
//! actual state.

mod http;
#[cfg(test)]
mod tests;

pub use http::HttpHostList;

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Address of the host.
    pub address: IpAddr,
    /// If present, the entry applies only to this port of the address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub port: Option<u16>,
    /// Whether the host is leaving: it finishes its work and must get no new work.
    pub leaving: bool,
}

/// Response to a request for the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListResponse {
    /// Version of the list, which grows with each change.
    pub version: u64,
    /// All entries; absent if the caller already has this version.
    pub hosts: Option<Vec<HostEntry>>,
}

/// Failure to get the list.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HostListError {
    /// No usable response was received.
    #[error("no response from the host list: {0}; the last list stays in use")]
    Unreachable(String),
    /// The response could not be parsed.
    #[error("the host list's response is malformed: {0}; the last list stays in use")]
    Malformed(String),
}

/// The platform's host list. Calls block until a response arrives or time out.
pub trait HostList: Send + Sync {
    /// Returns the list, without entries if its version is `after`.
    fn hosts(&self, after: u64) -> Result<HostListResponse, HostListError>;
}

/// The newest list that a process received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostListView {
    version: u64,
    /// Whether each address, or each port of an address, is leaving.
    hosts: indexmap::IndexMap<(IpAddr, Option<u16>), bool>,
}

impl HostListView {
    /// Version of the list; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a response. One without entries, or whose version is not newer, is ignored.
    /// Returns whether the list changed.
    pub fn update(&mut self, response: HostListResponse) -> bool {
        let Some(hosts) = response.hosts else {
            return false;
        };
        if response.version <= self.version {
            return false;
        }
        self.version = response.version;
        self.hosts = hosts
            .into_iter()
            .map(|host| ((host.address, host.port), host.leaving))
            .collect();
        true
    }

    /// Whether the address is listed as leaving.
    pub fn is_leaving(&self, address: SocketAddr) -> bool {
        self.state(address) == Some(true)
    }

    /// Whether the address is listed at all.
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
