//! Counts and latencies of callers' requests, for metrics and the overview.

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

/// Length of the interval over which the overview is made.
const INTERVAL: Span = Span::from_secs(10);

/// Largest latency recorded, in microseconds: the longest deadline.
const LONGEST: u64 = 3_600_000_000;

/// Label of requests whose service is not declared. Callers choose that name,
/// so it must not become a label.
const UNDECLARED: &str = "undeclared";

/// Statistics of one entry process.
#[derive(Debug)]
pub(super) struct Stats {
    clock: Clock,
    inflight: Arc<AtomicUsize>,
    requests: Counter<u64>,
    durations: Histogram<f64>,
    attempts: Counter<u64>,
    submissions: Counter<u64>,
    recent: Mutex<Recent>,
}

/// A request that is not yet answered.
#[derive(Debug)]
pub(super) struct Inflight(Arc<AtomicUsize>);

impl Drop for Inflight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}

#[derive(Debug, Default)]
struct Recent {
    began: Time,
    present: IndexMap<ServiceName, Row>,
    /// The interval before, which is complete.
    before: IndexMap<ServiceName, Row>,
}

#[derive(Debug)]
struct Row {
    answered: u32,
    refused: u32,
    latencies: Latencies<u32>,
}

impl Stats {
    /// Statistics that are shown in the metrics.
    pub(super) fn new(clock: Clock, metrics: &Metrics) -> Self {
        let inflight = Arc::new(AtomicUsize::new(0));
        let shown = inflight.clone();
        metrics.watch_gauge(&telemetry::INFLIGHT, move |observe| {
            observe(shown.load(SeqCst) as f64, &[]);
        });
        Self {
            clock,
            inflight,
            requests: metrics.counter(&telemetry::REQUESTS),
            durations: metrics.durations(&telemetry::REQUEST_TIME),
            attempts: metrics.counter(&telemetry::ATTEMPTS),
            submissions: metrics.counter(&telemetry::SUBMISSIONS),
            recent: Mutex::default(),
        }
    }

    /// Requests in flight.
    pub(super) fn inflight(&self) -> usize {
        self.inflight.load(SeqCst)
    }

    /// A request arrived.
    pub(super) fn arrived(&self) -> Inflight {
        self.inflight.fetch_add(1, SeqCst);
        Inflight(self.inflight.clone())
    }

    /// A request was answered; `service` is absent if it is not declared.
    pub(super) fn answered(&self, service: Option<&ServiceName>, code: Code, took: Span) {
        let label = service.map_or(UNDECLARED, ServiceName::as_str).to_owned();
        let label = KeyValue::new("service", label);
        let number = KeyValue::new("code", i64::from(code.number()));
        self.requests.add(1, &[label.clone(), number]);
        if code == Code::Done {
            self.durations.record(took.as_secs_f64(), &[label]);
        }
        if let Some(service) = service {
            self.note(service, code, took);
        }
    }

    /// An attempt ended.
    pub(super) fn attempted(&self, service: &ServiceName, end: AttemptOutcome) {
        let end = match end {
            AttemptOutcome::Answered { status, .. } if status >= 500 => "error",
            AttemptOutcome::Answered { .. } => "answered",
            AttemptOutcome::Unconnected => "unconnected",
            AttemptOutcome::Declined => "declined",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::TimedOut => "timed-out",
        };
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.attempts.add(1, &[service, KeyValue::new("end", end)]);
    }

    /// A job submission was answered.
    pub(super) fn submitted(&self, code: Code) {
        let number = KeyValue::new("code", i64::from(code.number()));
        self.submissions.add(1, &[number]);
    }

    fn note(&self, service: &ServiceName, code: Code, took: Span) {
        let now = self.clock.now();
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.turn(now);
        let Some(row) = recent.row(service) else {
            return;
        };
        if code == Code::Done {
            row.answered += 1;
            row.latencies.saturating_record(took.as_micros().max(1));
        } else {
            row.refused += 1;
        }
    }

    /// The services in the last whole interval. `inflight` and `endpoints` are filled in by the caller.
    pub(super) fn top(&self) -> Vec<ServiceTop> {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.turn(self.clock.now());
        let per_second = |count: u32| (f64::from(count) / INTERVAL.as_secs_f64()).ceil() as u32;
        let top = |(service, row): (&ServiceName, &Row)| ServiceTop {
            service: service.clone(),
            rate: per_second(row.answered + row.refused),
            refused: per_second(row.refused),
            inflight: 0,
            p50: Span::from_micros(row.latencies.value_at_quantile(0.5)),
            p99: Span::from_micros(row.latencies.value_at_quantile(0.99)),
            endpoints: 0,
        };
        recent.before.iter().map(top).collect()
    }
}

impl Recent {
    fn turn(&mut self, now: Time) {
        let age = now.since(self.began);
        if age < INTERVAL {
            return;
        }
        let present = std::mem::take(&mut self.present);
        let stale = age.as_micros() >= 2 * INTERVAL.as_micros();
        self.before = if stale { IndexMap::new() } else { present };
        self.began = now;
    }

    fn row(&mut self, service: &ServiceName) -> Option<&mut Row> {
        if !self.present.contains_key(service) {
            let row = Row {
                answered: 0,
                refused: 0,
                // Two digits keep a row at a few kilobytes.
                latencies: Latencies::new_with_bounds(1, LONGEST, 2).ok()?,
            };
            self.present.insert(service.clone(), row);
        }
        self.present.get_mut(service)
    }
}
