//! Model of how much each task class slows each service, learned from delayed reports.
//!
//! The latency of a report is compared with the service's usual latency at similar
//! load. The difference is divided between the usual latency and the classes that ran
//! on the worker when the latency was measured, in proportion to the variance of each
//! estimate (a Kalman filter with a diagonal covariance).

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::model::{ClassName, ServiceName, Span};

mod history;

pub(crate) use history::{ClassMix, MixHistory};

#[cfg(test)]
mod tests;

/// Number of load levels; latencies are compared within one level.
const LOAD_LEVELS: usize = 8;

/// Standard deviation of the slowdown by one core of a class before any report. A task
/// of three cores may then slow a service by a third, which is about the allowed
/// slowdown, so an unknown class starts with one task on a worker.
const INITIAL_DEVIATION: f64 = 0.1;

/// Standard deviation of the noise in a measured slowdown.
const NOISE_DEVIATION: f64 = 0.1;

/// Growth of the variance of a class with each report, so that it follows changes.
const CLASS_DRIFT: f64 = 1e-6;

/// Standard deviation for one core above which the effect of a class is unknown.
const UNKNOWN_DEVIATION: f64 = 0.05;

/// Maximum residual of one report, so that an outlier doesn't dominate an estimate.
const MAX_RESIDUAL: f64 = 3.0;

/// Standard deviation of the usual latency after the first report, as a share of it:
/// that report may come from a worker with interference.
const INITIAL_LEVEL_DEVIATION: f64 = 0.3;

/// Growth of the relative variance of the usual latency with each report.
const LEVEL_DRIFT: f64 = 1e-6;

/// Factor for the estimate of a class with each report. The latency alone can't
/// distinguish a slower service from classes that slow it on all workers; without the
/// decay, noise in the estimates would gradually lower the usual latency.
const ESTIMATE_DECAY: f64 = 0.999;

/// Assumed ratio of a service's tail latency to its mean. The slowdown is limited so
/// that the tail stays within the deadline. The 98th percentile of an exponential
/// distribution is four times its mean.
const TAIL_TO_MEAN_RATIO: f64 = 4.0;

/// Lower and upper bound of the allowed slowdown of a service. Below the lower one,
/// noise would dominate the decisions; above the upper one, the endpoints' slots fill up.
const ALLOWED_SLOWDOWN_BOUNDS: (f64, f64) = (0.15, 0.5);

/// Usual latency of a service at one load level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct LoadLevel {
    micros: f64,
    /// Relative variance: the variance of `micros` divided by its square.
    variance: f64,
    reports: u32,
}

/// Estimated slowdown of a service by one core of a task class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Estimate {
    /// Expected slowdown, as a share of the usual latency.
    pub(crate) mean: f64,
    /// Variance of `mean`.
    pub(crate) variance: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            mean: 0.0,
            variance: INITIAL_DEVIATION * INITIAL_DEVIATION,
        }
    }
}

impl Estimate {
    /// Standard deviation of the slowdown.
    pub(crate) fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }

    /// Whether the estimate is too uncertain to place the class without a trial.
    pub(crate) fn is_unknown(&self) -> bool {
        self.deviation() > UNKNOWN_DEVIATION
    }
}

/// Estimates for one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct ServiceEstimate {
    levels: [LoadLevel; LOAD_LEVELS],
    classes: IndexMap<ClassName, Estimate>,
}

/// Estimates for all pairs of a service and a task class; stored in the snapshot.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct InterferenceModel {
    services: IndexMap<ServiceName, ServiceEstimate>,
}

/// A latency report with the class mix on the worker when it was measured.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation<'a> {
    /// The service.
    pub(crate) service: &'a ServiceName,
    /// Mean latency of the requests.
    pub(crate) mean: Span,
    /// Number of requests measured.
    pub(crate) count: u32,
    /// Load in permille of the slots.
    pub(crate) load: u32,
    /// Cores of each class on the worker; empty if it can't be attributed.
    pub(crate) mix: &'a ClassMix,
}

impl InterferenceModel {
    /// Updates the estimates by a report. Returns the slowdown relative to the usual
    /// latency at similar load, or `None` if nothing was measured.
    pub(crate) fn learn(&mut self, observation: &Observation<'_>) -> Option<f64> {
        if observation.count == 0 {
            return None;
        }
        let service = self
            .services
            .entry(observation.service.clone())
            .or_default();
        let expected: f64 = observation
            .mix
            .iter()
            .map(|(class, cores)| cores * service.estimate(class).mean)
            .sum();
        let micros = observation.mean.as_micros() as f64;
        let level = &mut service.levels[load_level(observation.load)];
        if level.reports == 0 {
            level.micros = micros / (1.0 + expected);
            level.variance = INITIAL_LEVEL_DEVIATION * INITIAL_LEVEL_DEVIATION;
        }
        level.reports = level.reports.saturating_add(1);
        if level.micros <= 0.0 {
            return None;
        }
        let slowdown = micros / level.micros - 1.0;
        let residual = (slowdown - expected).clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        service.correct(observation, residual);
        Some(slowdown)
    }

    /// Returns the estimated slowdown of a service by one core of a class.
    pub(crate) fn estimate(&self, service: &ServiceName, class: &ClassName) -> Estimate {
        self.services
            .get(service)
            .map_or_else(Estimate::default, |s| s.estimate(class))
    }

    /// Expected slowdown of a service by a class mix, and its variance.
    pub(crate) fn slowdown(&self, service: &ServiceName, mix: &ClassMix) -> (f64, f64) {
        mix.iter()
            .fold((0.0, 0.0), |(mean, variance), (class, cores)| {
                let estimate = self.estimate(service, class);
                (
                    mean + cores * estimate.mean,
                    variance + cores * cores * estimate.variance,
                )
            })
    }

    /// Returns the slowdown relative to the usual latency at similar load, if that is
    /// known, without updating the estimates. For reports that can't be attributed.
    pub(crate) fn compare(&self, observation: &Observation<'_>) -> Option<f64> {
        let service = self.services.get(observation.service)?;
        let level = service.levels[load_level(observation.load)];
        let known = level.reports > 0 && level.micros > 0.0 && observation.count > 0;
        known.then(|| observation.mean.as_micros() as f64 / level.micros - 1.0)
    }

    /// Slowdown at which the service's tail latency still stays within its deadline.
    pub(crate) fn allowed_slowdown(&self, service: &ServiceName, deadline: Span) -> f64 {
        let latency = self
            .services
            .get(service)
            .and_then(ServiceEstimate::max_usual_latency);
        let (lower, upper) = ALLOWED_SLOWDOWN_BOUNDS;
        latency.map_or(lower, |latency| {
            let slack = deadline.as_micros() as f64 / (TAIL_TO_MEAN_RATIO * latency) - 1.0;
            slack.clamp(lower, upper)
        })
    }
}

impl ServiceEstimate {
    fn estimate(&self, class: &ClassName) -> Estimate {
        self.classes.get(class).copied().unwrap_or_default()
    }

    /// Highest usual latency over all load levels, in microseconds.
    fn max_usual_latency(&self) -> Option<f64> {
        let with_reports = self.levels.iter().filter(|l| l.reports > 0);
        with_reports.map(|l| l.micros).max_by(f64::total_cmp)
    }

    /// Divides a residual between the usual latency and the classes in the mix, in
    /// proportion to the variance of each.
    fn correct(&mut self, observation: &Observation<'_>, residual: f64) {
        let class_variance: f64 = observation
            .mix
            .iter()
            .map(|(class, cores)| self.estimate(class).variance * cores * cores)
            .sum();
        let noise = NOISE_DEVIATION * NOISE_DEVIATION + 1.0 / f64::from(observation.count);
        let level = &mut self.levels[load_level(observation.load)];
        let total_variance = level.variance + class_variance + noise;
        let gain = level.variance / total_variance;
        level.micros *= 1.0 + (gain * residual).max(-0.5);
        level.variance = (level.variance * (1.0 - gain) + LEVEL_DRIFT)
            .min(INITIAL_LEVEL_DEVIATION * INITIAL_LEVEL_DEVIATION);
        for (class, cores) in observation.mix {
            let estimate = self.classes.entry(class.clone()).or_default();
            let gain = estimate.variance * cores / total_variance;
            estimate.mean = (ESTIMATE_DECAY * estimate.mean + gain * residual).max(0.0);
            let remaining = estimate.variance * (1.0 - gain * cores);
            estimate.variance =
                (remaining + CLASS_DRIFT).min(INITIAL_DEVIATION * INITIAL_DEVIATION);
        }
    }
}

fn load_level(load: u32) -> usize {
    (load as usize * LOAD_LEVELS / 1_001).min(LOAD_LEVELS - 1)
}
