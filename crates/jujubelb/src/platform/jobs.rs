//! Bodies of callers' requests and responses.

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use super::numbers::{Cpu, Mebibytes, Millis};
use crate::dispatch::{JobSpec, JobStatus, Schedule, Step};
use crate::model::{Resources, Span, WallTime};

#[derive(Debug, Deserialize)]
struct WireJob {
    /// Payload that each run of the job is started with.
    #[serde(default)]
    spec: ArcStr,
    steps: Vec<WireStep>,
    /// Start of the first occurrence in milliseconds since the Unix epoch.
    #[serde(default)]
    first_run_ms: Option<Millis>,
    #[serde(default)]
    interval_ms: Option<Millis>,
    /// Number of occurrences; 0 for a job that runs once, without a schedule.
    #[serde(default)]
    repeat_count: u32,
}

#[derive(Debug, Deserialize)]
struct WireStep {
    /// Number of tasks.
    count: u32,
    /// Millicores per task.
    #[serde(default)]
    cpu: Cpu,
    /// Mebibytes of memory per task.
    #[serde(default)]
    mem_mb: Mebibytes,
    /// Accelerators per task.
    #[serde(default)]
    gpu: u32,
    #[serde(default)]
    estimate_ms: Millis,
    /// Indices of earlier steps that have to be done first.
    #[serde(default)]
    after: Vec<u16>,
    #[serde(default)]
    checkpoints: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    /// Label that the worker must have.
    #[serde(default)]
    requirements: Option<ArcStr>,
    /// Rack where the step's data is; tasks run slower on other racks.
    #[serde(default)]
    affinity: Option<ArcStr>,
    /// Most tasks of one occurrence of the step on one worker; 0 for no limit.
    #[serde(default)]
    max_per_server: u32,
    /// Whether copies of a task may run in parallel.
    #[serde(default)]
    speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default)]
    long_running: bool,
    #[serde(default)]
    image: Option<ArcStr>,
    /// Bound for the tail latency of a long-running task; 0 for none.
    #[serde(default)]
    target_ms: Millis,
    /// Whether the tasks are best-effort: they use only processor time that others leave.
    #[serde(default)]
    fills: bool,
    /// Tasks that the scheduler may take away at the same time.
    #[serde(default)]
    may_miss: Option<u32>,
}

fn non_empty(value: Option<ArcStr>) -> Option<ArcStr> {
    value.filter(|v| !v.is_empty())
}

/// Decodes the body of a submission. It is not checked for validity.
pub fn decode_submission(bytes: &[u8]) -> Result<JobSpec, serde_json::Error> {
    let job: WireJob = serde_json::from_slice(bytes)?;
    let schedule = (job.repeat_count > 0).then(|| Schedule {
        first: WallTime::ZERO + job.first_run_ms.unwrap_or_default().0,
        interval: job.interval_ms.unwrap_or_default().0,
        count: job.repeat_count,
    });
    Ok(JobSpec {
        payload: job.spec,
        steps: job.steps.into_iter().map(decode_step).collect(),
        schedule,
    })
}

fn decode_step(step: WireStep) -> Step {
    Step {
        count: step.count,
        size: Resources::new(step.cpu.0, step.mem_mb.0.0, step.gpu),
        estimate: step.estimate_ms.0,
        after: step.after,
        checkpoints: step.checkpoints,
        gang: step.gang,
        same_rack: step.same_rack,
        label: non_empty(step.requirements),
        data_rack: non_empty(step.affinity),
        per_worker: (step.max_per_server > 0).then_some(step.max_per_server),
        speculative: step.speculative,
        long_running: step.long_running,
        image: non_empty(step.image),
        target: Some(step.target_ms.0).filter(|&target| target > Span::ZERO),
        best_effort: step.fills,
        max_unavailable: step.may_miss,
    }
}

#[derive(Debug, Serialize)]
struct WireJobStatus<'a> {
    state: &'a str,
}

#[derive(Debug, Serialize)]
struct WirePendingCount {
    pending: usize,
}

/// Encodes the status of a job.
pub fn encode_job_status(status: JobStatus) -> String {
    let state = status.to_string();
    serde_json::json!(WireJobStatus { state: &state }).to_string()
}

/// Encodes the number of waiting jobs of a queue.
pub fn encode_pending_count(pending: usize) -> String {
    serde_json::json!(WirePendingCount { pending }).to_string()
}
