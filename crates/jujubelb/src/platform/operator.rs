//! What the operator and the workers write into the store.

use std::net::SocketAddr;

use arcstr::ArcStr;
use serde::Deserialize;
use serde_json::Value;

use crate::dispatch::{Incarnation, QueueSettings, WorkerReport};
use crate::model::{Bytes, DomainName, Resources, ServiceName, Span, WorkerName};

/// Key of the configuration.
pub const CONFIG_KEY: &str = "op/config";

/// Prefix of the keys of evacuated domains.
pub const EVACUATION_PREFIX: &str = "op/evacuate/";

/// Prefix of the keys of workers.
pub const WORKER_PREFIX: &str = "servers/";

/// A queue that takes jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// What it promises to its jobs.
    pub terms: QueueSettings,
    /// Longest time for an answer.
    pub timeout: Span,
}

/// The operator's configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Operator {
    /// Its version; only grows.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// Largest body of a request.
    pub body_limit: Bytes,
}

#[derive(Debug, Deserialize)]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<Value>,
    #[serde(default)]
    limits: WireLimits,
}

#[derive(Debug, Default, Deserialize)]
struct WireLimits {
    max_body_bytes: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct WireRoute {
    host: ArcStr,
    prefix: ArcStr,
    service: ServiceName,
    timeout_ms: Option<u64>,
    /// The fixed part of the objective, not the length of a job.
    target_duration_ms: Option<f64>,
    priority: Option<u8>,
    max_attempts: Option<u32>,
    slack_factor: Option<f64>,
    advice: Option<WireAdvice>,
}

#[derive(Debug, Deserialize)]
struct WireAdvice {
    valid_ms: Option<u64>,
}

/// Largest body when the configuration names none.
const DEFAULT_BODY: Bytes = Bytes::from_mib(1);

/// Time for an answer when the configuration names none.
const DEFAULT_TIMEOUT: Span = Span::from_secs(3);

/// Failed runs when the configuration names none.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Decodes the configuration. A queue that can't be read is left out.
pub fn decode_config(bytes: &[u8]) -> Result<Operator, serde_json::Error> {
    let config: WireConfig = serde_json::from_slice(bytes)?;
    let queues = config
        .routes
        .into_iter()
        .filter_map(|route| match serde_json::from_value::<WireRoute>(route) {
            Ok(route) => Some(queue(route)),
            Err(error) => {
                log::warn!(version = config.version, error:% = error; "queue of the configuration can't be read; left out");
                None
            }
        })
        .collect();
    Ok(Operator {
        version: config.version,
        queues,
        body_limit: config.limits.max_body_bytes.map_or(DEFAULT_BODY, Bytes),
    })
}

fn queue(route: WireRoute) -> Queue {
    Queue {
        timeout: route.timeout_ms.map_or(DEFAULT_TIMEOUT, Span::from_millis),
        terms: QueueSettings {
            host: route.host,
            prefix: route.prefix,
            service: route.service,
            priority: route.priority.unwrap_or(0),
            attempts: route.max_attempts.unwrap_or(DEFAULT_ATTEMPTS).max(1),
            slack_factor: route.slack_factor.unwrap_or(1.0),
            target_duration: Span::from_micros(
                (route.target_duration_ms.unwrap_or(0.0) * 1e3) as u64,
            ),
            ticket_lifetime: route
                .advice
                .map(|a| Span::from_millis(a.valid_ms.unwrap_or(0))),
        },
    }
}

#[derive(Debug, Deserialize)]
struct WireWorker {
    service: ServiceName,
    address: SocketAddr,
    zone: DomainName,
    state: WireState,
    room: WireRoom,
    labels: Vec<ArcStr>,
    #[serde(default)]
    drain_remaining_ms: Option<f64>,
    #[serde(default)]
    born: Option<Incarnation>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

#[derive(Debug, Deserialize)]
struct WireRoom {
    #[serde(default)]
    cpu: u64,
    #[serde(default)]
    mem_mb: u64,
    #[serde(default)]
    gpu: u32,
}

/// Decodes a worker's entry. Entries of other writers may be anything; one that
/// can't be read names no worker to use.
pub fn decode_worker(key: &str, bytes: &[u8]) -> Option<WorkerReport> {
    let name = key.strip_prefix(WORKER_PREFIX)?;
    let entry: WireWorker = match serde_json::from_slice(bytes) {
        Ok(entry) => entry,
        Err(error) => {
            log::debug!(key = key, error:% = error; "entry of a worker can't be read; left out");
            return None;
        }
    };
    let left = entry.drain_remaining_ms.unwrap_or(0.0).max(0.0);
    Some(WorkerReport {
        name: WorkerName::new(name),
        address: entry.address,
        service: entry.service,
        domain: entry.zone,
        // The first label is the kind, the second the rack.
        rack: entry.labels.get(1).cloned(),
        labels: entry.labels,
        capacity: Resources::new(
            entry.room.cpu,
            Bytes::from_mib(entry.room.mem_mb).0,
            entry.room.gpu,
        ),
        drain_remaining: (entry.state == WireState::Draining)
            .then(|| Span::from_micros((left * 1e3) as u64)),
        incarnation: entry.born,
    })
}
