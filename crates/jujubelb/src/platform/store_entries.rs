//! Entries that the operator and the workers write into the store.

use std::net::{IpAddr, SocketAddr};

use arcstr::ArcStr;
use indexmap::IndexMap;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

use super::customers::{CustomerKeys, decode_customers};
use super::numbers::{Cpu, Mebibytes, Millis, Ratio, RemainingMillis};
use crate::dispatch::{CustomerPolicy, Incarnation, QueueSettings, WorkerReport};
use crate::model::{Bytes, CustomerName, DomainName, Resources, ServiceName, Span, WorkerName};

/// Prefix of the operator's keys.
pub const OPERATOR_PREFIX: &str = "op/";

/// Key of the operator's configuration.
pub const CONFIG_KEY: &str = "op/config";

/// Prefix of the keys that each name an evacuated failure domain.
pub const EVACUATION_PREFIX: &str = "op/evacuate/";

/// Prefix of the keys under which workers register.
pub const WORKER_PREFIX: &str = "servers/";

/// Configuration of a queue that accepts jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// Settings that apply to the jobs of the queue.
    pub settings: QueueSettings,
    /// Longest time for the response to a caller.
    pub timeout: Span,
    /// Whether callers have to present the key of a customer. Never set in a deployment without
    /// customers.
    pub needs_key: bool,
}

/// The operator's configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OperatorConfig {
    /// Version of the configuration; only grows.
    pub version: u64,
    /// Queues that could be decoded.
    pub queues: Vec<QueueConfig>,
    /// Weights and limits of the customers; empty in a deployment without customers.
    pub customers: IndexMap<CustomerName, CustomerPolicy>,
    /// Keys of the customers; `None` in a deployment without customers, where no key is asked for.
    pub keys: Option<CustomerKeys>,
    /// Number of queues that could not be decoded.
    pub unreadable: usize,
    /// Largest body of a caller's request.
    pub body_limit: Bytes,
}

#[derive(Debug, Deserialize)]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<Value>,
    #[serde(default)]
    limits: WireLimits,
    /// Customers. An empty list says that no key is valid, and no list that none is needed.
    #[serde(default, deserialize_with = "null_as_value")]
    tenants: Option<Value>,
}

/// Keeps a field that is null apart from one that is absent.
fn null_as_value<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Value>, D::Error> {
    Value::deserialize(deserializer).map(Some)
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
    timeout_ms: Option<Millis>,
    /// Fixed part of the duration objective of a job.
    target_duration_ms: Option<Millis>,
    /// 0 goes first.
    priority: Option<u8>,
    /// Failed runs of a task after which its job has failed.
    max_attempts: Option<u32>,
    /// Part of the objective as a multiple of the job's longest chain of work.
    slack_factor: Option<Ratio>,
    /// Present if the queue has a policy service.
    advice: Option<WireAdvice>,
    /// Whether callers need no key.
    #[serde(default)]
    public: bool,
}

#[derive(Debug, Deserialize)]
struct WireAdvice {
    /// How long a ticket of the policy service is valid.
    valid_ms: Option<Millis>,
}

/// Body limit if the configuration sets none.
const DEFAULT_BODY_LIMIT: Bytes = Bytes::from_mib(1);

/// Response timeout of a queue if the configuration sets none.
const DEFAULT_TIMEOUT: Span = Span::from_secs(3);

/// Failed runs of a task until its job fails, if the configuration sets none.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Decodes the operator's configuration. A queue that can't be decoded is logged and counted.
pub fn decode_config(bytes: &[u8]) -> Result<OperatorConfig, serde_json::Error> {
    let config: WireConfig = serde_json::from_slice(bytes)?;
    let listed = config.routes.len();
    let has_customers = config.tenants.is_some();
    let queues: Vec<QueueConfig> = config
        .routes
        .into_iter()
        .filter_map(|route| match serde_json::from_value::<WireRoute>(route) {
            Ok(route) => Some(decode_queue(route, has_customers)),
            Err(error) => {
                log::warn!(version = config.version, error:% = error; "queue in the configuration can't be decoded");
                None
            }
        })
        .collect();
    let (customers, keys) = match config.tenants {
        Some(list) => {
            let customers = decode_customers(config.version, &list);
            (customers.policy, Some(customers.keys))
        }
        None => (IndexMap::new(), None),
    };
    Ok(OperatorConfig {
        version: config.version,
        customers,
        keys,
        unreadable: listed - queues.len(),
        queues,
        body_limit: config
            .limits
            .max_body_bytes
            .map_or(DEFAULT_BODY_LIMIT, Bytes),
    })
}

fn decode_queue(route: WireRoute, has_customers: bool) -> QueueConfig {
    QueueConfig {
        needs_key: has_customers && !route.public,
        timeout: route.timeout_ms.map_or(DEFAULT_TIMEOUT, |t| t.0),
        settings: QueueSettings {
            host: route.host,
            prefix: route.prefix,
            service: route.service,
            priority: route.priority.unwrap_or(0),
            attempts: route.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
            slack_factor: route.slack_factor.map_or(1.0, |factor| factor.0),
            target_duration: route.target_duration_ms.unwrap_or_default().0,
            ticket_lifetime: route.advice.map(|a| a.valid_ms.unwrap_or_default().0),
        },
    }
}

/// Length in bytes of the longest name or label of a worker. The store has no longer keys. Names
/// are stored in the roster, which a long one could make too large to be written.
pub(super) const MAX_NAME_BYTES: usize = 200;

/// Largest number of labels of a worker, which are searched for each placement.
const MAX_LABELS: usize = 64;

#[derive(Debug, Deserialize)]
struct WireWorker {
    service: ServiceName,
    address: SocketAddr,
    zone: DomainName,
    state: WireState,
    /// Total capacity of the worker.
    room: WireCapacity,
    /// The first label is the kind of the worker, the second its rack.
    labels: Vec<ArcStr>,
    /// Time until a draining worker stops.
    #[serde(default)]
    drain_remaining_ms: Option<RemainingMillis>,
    /// Incarnation of the worker.
    #[serde(default)]
    born: Option<Incarnation>,
}

impl WireWorker {
    /// Checks what the types of the fields allow and no worker has.
    fn check(&self, name: &str) -> Result<(), &'static str> {
        let is_one_host = match self.address.ip() {
            IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
            IpAddr::V6(ip) => !ip.is_unspecified() && !ip.is_multicast(),
        };
        if !is_one_host || self.address.port() == 0 {
            return Err("the address is not that of a server");
        }
        let mut texts = [name, self.service.as_str(), self.zone.as_str()]
            .into_iter()
            .chain(self.labels.iter().map(ArcStr::as_str));
        if name.is_empty() || texts.any(|text| text.len() > MAX_NAME_BYTES) {
            return Err("the name is empty, or a name or label is too long");
        }
        match self.labels.len() <= MAX_LABELS {
            true => Ok(()),
            false => Err("there are too many labels"),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

#[derive(Debug, Deserialize)]
pub(super) struct WireCapacity {
    /// In millicores.
    #[serde(default)]
    pub(super) cpu: Cpu,
    /// In mebibytes.
    #[serde(default)]
    pub(super) mem_mb: Mebibytes,
    /// Number of accelerators.
    #[serde(default)]
    pub(super) gpu: u32,
}

/// Decodes the entry of a worker. Returns `None` for a key without the prefix, and for
/// a value that can't be decoded: other writers may store anything under the prefix.
pub fn decode_worker(key: &str, bytes: &[u8]) -> Option<WorkerReport> {
    let name = key.strip_prefix(WORKER_PREFIX)?;
    let entry: WireWorker = match serde_json::from_slice(bytes) {
        Ok(entry) => entry,
        Err(error) => {
            log::debug!(key = key, error:% = error; "entry of a worker can't be decoded; ignored");
            return None;
        }
    };
    if let Err(problem) = entry.check(name) {
        log::debug!(key = key, problem = problem; "entry of a worker can't be used; ignored");
        return None;
    }
    Some(WorkerReport {
        name: WorkerName::new(name),
        address: entry.address,
        service: entry.service,
        domain: entry.zone,
        rack: entry.labels.get(1).cloned(),
        labels: entry.labels,
        capacity: Resources::new(entry.room.cpu.0, entry.room.mem_mb.0.0, entry.room.gpu),
        drain_remaining: (entry.state == WireState::Draining)
            .then(|| entry.drain_remaining_ms.unwrap_or_default().0),
        incarnation: entry.born,
    })
}
