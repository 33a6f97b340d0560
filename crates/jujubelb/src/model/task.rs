//! Identity and declared properties of jobs and tasks.

use arcstr::ArcStr;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{ClassName, DomainName, JobName, Resources, Span, TeamName};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next value.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

counters! {
    /// The number of an owner's term over a shard. A higher epoch fences every lower one.
    Epoch;
    /// The number of a try at running a task, counted from 1.
    Attempt;
    /// A random number drawn when a process or worker starts; tells a restart from a delay.
    Incarnation;
    /// The revision of the configuration head. It only grows.
    Revision;
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{job}/{index}")]
pub struct TaskId {
    /// The job.
    pub job: JobName,
    /// The task's place in its job, counted from 0.
    pub index: u32,
}

/// What sort of work a task does.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum TaskKind {
    /// A short latency-critical task.
    #[display("check")]
    Check,
    /// Work that runs to its end and can wait.
    #[display("batch")]
    Batch,
    /// A standing task without an end.
    #[display("watcher")]
    Watcher,
}

/// Order in which queued work is considered; urgent work goes first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Has to start within 2.8 s.
    #[display("urgent")]
    Urgent,
    /// Can wait.
    #[display("batch")]
    Batch,
}

/// The name under which a worker's platform keeps a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Checkpoint(pub ArcStr);

/// What each task of a job needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Sort of work.
    pub kind: TaskKind,
    /// Class for estimates of size, run time and interference.
    pub class: ClassName,
    /// Queue order.
    pub priority: Priority,
    /// Declared size. May be wrong by a factor of ten either way.
    pub size: Resources,
    /// Declared run time; absent for watchers.
    pub duration: Option<Span>,
    /// Failure domains where the tasks may run; empty means all.
    pub domains: Vec<DomainName>,
    /// Whether processor time that is declared but unused may be lent to others.
    pub reclaimable: bool,
}

/// A batch job or a watcher as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name, unique in the deployment; a second submission with it is a repeat.
    pub name: JobName,
    /// Team whose quota is used.
    pub team: TeamName,
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub task: TaskSpec,
}
