//! Messages between the system's own processes, encoded with postcard.

use std::net::SocketAddr;
use std::sync::Arc;

use arcstr::ArcStr;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::claim::HostSetId;
use crate::config::Config;
use crate::model::{
    Code, DomainName, EndpointName, Incarnation, NodeName, Record, Revision, ServiceName,
    ShardName, Span, WorkerName,
};
use crate::operator::api::ServiceTop;
use crate::place::LatencyReport;
use crate::shard::{
    Cancellation, Offer, OfferReply, ShardSummary, Submission, TaskView, TeamUsage,
};

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Role {
    /// Accepts requests.
    Entry,
    /// Owns shards.
    Scheduler,
}

/// Use of one endpoint by one entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The service.
    pub service: ServiceName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Requests in flight from this process.
    pub inflight: u16,
}

/// Sent to each peer at a steady rate over UDP.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its role.
    pub role: Role,
    /// Its address for peers (UDP and TCP).
    pub address: SocketAddr,
    /// Interval until its next heartbeat to this receiver.
    pub interval: Span,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is stopping.
    pub draining: bool,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Age of the sender's start evidence when this was sent, if it has any.
    /// A receiver may not use it as evidence of its own: the datagram may be
    /// delayed. It only tells whom to ask.
    pub evidence: Option<Span>,
    /// Endpoints with requests in flight; a changed subset if all do not fit.
    pub loads: Vec<EndpointLoad>,
    /// Shards that the sender owns.
    pub shards: Vec<ShardSummary>,
}

/// Identity of a keyed request at its claim holders.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service.
    pub service: ServiceName,
    /// The caller's request key.
    pub key: ArcStr,
}

/// A holder's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimReply {
    /// The claim is held for this claimant.
    Granted,
    /// Another attempt holds the claim.
    Held,
    /// The holder can't rule out an earlier claim, because it started too recently.
    Abstained,
}

/// A question about the state of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Query {
    /// Records newer than this age, of all subjects or of one given as text.
    Records {
        /// Subject as an operator wrote it, for example a task, worker or domain name.
        subject: Option<String>,
        /// Only records at most this old.
        since: Option<Span>,
    },
    /// Tasks of one shard or of all.
    Tasks(Option<ShardName>),
    /// The whole state as JSON.
    Dump,
    /// Services, shards and use of quotas, for the overview.
    Top,
}

/// The answer to a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeView {
    /// The process that answers.
    pub node: NodeName,
    /// Age of its start evidence: how old its view of the operators' intent is.
    pub age: Option<Span>,
    /// Records, oldest first.
    pub records: Vec<Record>,
    /// Tasks.
    pub tasks: Vec<TaskView>,
    /// State dump as JSON text.
    pub dump: Option<String>,
    /// Services as this process sees them.
    pub services: Vec<ServiceTop>,
    /// Shards that this process owns.
    pub shards: Vec<ShardSummary>,
    /// Use of quotas in these shards.
    pub teams: Vec<TeamUsage>,
    /// Workers in quarantine in these shards.
    pub quarantined: Vec<WorkerName>,
}

impl NodeView {
    /// The view of a process that knows nothing.
    pub fn empty(node: NodeName, age: Option<Span>) -> Self {
        Self {
            node,
            age,
            records: Vec::new(),
            tasks: Vec::new(),
            dump: None,
            services: Vec::new(),
            shards: Vec::new(),
            teams: Vec::new(),
            quarantined: Vec::new(),
        }
    }
}

/// A call to a peer over TCP. Each is idempotent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Accept a job.
    Submit(Submission),
    /// Cancel a job.
    Cancel(Cancellation),
    /// Claim a request key for one attempt.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The claimant, unique for each attempt of a caller.
        claimant: u128,
        /// The sets of entry hosts that the claimant knows. A holder that knows
        /// of another one abstains: holders chosen from it may have granted the key.
        sets: Vec<HostSetId>,
    },
    /// Give up a claim of a request that was certainly not sent.
    Release {
        /// The key.
        key: ClaimKey,
        /// The claimant.
        claimant: u128,
    },
    /// Take over a queued task.
    Offer(Offer),
    /// Give the configuration in force, if newer than this, and the age of the evidence.
    Config(Revision),
    /// Tell whether the process still renews leases of a shard.
    Renewing(ShardName),
    /// Store these records with the next segment.
    Records(Vec<Record>),
    /// Latencies measured by an entry process.
    Latency(Vec<LatencyReport>),
    /// A question about state.
    Query(Query),
    /// An operator confirms that the host of a worker is dead.
    ConfirmDead(ShardName, WorkerName),
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// A result code and a text for people.
    Code(Code, String),
    /// Answer to a claim.
    Claim(ClaimReply),
    /// Answer to an offer.
    Offer(Code, Option<OfferReply>),
    /// Answer to a question for configuration.
    Config {
        /// The configuration, if newer than the one asked about.
        config: Option<Arc<Config>>,
        /// Revision in force.
        revision: Revision,
        /// Age of the evidence when the answer was made.
        evidence: Option<Span>,
    },
    /// Whether the process renews leases of the shard, and its incarnation.
    Renewing(bool, Incarnation),
    /// Answer to a query.
    View(NodeView),
}
