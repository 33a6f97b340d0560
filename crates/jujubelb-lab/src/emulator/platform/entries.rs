//! Entries that the operator and the workers write into the store.

use std::net::SocketAddr;
use std::time::Duration;

use arcstr::ArcStr;
use serde_json::{Value, json};

use crate::emulator::customers::Customer;
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
    /// Whether callers need no key.
    pub(crate) public: bool,
}

pub(crate) fn evacuation_key(zone: &str) -> String {
    format!("op/evacuate/{zone}")
}

pub(crate) fn worker_key(name: &str) -> String {
    format!("servers/{name}")
}

/// The operator's configuration.
pub(crate) fn config(version: u64, queues: &[Queue], customers: &[Customer]) -> Value {
    let route = |queue: &Queue| {
        let mut route = json!({
            "host": QUEUE_HOST,
            "prefix": queue.prefix,
            "service": queue.service,
            "timeout_ms": 3_000,
            "priority": queue.priority,
            "max_attempts": MAX_ATTEMPTS,
            "slack_factor": 2.0,
            "target_duration_ms": 2_000,
        });
        if !customers.is_empty() {
            route["public"] = queue.public.into();
        }
        route
    };
    let services: Vec<Value> = queues
        .iter()
        .map(|q| json!({"name": q.service, "rejects_overload": true}))
        .collect();
    let mut config = json!({
        "version": version,
        "routes": queues.iter().map(route).collect::<Vec<_>>(),
        "services": services,
        "limits": {"max_body_bytes": 65_536},
    });
    if !customers.is_empty() {
        config["tenants"] = customers.iter().map(tenant).collect();
    }
    config
}

fn tenant(customer: &Customer) -> Value {
    let keys: Vec<&str> = customer.keys.iter().map(|k| k.text.as_str()).collect();
    json!({
        "name": customer.name,
        "api_keys": keys,
        "weight": customer.weight,
        "max_count": {"cpu": customer.max_cpu, "mem_mb": customer.max_memory, "gpu": 0},
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
