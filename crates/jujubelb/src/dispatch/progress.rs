//! The part of a job's state that outlives a leader.

use arcstr::ArcStr;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::job_spec::Run;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks have ended well.
    Completed,
    /// A task has failed too often.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

/// Durable state of a task that has failed or has a checkpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The task.
    pub index: u32,
    /// Failed runs, each once. The next leader may hear of them again and in any
    /// order, so a count would not do.
    pub failed: Vec<Run>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<ArcStr>,
}

/// Durable state of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// One bit a task, lowest first, set when the task has ended well.
    pub done: Vec<u8>,
    /// Tasks with something else to remember.
    pub tasks: Vec<TaskProgress>,
}

impl StepProgress {
    /// Whether a task has ended well.
    pub fn is_done(&self, index: u32) -> bool {
        let byte = self.done.get(index as usize / 8).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    }

    /// Notes that a task has ended well.
    pub fn set_done(&mut self, index: u32) {
        let i = index as usize / 8;
        if self.done.len() <= i {
            self.done.resize(i + 1, 0);
        }
        self.done[i] |= 1 << (index % 8);
    }
}

/// Durable state of an occurrence that has begun.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Its number.
    pub number: u32,
    /// One entry a step; empty when all steps are done.
    pub steps: Vec<StepProgress>,
}

/// Durable state of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Set once the job has ended; never changes after that.
    pub outcome: Option<JobOutcome>,
    /// Occurrences that have begun.
    pub occurrences: Vec<OccurrenceProgress>,
}
