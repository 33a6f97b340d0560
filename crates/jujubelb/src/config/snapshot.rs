//! The checked configuration in force in a process.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::model::{
    Bytes, DomainName, EndpointName, HostName, JobName, JobSpec, RackName, RegionName, Resources,
    Revision, ServiceName, ShardName, Span, TeamName, WorkerName,
};

/// A checked configuration. All names that it mentions exist in it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Revision of the head from which it was read.
    pub revision: Revision,
    /// Regions.
    pub regions: IndexSet<RegionName>,
    /// Failure domains.
    pub domains: IndexMap<DomainName, Domain>,
    /// Entry hosts.
    pub hosts: IndexMap<HostName, Host>,
    /// Racks.
    pub racks: IndexMap<RackName, Rack>,
    /// Workers.
    pub workers: IndexMap<WorkerName, Worker>,
    /// Shards, derived from the racks. All racks of a shard stand in one domain.
    pub shards: IndexMap<ShardName, Shard>,
    /// Latency-critical services.
    pub services: IndexMap<ServiceName, Service>,
    /// Teams.
    pub teams: IndexMap<TeamName, Team>,
    /// Declared batch jobs and watchers.
    pub jobs: IndexMap<JobName, JobSpec>,
    /// Limits of the deployment.
    pub limits: Limits,
    /// What is declared as drained, which has to be in force before it is removed.
    #[serde(default)]
    pub drained: Drained,
}

/// Racks and workers that are declared as drained: no task may start there and
/// running ones are evicted, as in a domain that is out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drained {
    /// Racks.
    pub racks: IndexSet<RackName>,
    /// Workers, with all those of drained racks.
    pub workers: IndexSet<WorkerName>,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Its region.
    pub region: RegionName,
    /// Whether operators took it out: no task may start there and running ones are evicted.
    pub out: bool,
}

/// An entry host. Its two processes are peers named `<host>/entry` and `<host>/scheduler`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Failure domain.
    pub domain: DomainName,
    /// Address of the entry process for peers (UDP and TCP).
    pub entry: SocketAddr,
    /// Address of the scheduler process for peers (UDP and TCP).
    pub scheduler: SocketAddr,
}

/// A rack of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rack {
    /// Failure domain.
    pub domain: DomainName,
    /// Shard. A rack stays in its shard while it has workers.
    pub shard: ShardName,
}

/// A worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Rack.
    pub rack: RackName,
    /// Address of its control interface.
    pub address: SocketAddr,
    /// What the host has.
    pub capacity: Resources,
    /// What the service endpoints on the host need; never given to tasks.
    pub reserved: Resources,
    /// Whether the worker enforces the limit of each task.
    pub protection: bool,
}

/// A shard of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Failure domain.
    pub domain: DomainName,
    /// Its racks.
    pub racks: IndexSet<RackName>,
}

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Deadline of a request that names none.
    pub deadline: Span,
    /// Largest request or answer body.
    pub body: Bytes,
    /// Requests that may wait in one entry process.
    pub queue: u32,
    /// Endpoints.
    pub endpoints: IndexMap<EndpointName, Endpoint>,
}

/// A back end of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Failure domain.
    pub domain: DomainName,
    /// Address for HTTP requests.
    pub address: SocketAddr,
    /// Worker host on which it runs, for estimates of interference.
    pub worker: Option<WorkerName>,
    /// Requests that it serves at a time.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
    /// Whether it is declared as leaving: it gets no new requests.
    pub leaving: bool,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Most that its running tasks may use in the whole deployment.
    pub quota: Resources,
    /// Weight for fair sharing; at least 1.
    pub weight: u32,
}

/// Limits of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests a second that one entry process takes from one team or caller; 0 means no limit.
    pub rate: u32,
    /// Bytes a second that one entry process may send to other regions.
    pub link: Bytes,
    /// Largest size of one task.
    pub task: Resources,
    /// Most tasks of one job.
    pub tasks: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rate: 0,
            // Half of 30 Mbit/s shared by seven entry hosts; the rest is for the operators' own traffic.
            link: Bytes(268_000),
            task: Resources::new(64_000, 256 << 30, 8),
            tasks: 10_000,
        }
    }
}

impl Config {
    /// The shard of a worker, if the worker is declared.
    pub fn shard_of(&self, worker: &WorkerName) -> Option<&ShardName> {
        let worker = self.workers.get(worker)?;
        Some(&self.racks.get(&worker.rack)?.shard)
    }

    /// The failure domain of a worker, if the worker is declared.
    pub fn domain_of(&self, worker: &WorkerName) -> Option<&DomainName> {
        let worker = self.workers.get(worker)?;
        Some(&self.racks.get(&worker.rack)?.domain)
    }

    /// The workers of a shard, in order of declaration.
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

    /// Whether a worker of the permitted domains is large enough for a task of
    /// the job when nothing else runs there.
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
