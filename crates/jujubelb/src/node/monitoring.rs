//! Readiness checks for the load balancer; metrics and the state dump for operators.

use std::io::Cursor;
use std::sync::Arc;

use opentelemetry::KeyValue;
use rocket::http::{ContentType, Method, Status};
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};

use super::logging;
use super::state::{KnownLeader, Node, lock};
use crate::dispatch::Summary;
use crate::model::Span;
use crate::telemetry::{self, Metric};

/// Path of the readiness check.
const READINESS_PATH: &str = "/readyz";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the state dump.
const STATE_PATH: &str = "/state";

/// Tells the load balancer whether this host takes requests. It does while it has a
/// configuration and isn't draining.
#[derive(Clone)]
pub(crate) struct Readiness(pub(crate) Arc<Node>);

impl Readiness {
    pub(crate) fn routes(&self) -> Vec<Route> {
        vec![Route::new(Method::Get, READINESS_PATH, self.clone())]
    }
}

#[rocket::async_trait]
impl Handler for Readiness {
    async fn handle<'r>(&self, _: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let ready = self.0.config().is_some() && !self.0.is_draining();
        let mut response = Response::new();
        response.set_status(match ready {
            true => Status::Ok,
            false => Status::ServiceUnavailable,
        });
        Outcome::Success(response)
    }
}

/// Serves the metrics and the state dump.
#[derive(Clone)]
pub(crate) struct MonitoringApi(pub(crate) Arc<Node>);

impl MonitoringApi {
    pub(crate) fn routes(&self) -> Vec<Route> {
        [METRICS_PATH, STATE_PATH]
            .map(|path| Route::new(Method::Get, path, self.clone()))
            .to_vec()
    }

    fn state_dump(&self) -> serde_json::Value {
        let node = &self.0;
        let leader = match node.leader() {
            KnownLeader::Unknown => "unknown".to_owned(),
            KnownLeader::Absent => "none".to_owned(),
            KnownLeader::Present(leader, _) => leader.host.to_string(),
        };
        serde_json::json!({
            "host": node.settings.host,
            "leader": leader,
            "config_version": node.config().map(|c| c.operator.version),
            "config_revision": node.config().map(|c| c.revision.0),
            "config_age_s": node.config_age().map(Span::as_secs_f64),
            "store_lost": node.is_store_lost(),
            "draining": node.is_draining(),
            "requests_in_flight": node.inflight(),
            "log_lines_dropped": logging::dropped_lines(),
            "dispatch": node.active_term().map(|l| lock(&l.dispatcher).summary()),
        })
    }
}

#[rocket::async_trait]
impl Handler for MonitoringApi {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let (kind, text) = if request.uri().path().as_str() == METRICS_PATH {
            match self.0.metrics.registry.render() {
                Ok(text) => (ContentType::Plain, text),
                Err(error) => {
                    log::error!(error:% = error; "metrics can't be encoded");
                    (ContentType::Plain, format!("# {error}\n"))
                }
            }
        } else {
            (ContentType::JSON, self.state_dump().to_string())
        };
        let mut response = Response::new();
        response.set_header(kind);
        response.set_sized_body(text.len(), Cursor::new(text));
        Outcome::Success(response)
    }
}

/// Values of a gauge of the leader with their labels.
type LeaderGauge<const N: usize> = fn(&Summary) -> [(&'static str, f64); N];

/// Registers the gauges of the process. Those of the leader have no values on other hosts.
pub(crate) fn register_gauges(node: &Arc<Node>) {
    let observed = Arc::downgrade(node);
    let registry = &node.metrics.registry;
    registry.observable_gauge(&telemetry::CONFIG_EVIDENCE_AGE, move |observe| {
        if let Some(age) = observed.upgrade().and_then(|n| n.config_age()) {
            observe(age.as_secs_f64(), &[]);
        }
    });
    register_pool_gauge(node);
    register_customer_gauges(node);
    register_connection_gauge(node);
    register_leader_gauge(node, &telemetry::DISPATCH_JOBS, |s| {
        [("all", s.jobs as f64), ("without-run", s.idle_jobs as f64)]
    });
    register_leader_gauge(node, &telemetry::DISPATCH_RUNS, |s| {
        [
            ("all", s.running as f64),
            ("paused", s.paused as f64),
            ("starved", s.starved as f64),
        ]
    });
    register_leader_gauge(node, &telemetry::DISPATCH_CORES, |s| {
        [
            ("all", s.room as f64),
            ("reserved", s.counted as f64),
            ("demand", s.demand as f64),
            ("paced", s.paced as f64),
        ]
    });
}

/// Registers the number of best-effort jobs of each pool of workers, and its limit.
fn register_pool_gauge(node: &Arc<Node>) {
    let observed = Arc::downgrade(node);
    let registry = &node.metrics.registry;
    registry.observable_gauge(&telemetry::BEST_EFFORT_JOBS, move |observe| {
        let term = observed.upgrade().and_then(|n| n.active_term());
        let loads = term.map(|t| lock(&t.dispatcher).pool_loads());
        for load in loads.iter().flatten() {
            let labels = |bound| {
                let service = KeyValue::new("service", load.service.to_string());
                [service, KeyValue::new("bound", bound)]
            };
            observe(f64::from(load.jobs), &labels("present"));
            if let Some(limit) = load.limit {
                observe(f64::from(limit), &labels("limit"));
            }
        }
    });
}

/// Registers what the customers use that use most, and how many are at a limit.
fn register_customer_gauges(node: &Arc<Node>) {
    let registry = &node.metrics.registry;
    let observed = Arc::downgrade(node);
    registry.observable_gauge(&telemetry::CUSTOMERS, move |observe| {
        let term = observed.upgrade().and_then(|n| n.active_term());
        if let Some((limited, beyond_share)) = term.map(|t| lock(&t.dispatcher).limited_customers())
        {
            for (state, count) in [("limited", limited), ("beyond-share", beyond_share)] {
                observe(count as f64, &[KeyValue::new("state", state)]);
            }
        }
    });
    let observed = Arc::downgrade(node);
    registry.observable_gauge(&telemetry::CUSTOMER_CORES, move |observe| {
        let term = observed.upgrade().and_then(|n| n.active_term());
        let loads = term.map(|t| lock(&t.dispatcher).customer_loads());
        for load in loads.iter().flatten() {
            let labels = |kind| {
                let customer = KeyValue::new("customer", load.name.to_string());
                [customer, KeyValue::new("kind", kind)]
            };
            observe(load.cores, &labels("used"));
            if load.core_limit > 0.0 {
                observe(load.core_limit, &labels("limit"));
            }
        }
    });
}

/// Registers the numbers of open connections to each kind of peer.
fn register_connection_gauge(node: &Arc<Node>) {
    let observed = Arc::downgrade(node);
    let registry = &node.metrics.registry;
    registry.observable_gauge(&telemetry::CONNECTIONS, move |observe| {
        let Some(node) = observed.upgrade() else {
            return;
        };
        let peers = [
            ("hosts", node.client.connection_counts()),
            ("store", node.kv.connection_counts()),
            ("workers", node.workers.connection_counts()),
        ];
        for (kind, counts) in peers {
            for (state, count) in [("open", counts.open), ("idle", counts.idle)] {
                let labels = [KeyValue::new("peers", kind), KeyValue::new("state", state)];
                observe(count as f64, &labels);
            }
        }
    });
}

fn register_leader_gauge<const N: usize>(
    node: &Arc<Node>,
    metric: &'static Metric,
    values: LeaderGauge<N>,
) {
    let observed = Arc::downgrade(node);
    let registry = &node.metrics.registry;
    registry.observable_gauge(metric, move |observe| {
        let Some(term) = observed.upgrade().and_then(|n| n.active_term()) else {
            return;
        };
        let summary = lock(&term.dispatcher).summary();
        for (label, value) in values(&summary) {
            observe(value, &[KeyValue::new(metric.labels, label)]);
        }
    });
}
