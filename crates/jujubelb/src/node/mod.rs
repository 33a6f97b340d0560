//! The process of one entry host on the platform. It serves callers' requests and,
//! while it holds the leader key in the store, dispatches the tasks of all jobs.

mod access;
mod callers;
mod candidacy;
mod config_check;
mod config_exchange;
mod election;
mod job_write;
mod keys;
mod known_config;
mod known_load;
mod leader;
mod logging;
mod main;
mod monitoring;
mod peers;
mod relay;
mod serve;
mod state;
mod supervision;
#[cfg(test)]
mod tests;
mod voters;
mod watch;

use std::net::SocketAddr;

use crate::dispatch::Bounds;
use crate::model::{DomainName, HostName, Span};

pub use logging::start_log;
pub use main::{NodeOptions, run};
#[cfg(test)]
pub(crate) use relay::RELAY_MARGIN;

/// How a deployment with customers serves calls while the withdrawal of their key may be unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Revocation {
    /// Whether such calls are refused. Otherwise they are refused only if they write.
    pub strict: bool,
    /// Time after its acknowledgement from which the withdrawal of a key has to be in force.
    pub bound: Span,
}

/// Settings of one host, read from the platform's settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address on which callers' requests are served.
    pub caller_address: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub readiness_address: SocketAddr,
    /// Address on which other hosts of the system call this one.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the policy service that names the workers allowed to run steps
    /// of some queues; absent if the deployment has none.
    pub policy_address: Option<SocketAddr>,
    /// Shortest lease that the store grants.
    pub min_lease_ttl: Span,
    /// Processor capacity of the host in cores; may be a fraction.
    pub cpu_cores: f64,
    /// Speed of the host's network link in Mbit/s.
    pub link_mbps: f64,
    /// Time from the stop signal until the platform kills the process.
    pub stop_grace: Span,
    /// Time after its acknowledgement from which a configuration has to be in force.
    pub config_bound: Span,
    /// How calls are served while the withdrawal of their key may be unknown.
    pub revocation: Revocation,
    /// Time bounds and slowdown factor of the deployment.
    pub bounds: Bounds,
}

impl HostSettings {
    /// Age from which evidence of the newest configuration does not suffice. Where keys are asked
    /// for and withdrawals are strict, it also keeps to their bound.
    fn evidence_bound(&self, has_customers: bool) -> Span {
        match has_customers && self.revocation.strict {
            true => self.config_bound.min(self.revocation.bound),
            false => self.config_bound,
        }
    }
}
