//! Estimates of latency.

use hdrhistogram::Histogram;

use crate::model::{Span, Time};

/// Weight of a new sample. One or two answers at four times the typical latency
/// are enough to prefer other endpoints; with half the weight the 99.9th
/// percentile with disturbed endpoints was a tenth longer.
const WEIGHT: f64 = 0.2;

/// Time in which an estimate without new samples moves half way back to what is
/// typical of the service, so that a recovered endpoint is tried again.
const RELAX: Span = Span::from_secs(2);

/// Age at which a window of samples is replaced.
const WINDOW: Span = Span::from_secs(5);

/// Samples between two computations of the quantiles, which walk the histogram.
const REFRESH: u32 = 64;

/// Largest latency that is told apart from longer ones, in microseconds.
const LONGEST: u64 = 120_000_000;

/// Geometric mean of the recent latencies of one endpoint. The logarithm keeps
/// single answers from the tail from dominating it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Estimate {
    log: f64,
    at: Option<Time>,
}

impl Estimate {
    /// Takes a latency into account.
    pub(super) fn add(&mut self, now: Time, latency: Span) {
        let log = (latency.as_micros().max(1) as f64).ln();
        self.log = match self.at {
            None => log,
            Some(_) => self.log + WEIGHT * (log - self.log),
        };
        self.at = Some(now);
    }

    /// The estimate in microseconds; without samples it is `typical`.
    pub(super) fn get(&self, now: Time, typical: f64) -> f64 {
        let Some(at) = self.at else {
            return typical;
        };
        let age = now.since(at).as_micros() as f64 / RELAX.as_micros() as f64;
        let base = typical.max(1.0).ln();
        (base + (self.log - base) * (-age).exp2()).exp()
    }

    /// Forgets the samples.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Latencies of all endpoints of a service in the recent past.
#[derive(Debug)]
pub(super) struct Distribution {
    recent: Histogram<u32>,
    before: Histogram<u32>,
    opened: Time,
    last: Option<Time>,
    fresh: u32,
    mean: f64,
    median: f64,
    late: f64,
    late_quantile: f64,
}

impl Distribution {
    /// An empty distribution whose `late` quantile is as given.
    pub(super) fn new(late_quantile: f64) -> Self {
        Self {
            recent: histogram(),
            before: histogram(),
            opened: Time::ZERO,
            last: None,
            fresh: 0,
            mean: 0.0,
            median: 0.0,
            late: 0.0,
            late_quantile,
        }
    }

    /// Takes a latency into account.
    pub(super) fn add(&mut self, now: Time, latency: Span) {
        if now.since(self.opened) >= WINDOW {
            std::mem::swap(&mut self.recent, &mut self.before);
            self.recent.reset();
            self.opened = now;
        }
        self.recent
            .saturating_record(latency.as_micros().clamp(1, LONGEST));
        self.last = Some(now);
        self.fresh += 1;
        if self.fresh >= REFRESH || self.total() <= u64::from(REFRESH) {
            self.refresh();
        }
    }

    /// Recent answers.
    pub(super) fn total(&self) -> u64 {
        self.recent.len() + self.before.len()
    }

    /// Mean latency in microseconds. It halves for each two seconds without an
    /// answer: otherwise an estimate above every deadline would refuse all
    /// requests and never be corrected.
    pub(super) fn mean(&self, now: Time) -> Option<f64> {
        self.faded(now, self.mean)
    }

    /// Median latency in microseconds, fading like the mean.
    pub(super) fn median(&self, now: Time) -> Option<f64> {
        self.faded(now, self.median)
    }

    /// The late quantile, if there are enough samples to tell it.
    pub(super) fn late(&self) -> Option<Span> {
        (self.total() >= u64::from(REFRESH)).then(|| Span::from_micros(self.late as u64))
    }

    fn faded(&self, now: Time, value: f64) -> Option<f64> {
        let age = now.since(self.last?).as_micros() as f64 / RELAX.as_micros() as f64;
        Some(value * (-age).exp2())
    }

    fn refresh(&mut self) {
        self.fresh = 0;
        let (recent, before) = (self.recent.len() as f64, self.before.len() as f64);
        let blend = |r: f64, b: f64| (r * recent + b * before) / (recent + before).max(1.0);
        let quantile = |h: &Histogram<u32>, q: f64| h.value_at_quantile(q) as f64;
        self.mean = blend(self.recent.mean(), self.before.mean());
        self.median = blend(quantile(&self.recent, 0.5), quantile(&self.before, 0.5));
        let late = self.late_quantile;
        self.late = blend(quantile(&self.recent, late), quantile(&self.before, late));
    }
}

fn histogram() -> Histogram<u32> {
    // Invariant: the bounds satisfy 1 <= low, 2 * low <= high and 2 digits are allowed.
    Histogram::new_with_bounds(1, LONGEST, 2).expect("the bounds are valid constants")
}
