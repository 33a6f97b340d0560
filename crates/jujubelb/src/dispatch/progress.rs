//! Durable state of jobs, from which the next leader resumes.
//!
//! `postcard` encodes these types, so the order of their fields must not change.

use std::net::SocketAddr;

use arcstr::ArcStr;
use derive_more::Display;
use serde::{Deserialize, Deserializer, Serialize};

use super::job_spec::{JobKey, Run, StepKey, TaskKey};
use super::worker::Incarnation;
use crate::model::WorkerName;

/// Final state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks have succeeded.
    Completed,
    /// A task has used up its attempts, or crashes the workers that start it.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

/// Durable state of a task that has failed or has a checkpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Index of the task within its step.
    pub index: u32,
    /// Failed runs, without duplicates. A count would not be sufficient, because workers
    /// may report the same failures to the next leader again, in any order.
    pub failed: Vec<Run>,
    /// Checkpoint from which the next run resumes.
    pub checkpoint: Option<ArcStr>,
}

/// Durable state of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Bit set of the tasks that have succeeded, least significant bit first. Missing
    /// bytes are zero.
    pub done: Vec<u8>,
    /// Unfinished tasks with failed runs or a checkpoint.
    pub tasks: Vec<TaskProgress>,
}

impl StepProgress {
    /// Whether a task has succeeded.
    pub fn is_done(&self, index: u32) -> bool {
        let byte = self.done.get(index as usize / 8).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    }

    /// Marks a task as succeeded.
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
    /// Number of the occurrence, from 0.
    pub number: u32,
    /// One entry per step; empty when all steps are done.
    pub steps: Vec<StepProgress>,
}

/// Crash of a worker shortly after it had started a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Run that was on the worker.
    pub run: Run,
    /// Worker that crashed.
    pub worker: WorkerName,
}

/// Crashes that are counted against a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Index of the task within its step.
    pub index: u32,
    /// Crashes without duplicates, since a run of the task last outlived its probation.
    pub crashes: Vec<Crash>,
}

/// Details of a crash that is counted against a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDetail {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Index of the task within its step.
    pub index: u32,
    /// The crash among those that are counted against the task.
    pub crash: Crash,
    /// Address of the worker's order interface, which a worker of another name may take over.
    pub address: SocketAddr,
    /// Incarnation that gave the last answer; `None` if the worker does not report one.
    pub incarnation: Option<Incarnation>,
    /// Whether the crash is not certain, because the worker does not answer. It no longer
    /// counts once the same incarnation answers again.
    pub is_assumed: bool,
}

impl CrashDetail {
    pub(super) fn task(&self, job: JobKey) -> TaskKey {
        TaskKey {
            step: StepKey {
                job,
                occurrence: self.occurrence,
                step: self.step,
            },
            index: self.index,
        }
    }
}

/// Durable state of a job. Versions with fewer fields ignore the last ones and write none,
/// so new fields are added at the end and have a default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Final state; `None` until the job has ended, unchanged afterwards.
    pub outcome: Option<JobOutcome>,
    /// Occurrences that have begun; empty once the job has ended.
    pub occurrences: Vec<OccurrenceProgress>,
    /// Tasks that may crash the workers that start them; empty once the job has ended.
    #[serde(deserialize_with = "default_if_missing")]
    pub crashes: Vec<TaskCrashes>,
    /// Details of `crashes`, except for those that earlier versions have counted.
    #[serde(deserialize_with = "default_if_missing")]
    pub crash_details: Vec<CrashDetail>,
}

/// Reads a value that earlier versions have not written. `postcard` doesn't mark the end of
/// a structure, so the bytes end there.
pub(super) fn default_if_missing<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
