//! Entries that the operator and the workers write into the store.

use std::net::SocketAddr;
use std::time::Duration;

use arcstr::ArcStr;
use serde_json::{Value, json};

use crate::emulator::worker::Worker;

pub(crate) const CONFIG_KEY: &str = "op/config";

/// Failed runs of a task until its job fails.
pub(crate) const MAX_ATTEMPTS: usize = 3;

/// Host name of all queues.
pub(crate) const QUEUE_HOST: &str = "q.example";

/// A queue of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Queue {
    pub(crate) prefix: ArcStr,
    pub(crate) service: ArcStr,
    /// 0 comes first.
    pub(crate) priority: u8,
}

pub(crate) fn evacuation_key(zone: &str) -> String {
    format!("op/evacuate/{zone}")
}

pub(crate) fn worker_key(name: &str) -> String {
    format!("servers/{name}")
}

/// The operator's configuration.
pub(crate) fn config(version: u64, queues: &[Queue]) -> Value {
    let route = |queue: &Queue| {
        json!({
            "host": QUEUE_HOST,
            "prefix": queue.prefix,
            "service": queue.service,
            "timeout_ms": 3_000,
            "priority": queue.priority,
            "max_attempts": MAX_ATTEMPTS,
            "slack_factor": 2.0,
            "target_duration_ms": 2_000,
        })
    };
    let services: Vec<Value> = queues
        .iter()
        .map(|q| json!({"name": q.service, "rejects_overload": true}))
        .collect();
    json!({
        "version": version,
        "routes": queues.iter().map(route).collect::<Vec<_>>(),
        "services": services,
        "limits": {"max_body_bytes": 65_536},
    })
}

/// What a worker reports about itself with a heartbeat.
pub(crate) fn worker(
    worker: &Worker,
    address: SocketAddr,
    sequence: u64,
    drains: Option<Duration>,
) -> Value {
    let machine = &worker.machine;
    let mut entry = json!({
        "service": machine.service,
        "address": address,
        "zone": machine.zone,
        "version": "1",
        "capacity": 10,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": sequence,
        "room": {"cpu": machine.cpu, "mem_mb": machine.memory, "gpu": 0},
        "labels": ["plain", machine.rack],
        "born": worker.born_ms,
        "machine": worker.life.name,
    });
    if let Some(left) = drains {
        entry["state"] = "draining".into();
        entry["drain_remaining_ms"] = (left.as_millis() as u64).into();
    }
    entry
}
