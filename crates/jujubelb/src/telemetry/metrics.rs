//! Metrics of one process instance. `docs/metrics.md` lists them.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use thiserror::Error;

/// Instrument of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum MetricKind {
    /// A total that only increases during the life of a process.
    Counter,
    /// A current value, which may rise and fall.
    Gauge,
    /// A distribution of values over buckets.
    Histogram,
}

/// Name, instrument and documentation of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Name without the unit and suffix that the exposition adds.
    pub name: &'static str,
    /// Instrument with which the metric is registered.
    pub kind: MetricKind,
    /// Unit: `1` for numbers without a unit, `s` for seconds, `By` for bytes.
    pub unit: &'static str,
    /// Names of the labels, separated by commas; empty without labels.
    pub labels: &'static str,
    /// Help text of the exposition and of the page.
    pub description: &'static str,
}

impl Metric {
    /// The unit for the exposition. The unit `1` is left out, because the exporter would
    /// add the suffix `ratio` to the name of a gauge.
    const fn exported_unit(&self) -> &'static str {
        match self.unit.as_bytes() {
            b"1" => "",
            _ => self.unit,
        }
    }
}

macro_rules! metrics {
    ($($id:ident = $name:literal, $kind:ident, $unit:literal, $labels:literal, $description:literal;)*) => {
        $(
            #[doc = $description]
            pub const $id: Metric = Metric {
                name: $name,
                kind: MetricKind::$kind,
                unit: $unit,
                labels: $labels,
                description: $description,
            };
        )*

        /// All metrics, in the order of `docs/metrics.md`.
        pub const METRICS: &[Metric] = &[$($id),*];
    };
}

metrics! {
    REQUESTS = "requests", Counter, "1", "service, code", "Requests of callers by result code";
    REQUEST_DURATION = "request_duration", Histogram, "s", "service", "Time from a request's arrival to its whole answer";
    REQUESTS_IN_FLIGHT = "requests_in_flight", Gauge, "1", "", "Requests of callers that are not yet answered";
    ATTEMPTS = "attempts", Counter, "1", "service, end", "Attempts sent to endpoints by how they ended";
    SUBMISSIONS = "submissions", Counter, "1", "code", "Job submissions by result code";
    LOAD_REFUSALS = "load_refusals", Counter, "1", "cause", "Submissions of best-effort jobs that were refused for load";
    ACCESS_REFUSALS = "access_refusals", Counter, "1", "cause", "Calls of callers that were refused for their key";
    BEST_EFFORT_JOBS = "best_effort_jobs", Gauge, "1", "service, bound", "Best-effort jobs that have not ended, and the most that may be accepted; only on the leader";
    STORE_CALLS = "store_calls", Counter, "1", "kind, result", "Calls to the store";
    STORE_CALL_DURATION = "store_call_duration", Histogram, "s", "kind", "Duration of calls to the store";
    RELAY_CALLS = "relay_calls", Counter, "1", "result", "Calls to workers through relays by how they ended";
    CONNECTIONS = "connections", Gauge, "1", "peers, state", "Connections that this process has opened to hosts, the store and workers: all open ones, and those that no call uses";
    SYNCS = "worker_exchanges", Counter, "1", "result", "Exchanges with workers";
    SHARDS = "shards_owned", Gauge, "1", "", "Shards that this process owns";
    TASKS = "tasks", Gauge, "1", "shard, state", "Tasks of the owned shards by state";
    PEERS = "peers_present", Gauge, "1", "", "Other processes that are not gone";
    PEER_MESSAGES_DROPPED = "peer_messages_dropped", Counter, "1", "reason", "Messages of peers that were dropped";
    PEER_HEARTBEATS = "peer_heartbeats", Counter, "1", "", "Heartbeats taken in";
    PEER_CALLS = "peer_calls", Counter, "1", "", "Calls made to peers";
    PEER_CALL_FAILURES = "peer_call_failures", Counter, "1", "", "Calls to peers that failed";
    PEER_CALLS_ANSWERED = "peer_calls_answered", Counter, "1", "", "Calls of peers that were answered";
    PEER_HEARTBEAT_BYTES = "peer_heartbeat_bytes", Counter, "By", "", "Bytes sent in heartbeats";
    CONFIG_REVISION = "config_revision", Gauge, "1", "", "Revision of the configuration in force";
    CONFIG_EVIDENCE_AGE = "config_evidence_age", Gauge, "s", "", "Age of the evidence that the configuration is in force; absent without evidence";
    QUEUE_LENGTH = "queue_length", Gauge, "1", "queue", "Entries in a bounded queue between threads";
    QUEUE_DROPPED = "queue_dropped", Counter, "1", "queue", "Entries refused because a queue was full";
    DISPATCH_JOBS = "dispatch_jobs", Gauge, "1", "state", "Jobs of the leader that have not ended: all, and those without a run";
    DISPATCH_RUNS = "dispatch_runs", Gauge, "1", "state", "Runs of the leader: all, paused ones, and those of starved steps";
    DISPATCH_CORES = "dispatch_cores", Gauge, "1", "kind", "Cores of the leader's workers: all, reserved, in demand at full pace, and in demand at the present paces";
    CUSTOMERS = "customers", Gauge, "1", "state", "Customers of the leader whose limit holds back tasks, and those that use more than their share while the workers are full";
    CUSTOMER_CORES = "customer_cores", Gauge, "1", "customer, kind", "Cores that count against a customer's limit, and the limit if there is one; of the 16 customers that use most";
    OPERATOR_CALLS = "operator_calls", Counter, "1", "code", "Calls of operators by result code";
}

/// Upper bounds of the buckets of durations, in seconds.
const DURATION_BUCKETS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Failure to set up the exporter or to encode the metrics.
#[derive(Debug, Error)]
#[error("metrics are not available: {0}")]
pub struct MetricsError(String);

/// The metrics of one process instance. Nothing is shared between instances.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates a registry without metrics.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("jujubelb")
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|e| MetricsError(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self {
            registry,
            meter: provider.meter("jujubelb"),
            _provider: provider,
        })
    }

    /// Registers a counter that the caller increments.
    pub fn counter(&self, metric: &Metric) -> Counter<u64> {
        self.meter
            .u64_counter(metric.name)
            .with_unit(metric.exported_unit())
            .with_description(metric.description)
            .build()
    }

    /// Registers a histogram of durations in seconds.
    pub fn duration_histogram(&self, metric: &Metric) -> Histogram<f64> {
        self.meter
            .f64_histogram(metric.name)
            .with_unit(metric.exported_unit())
            .with_description(metric.description)
            .with_boundaries(DURATION_BUCKETS_S.to_vec())
            .build()
    }

    /// Registers a counter whose values are read at each exposition.
    pub fn observable_counter(&self, metric: &Metric, read_values: impl ReadValues<u64>) {
        self.meter
            .u64_observable_counter(metric.name)
            .with_unit(metric.exported_unit())
            .with_description(metric.description)
            .with_callback(move |observer| {
                read_values(&mut |value, labels| observer.observe(value, labels));
            })
            .build();
    }

    /// Registers a gauge whose values are read at each exposition.
    pub fn observable_gauge(&self, metric: &Metric, read_values: impl ReadValues<f64>) {
        self.meter
            .f64_observable_gauge(metric.name)
            .with_unit(metric.exported_unit())
            .with_description(metric.description)
            .with_callback(move |observer| {
                read_values(&mut |value, labels| observer.observe(value, labels));
            })
            .build();
    }

    /// All metrics in the text format of Prometheus.
    pub fn render(&self) -> Result<String, MetricsError> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|e| MetricsError(e.to_string()))
    }
}

/// Reads the current values of a metric and passes each with its labels to a sink.
pub trait ReadValues<T>: Fn(&mut dyn FnMut(T, &[KeyValue])) + Send + Sync + 'static {}

impl<T, F: Fn(&mut dyn FnMut(T, &[KeyValue])) + Send + Sync + 'static> ReadValues<T> for F {}
