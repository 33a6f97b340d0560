//! State and threads that the entry and the scheduler process have in common:
//! identity, clock, store client, metrics and the active configuration.

mod active_config;
mod configuration;
pub(crate) mod jobs;
mod main;
mod read_schedule;
mod records;
mod stop;
#[cfg(test)]
mod tests;
mod threads;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed, Ordering::SeqCst};

use opentelemetry::KeyValue;
use serde_json::{Value, json};
use thiserror::Error;

use crate::http::ServeError;
use crate::model::{Incarnation, NodeName};
use crate::peer::{self, Counters, DropReason, Member, PeerError, Peers, Role};
use crate::settings::{Settings, SettingsError};
use crate::store::{HttpStore, StoreError};
use crate::telemetry::{self, Clock, Metrics, MetricsError, Queues};

pub(crate) use active_config::{ActiveConfig, SharedConfig};
pub(crate) use configuration::{ConfigEvent, Configuration};
pub use main::run;
pub(crate) use records::{Records, records_about};
pub use stop::StopSignal;
pub(crate) use threads::{Running, Threads};

/// Why a process could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings are invalid or can't be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The sockets for peers can't be opened, or their keys can't be used.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// An HTTP server can't start, for example because its address is in use.
    #[error(transparent)]
    Server(#[from] ServeError),
    /// An operator token can't be read or used.
    #[error(transparent)]
    Tokens(#[from] crate::operator::TokenError),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A client for a service of the platform, with its name and the cause.
    #[error("the client for the {0} can't be set up: {1}")]
    Client(&'static str, String),
    /// The operating system refused a thread, with its name and the cause.
    #[error("the thread {0} can't be started: {1}")]
    Thread(&'static str, std::io::Error),
}

impl From<StoreError> for StartError {
    fn from(error: StoreError) -> Self {
        Self::Client("store", error.to_string())
    }
}

/// State of one process instance. Nothing in it is global, so that several
/// instances can run in one program.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) settings: Settings,
    pub(crate) role: Role,
    pub(crate) node: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) store: Arc<HttpStore>,
    pub(crate) metrics: Metrics,
    pub(crate) queues: Queues,
    pub(crate) active_config: SharedConfig,
    pub(crate) records: Records,
    draining: AtomicBool,
}

impl Process {
    /// Checks the settings and creates the state; starts no thread.
    pub(crate) fn new(settings: Settings, role: Role) -> Result<Arc<Self>, StartError> {
        settings.check(role)?;
        let clock = Clock::start();
        let node = settings.node(role);
        let incarnation = Incarnation(rand::random());
        let processes = 2 * (settings.seeds.len() + 1);
        let metrics = Metrics::new()?;
        let store = HttpStore::new(settings.store, clock, &metrics, processes)?;
        let process = Arc::new(Self {
            store: Arc::new(store),
            metrics,
            queues: Queues::default(),
            active_config: SharedConfig::new(clock),
            records: Records::new(node.clone()),
            draining: AtomicBool::new(false),
            settings,
            role,
            node,
            incarnation,
            clock,
        });
        Ok(process)
    }

    /// Identity under which the process joins its peers.
    pub(crate) fn identity(&self) -> peer::Identity {
        peer::Identity {
            node: self.node.clone(),
            incarnation: self.incarnation,
            role: self.role,
            domain: self.settings.domain.clone(),
            address: self.settings.peers,
            keys: self.settings.keys.clone(),
            seeds: self.settings.seeds.clone(),
        }
    }

    /// The state that both roles have in common, as JSON.
    pub(crate) fn dump(&self, peers: &Peers) -> Value {
        let now = self.clock.now();
        let members = peers.with_membership(|members| {
            let view = |member: &Member| {
                json!({
                "node": member.heartbeat.node,
                "standing": format!("{:?}", member.liveness).to_lowercase(),
                "age": now.since(member.received_at),
                "revision": member.heartbeat.revision,
                "draining": member.heartbeat.draining,
                })
            };
            members.iter().map(view).collect::<Vec<_>>()
        });
        json!({
        "node": self.node,
        "role": self.role,
        "domain": self.settings.domain,
        "incarnation": self.incarnation,
        "draining": self.is_draining(),
        "revision": self.active_config.revision(),
        "evidence-age": self.active_config.evidence_age(),
        "queues": self.queues.statuses(),
        "records": self.records.len(),
        "peers": members,
        // The settings name key and token files and never contain keys or tokens.
        "settings": self.settings,
        })
    }

    /// Registers the metrics that both roles have in common.
    pub(crate) fn register_metrics(self: &Arc<Self>, peers: &Peers) {
        let counters = peers.counters();
        let watch = |metric, read: fn(&Counters) -> u64| {
            let counters = counters.clone();
            self.metrics
                .observable_counter(metric, move |observe| observe(read(&counters), &[]));
        };
        watch(&telemetry::PEER_HEARTBEATS, |c| c.heartbeats.load(Relaxed));
        watch(&telemetry::PEER_CALLS, |c| c.calls_sent.load(Relaxed));
        watch(&telemetry::PEER_CALL_FAILURES, |c| {
            c.call_failures.load(Relaxed)
        });
        watch(&telemetry::PEER_CALLS_ANSWERED, |c| {
            c.calls_answered.load(Relaxed)
        });
        watch(&telemetry::PEER_HEARTBEAT_BYTES, |c| {
            c.heartbeat_bytes.load(Relaxed)
        });
        self.metrics
            .observable_counter(&telemetry::PEER_MESSAGES_DROPPED, move |observe| {
                for reason in DropReason::ALL {
                    let label = KeyValue::new("reason", reason.to_string());
                    observe(counters.dropped(reason), &[label]);
                }
            });
        let peers = peers.clone();
        self.metrics
            .observable_gauge(&telemetry::PEERS, move |observe| {
                observe(peers.present().len() as f64, &[]);
            });
        self.register_state_metrics();
    }

    fn register_state_metrics(self: &Arc<Self>) {
        // The process owns the metrics; a strong reference would be a cycle that keeps it alive.
        let process = Arc::downgrade(self);
        self.metrics
            .observable_gauge(&telemetry::CONFIG_REVISION, move |observe| {
                if let Some(process) = process.upgrade() {
                    observe(process.active_config.revision().0 as f64, &[]);
                }
            });
        let process = Arc::downgrade(self);
        self.metrics
            .observable_gauge(&telemetry::CONFIG_EVIDENCE_AGE, move |observe| {
                if let Some(age) = process
                    .upgrade()
                    .and_then(|p| p.active_config.evidence_age())
                {
                    observe(age.as_secs_f64(), &[]);
                }
            });
        let queues = self.queues.clone();
        self.metrics
            .observable_gauge(&telemetry::QUEUE_LENGTH, move |observe| {
                for queue in queues.statuses() {
                    let label = KeyValue::new("queue", queue.name);
                    observe(queue.length as f64, &[label]);
                }
            });
        let queues = self.queues.clone();
        self.metrics
            .observable_counter(&telemetry::QUEUE_DROPPED, move |observe| {
                for queue in queues.statuses() {
                    observe(queue.dropped, &[KeyValue::new("queue", queue.name)]);
                }
            });
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(SeqCst)
    }

    /// Marks the begin of a planned stop, which can't be undone.
    pub(crate) fn start_draining(&self) {
        self.draining.store(true, SeqCst);
    }
}
