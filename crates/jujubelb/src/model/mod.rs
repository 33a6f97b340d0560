//! Types shared by all modules: names, units, result codes and decision records.

mod code;
mod fast_map;
mod name;
mod record;
mod task;
mod unit;

pub use code::{Code, MayHaveRun};
pub(crate) use fast_map::FastMap;
pub use name::{
    ClassName, CustomerName, DomainName, EndpointName, HostName, JobName, NodeName, RackName,
    RegionName, ServiceName, ShardName, TeamName, WorkerName,
};
pub use record::{Action, Cause, Fact, Record, RecordId, Subject, Unit};
pub use task::{
    Attempt, Checkpoint, Epoch, Incarnation, JobSpec, Priority, Revision, TaskId, TaskKind,
    TaskSpec,
};
pub use unit::{Bytes, Millicores, Resources, Span, Time, WallTime, WorkerTime};
