//! What callers submit: jobs of steps, and the terms of the queue that took them.

use arcstr::ArcStr;
use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

use crate::model::{Resources, ServiceName, Span, WallTime};

/// Identifier of a job, chosen by the caller: 16 hexadecimal digits.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct JobKey(pub u64);

impl JobKey {
    /// Reads 16 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(hex) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// One step of one occurrence of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// The occurrence, from 0; 0 for a job without a schedule.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
}

/// One task.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// The task's place in its step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Reads the text form `ID.OCCURRENCE.STEP.INDEX`.
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

/// Number of a run of a task. Each start of a task has a higher one.
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

/// Equal tasks of a job that may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks; at least 1.
    pub count: u32,
    /// What a task asks for.
    pub size: Resources,
    /// Rough duration of a task.
    pub estimate: Span,
    /// Steps that have to be done first; each is smaller than this step's number.
    pub after: Vec<u16>,
    /// Whether a task can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub label: Option<ArcStr>,
    /// Rack near the data; slower elsewhere.
    pub data_rack: Option<ArcStr>,
    /// Most tasks of one occurrence of the step on one worker.
    pub per_worker: Option<u32>,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<ArcStr>,
    /// Bound for the tail of a lasting task's response times.
    pub target: Option<Span>,
    /// Whether the tasks use only processor time that others leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Tasks that the scheduler may take away at the same time.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

/// Repeated runs of a job at set times.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence.
    pub first: WallTime,
    /// Time between two occurrences.
    pub interval: Span,
    /// Number of occurrences; at least 1.
    pub count: u32,
}

/// What a caller submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Passed to the worker as it is.
    pub payload: ArcStr,
    /// At least one step.
    pub steps: Vec<Step>,
    /// Times of the occurrences; `None` runs the steps once, at once.
    pub schedule: Option<Schedule>,
}

/// Why submitted work can't be accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum JobSpecError {
    /// No steps.
    #[error("the job has no steps")]
    NoSteps,
    /// A step without tasks or with too many.
    #[error("step {0} has no tasks or more than {MAX_TASKS_PER_STEP}")]
    Count(usize),
    /// A step waits for itself or a later one.
    #[error("step {0} waits for a step that is not earlier")]
    Order(usize),
    /// The payload is too long.
    #[error("the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    Payload,
}

/// Most tasks of one step; bounds the memory that one submission can claim.
pub const MAX_TASKS_PER_STEP: u32 = 10_000;

/// Longest payload in bytes; the platform's limit for the field.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

impl JobSpec {
    /// Checks what the types don't ensure.
    pub fn check(&self) -> Result<(), JobSpecError> {
        if self.steps.is_empty() {
            return Err(JobSpecError::NoSteps);
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobSpecError::Payload);
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS_PER_STEP {
                return Err(JobSpecError::Count(i));
            }
            if step.after.iter().any(|&a| usize::from(a) >= i) {
                return Err(JobSpecError::Order(i));
            }
        }
        Ok(())
    }

    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |s| s.count.max(1))
    }

    /// When an occurrence is due; `None` is at once.
    pub fn due(&self, occurrence: u32) -> Option<WallTime> {
        self.schedule.map(|s| {
            let offset = s.interval.as_micros().saturating_mul(occurrence.into());
            s.first + Span::from_micros(offset)
        })
    }

    /// Whether a step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }
}

/// What a queue promises to its jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// Host name of the queue.
    pub host: ArcStr,
    /// Path prefix of the queue.
    pub prefix: ArcStr,
    /// Service whose workers run the tasks.
    pub service: ServiceName,
    /// 0 goes first.
    pub priority: u8,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// The objective is this many times the job's longest chain of work ...
    pub slack_factor: f64,
    /// ... and this much more.
    #[serde(rename = "target")]
    pub target_duration: Span,
    /// How long a decision of the queue's policy service holds; `None` without one.
    #[serde(rename = "advice")]
    pub ticket_lifetime: Option<Span>,
}

/// An accepted job as the store keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue's terms when the job was accepted.
    pub queue: QueueSettings,
    /// The job.
    #[serde(rename = "work")]
    pub spec: JobSpec,
    /// When the entry took the job, by its clock.
    pub accepted: WallTime,
}
