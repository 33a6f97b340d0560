//! Paths and JSON bodies of the operators' HTTP interface, used by the
//! processes that serve it and by `jujubectl`.
//!
//! Every call needs the header `Authorization: Bearer <token>`. Query
//! parameters are listed beside the paths. Every answer other than 2xx carries
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

/// `GET`: the configuration in force, as [`ConfigView`].
pub const CONFIG: &str = "/v1/config";
/// `POST` of [`ApplyRequest`], answered by [`ApplyAnswer`].
pub const APPLY: &str = "/v1/apply";
/// `POST <prefix>/<domain>` of [`DomainRequest`], answered by [`ApplyAnswer`].
pub const DOMAINS: &str = "/v1/domains";
/// `POST <prefix>/<endpoint>` of [`EndpointRequest`], answered by [`ApplyAnswer`].
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
/// `POST <prefix>/<worker>/confirm-dead` of [`ConfirmDead`], answered by [`DoneBody`].
pub const WORKERS: &str = "/v1/workers";
/// Last part of the path that confirms a worker's host as dead.
pub const CONFIRM_DEAD: &str = "confirm-dead";

/// Largest body of `POST /v1/apply` in bytes: all declaration files with room for JSON escapes.
pub const APPLY_LIMIT: usize = 8 << 20;

/// Failure of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The result code.
    pub code: Code,
    /// Its number.
    pub number: u16,
    /// What happened, in one or more lines.
    pub message: String,
    /// Whether the change may have taken effect.
    pub may_have_run: MayHaveRun,
    /// What to do.
    pub advice: String,
    /// With `ConfigConflict`: the change that came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other: Option<ChangeView>,
    /// With `ConfigInvalid`: all errors.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<ProblemView>,
}

impl ErrorBody {
    /// The body for a code, with the code's own advice.
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
    /// File name.
    pub file: String,
    /// Line, counted from 1.
    pub line: u64,
    /// Column, counted from 1.
    pub column: u64,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub remedy: String,
}

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeView {
    /// Revision that it made.
    pub revision: Revision,
    /// Its identifier, chosen by the operator's program.
    pub change: String,
    /// Who made it.
    pub author: String,
    /// When, by the calendar clock of the process that applied it.
    pub at: WallTime,
    /// Files that it added, replaced or removed.
    pub files: Vec<String>,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    /// The process that answers.
    pub node: NodeName,
    /// Age of its evidence: how old its view of the operators' intent is.
    pub age: Option<Span>,
    /// The last change; absent before the first one.
    pub change: Option<ChangeView>,
    /// Files by name with their text, in name order.
    pub files: IndexMap<String, String>,
}

/// Files to apply as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identifier of the change, unique; a repeat with it is the same change.
    pub change: String,
    /// Who makes it.
    pub author: String,
    /// Revision on which it is based. The change is refused as `ConfigConflict`
    /// if one of the named files changed after it.
    pub expected: Revision,
    /// Files to add or replace by name; `null` removes a file. Others stay.
    pub files: IndexMap<String, Option<String>>,
}

/// A domain to take out or bring in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRequest {
    /// Identifier of the change.
    pub change: String,
    /// Who makes it.
    pub author: String,
    /// Whether the domain goes out.
    pub out: bool,
}

/// An endpoint to drain or restore.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRequest {
    /// Identifier of the change.
    pub change: String,
    /// Who makes it.
    pub author: String,
    /// Whether the endpoint leaves.
    pub drain: bool,
}

/// Confirmation that a worker's host is dead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmDead {
    /// Who confirms it.
    pub author: String,
}

/// Success of a change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// The change in force.
    pub change: ChangeView,
    /// Whether the content was in force before, so nothing was written.
    pub unchanged: bool,
    /// The difference, one line for each thing that changed.
    pub diff: Vec<String>,
}

/// Success of any other change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneBody {
    /// The result code.
    pub code: Code,
    /// Its number.
    pub number: u16,
    /// What was done.
    pub message: String,
}

/// A process that answered, or did not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// The process.
    pub node: NodeName,
    /// Whether it answered.
    pub answered: bool,
    /// Age of its evidence, if it has any.
    pub age: Option<Span>,
}

/// Tasks of all shards that answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TasksView {
    /// The processes asked.
    pub sources: Vec<Source>,
    /// The tasks.
    pub tasks: Vec<TaskView>,
}

/// Records of all processes that answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsView {
    /// The processes asked.
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
    /// Whether operators took it out.
    pub out: bool,
    /// Declared workers.
    pub workers: u32,
    /// Sum of the workers' capacity, without what is reserved for services.
    pub capacity: Resources,
}

/// A service in the overview, as seen by the entry processes that answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTop {
    /// The service.
    pub service: ServiceName,
    /// Requests a second.
    pub rate: u32,
    /// Refused requests a second.
    pub refused: u32,
    /// Requests in flight.
    pub inflight: u32,
    /// Median latency.
    pub p50: Span,
    /// Latency of the slowest hundredth.
    pub p99: Span,
    /// Endpoints in service.
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
    /// Whether it is stopping.
    pub draining: bool,
    /// Whether it is thought alive.
    pub alive: bool,
    /// Configuration revision in force there.
    pub revision: Revision,
    /// Age of its evidence, if it has any.
    pub age: Option<Span>,
}

/// The overview.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopView {
    /// The process that answers.
    pub node: NodeName,
    /// Age of its evidence.
    pub age: Option<Span>,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Failure domains.
    pub domains: Vec<DomainTop>,
    /// Shards.
    pub shards: Vec<ShardSummary>,
    /// Services.
    pub services: Vec<ServiceTop>,
    /// Use of quotas, summed over the shards that answered.
    pub teams: Vec<TeamUsage>,
    /// Processes.
    pub nodes: Vec<NodeTop>,
    /// Workers in quarantine.
    pub quarantined: Vec<WorkerName>,
}

/// State of the processes that answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DumpView {
    /// The processes asked.
    pub sources: Vec<Source>,
    /// State by process.
    pub nodes: IndexMap<NodeName, serde_json::Value>,
}
