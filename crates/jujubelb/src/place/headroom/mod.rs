//! Estimates of how much headroom best-effort tasks take from serving tasks on the
//! same worker, learned from polls.
//!
//! The headroom of a serving task is its latency target divided by the tail of its
//! response times; the target is met while the headroom is at least 1. The tail
//! grows with the inverse of the idle processor time, so the headroom falls in
//! proportion to the load by the task's own users and to the share of the worker
//! that best-effort tasks use. The slope depends on the pair of images. Modelling
//! the tail itself would show a strong effect only shortly before the target.
//!
//! All tasks of a job serve the same users. A change that they have in common is
//! therefore due to the load of the job, and a further change in one of them is due
//! to its neighbours. The residual of each report is divided between both in
//! proportion to their variance (a Kalman filter with a diagonal covariance).

use arcstr::ArcStr;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::model::{FastMap, Time};

#[cfg(test)]
mod tests;

/// Slope of a pair before any report: headroom taken by a best-effort task that uses
/// the complete worker, and its standard deviation. The value lies between those of
/// pairs with little interference (1 to 2) and with strong interference (8 or more).
const INITIAL_SLOPE: (f64, f64) = (4.0, 6.0);

/// Maximum slope; with a larger one a worker would have no headroom left either.
const MAX_SLOPE: f64 = 60.0;

/// Standard deviation of a slope above which the pair counts as unknown.
const UNKNOWN_DEVIATION: f64 = 3.0;

/// Number of standard deviations added to the mean of a slope for decisions.
const UPPER_ESTIMATE_DEVIATIONS: f64 = 0.5;

/// Growth of a slope's variance with each report, for an image that uses the
/// complete worker, so that the estimate follows changes.
const SLOPE_DRIFT: f64 = 0.004;

/// Headroom of a job before any report.
pub(crate) const INITIAL_HEADROOM: f64 = 2.5;

/// Variance of a job's headroom before any report, and its upper bound.
const INITIAL_VARIANCE: f64 = 4.0;

/// Variance below which a job's headroom counts as known.
const KNOWN_VARIANCE: f64 = 0.5;

/// Growth of the variance of a job's headroom per second. The load by users changes
/// by half within ten seconds. The filter doesn't track the trend of the load as
/// well, since the noise of that estimate slowed best-effort tasks without need.
const LOAD_DRIFT_PER_SECOND: f64 = 0.25;

/// Maximum headroom; larger observations are clamped, since a task without users
/// reports no tail.
const MAX_HEADROOM: f64 = 12.0;

/// Headroom below which reports no longer show by how much a worker is overloaded.
const SATURATED_HEADROOM: f64 = 0.4;

/// Standard deviation of a report, as a share of the headroom, and its lower bound.
const REPORT_NOISE: (f64, f64) = (0.1, 0.05);

/// Estimated headroom that a best-effort task takes per share of the worker.
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
    /// Upper estimate of the slope, used for decisions.
    pub(crate) fn upper_estimate(&self) -> f64 {
        self.mean + UPPER_ESTIMATE_DEVIATIONS * self.variance.sqrt()
    }

    /// Whether the estimate is too uncertain to place the image without a trial.
    pub(crate) fn is_unknown(&self) -> bool {
        self.variance > UNKNOWN_DEVIATION * UNKNOWN_DEVIATION
    }
}

/// Estimated headroom of a job's tasks under the load by its own users alone.
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

    /// Whether the estimate is precise enough to show the effect of a neighbour.
    pub(crate) fn is_known(&self) -> bool {
        self.variance < KNOWN_VARIANCE
    }

    /// Increases the variance for the time since the last update.
    fn advance(&mut self, now: Time) {
        let growth = LOAD_DRIFT_PER_SECOND * now.since(self.updated).as_secs_f64();
        self.variance = (self.variance + growth).min(INITIAL_VARIANCE);
        self.updated = now;
    }

    /// Corrects the estimate by its part of a residual with variance `total_variance`.
    fn correct(&mut self, residual: f64, total_variance: f64) {
        let gain = self.variance / total_variance;
        self.mean = (self.mean + gain * residual).clamp(SATURATED_HEADROOM, MAX_HEADROOM);
        self.variance *= 1.0 - gain;
    }
}

/// Shares of the worker that best-effort tasks used while a tail was measured, by
/// image.
pub(crate) type Exposure = IndexMap<ArcStr, f64>;

/// Slopes of all pairs of a serving and a best-effort image.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Slopes {
    images: FastMap<ArcStr, FastMap<ArcStr, SlopeEstimate>>,
}

impl Slopes {
    /// Returns the slope of a best-effort image beside a serving one.
    pub(crate) fn slope(&self, serving: &ArcStr, best_effort: &ArcStr) -> SlopeEstimate {
        let pair = self.images.get(serving).and_then(|m| m.get(best_effort));
        pair.copied().unwrap_or_default()
    }

    /// Updates the estimates by the observed headroom of one task of a job.
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

    /// Multiplies the excess of each slope over the initial one by `factor`. An image
    /// with a high slope isn't placed beside the serving one, so otherwise no report
    /// could ever show that the slope is too high or has changed.
    pub(crate) fn decay(&mut self, factor: f64) {
        for slope in self.images.values_mut().flat_map(|m| m.values_mut()) {
            if slope.mean > INITIAL_SLOPE.0 {
                slope.mean = INITIAL_SLOPE.0 + (slope.mean - INITIAL_SLOPE.0) * factor;
            }
        }
    }
}
