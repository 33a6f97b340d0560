//! The process of one entry host on the platform: takes callers' requests, and
//! leads the dispatch of all jobs while it holds the leader's key.

mod callers;
mod control;
mod election;
mod keys;
mod leader;
mod logging;
mod main;
mod peers;
mod serve;
mod state;
#[cfg(test)]
mod tests;
mod watch;

use std::net::SocketAddr;

use crate::dispatch::Bounds;
use crate::model::{DomainName, HostName, Span};

pub use logging::start_log;
pub use main::{NodeOptions, run};

/// What a host is told by its platform.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Its name.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers arrive.
    pub callers: SocketAddr,
    /// Where the load balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Where other hosts of the system call.
    pub peers: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// The policy service that names the workers for steps of some queues.
    pub advice: Option<SocketAddr>,
    /// Shortest lease that the store grants.
    pub shortest_lease: Span,
    /// Share of a core that the host has.
    pub processor: f64,
    /// Time between a request to stop and the end of the process.
    pub grace: Span,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}
