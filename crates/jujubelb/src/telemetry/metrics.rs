//! Metrics of one process instance. `docs/metrics.md` lists them.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use thiserror::Error;

/// Kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum MetricKind {
    /// A number that only grows.
    Counter,
    /// A present amount.
    Gauge,
    /// A distribution.
    Histogram,
}

/// Description of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Name without the unit and suffix that the exposition adds.
    pub name: &'static str,
    /// Kind.
    pub kind: MetricKind,
    /// Unit: `1` for plain numbers, else `s` or `By`.
    pub unit: &'static str,
    /// Labels.
    pub labels: &'static str,
    /// Meaning.
    pub meaning: &'static str,
}

impl Metric {
    /// The unit for the exposition, which would call a gauge without unit a ratio.
    const fn exported_unit(&self) -> &'static str {
        match self.unit.as_bytes() {
            b"1" => "",
            _ => self.unit,
        }
    }
}

macro_rules! metrics {
    ($($id:ident = $name:literal, $kind:ident, $unit:literal, $labels:literal, $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $id: Metric = Metric {
                name: $name,
                kind: MetricKind::$kind,
                unit: $unit,
                labels: $labels,
                meaning: $meaning,
            };
        )*

        /// All metrics, in the order of the page.
        pub const METRICS: &[Metric] = &[$($id),*];
    };
}

metrics! {
    REQUESTS = "requests", Counter, "1", "service, code", "Requests of callers by result code";
    REQUEST_TIME = "request_duration", Histogram, "s", "service", "Time from a request's arrival to its whole answer";
    INFLIGHT = "requests_in_flight", Gauge, "1", "", "Requests of callers that are not yet answered";
    ATTEMPTS = "attempts", Counter, "1", "service, end", "Attempts sent to endpoints by how they ended";
    SUBMISSIONS = "submissions", Counter, "1", "code", "Job submissions by result code";
    STORE_CALLS = "store_calls", Counter, "1", "kind, result", "Calls to the store";
    STORE_TIME = "store_call_duration", Histogram, "s", "kind", "Duration of calls to the store";
    SYNCS = "worker_exchanges", Counter, "1", "result", "Exchanges with workers";
    SHARDS = "shards_owned", Gauge, "1", "", "Shards that this process owns";
    TASKS = "tasks", Gauge, "1", "shard, state", "Tasks of the owned shards by state";
    PEERS = "peers_present", Gauge, "1", "", "Other processes that are not gone";
    PEER_DROPPED = "peer_messages_dropped", Counter, "1", "reason", "Messages of peers that were dropped";
    PEER_BEATS = "peer_heartbeats", Counter, "1", "", "Heartbeats taken in";
    PEER_CALLS = "peer_calls", Counter, "1", "", "Calls made to peers";
    PEER_FAILURES = "peer_call_failures", Counter, "1", "", "Calls to peers that failed";
    PEER_ANSWERED = "peer_calls_answered", Counter, "1", "", "Calls of peers that were answered";
    PEER_BYTES = "peer_heartbeat_bytes", Counter, "By", "", "Bytes sent in heartbeats";
    REVISION = "config_revision", Gauge, "1", "", "Revision of the configuration in force";
    EVIDENCE = "config_evidence_age", Gauge, "s", "", "Age of the evidence that the configuration is in force; absent without evidence";
    QUEUE = "queue_length", Gauge, "1", "queue", "Entries in a bounded queue between threads";
    QUEUE_DROPPED = "queue_dropped", Counter, "1", "queue", "Entries refused because a queue was full";
    OPERATOR_CALLS = "operator_calls", Counter, "1", "code", "Calls of operators by result code";
}

/// Upper bounds of duration buckets in seconds.
const DURATIONS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Failure to set the metrics up or to read them.
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
    /// An empty set of metrics.
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

    /// A counter that the caller adds to.
    pub fn counter(&self, metric: &Metric) -> Counter<u64> {
        self.meter
            .u64_counter(metric.name)
            .with_unit(metric.exported_unit())
            .with_description(metric.meaning)
            .build()
    }

    /// A distribution of durations in seconds.
    pub fn durations(&self, metric: &Metric) -> Histogram<f64> {
        self.meter
            .f64_histogram(metric.name)
            .with_unit(metric.exported_unit())
            .with_description(metric.meaning)
            .with_boundaries(DURATIONS.to_vec())
            .build()
    }

    /// A counter whose values are read when the metrics are.
    pub fn watch_counter(&self, metric: &Metric, read: impl Read<u64>) {
        self.meter
            .u64_observable_counter(metric.name)
            .with_unit(metric.exported_unit())
            .with_description(metric.meaning)
            .with_callback(move |observer| {
                read(&mut |value, labels| observer.observe(value, labels));
            })
            .build();
    }

    /// A gauge whose values are read when the metrics are.
    pub fn watch_gauge(&self, metric: &Metric, read: impl Read<f64>) {
        self.meter
            .f64_observable_gauge(metric.name)
            .with_unit(metric.exported_unit())
            .with_description(metric.meaning)
            .with_callback(move |observer| {
                read(&mut |value, labels| observer.observe(value, labels));
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

/// Reads a metric's present values into a sink of values with labels.
pub trait Read<T>: Fn(&mut dyn FnMut(T, &[KeyValue])) + Send + Sync + 'static {}

impl<T, F: Fn(&mut dyn FnMut(T, &[KeyValue])) + Send + Sync + 'static> Read<T> for F {}
