//! The checked configuration that a process holds in memory.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::model::{
    Bytes, DomainName, EndpointName, HostName, JobName, JobSpec, RackName, RegionName, Resources,
    Revision, ServiceName, ShardName, Span, TeamName, WorkerName,
};

/// A checked configuration. Every name that it refers to is declared in it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Revision of the head from which it was read; zero before the first read.
    pub revision: Revision,
    /// Declared regions.
    pub regions: IndexSet<RegionName>,
    /// Failure domains with their regions and states.
    pub domains: IndexMap<DomainName, Domain>,
    /// Entry hosts with the peer addresses of their two processes.
    pub hosts: IndexMap<HostName, Host>,
    /// Racks with their domains and shards.
    pub racks: IndexMap<RackName, Rack>,
    /// Workers of all racks, drained ones included.
    pub workers: IndexMap<WorkerName, Worker>,
    /// Shards, derived from the racks. All racks of a shard are in one failure domain.
    pub shards: IndexMap<ShardName, Shard>,
    /// Latency-critical services.
    pub services: IndexMap<ServiceName, Service>,
    /// Teams with their quotas and weights.
    pub teams: IndexMap<TeamName, Team>,
    /// Declared batch jobs and watchers.
    pub jobs: IndexMap<JobName, JobSpec>,
    /// Limits that apply to the whole deployment.
    pub limits: Limits,
    /// Racks and workers declared as drained. A drain has to be active before they
    /// may be removed.
    #[serde(default)]
    pub drained: Drained,
}

/// Racks and workers that are declared as drained: no task may start there and
/// running tasks are evicted, as in a domain that is out of service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drained {
    /// Racks with `drained: true`.
    pub racks: IndexSet<RackName>,
    /// Workers with `drained: true` and all workers of drained racks.
    pub workers: IndexSet<WorkerName>,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Region in which the domain is.
    pub region: RegionName,
    /// Whether operators took the domain out of service: no task may start there and
    /// running tasks are evicted.
    pub out: bool,
}

/// An entry host. Its two processes are peers named `<host>/entry` and `<host>/scheduler`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address of the entry process for peers (UDP and TCP).
    pub entry: SocketAddr,
    /// Address of the scheduler process for peers (UDP and TCP).
    pub scheduler: SocketAddr,
}

/// A rack of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rack {
    /// Failure domain of the rack and its workers.
    pub domain: DomainName,
    /// Shard that owns the rack's workers. It cannot change while the rack has workers.
    pub shard: ShardName,
}

/// A worker host that runs tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Rack in which the worker is.
    pub rack: RackName,
    /// Address of the worker's control interface.
    pub address: SocketAddr,
    /// Total resources of the host.
    pub capacity: Resources,
    /// Resources set aside for the service endpoints on the host; never given to tasks.
    pub reserved: Resources,
    /// Whether the worker enforces the resource limit of each task.
    pub protection: bool,
}

/// A group of racks whose workers have one shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Failure domain of all its racks.
    pub domain: DomainName,
    /// Racks that declare this shard.
    pub racks: IndexSet<RackName>,
}

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Deadline of a request whose caller sets none.
    pub deadline: Span,
    /// Maximum size of a request or response body.
    pub body: Bytes,
    /// Maximum number of requests that wait in one entry process.
    pub queue: u32,
    /// Endpoints that serve its requests.
    pub endpoints: IndexMap<EndpointName, Endpoint>,
}

/// A server process of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Failure domain of the endpoint.
    pub domain: DomainName,
    /// Address for HTTP requests.
    pub address: SocketAddr,
    /// Worker host on which it runs, for interference estimates; `None` if it runs elsewhere.
    pub worker: Option<WorkerName>,
    /// Maximum number of requests that it serves concurrently.
    pub slots: u32,
    /// Maximum number of connections that it accepts; at least `slots`.
    pub connections: u32,
    /// Whether it is being drained and gets no new requests.
    pub leaving: bool,
}

/// A team that owns jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Maximum resources of its running tasks in the whole deployment.
    pub quota: Resources,
    /// Weight for fair sharing, 1 or more.
    pub weight: u32,
}

/// Limits that apply to the whole deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests a second that one entry process accepts from one team or caller; 0 means no limit.
    pub rate: u32,
    /// Bytes a second that one entry process may send to other regions.
    pub link: Bytes,
    /// Maximum resources of one task.
    pub task: Resources,
    /// Maximum number of tasks of one job.
    pub tasks: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rate: 0,
            // Half of a 30 Mbit/s link, divided among seven entry hosts; the other half is
            // left for the operators' own traffic.
            link: Bytes(268_000),
            task: Resources::new(64_000, 256 << 30, 8),
            tasks: 10_000,
        }
    }
}

impl Config {
    /// Returns the shard of a worker, or `None` if the worker is not declared.
    pub fn shard_of(&self, worker: &WorkerName) -> Option<&ShardName> {
        let worker = self.workers.get(worker)?;
        Some(&self.racks.get(&worker.rack)?.shard)
    }

    /// Returns the failure domain of a worker, or `None` if the worker is not declared.
    pub fn domain_of(&self, worker: &WorkerName) -> Option<&DomainName> {
        let worker = self.workers.get(worker)?;
        Some(&self.racks.get(&worker.rack)?.domain)
    }

    /// Returns the workers of a shard, in order of declaration.
    pub fn workers_of<'a>(
        &'a self,
        shard: &'a ShardName,
    ) -> impl Iterator<Item = (&'a WorkerName, &'a Worker)> {
        self.workers
            .iter()
            .filter(move |(_, w)| self.racks.get(&w.rack).is_some_and(|r| &r.shard == shard))
    }

    /// Whether tasks may start on a worker: it is declared, not drained, and its domain is in service.
    pub fn may_start_on(&self, worker: &WorkerName) -> bool {
        !self.drained.workers.contains(worker)
            && self.domain_of(worker).is_some_and(|d| self.in_service(d))
    }

    /// Whether an otherwise empty worker in one of the job's permitted domains is
    /// large enough for one of its tasks.
    pub fn fits_any_worker(&self, job: &JobSpec) -> bool {
        self.workers.iter().any(|(name, worker)| {
            let domains = &job.task.domains;
            let permitted =
                domains.is_empty() || self.domain_of(name).is_some_and(|d| domains.contains(d));
            permitted
                && job
                    .task
                    .size
                    .fits(&worker.capacity.saturating_sub(&worker.reserved))
        })
    }

    /// Whether a domain is declared and in service.
    pub fn in_service(&self, domain: &DomainName) -> bool {
        self.domains.get(domain).is_some_and(|d| !d.out)
    }
}
