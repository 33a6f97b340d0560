//! How much headroom filling tasks take from serving ones, learned from looks.
//!
//! The headroom of a serving task is its target divided by the tail of its
//! response times; the target is met while it is at least 1. A tail grows with
//! the inverse of the processor time that is left idle, so the headroom falls in
//! proportion to the load of the task's own users and to the share of the worker
//! that filling tasks use, by a slope that depends on the pair of images. The
//! tail itself would hide a strong effect until shortly before the target.
//!
//! All tasks of a job serve the same users. What they see in common is therefore
//! the load of the job, and what one of them sees beyond it is due to its
//! neighbours. Each report is divided among both in proportion to their
//! uncertainty (a Kalman filter with a diagonal covariance).

use arcstr::ArcStr;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::model::Time;

#[cfg(test)]
mod tests;

/// Headroom that a filling task which uses a whole worker would take, and its
/// standard deviation, before any report: between that of harmless pairs (1 to 2)
/// and of harmful ones (8 and more).
const INITIAL_SLOPE: (f64, f64) = (4.0, 6.0);

/// Largest slope; a worker has no headroom above it.
const MAX_SLOPE: f64 = 60.0;

/// Uncertainty above which a pair counts as unknown.
const UNKNOWN_DEVIATION: f64 = 3.0;

/// Part of the uncertainty by which an effect is taken to be larger than expected.
const UPPER_ESTIMATE_DEVIATIONS: f64 = 0.5;

/// Growth of a slope's variance with each report, so that it follows changes.
const SLOPE_DRIFT: f64 = 0.004;

/// A job's headroom before any report.
pub(crate) const INITIAL_HEADROOM: f64 = 2.5;

/// Variance of a job's headroom before any report.
const INITIAL_VARIANCE: f64 = 4.0;

/// Variance below which a job's headroom counts as known.
const KNOWN_VARIANCE: f64 = 0.5;

/// Variance that a job's headroom gains in a second. The load of users swings by
/// half in ten seconds. Following the trend of a swing as well was tried: its
/// noise slowed filling tasks for nothing.
const LOAD_DRIFT_PER_SECOND: f64 = 0.25;

/// Largest headroom that is believed; a task without users reports no tail.
const MAX_HEADROOM: f64 = 12.0;

/// Headroom below which reports don't tell how far a worker is overloaded.
const SATURATED_HEADROOM: f64 = 0.4;

/// Standard deviation of a report, as a share of the headroom, and its least value.
const REPORT_NOISE: (f64, f64) = (0.1, 0.05);

/// Headroom that a filling task takes per share of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct SlopeEstimate {
    mean: f64,
    variance: f64,
}

impl Default for SlopeEstimate {
    fn default() -> Self {
        Self {
            mean: INITIAL_SLOPE.0,
            variance: INITIAL_SLOPE.1 * INITIAL_SLOPE.1,
        }
    }
}

impl SlopeEstimate {
    /// The slope that decisions reckon with.
    pub(crate) fn upper_estimate(&self) -> f64 {
        self.mean + UPPER_ESTIMATE_DEVIATIONS * self.variance.sqrt()
    }

    /// Whether too little is known to place the image freely.
    pub(crate) fn is_unknown(&self) -> bool {
        self.variance > UNKNOWN_DEVIATION * UNKNOWN_DEVIATION
    }
}

/// Headroom that the load of a job's own users leaves to its tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct HeadroomEstimate {
    mean: f64,
    variance: f64,
    updated: Time,
}

impl HeadroomEstimate {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            mean: INITIAL_HEADROOM,
            variance: INITIAL_VARIANCE,
            updated: now,
        }
    }

    /// Expected headroom.
    pub(crate) fn expected(&self) -> f64 {
        self.mean
    }

    /// Whether it has been seen long enough to tell the effect of a neighbour.
    pub(crate) fn is_known(&self) -> bool {
        self.variance < KNOWN_VARIANCE
    }

    /// Lets the uncertainty grow up to a later time.
    fn advance(&mut self, now: Time) {
        let growth = LOAD_DRIFT_PER_SECOND * now.since(self.updated).as_secs_f64();
        self.variance = (self.variance + growth).min(INITIAL_VARIANCE);
        self.updated = now;
    }

    /// Corrects the estimate by a residual whose variance is `total_variance` in all.
    fn correct(&mut self, residual: f64, total_variance: f64) {
        let gain = self.variance / total_variance;
        self.mean = (self.mean + gain * residual).clamp(SATURATED_HEADROOM, MAX_HEADROOM);
        self.variance *= 1.0 - gain;
    }
}

/// Shares of the worker that filling tasks used while a tail was measured, by image.
pub(crate) type Exposure = IndexMap<ArcStr, f64>;

/// Slopes of all pairs: serving image, filling image.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Slopes {
    images: IndexMap<ArcStr, IndexMap<ArcStr, SlopeEstimate>>,
}

impl Slopes {
    /// The slope of a filling image beside a serving one.
    pub(crate) fn slope(&self, serving: &ArcStr, best_effort: &ArcStr) -> SlopeEstimate {
        let pair = self.images.get(serving).and_then(|m| m.get(best_effort));
        pair.copied().unwrap_or_default()
    }

    /// Takes in the headroom that a task of a job was seen to have.
    pub(crate) fn learn(
        &mut self,
        own: &mut HeadroomEstimate,
        serving: &ArcStr,
        observed: f64,
        exposure: &Exposure,
        now: Time,
    ) {
        let observed = observed.clamp(0.0, MAX_HEADROOM);
        let slopes = self.images.entry(serving.clone()).or_default();
        own.advance(now);
        let mut expected = own.mean;
        let mut total_variance = own.variance;
        for (image, share) in exposure {
            let slope = slopes.get(image).copied().unwrap_or_default();
            expected -= slope.mean * share;
            total_variance += slope.variance * share * share;
        }
        if observed < SATURATED_HEADROOM && expected < observed {
            return;
        }
        let noise = (REPORT_NOISE.0 * expected.max(observed)).max(REPORT_NOISE.1);
        total_variance += noise * noise;
        let residual = observed - expected;
        own.correct(residual, total_variance);
        for (image, share) in exposure {
            let slope = slopes.entry(image.clone()).or_default();
            let gain = slope.variance * share / total_variance;
            slope.mean = (slope.mean - gain * residual).clamp(0.0, MAX_SLOPE);
            let remaining = slope.variance * (1.0 - gain * share);
            slope.variance =
                (remaining + SLOPE_DRIFT * share).min(INITIAL_SLOPE.1 * INITIAL_SLOPE.1);
        }
    }

    /// Believes in strong effects a little less. What is taken for harmful is not
    /// placed, so that it would never show that it is not, or no longer.
    pub(crate) fn decay(&mut self, factor: f64) {
        for slope in self.images.values_mut().flat_map(|m| m.values_mut()) {
            if slope.mean > INITIAL_SLOPE.0 {
                slope.mean = INITIAL_SLOPE.0 + (slope.mean - INITIAL_SLOPE.0) * factor;
            }
        }
    }
}
