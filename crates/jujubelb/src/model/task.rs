//! Identifiers and declared properties of jobs and tasks.

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
    /// Number of an owner's term over a shard. A higher epoch fences all lower ones.
    Epoch;
    /// Number of an attempt to run a task, from 1.
    Attempt;
    /// Random number drawn at the start of a process or worker. It tells a restart from
    /// a delay.
    Incarnation;
    /// Revision of the configuration head. It only grows.
    Revision;
}

/// Identifier of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{job}/{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobName,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

/// Kind of work that a task does.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum TaskKind {
    /// A short latency-critical task.
    #[display("check")]
    Check,
    /// A batch task: runs to completion and can wait.
    #[display("batch")]
    Batch,
    /// A long-running task that doesn't complete by itself.
    #[display("watcher")]
    Watcher,
}

/// Order in which queued work is scheduled: urgent work goes first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Has to start within 2.8 s.
    #[display("urgent")]
    Urgent,
    /// Can wait for free capacity.
    #[display("batch")]
    Batch,
}

/// Name under which the workers' platform stores a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Checkpoint(pub ArcStr);

/// Declared properties of each task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Kind of work.
    pub kind: TaskKind,
    /// Class whose tasks share estimates of size, run time and interference.
    pub class: ClassName,
    /// Priority in the queue.
    pub priority: Priority,
    /// Declared size, which may be wrong by a factor of ten in either direction.
    pub size: Resources,
    /// Declared run time; absent for watchers.
    pub duration: Option<Span>,
    /// Failure domains in which the tasks may run; empty for all.
    pub domains: Vec<DomainName>,
    /// Whether other tasks may use processor time that is declared but unused.
    pub reclaimable: bool,
}

/// A batch job or a watcher as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name, unique in the deployment. A second submission with the same name counts as
    /// a repetition.
    pub name: JobName,
    /// Team whose quota the job uses.
    pub team: TeamName,
    /// Number of tasks, which all have the same properties.
    pub tasks: u32,
    /// Properties of each task.
    pub task: TaskSpec,
}
