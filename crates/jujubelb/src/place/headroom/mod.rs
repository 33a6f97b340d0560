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
const PRIOR: (f64, f64) = (4.0, 6.0);

/// Largest slope; a worker has no headroom above it.
const STEEPEST: f64 = 60.0;

/// Uncertainty above which a pair counts as unknown.
const UNKNOWN: f64 = 3.0;

/// Part of the uncertainty by which an effect is taken to be larger than expected.
const CAUTION: f64 = 0.5;

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
const LOAD_DRIFT: f64 = 0.25;

/// Largest headroom that is believed; a task without users reports no tail.
const MOST: f64 = 12.0;

/// Headroom below which reports don't tell how far a worker is overloaded.
const SATURATED: f64 = 0.4;

/// Standard deviation of a report, as a share of the headroom, and its least value.
const NOISE: (f64, f64) = (0.1, 0.05);

/// Headroom that a filling task takes per share of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Slope {
    mean: f64,
    variance: f64,
}

impl Default for Slope {
    fn default() -> Self {
        Self {
            mean: PRIOR.0,
            variance: PRIOR.1 * PRIOR.1,
        }
    }
}

impl Slope {
    /// The slope that decisions reckon with.
    pub(crate) fn upper_estimate(&self) -> f64 {
        self.mean + CAUTION * self.variance.sqrt()
    }

    /// Whether too little is known to place the image freely.
    pub(crate) fn is_unknown(&self) -> bool {
        self.variance > UNKNOWN * UNKNOWN
    }
}

/// Headroom that the load of a job's own users leaves to its tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct HeadroomEstimate {
    mean: f64,
    variance: f64,
    at: Time,
}

impl HeadroomEstimate {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            mean: INITIAL_HEADROOM,
            variance: INITIAL_VARIANCE,
            at: now,
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
        let grown = LOAD_DRIFT * now.since(self.at).as_secs_f64();
        self.variance = (self.variance + grown).min(INITIAL_VARIANCE);
        self.at = now;
    }

    /// Corrects the estimate by a residual whose variance is `spread` in all.
    fn correct(&mut self, residual: f64, spread: f64) {
        let gain = self.variance / spread;
        self.mean = (self.mean + gain * residual).clamp(SATURATED, MOST);
        self.variance *= 1.0 - gain;
    }
}

/// Shares of the worker that filling tasks used while a tail was measured, by image.
pub(crate) type Exposure = IndexMap<ArcStr, f64>;

/// Slopes of all pairs: serving image, filling image.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Slopes {
    images: IndexMap<ArcStr, IndexMap<ArcStr, Slope>>,
}

impl Slopes {
    /// The slope of a filling image beside a serving one.
    pub(crate) fn slope(&self, serving: &ArcStr, filling: &ArcStr) -> Slope {
        let known = self.images.get(serving).and_then(|m| m.get(filling));
        known.copied().unwrap_or_default()
    }

    /// Takes in the headroom that a task of a job was seen to have.
    pub(crate) fn learn(
        &mut self,
        own: &mut HeadroomEstimate,
        serving: &ArcStr,
        seen: f64,
        exposure: &Exposure,
        now: Time,
    ) {
        let seen = seen.clamp(0.0, MOST);
        let slopes = self.images.entry(serving.clone()).or_default();
        own.advance(now);
        let mut expected = own.mean;
        let mut spread = own.variance;
        for (image, share) in exposure {
            let slope = slopes.get(image).copied().unwrap_or_default();
            expected -= slope.mean * share;
            spread += slope.variance * share * share;
        }
        if seen < SATURATED && expected < seen {
            return;
        }
        let noise = (NOISE.0 * expected.max(seen)).max(NOISE.1);
        spread += noise * noise;
        let residual = seen - expected;
        own.correct(residual, spread);
        for (image, share) in exposure {
            let slope = slopes.entry(image.clone()).or_default();
            let gain = slope.variance * share / spread;
            slope.mean = (slope.mean - gain * residual).clamp(0.0, STEEPEST);
            let left = slope.variance * (1.0 - gain * share);
            slope.variance = (left + SLOPE_DRIFT * share).min(PRIOR.1 * PRIOR.1);
        }
    }

    /// Believes in strong effects a little less. What is taken for harmful is not
    /// placed, so that it would never show that it is not, or no longer.
    pub(crate) fn decay(&mut self, kept: f64) {
        for slope in self.images.values_mut().flat_map(|m| m.values_mut()) {
            if slope.mean > PRIOR.0 {
                slope.mean = PRIOR.0 + (slope.mean - PRIOR.0) * kept;
            }
        }
    }
}
