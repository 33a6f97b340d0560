//! Counts and latencies of callers' requests, for metrics and the operators' overview.

use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};

use hdrhistogram::Histogram as Latencies;
use indexmap::IndexMap;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

use crate::model::{Code, ServiceName, Span, Time};
use crate::operator::api::ServiceTop;
use crate::route::AttemptOutcome;
use crate::telemetry::{self, Clock, Metrics};

/// Length of the intervals that the overview covers.
const OVERVIEW_INTERVAL: Span = Span::from_secs(10);

/// Upper bound of recorded latencies in microseconds, equal to the longest deadline.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Label of requests whose service is not declared. Callers choose the name in the URL,
/// so using it as a label would allow any number of time series.
const UNDECLARED_LABEL: &str = "undeclared";

/// Request statistics of one entry process.
#[derive(Debug)]
pub(super) struct Stats {
    clock: Clock,
    inflight: Arc<AtomicUsize>,
    requests: Counter<u64>,
    durations: Histogram<f64>,
    attempts: Counter<u64>,
    submissions: Counter<u64>,
    recent: Mutex<RecentIntervals>,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InflightGuard(Arc<AtomicUsize>);

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}

#[derive(Debug, Default)]
struct RecentIntervals {
    interval_start: Time,
    current: IndexMap<ServiceName, ServiceCounts>,
    /// The last complete interval; empty if no interval preceded the current one.
    previous: IndexMap<ServiceName, ServiceCounts>,
}

#[derive(Debug)]
struct ServiceCounts {
    answered: u32,
    refused: u32,
    latencies: Latencies<u32>,
}

impl Stats {
    /// Creates the statistics and registers their metrics.
    pub(super) fn new(clock: Clock, metrics: &Metrics) -> Self {
        let inflight = Arc::new(AtomicUsize::new(0));
        let gauge_value = inflight.clone();
        metrics.observable_gauge(&telemetry::REQUESTS_IN_FLIGHT, move |observe| {
            observe(gauge_value.load(SeqCst) as f64, &[]);
        });
        Self {
            clock,
            inflight,
            requests: metrics.counter(&telemetry::REQUESTS),
            durations: metrics.duration_histogram(&telemetry::REQUEST_DURATION),
            attempts: metrics.counter(&telemetry::ATTEMPTS),
            submissions: metrics.counter(&telemetry::SUBMISSIONS),
            recent: Mutex::default(),
        }
    }

    /// Number of requests in flight.
    pub(super) fn inflight(&self) -> usize {
        self.inflight.load(SeqCst)
    }

    /// Counts a request that arrived.
    pub(super) fn arrived(&self) -> InflightGuard {
        self.inflight.fetch_add(1, SeqCst);
        InflightGuard(self.inflight.clone())
    }

    /// Counts a request that was answered; `service` is `None` if it is not declared.
    pub(super) fn answered(&self, service: Option<&ServiceName>, code: Code, duration: Span) {
        let label = service
            .map_or(UNDECLARED_LABEL, ServiceName::as_str)
            .to_owned();
        let label = KeyValue::new("service", label);
        let number = KeyValue::new("code", i64::from(code.number()));
        self.requests.add(1, &[label.clone(), number]);
        if code == Code::Done {
            self.durations.record(duration.as_secs_f64(), &[label]);
        }
        if let Some(service) = service {
            self.record_recent(service, code, duration);
        }
    }

    /// Counts an attempt that ended.
    pub(super) fn attempted(&self, service: &ServiceName, outcome: AttemptOutcome) {
        let outcome = match outcome {
            AttemptOutcome::Answered { status, .. } if status >= 500 => "error",
            AttemptOutcome::Answered { .. } => "answered",
            AttemptOutcome::Unconnected => "unconnected",
            AttemptOutcome::Declined => "declined",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::TimedOut => "timed-out",
        };
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.attempts
            .add(1, &[service, KeyValue::new("end", outcome)]);
    }

    /// Counts a job submission that was answered.
    pub(super) fn submitted(&self, code: Code) {
        let number = KeyValue::new("code", i64::from(code.number()));
        self.submissions.add(1, &[number]);
    }

    fn record_recent(&self, service: &ServiceName, code: Code, duration: Span) {
        let now = self.clock.now();
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.rotate(now);
        let Some(counts) = recent.counts(service) else {
            return;
        };
        if code == Code::Done {
            counts.answered += 1;
            counts
                .latencies
                .saturating_record(duration.as_micros().max(1));
        } else {
            counts.refused += 1;
        }
    }

    /// The services with requests in the last complete interval. `inflight` and
    /// `endpoints` are 0 and have to be set by the caller.
    pub(super) fn top(&self) -> Vec<ServiceTop> {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.rotate(self.clock.now());
        let per_second =
            |count: u32| (f64::from(count) / OVERVIEW_INTERVAL.as_secs_f64()).ceil() as u32;
        let top = |(service, counts): (&ServiceName, &ServiceCounts)| ServiceTop {
            service: service.clone(),
            rate: per_second(counts.answered + counts.refused),
            refused: per_second(counts.refused),
            inflight: 0,
            p50: Span::from_micros(counts.latencies.value_at_quantile(0.5)),
            p99: Span::from_micros(counts.latencies.value_at_quantile(0.99)),
            endpoints: 0,
        };
        recent.previous.iter().map(top).collect()
    }
}

impl RecentIntervals {
    fn rotate(&mut self, now: Time) {
        let age = now.since(self.interval_start);
        if age < OVERVIEW_INTERVAL {
            return;
        }
        let current = std::mem::take(&mut self.current);
        let stale = age.as_micros() >= 2 * OVERVIEW_INTERVAL.as_micros();
        self.previous = if stale { IndexMap::new() } else { current };
        self.interval_start = now;
    }

    fn counts(&mut self, service: &ServiceName) -> Option<&mut ServiceCounts> {
        if !self.current.contains_key(service) {
            let counts = ServiceCounts {
                answered: 0,
                refused: 0,
                // Two significant digits keep a histogram at a few kilobytes.
                latencies: Latencies::new_with_bounds(1, MAX_LATENCY_US, 2).ok()?,
            };
            self.current.insert(service.clone(), counts);
        }
        self.current.get_mut(service)
    }
}
