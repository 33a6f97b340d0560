//! Clients' requests on jobs.

use arcstr::ArcStr;
use serde_json::{Value, json};

use crate::emulator::customers::Key;
use crate::emulator::history::{Role, SentJob, SentStep};

/// Header with the time that a client waits for the response.
pub(crate) const DEADLINE_HEADER: &str = "Deadline-Ms";

/// Header with the key of the caller's customer.
pub(crate) const KEY_HEADER: &str = "Authorization";

/// The value of that header.
pub(crate) fn key_value(key: &Key) -> String {
    format!("Token {}", key.text)
}

/// The body that submits a job.
pub(crate) fn submission(job: &SentJob) -> Value {
    json!({"spec": job.payload, "steps": job.steps.iter().map(step).collect::<Vec<_>>()})
}

fn step(step: &SentStep) -> Value {
    let mut body = json!({
        "count": step.count,
        "cpu": step.cpu,
        "mem_mb": step.memory,
        "estimate_ms": step.work.as_millis() as u64,
    });
    if !step.after.is_empty() {
        body["after"] = json!(step.after);
    }
    if step.checkpoints {
        body["checkpoints"] = true.into();
    }
    if step.lasts {
        body["long_running"] = true.into();
    }
    match &step.role {
        Role::Plain => {}
        Role::Serving { image, target } => {
            body["image"] = image.as_str().into();
            body["target_ms"] = (target.as_millis() as u64).into();
        }
        Role::BestEffort { image } => {
            body["image"] = image.as_str().into();
            body["fills"] = true.into();
        }
    }
    body
}

/// The state in a response.
pub(crate) fn state(body: &[u8]) -> Option<ArcStr> {
    let body: Value = serde_json::from_slice(body).ok()?;
    Some(body.get("state")?.as_str()?.into())
}
