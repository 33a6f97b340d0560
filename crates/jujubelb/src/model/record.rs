//! Decision records: which action was taken, on what, and why.

use arcstr::ArcStr;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{
    DomainName, EndpointName, Epoch, JobName, NodeName, Revision, ServiceName, ShardName, TaskId,
    TeamName, WallTime, WorkerName,
};

/// Identifier of a record: the process that made it and its sequence number there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{node}#{seq}")]
pub struct RecordId {
    /// Process that made the record.
    pub node: NodeName,
    /// Sequence number. It starts from the process's incarnation, so that a restarted
    /// process doesn't repeat a number.
    pub seq: u64,
}

/// What a record is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A task of a job.
    #[display("task {_0}")]
    Task(TaskId),
    /// A job, by name.
    #[display("job {_0}")]
    Job(JobName),
    /// A worker, by name.
    #[display("worker {_0}")]
    Worker(WorkerName),
    /// A shard, by name.
    #[display("shard {_0}")]
    Shard(ShardName),
    /// A failure domain, by name.
    #[display("domain {_0}")]
    Domain(DomainName),
    /// A service, by name.
    #[display("service {_0}")]
    Service(ServiceName),
    /// An endpoint, by name.
    #[display("endpoint {_0}")]
    Endpoint(EndpointName),
    /// A request, by the identifier that its caller received.
    #[display("request {_0}")]
    Request(ArcStr),
    /// A team, by name.
    #[display("team {_0}")]
    Team(TeamName),
    /// The configuration of the deployment.
    #[display("configuration")]
    Config,
}

/// The action that a record is about.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Action {
    /// A job was accepted.
    Accept,
    /// A task was assigned to a worker and started.
    Start,
    /// A task was moved to another place.
    Move,
    /// A task's processor limit was lowered.
    Throttle,
    /// The processor limit of a throttled task was restored.
    Unthrottle,
    /// A task was asked to write a checkpoint.
    Checkpoint,
    /// A task was stopped to free capacity or at an operator's request, and will resume.
    Evict,
    /// A task was stopped and will not resume.
    Stop,
    /// A task succeeded.
    Complete,
    /// A task's attempt failed.
    Fail,
    /// Work was refused.
    Refuse,
    /// Work was delayed.
    Delay,
    /// A worker was put in quarantine: it gets no new tasks.
    Quarantine,
    /// A worker was released from quarantine or probation: it may get tasks again.
    Readmit,
    /// A job was parked: its tasks are not started any more.
    Park,
    /// A task was handed off to another shard.
    HandOff,
    /// A task was received from another shard.
    Receive,
    /// A shard got a new owner.
    TakeOver,
    /// An owner gave up a shard.
    StepDown,
    /// The limit of a task changed.
    Resize,
    /// A configuration was activated.
    Apply,
    /// An endpoint or domain was taken out of service.
    Remove,
    /// An endpoint or domain was put back in service.
    Restore,
}

macro_rules! causes {
    ($($(#[doc = $doc:literal])+ $name:ident = $num:literal, $remedy:literal;)*) => {
        /// Why an action was taken. A number never changes its meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        #[repr(u16)]
        pub enum Cause {
            $($(#[doc = $doc])+ $name = $num,)*
        }

        impl Cause {
            /// All causes in numeric order.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// The number of the cause; causes start at 600, above all result codes.
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// The meaning of the cause in one sentence, with a leading space.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),+),)* }
            }

            /// What an operator can do about it.
            pub const fn remedy(self) -> &'static str {
                match self { $(Self::$name => $remedy,)* }
            }
        }
    };
}

causes! {
    /// A caller or operator asked for it.
    Requested = 600, "nothing";
    /// The work was next in its queue and fitted.
    Scheduled = 601, "nothing";
    /// An operator took the failure domain out.
    DomainOut = 602, "`jujubectl domain in` brings it back";
    /// An operator brought the failure domain in.
    DomainIn = 603, "nothing";
    /// The configuration changed.
    ConfigChange = 604, "`jujubectl diff` shows the change";
    /// The host is leaving according to the host list.
    HostLeaving = 605, "nothing";
    /// The endpoint said that it is leaving.
    EndpointLeaving = 606, "nothing";
    /// The worker could not be reached until its lease had ended.
    WorkerUnreachable = 607, "check the worker and its rack switch";
    /// The worker restarted and lost its tasks.
    WorkerRestarted = 608, "nothing";
    /// The worker's lease ended before the owner could renew it.
    LeaseExpired = 609, "check the scheduler hosts and the network";
    /// A new owner took over after the former one's store lease ended.
    OwnerLost = 610, "check the former owner's host";
    /// A higher epoch exists in the log.
    Fenced = 611, "nothing; the process was paused or cut off";
    /// A planned stop of the process.
    PlannedStop = 612, "nothing";
    /// The store was unreachable.
    StoreUnavailable = 613, "check the platform's store";
    /// The evidence of the operators' intent was too old.
    StaleEvidence = 614, "check the store and the link to it";
    /// No worker had room.
    NoCapacity = 615, "add workers or stop work";
    /// The team's quota was used up.
    QuotaExhausted = 616, "raise the quota or wait";
    /// Another shard had room.
    RoomElsewhere = 617, "nothing";
    /// Observed use was larger than the host can hold.
    OverCapacity = 618, "correct the declared size";
    /// Observed use differed from the declared size.
    SizeWrong = 619, "correct the declared size";
    /// The task disturbed a latency-critical service.
    Interference = 620, "nothing; the pair is avoided from now on";
    /// The service recovered.
    InterferenceEnded = 621, "nothing";
    /// Urgent work needed the room.
    Preempted = 622, "nothing; the task resumes";
    /// Most tasks that the worker started failed.
    WorkerFailing = 623, "check the worker";
    /// The job failed on several healthy workers.
    JobFailing = 624, "check the job's program and its declaration";
    /// The task's attempt failed.
    AttemptFailed = 625, "nothing; it is tried again";
    /// The task exceeded the limit that the worker enforces.
    LimitExceeded = 626, "correct the declared size";
    /// No worker of the deployment is large enough.
    Impossible = 627, "reduce the declared size";
    /// The request's deadline could not be met.
    Deadline = 628, "look at the load of the service";
    /// The queue was full.
    QueueFull = 629, "look at the load of the service";
    /// The retry budget was used up.
    RetryBudget = 630, "look at the failures of the service";
    /// The claim for the request key was held or could not be made.
    ClaimHeld = 631, "look at the entry hosts";
    /// The endpoint failed repeatedly.
    EndpointFailing = 632, "check the endpoint";
    /// The endpoint answered again.
    EndpointRecovered = 633, "nothing";
    /// The end of the work was reported by the worker.
    Finished = 634, "nothing";
    /// A quarantine or probation period ended.
    ProbationEnded = 635, "nothing";
    /// An operator confirmed that the host is dead.
    ConfirmedDead = 636, "nothing";
    /// The link between regions had no budget left.
    LinkBudget = 637, "look at the traffic between regions";
    /// No endpoint was available.
    NoEndpoint = 638, "look at the endpoints of the service";
    /// The returning domain is filled at a bounded rate.
    RampUp = 639, "nothing";
    /// The task would probably disturb a latency-critical service.
    InterferenceExpected = 640, "wait, or give the task workers without endpoints";
    /// The limit got room above the observed use.
    Headroom = 641, "nothing";
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.number(), self.meaning().trim())
    }
}

/// Unit of a fact's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// A number without a unit.
    Count,
    /// Microseconds.
    Micros,
    /// Bytes.
    Bytes,
    /// Thousandths of a core.
    Millicores,
    /// Thousandths, as of a ratio.
    Permille,
}

/// A number that a decision was based on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// What the value measures, for example `free-memory`.
    pub name: ArcStr,
    /// The value in the given unit.
    pub value: i64,
    /// Unit of the value.
    pub unit: Unit,
}

impl Fact {
    /// Creates a fact from its parts.
    pub fn new(name: &'static str, value: i64, unit: Unit) -> Self {
        Self {
            name: ArcStr::from(name),
            value,
            unit,
        }
    }
}

/// One decision, as kept for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the record.
    pub id: RecordId,
    /// When the decision was made, by the calendar clock of the process.
    pub at: WallTime,
    /// Shard and epoch of the owner that decided; absent for other processes.
    pub shard: Option<(ShardName, Epoch)>,
    /// What the decision is about.
    pub subject: Subject,
    /// Action that was taken.
    pub action: Action,
    /// Reason for the action.
    pub cause: Cause,
    /// Place involved: the worker for a start, the other shard for a handoff.
    pub place: Option<ArcStr>,
    /// Numbers that the decision was based on.
    pub facts: Vec<Fact>,
    /// Revision of the active configuration.
    pub revision: Revision,
    /// Record of the decision that led to this one.
    pub parent: Option<RecordId>,
    /// Number of similar decisions that this record stands for; at least 1.
    pub count: u32,
}
