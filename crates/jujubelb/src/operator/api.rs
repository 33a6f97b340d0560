//! Paths and JSON bodies of the operators' HTTP API, shared by the processes that serve it
//! and by `jujubectl`.
//!
//! Every call needs the header `Authorization: Bearer <token>`. Query
//! parameters are listed beside the paths. Every response other than 2xx carries
//! an [`ErrorBody`]. All POST calls except `confirm-dead` carry a change
//! identifier and are idempotent by it; `confirm-dead` is idempotent by the worker.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::model::{
    Code, DomainName, MayHaveRun, NodeName, Record, RegionName, Resources, Revision, ServiceName,
    Span, WallTime, WorkerName,
};
use crate::peer::Role;
use crate::shard::{ShardSummary, TaskView, TeamUsage};

/// `GET`: the active configuration as [`ConfigView`].
pub const CONFIG: &str = "/v1/config";
/// `POST` of [`ApplyRequest`], responds with [`ApplyResponse`].
pub const APPLY: &str = "/v1/apply";
/// `POST <prefix>/<domain>` of [`DomainRequest`], responds with [`ApplyResponse`].
pub const DOMAINS: &str = "/v1/domains";
/// `POST <prefix>/<endpoint>` of [`EndpointRequest`], responds with [`ApplyResponse`].
pub const ENDPOINTS: &str = "/v1/endpoints";
/// `GET`: tasks as [`TasksView`]; parameter `shard` (optional name).
pub const TASKS: &str = "/v1/tasks";
/// `GET`: records as [`RecordsView`]; parameters `subject` (optional text as in
/// `Query::Records`) and `since` (optional; whole seconds: records at most this old).
pub const RECORDS: &str = "/v1/records";
/// `GET`: overview as [`TopView`].
pub const TOP: &str = "/v1/top";
/// `GET`: state of the processes as [`DumpView`].
pub const DUMP: &str = "/v1/dump";
/// `POST <prefix>/<worker>/confirm-dead` of [`ConfirmDead`], responds with [`DoneBody`].
pub const WORKERS: &str = "/v1/workers";
/// Last part of the path that confirms a worker's host as dead.
pub const CONFIRM_DEAD: &str = "confirm-dead";

/// Largest body of `POST /v1/apply`: all declaration files, with a margin for JSON escapes.
pub const MAX_APPLY_BYTES: usize = 8 << 20;

/// Body of every response other than 2xx.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Result code by name.
    pub code: Code,
    /// Number of the result code.
    pub number: u16,
    /// Human-readable cause, in one or more lines.
    pub message: String,
    /// Whether the change may have taken effect.
    pub may_have_run: MayHaveRun,
    /// How to resolve the failure.
    pub advice: String,
    /// With `ConfigConflict`: the change that was applied first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other: Option<ChangeView>,
    /// With `ConfigInvalid`: all errors of the declaration files.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<ProblemView>,
}

impl ErrorBody {
    /// Creates the body for a result code, with the advice of that code.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            number: code.number(),
            message: message.into(),
            may_have_run: code.may_have_run(),
            advice: code.remedy().into(),
            other: None,
            problems: Vec::new(),
        }
    }
}

/// An error in a declaration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemView {
    /// Name of the declaration file.
    pub file: String,
    /// Line, counted from 1.
    pub line: u64,
    /// Column, counted from 1.
    pub column: u64,
    /// Description of the error.
    pub message: String,
    /// How to correct the error.
    pub remedy: String,
}

/// An applied change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeView {
    /// Revision that the change created.
    pub revision: Revision,
    /// Identifier of the change, set by the client that requested it.
    pub change: String,
    /// Author as stated in the request.
    pub author: String,
    /// Time of the change by the wall clock of the process that applied it.
    pub at: WallTime,
    /// Names of the files that were added, replaced or removed.
    pub files: Vec<String>,
}

/// The active configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    /// The process that serves the request.
    pub node: NodeName,
    /// Age of its start evidence: how old its knowledge of the operators' configuration
    /// is; absent if it has none.
    pub age: Option<Span>,
    /// Last applied change; absent before the first one.
    pub change: Option<ChangeView>,
    /// Text of the declaration files by name, in name order.
    pub files: IndexMap<String, String>,
}

/// Request to apply changes of declaration files, all or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Unique identifier of the change. Repeating a request with it has no further effect.
    pub change: String,
    /// Author of the change.
    pub author: String,
    /// Revision on which the change is based. The change is refused as `ConfigConflict`
    /// if one of the named files changed after it.
    pub expected: Revision,
    /// Text of the files to add or replace by name; `null` removes a file. Files not
    /// listed are kept.
    pub files: IndexMap<String, Option<String>>,
}

/// Request to take a failure domain out of service or back into it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRequest {
    /// Identifier of the change.
    pub change: String,
    /// Author of the change.
    pub author: String,
    /// Whether the domain is taken out of service.
    pub out: bool,
}

/// Request to drain an endpoint or to put it back into service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRequest {
    /// Identifier of the change.
    pub change: String,
    /// Author of the change.
    pub author: String,
    /// Whether the endpoint is drained.
    pub drain: bool,
}

/// Request to confirm that the host of a worker is dead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmDead {
    /// Operator who confirms it.
    pub author: String,
}

/// Response to a successful change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyResponse {
    /// The change that created the active revision.
    pub change: ChangeView,
    /// Whether the content was already active, so that nothing was written.
    pub unchanged: bool,
    /// Difference between the configurations, one line for each changed item.
    pub diff: Vec<String>,
}

/// Response to any other successful change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneBody {
    /// Result code by name.
    pub code: Code,
    /// Number of the result code.
    pub number: u16,
    /// Human-readable description of what was done.
    pub message: String,
}

/// A process that was queried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// The process.
    pub node: NodeName,
    /// Whether it replied in time.
    pub answered: bool,
    /// Age of its start evidence, if it has any.
    pub age: Option<Span>,
}

/// Tasks of all shards whose owner replied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TasksView {
    /// The processes that were queried.
    pub sources: Vec<Source>,
    /// Each task once, in order of task identifiers.
    pub tasks: Vec<TaskView>,
}

/// Records of all processes that replied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsView {
    /// The processes that were queried.
    pub sources: Vec<Source>,
    /// The records about the subject and, as far as they are kept, all records
    /// in their chains of causes; oldest first, without repeats.
    pub records: Vec<Record>,
}

/// A failure domain in the overview.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainTop {
    /// The domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Whether operators took it out of service.
    pub out: bool,
    /// Number of declared workers.
    pub workers: u32,
    /// Sum of the workers' capacity, without what is reserved for services.
    pub capacity: Resources,
}

/// A service in the overview, as seen by the entry processes that replied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTop {
    /// The service.
    pub service: ServiceName,
    /// Requests per second.
    pub rate: u32,
    /// Refused requests per second.
    pub refused: u32,
    /// Requests in flight.
    pub inflight: u32,
    /// Median latency.
    pub p50: Span,
    /// 99th percentile of the latency.
    pub p99: Span,
    /// Number of endpoints in service.
    pub endpoints: u32,
}

/// A process in the overview.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeTop {
    /// The process.
    pub node: NodeName,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is draining before a planned stop.
    pub draining: bool,
    /// Whether its heartbeats arrive in time.
    pub alive: bool,
    /// Revision of its active configuration.
    pub revision: Revision,
    /// Age of its start evidence, if it has any.
    pub age: Option<Span>,
}

/// Overview of the system, combined from all processes that replied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopView {
    /// The process that serves the request.
    pub node: NodeName,
    /// Age of its start evidence, if it has any.
    pub age: Option<Span>,
    /// Revision of its active configuration.
    pub revision: Revision,
    /// Failure domains.
    pub domains: Vec<DomainTop>,
    /// Shards.
    pub shards: Vec<ShardSummary>,
    /// Services.
    pub services: Vec<ServiceTop>,
    /// Quota usage, summed over the shards whose owner replied.
    pub teams: Vec<TeamUsage>,
    /// Processes.
    pub nodes: Vec<NodeTop>,
    /// Workers in quarantine.
    pub quarantined: Vec<WorkerName>,
}

/// State of the processes that replied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DumpView {
    /// The processes that were queried.
    pub sources: Vec<Source>,
    /// State dump of each process; `null` if it can't be decoded.
    pub nodes: IndexMap<NodeName, serde_json::Value>,
}
