//! Bodies of callers' requests and answers.

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use crate::dispatch::{JobSpec, JobStatus, Schedule, Step};
use crate::model::{Bytes, Resources, Span, WallTime};

#[derive(Debug, Deserialize)]
struct WireJob {
    /// The payload of each run, not a description of the job.
    #[serde(default)]
    spec: ArcStr,
    steps: Vec<WireStep>,
    #[serde(default)]
    first_run_ms: Option<f64>,
    #[serde(default)]
    interval_ms: Option<f64>,
    #[serde(default)]
    repeat_count: u32,
}

#[derive(Debug, Deserialize)]
struct WireStep {
    count: u32,
    #[serde(default)]
    cpu: u64,
    #[serde(default)]
    mem_mb: u64,
    #[serde(default)]
    gpu: u32,
    #[serde(default)]
    estimate_ms: f64,
    #[serde(default)]
    after: Vec<u16>,
    #[serde(default)]
    checkpoints: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    #[serde(default)]
    requirements: Option<ArcStr>,
    /// The rack where the data is; other racks work, but slower.
    #[serde(default)]
    affinity: Option<ArcStr>,
    #[serde(default)]
    max_per_server: u32,
    #[serde(default)]
    speculative: bool,
    #[serde(default)]
    long_running: bool,
    #[serde(default)]
    image: Option<ArcStr>,
    #[serde(default)]
    target_ms: f64,
    #[serde(default)]
    fills: bool,
    #[serde(default)]
    may_miss: Option<u32>,
}

fn millis(ms: f64) -> Span {
    Span::from_micros((ms.max(0.0) * 1e3) as u64)
}

fn text(value: Option<ArcStr>) -> Option<ArcStr> {
    value.filter(|v| !v.is_empty())
}

/// Decodes a submission.
pub fn decode_work(bytes: &[u8]) -> Result<JobSpec, serde_json::Error> {
    let job: WireJob = serde_json::from_slice(bytes)?;
    let schedule = (job.repeat_count > 0).then(|| Schedule {
        first: WallTime::from_micros((job.first_run_ms.unwrap_or(0.0).max(0.0) * 1e3) as u64),
        interval: millis(job.interval_ms.unwrap_or(0.0)),
        count: job.repeat_count,
    });
    Ok(JobSpec {
        payload: job.spec,
        steps: job.steps.into_iter().map(step).collect(),
        schedule,
    })
}

fn step(step: WireStep) -> Step {
    Step {
        count: step.count,
        size: Resources::new(step.cpu, Bytes::from_mib(step.mem_mb).0, step.gpu),
        estimate: millis(step.estimate_ms),
        after: step.after,
        checkpoints: step.checkpoints,
        gang: step.gang,
        same_rack: step.same_rack,
        label: text(step.requirements),
        data_rack: text(step.affinity),
        per_worker: (step.max_per_server > 0).then_some(step.max_per_server),
        speculative: step.speculative,
        long_running: step.long_running,
        image: text(step.image),
        target: (step.target_ms > 0.0).then(|| millis(step.target_ms)),
        best_effort: step.fills,
        max_unavailable: step.may_miss,
    }
}

#[derive(Debug, Serialize)]
struct WireShown<'a> {
    state: &'a str,
}

#[derive(Debug, Serialize)]
struct WirePending {
    pending: usize,
}

/// Encodes a job's state.
pub fn encode_state(shown: JobStatus) -> String {
    let state = shown.to_string();
    serde_json::json!(WireShown { state: &state }).to_string()
}

/// Encodes the number of waiting jobs of a queue.
pub fn encode_pending(pending: usize) -> String {
    serde_json::json!(WirePending { pending }).to_string()
}
