//! What both processes share: identity, clock, adapters, the configuration in
//! force and the threads that keep it up to date.

mod board;
mod configuration;
pub(crate) mod jobs;
mod main;
mod plan;
mod records;
mod stop;
#[cfg(test)]
mod tests;
mod worker_thread;

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

pub(crate) use board::{Board, InForce};
pub(crate) use configuration::{ConfigNews, Configuration};
pub use main::run;
pub(crate) use records::{Records, about};
pub use stop::stop_signal;
pub(crate) use worker_thread::{Running, Threads};

/// Failure to start a process.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The exchange with peers can't start.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// An HTTP server can't start.
    #[error(transparent)]
    Server(#[from] ServeError),
    /// An operator token is missing.
    #[error(transparent)]
    Tokens(#[from] crate::operator::TokenError),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A client for the platform can't be set up.
    #[error("the client for the {0} can't be set up: {1}")]
    Client(&'static str, String),
    /// A thread can't be started.
    #[error("the thread {0} can't be started: {1}")]
    Thread(&'static str, std::io::Error),
}

impl From<StoreError> for StartError {
    fn from(error: StoreError) -> Self {
        Self::Client("store", error.to_string())
    }
}

/// One process instance. It holds no global state.
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
    pub(crate) board: Board,
    pub(crate) records: Records,
    draining: AtomicBool,
}

impl Process {
    /// A process that does nothing yet.
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
            board: Board::new(clock),
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

    /// Identity among the peers.
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

    /// The state that both kinds of processes have, as JSON.
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
            "revision": self.board.revision(),
            "evidence-age": self.board.age(),
            "queues": self.queues.views(),
            "records": self.records.len(),
            "peers": members,
            // The settings name key and token files; their contents are never shown.
            "settings": self.settings,
        })
    }

    /// Shows what both kinds of processes have in the metrics.
    pub(crate) fn show_metrics(self: &Arc<Self>, peers: &Peers) {
        let counters = peers.counters();
        let watch = |metric, read: fn(&Counters) -> u64| {
            let counters = counters.clone();
            self.metrics
                .watch_counter(metric, move |observe| observe(read(&counters), &[]));
        };
        watch(&telemetry::PEER_BEATS, |c| c.heartbeats.load(Relaxed));
        watch(&telemetry::PEER_CALLS, |c| c.calls_sent.load(Relaxed));
        watch(&telemetry::PEER_FAILURES, |c| c.call_failures.load(Relaxed));
        watch(&telemetry::PEER_ANSWERED, |c| {
            c.calls_answered.load(Relaxed)
        });
        watch(&telemetry::PEER_BYTES, |c| c.heartbeat_bytes.load(Relaxed));
        self.metrics
            .watch_counter(&telemetry::PEER_DROPPED, move |observe| {
                for reason in DropReason::ALL {
                    let label = KeyValue::new("reason", reason.to_string());
                    observe(counters.dropped(reason), &[label]);
                }
            });
        let present = peers.clone();
        self.metrics.watch_gauge(&telemetry::PEERS, move |observe| {
            observe(present.present().len() as f64, &[]);
        });
        self.show_state();
    }

    fn show_state(self: &Arc<Self>) {
        // The metrics belong to the process, so they must not keep it alive.
        let process = Arc::downgrade(self);
        self.metrics
            .watch_gauge(&telemetry::REVISION, move |observe| {
                if let Some(process) = process.upgrade() {
                    observe(process.board.revision().0 as f64, &[]);
                }
            });
        let process = Arc::downgrade(self);
        self.metrics
            .watch_gauge(&telemetry::EVIDENCE, move |observe| {
                if let Some(age) = process.upgrade().and_then(|p| p.board.age()) {
                    observe(age.as_secs_f64(), &[]);
                }
            });
        let queues = self.queues.clone();
        self.metrics.watch_gauge(&telemetry::QUEUE, move |observe| {
            for queue in queues.views() {
                let label = KeyValue::new("queue", queue.name);
                observe(queue.length as f64, &[label]);
            }
        });
        let queues = self.queues.clone();
        self.metrics
            .watch_counter(&telemetry::QUEUE_DROPPED, move |observe| {
                for queue in queues.views() {
                    observe(queue.dropped, &[KeyValue::new("queue", queue.name)]);
                }
            });
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(SeqCst)
    }

    /// Begins a planned stop.
    pub(crate) fn start_draining(&self) {
        self.draining.store(true, SeqCst);
    }
}
