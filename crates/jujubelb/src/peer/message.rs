//! Messages between the processes of a deployment, encoded with postcard.

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

/// Kind of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Role {
    /// Accepts requests and jobs of callers and routes requests to endpoints.
    Entry,
    /// Owns shards and schedules their tasks.
    Scheduler,
}

/// Load of one endpoint that one entry process causes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The service.
    pub service: ServiceName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Requests in flight from the sending process.
    pub inflight: u16,
}

/// State that a process sends to each peer over UDP, at an interval that it states.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub node: NodeName,
    /// Incarnation of the sender, which changes with each start.
    pub incarnation: Incarnation,
    /// Role of the sender.
    pub role: Role,
    /// Address on which the sender accepts heartbeats (UDP) and calls (TCP).
    pub address: SocketAddr,
    /// Interval until the sender's next heartbeat to this receiver.
    pub interval: Span,
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Whether the sender is draining before a planned stop.
    pub draining: bool,
    /// Revision of the sender's active configuration.
    pub revision: Revision,
    /// Age of the sender's start evidence when this was sent; absent if it has none.
    /// The receiver must not use it as its own evidence, because the datagram may be
    /// delayed. It only tells which process to ask.
    pub evidence: Option<Span>,
    /// Endpoints with requests in flight; a subset, changed loads first, if not all fit.
    pub loads: Vec<EndpointLoad>,
    /// Shards that the sender owns.
    pub shards: Vec<ShardSummary>,
}

/// Identifies a keyed request at its claim holders.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service.
    pub service: ServiceName,
    /// The caller's request key.
    pub key: ArcStr,
}

/// A claim holder's reply to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimReply {
    /// The holder has recorded the claim for this claimant.
    Granted,
    /// Another claimant holds the claim.
    Held,
    /// The holder can't rule out an earlier claim, because it started too recently.
    Abstained,
}

/// A query for the state of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Query {
    /// Records of all subjects or of one.
    Records {
        /// Subject as the operator wrote it, for example a task, worker or domain name.
        subject: Option<String>,
        /// Maximum age of the records; absent for all.
        since: Option<Span>,
    },
    /// Tasks of one shard, or of all shards of the process if absent.
    Tasks(Option<ShardName>),
    /// The complete state as JSON.
    Dump,
    /// Services, shards and quota usage for the operators' overview.
    Top,
}

/// A process's reply to a query. Only the parts that the query asks for are filled in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeView {
    /// The process that replies.
    pub node: NodeName,
    /// Age of its start evidence: how old its knowledge of the operators' configuration
    /// is; absent if it has none.
    pub age: Option<Span>,
    /// Records, oldest first.
    pub records: Vec<Record>,
    /// Tasks of the queried shards.
    pub tasks: Vec<TaskView>,
    /// State dump as JSON text.
    pub dump: Option<String>,
    /// Services as this process sees them.
    pub services: Vec<ServiceTop>,
    /// Shards that this process owns.
    pub shards: Vec<ShardSummary>,
    /// Quota usage in these shards.
    pub teams: Vec<TeamUsage>,
    /// Workers in quarantine in these shards.
    pub quarantined: Vec<WorkerName>,
}

impl NodeView {
    /// A view without content.
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

/// A call to a peer over TCP. All calls are idempotent, so that they can be retried.
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
        /// Identifier of the claimant, unique for each attempt of a caller.
        claimant: u128,
        /// The sets of entry hosts that the claimant knows. A holder that knows of a set
        /// not listed here abstains: holders chosen from that set may have granted the key.
        sets: Vec<HostSetId>,
    },
    /// Release the claim of a request that was certainly not sent to an endpoint.
    Release {
        /// The key.
        key: ClaimKey,
        /// The claimant.
        claimant: u128,
    },
    /// Take over a queued task from another shard.
    Offer(Offer),
    /// Return the active configuration if it is newer than this revision, and the age of
    /// the start evidence.
    Config(Revision),
    /// Return whether the process still renews worker leases of a shard.
    Renewing(ShardName),
    /// Store these records with the next segment.
    Records(Vec<Record>),
    /// Latencies measured by an entry process.
    Latency(Vec<LatencyReport>),
    /// Query the state of the process.
    Query(Query),
    /// Record that an operator confirmed the host of a worker as dead.
    ConfirmDead(ShardName, WorkerName),
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// A result code and a human-readable message.
    Code(Code, String),
    /// Reply to [`Call::Claim`].
    Claim(ClaimReply),
    /// Reply to [`Call::Offer`].
    Offer(Code, Option<OfferReply>),
    /// Reply to [`Call::Config`].
    Config {
        /// The active configuration, if newer than the revision in the call.
        config: Option<Arc<Config>>,
        /// Revision of the active configuration.
        revision: Revision,
        /// Age of the start evidence when the reply was made; absent if there is none.
        evidence: Option<Span>,
    },
    /// Reply to [`Call::Renewing`]: whether the process renews leases of the shard, and
    /// its incarnation.
    Renewing(bool, Incarnation),
    /// Reply to [`Call::Query`].
    View(NodeView),
}
