//! Jobs as callers submit them, and the settings of the queue that accepted them.
//!
//! `postcard` encodes these types in the store and between hosts, so the order of their
//! fields must not change. New fields are added at the end of [`JobRecord`] and have a default:
//! it comes last in every value that holds it, so versions with fewer fields ignore the rest.

use arcstr::ArcStr;
use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

use super::progress::default_if_missing;
use crate::model::{CustomerName, Resources, ServiceName, Span, WallTime};

/// Identifier of a job, chosen by the caller; written as 16 lower-case hexadecimal digits.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct JobKey(pub u64);

impl JobKey {
    /// Parses exactly 16 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(hex) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Identifies a step of an occurrence of a job; written as `JOB.OCCURRENCE.STEP`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// Job that the step belongs to.
    pub job: JobKey,
    /// Number of the occurrence, from 0; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index in [`JobSpec::steps`].
    pub step: u16,
}

/// Identifies a task; written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// Step that the task belongs to.
    pub step: StepKey,
    /// Index within the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Parses `JOB.OCCURRENCE.STEP.INDEX`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = JobKey::parse(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        let step = StepKey {
            job,
            occurrence,
            step,
        };
        parts.next().is_none().then_some(Self { step, index })
    }
}

/// Number of a run, that is, of one start of a task. It increases with each start.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Run(pub u64);

/// A group of identical tasks of a job that may run concurrently.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks; at least 1.
    pub count: u32,
    /// Resources that each task requests.
    pub size: Resources,
    /// Estimated duration of a task.
    pub estimate: Span,
    /// Indices of the steps that must be done before this one; each is less than this
    /// step's own index.
    pub after: Vec<u16>,
    /// Whether a task can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks must all run at the same time.
    pub gang: bool,
    /// Whether the tasks run faster together on one rack.
    pub same_rack: bool,
    /// Label that the worker must have; `None` admits any worker.
    pub label: Option<ArcStr>,
    /// Rack that holds the data. Other racks work, but tasks are slower there.
    pub data_rack: Option<ArcStr>,
    /// Maximum number of tasks of one occurrence of the step on a worker; `None` for no limit.
    pub per_worker: Option<u32>,
    /// Whether several copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Program that the tasks run. Tasks with the same image behave alike.
    pub image: Option<ArcStr>,
    /// Upper bound for the tail latency of a serving task; `None` for all other tasks.
    pub target: Option<Span>,
    /// Whether the tasks use only processor time that other tasks leave idle.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Number of tasks that the scheduler may stop at the same time.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

/// Occurrences of a job at regular times.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time at which the first occurrence is due.
    pub first: WallTime,
    /// Time between the due times of two occurrences.
    pub interval: Span,
    /// Number of occurrences; at least 1.
    pub count: u32,
}

/// A job as its caller submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Passed to the worker unchanged with each start.
    pub payload: ArcStr,
    /// Steps in order of their indices; at least one.
    pub steps: Vec<Step>,
    /// Times of the occurrences; `None` for a single one that begins immediately.
    pub schedule: Option<Schedule>,
}

/// Reason why a submitted job is not valid. The message is returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum JobSpecError {
    /// The job has no steps.
    #[error("the job has no steps")]
    NoSteps,
    /// The job has more than [`MAX_STEPS`].
    #[error("the job has more than {MAX_STEPS} steps")]
    StepCount,
    /// The steps have more than [`MAX_TASKS_PER_JOB`] together.
    #[error("the steps have more than {MAX_TASKS_PER_JOB} tasks together")]
    JobTaskCount,
    /// The step with this index has no tasks or more than [`MAX_TASKS_PER_STEP`].
    #[error("step {0} has no tasks or more than {MAX_TASKS_PER_STEP}")]
    TaskCount(usize),
    /// The step with this index depends on itself or on a later step.
    #[error("step {0} waits for a step that is not earlier")]
    Dependency(usize),
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    PayloadLength,
}

/// Maximum number of tasks in a step. Bounds the memory that one submission can claim.
pub const MAX_TASKS_PER_STEP: u32 = 10_000;

/// Maximum number of steps of a job. The chains of steps are calculated in a time that grows
/// with the square of their number: 60,000 steps, which fit a body of 1 MiB, would hold up
/// the leader for seconds.
pub const MAX_STEPS: usize = 1_000;

/// Maximum number of tasks of an occurrence of a job. Each takes about 150 bytes of the leader's
/// memory.
pub const MAX_TASKS_PER_JOB: u64 = 100_000;

/// Maximum length of a payload; the platform's limit for the field.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

impl JobSpec {
    /// Checks the constraints that the types do not enforce.
    pub fn check(&self) -> Result<(), JobSpecError> {
        if self.steps.is_empty() {
            return Err(JobSpecError::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(JobSpecError::StepCount);
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobSpecError::PayloadLength);
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS_PER_STEP {
                return Err(JobSpecError::TaskCount(i));
            }
            if step.after.iter().any(|&a| usize::from(a) >= i) {
                return Err(JobSpecError::Dependency(i));
            }
        }
        if self.tasks() > MAX_TASKS_PER_JOB {
            return Err(JobSpecError::JobTaskCount);
        }
        Ok(())
    }

    /// Number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|s| u64::from(s.count)).sum()
    }

    /// Number of occurrences; 1 for a job without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |s| s.count.max(1))
    }

    /// Time at which an occurrence is due; `None` for a job without a schedule.
    pub fn due(&self, occurrence: u32) -> Option<WallTime> {
        self.schedule.map(|s| {
            let offset = s.interval.as_micros().saturating_mul(occurrence.into());
            s.first + Span::from_micros(offset)
        })
    }

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }
}

/// Settings of a queue, which also determine the objective of its jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// Host name of the queue.
    pub host: ArcStr,
    /// Path prefix of the queue on that host.
    pub prefix: ArcStr,
    /// Service whose workers run the tasks.
    pub service: ServiceName,
    /// Priority of the queue's jobs; 0 is the highest.
    pub priority: u8,
    /// Number of failed runs of one task after which the job fails.
    pub attempts: u32,
    /// Factor applied to the critical path of a job. The objective for the duration of a
    /// job is `slack_factor * critical path + target_duration`.
    pub slack_factor: f64,
    /// Fixed part of the objective.
    #[serde(rename = "target")]
    pub target_duration: Span,
    /// Lifetime of the tickets that the queue's policy service issues; `None` for a queue
    /// without a policy service.
    #[serde(rename = "advice")]
    pub ticket_lifetime: Option<Span>,
}

/// An accepted job as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Settings of the queue when the job was accepted.
    pub queue: QueueSettings,
    /// The submitted job.
    #[serde(rename = "work")]
    pub spec: JobSpec,
    /// When the job was accepted, on the clock of the host that accepted it.
    pub accepted: WallTime,
    /// Fencing token of a term that was the newest at the store when it stored the job, which
    /// the same transaction has checked; `None` if that is not known. Every leader after that
    /// term reads the job when its own term begins.
    #[serde(default, deserialize_with = "default_if_missing")]
    pub term_token: Option<u64>,
    /// Customer whose key the submission carried; `None` if its queue needs no key. The limits of
    /// the customer apply to the tasks of the job.
    #[serde(default, deserialize_with = "default_if_missing")]
    pub customer: Option<CustomerName>,
}
