//! Latency estimates of endpoints and the latency distribution of a service.

use hdrhistogram::Histogram;

use crate::model::{Span, Time};

/// Weight of a new sample in the moving average. One or two responses at four
/// times the typical latency make the balancer prefer other endpoints; with half
/// the weight, slowed-down endpoints raised the 99.9th percentile by another 10 %.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Half-life of estimates without new samples. An endpoint's estimate decays to
/// the median of the service, so that a recovered endpoint is tried again.
const DECAY_HALF_LIFE: Span = Span::from_secs(2);

/// Length of a window of samples. The current and the previous window are used.
const WINDOW_LENGTH: Span = Span::from_secs(5);

/// Samples between two computations of the quantiles, each of which iterates over the histogram.
const SAMPLES_PER_REFRESH: u32 = 64;

/// Upper bound of the histogram in microseconds; longer latencies are clamped to it.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Geometric moving average of the latencies of one endpoint. The logarithm keeps
/// single outliers from dominating it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatencyEstimate {
    /// Moving average of the logarithm of microseconds.
    log_mean: f64,
    /// Time of the last sample.
    updated: Option<Time>,
}

impl LatencyEstimate {
    /// Takes a latency into account.
    pub(super) fn add(&mut self, now: Time, latency: Span) {
        let log = (latency.as_micros().max(1) as f64).ln();
        self.log_mean = match self.updated {
            None => log,
            Some(_) => self.log_mean + SAMPLE_WEIGHT * (log - self.log_mean),
        };
        self.updated = Some(now);
    }

    /// The estimate in microseconds, decayed towards `typical`; exactly `typical` without samples.
    pub(super) fn get(&self, now: Time, typical: f64) -> f64 {
        let Some(at) = self.updated else {
            return typical;
        };
        let age = now.since(at).as_micros() as f64 / DECAY_HALF_LIFE.as_micros() as f64;
        let base = typical.max(1.0).ln();
        (base + (self.log_mean - base) * (-age).exp2()).exp()
    }

    /// Discards all samples.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Latency distribution over all endpoints of a service in the current and the
/// previous window.
#[derive(Debug)]
pub(super) struct LatencyDistribution {
    recent: Histogram<u32>,
    previous: Histogram<u32>,
    window_start: Time,
    last_sample: Option<Time>,
    new_samples: u32,
    mean: f64,
    median: f64,
    tail: f64,
    tail_quantile: f64,
}

impl LatencyDistribution {
    /// Creates an empty distribution; `tail` returns the quantile `tail_quantile`, which
    /// is between 0 and 1.
    pub(super) fn new(tail_quantile: f64) -> Self {
        Self {
            recent: histogram(),
            previous: histogram(),
            window_start: Time::ZERO,
            last_sample: None,
            new_samples: 0,
            mean: 0.0,
            median: 0.0,
            tail: 0.0,
            tail_quantile,
        }
    }

    /// Takes a latency into account.
    pub(super) fn add(&mut self, now: Time, latency: Span) {
        if now.since(self.window_start) >= WINDOW_LENGTH {
            std::mem::swap(&mut self.recent, &mut self.previous);
            self.recent.reset();
            self.window_start = now;
        }
        self.recent
            .saturating_record(latency.as_micros().clamp(1, MAX_LATENCY_US));
        self.last_sample = Some(now);
        self.new_samples += 1;
        if self.new_samples >= SAMPLES_PER_REFRESH || self.total() <= u64::from(SAMPLES_PER_REFRESH)
        {
            self.refresh();
        }
    }

    /// Samples in both windows.
    pub(super) fn total(&self) -> u64 {
        self.recent.len() + self.previous.len()
    }

    /// Mean latency in microseconds; `None` before the first sample. It decays
    /// without samples: otherwise an estimate above every deadline would cause all
    /// requests to be refused and would never be corrected.
    pub(super) fn mean(&self, now: Time) -> Option<f64> {
        self.decayed(now, self.mean)
    }

    /// Median latency in microseconds, decaying like the mean.
    pub(super) fn median(&self, now: Time) -> Option<f64> {
        self.decayed(now, self.median)
    }

    /// Latency at the tail quantile; `None` until there are [`SAMPLES_PER_REFRESH`] samples.
    pub(super) fn tail(&self) -> Option<Span> {
        (self.total() >= u64::from(SAMPLES_PER_REFRESH))
            .then(|| Span::from_micros(self.tail as u64))
    }

    fn decayed(&self, now: Time, value: f64) -> Option<f64> {
        let age =
            now.since(self.last_sample?).as_micros() as f64 / DECAY_HALF_LIFE.as_micros() as f64;
        Some(value * (-age).exp2())
    }

    fn refresh(&mut self) {
        self.new_samples = 0;
        let (recent, previous) = (self.recent.len() as f64, self.previous.len() as f64);
        let blend = |r: f64, p: f64| (r * recent + p * previous) / (recent + previous).max(1.0);
        let quantile = |h: &Histogram<u32>, q: f64| h.value_at_quantile(q) as f64;
        self.mean = blend(self.recent.mean(), self.previous.mean());
        self.median = blend(quantile(&self.recent, 0.5), quantile(&self.previous, 0.5));
        let tail = self.tail_quantile;
        self.tail = blend(quantile(&self.recent, tail), quantile(&self.previous, tail));
    }
}

fn histogram() -> Histogram<u32> {
    // `new_with_bounds` requires 1 <= low, 2 * low <= high and at most 5 significant digits.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("the bounds are valid constants")
}
