//! Estimation of the resources that tasks of each class need.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::model::{Bytes, ClassName, Millicores, Resources, TaskSpec};

/// Number of buckets per doubling. A bucket is 19 % wide, less than the safety margin.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets: up to 2^48, more than the bytes of any host.
const BUCKET_COUNT: usize = 48 * 4;

/// Share of observations that the estimated size covers.
const SIZE_QUANTILE: f64 = 0.95;

/// Factor for estimated sizes, as numerator and denominator, since reports are
/// infrequent and late and miss short peaks.
const SAFETY_MARGIN: (u64, u64) = (5, 4);

/// Total weight at which the weights of all buckets are halved, so that the estimate
/// follows a class that changes.
const DECAY_THRESHOLD: f64 = 512.0;

/// Number of observations required before an estimated processor time below the
/// declared one is used. From 20 on, the 0.95 quantile is no longer the maximum.
const MIN_OBSERVATIONS: f64 = 20.0;

/// A limit shrinks only if it is at least this many times the need, so that small
/// changes cause no commands.
const MIN_SHRINK_RATIO: u64 = 2;

/// Number of reports of one attempt before its limit may shrink, since a task that has
/// just started has not reached its peak.
const MIN_SHRINK_REPORTS: u32 = 3;

/// Memory use at which the memory limit grows, in percent of the limit.
const GROW_THRESHOLD_PERCENT: u64 = 90;

/// Minimum limits: what any process needs to start.
const MIN_LIMIT: Resources = Resources::new(10, 16 << 20, 0);

/// Observations in one bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct Bucket {
    weight: f32,
    /// Highest observation in the bucket.
    #[serde(rename = "most")]
    max: u64,
}

/// Decaying histogram with buckets of equal ratio.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Histogram {
    /// Non-empty buckets by number.
    buckets: IndexMap<u16, Bucket>,
    total: f64,
}

impl Histogram {
    fn bucket(value: u64) -> u16 {
        let exponent = (value.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
        (exponent.ceil() as usize).min(BUCKET_COUNT - 1) as u16
    }

    fn add(&mut self, value: u64) {
        let bucket = self.buckets.entry(Self::bucket(value)).or_default();
        bucket.weight += 1.0;
        bucket.max = bucket.max.max(value);
        self.total += 1.0;
        if self.total >= DECAY_THRESHOLD {
            self.buckets.values_mut().for_each(|b| b.weight /= 2.0);
            self.buckets.retain(|_, b| b.weight > 0.01);
            self.total = self.buckets.values().map(|b| f64::from(b.weight)).sum();
        }
    }

    /// Highest observation in the bucket that contains the quantile, or 0 without
    /// observations.
    fn quantile(&self, quantile: f64) -> u64 {
        let mut buckets: Vec<_> = self.buckets.iter().collect();
        buckets.sort_unstable_by_key(|(number, _)| **number);
        let mut remaining = self.total * quantile;
        for (_, bucket) in &buckets {
            remaining -= f64::from(bucket.weight);
            if remaining <= 1e-9 {
                return bucket.max;
            }
        }
        buckets.last().map_or(0, |(_, bucket)| bucket.max)
    }
}

/// Observed use of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct ClassEstimate {
    cpu: Histogram,
    memory: Histogram,
    /// Use as a share of the declared size, in permille.
    cpu_ratio: Histogram,
    memory_ratio: Histogram,
    /// Cached quantiles of `cpu` and `memory`.
    size: Resources,
    /// Cached quantiles of `cpu_ratio` and `memory_ratio`.
    ratio: (u64, u64),
}

/// Estimates of all classes as stored in a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct SizeEstimatorState(IndexMap<ClassName, ClassEstimate>);

/// Estimates the sizes of task classes from the peak use of their tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct SizeEstimator {
    classes: IndexMap<ClassName, ClassEstimate>,
}

/// Highest reported use of one attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PeakUse {
    /// Highest use of each resource; for processor time, the larger of used and wanted.
    pub(crate) used: Resources,
    /// Number of reports.
    pub(crate) reports: u32,
}

impl PeakUse {
    /// Adds one report.
    pub(crate) fn add(&mut self, used: &Resources, wanted: Millicores) {
        let observed = Resources {
            cpu: used.cpu.max(wanted),
            ..*used
        };
        self.used = self.used.max(&observed);
        self.reports += 1;
    }
}

impl SizeEstimator {
    /// Restores the estimates from a snapshot.
    pub(crate) fn restore(state: SizeEstimatorState) -> Self {
        Self { classes: state.0 }
    }

    /// Returns the estimates for a snapshot.
    pub(crate) fn state(&self) -> SizeEstimatorState {
        SizeEstimatorState(self.classes.clone())
    }

    /// Adds the peak use of one attempt, when it ends or after enough reports.
    pub(crate) fn observe(&mut self, class: &ClassName, declared: &Resources, peak: &Resources) {
        let entry = self.classes.entry(class.clone()).or_default();
        entry.cpu.add(peak.cpu.0);
        entry.memory.add(peak.memory.0);
        entry.cpu_ratio.add(permille(peak.cpu.0, declared.cpu.0));
        let ratio = permille(peak.memory.0, declared.memory.0);
        entry.memory_ratio.add(ratio);
        entry.refresh();
    }

    /// Records that an attempt exceeded its memory limit, as an observation of twice
    /// that limit. Returns the limit with twice the memory. With few observations this
    /// raises the estimate of the class at once; with many, one outlier doesn't.
    pub(crate) fn record_limit_exceeded(
        &mut self,
        class: &ClassName,
        declared: &Resources,
        limit: &Resources,
    ) -> Resources {
        let doubled = Resources {
            memory: Bytes(limit.memory.0.saturating_mul(2)),
            ..*limit
        };
        let entry = self.classes.entry(class.clone()).or_default();
        entry.memory.add(doubled.memory.0);
        let ratio = permille(doubled.memory.0, declared.memory.0);
        entry.memory_ratio.add(ratio);
        entry.refresh();
        doubled
    }

    /// Resources to reserve for a new attempt: the larger of declared and estimated
    /// memory and processor time. Processor time may be below the declared one if the
    /// task is reclaimable and enough was observed. Accelerators are as declared.
    pub(crate) fn reservation(&self, spec: &TaskSpec) -> Resources {
        let Some(class) = self.classes.get(&spec.class) else {
            return spec.size.max(&MIN_LIMIT);
        };
        let size = spec.size.max(&MIN_LIMIT);
        let memory = estimated_or_declared(size.memory.0, class.size.memory.0, class.ratio.1);
        let reclaim = spec.reclaimable && class.cpu.total >= MIN_OBSERVATIONS;
        let cpu = if reclaim {
            with_margin(class.size.cpu.0.min(permille_of(size.cpu.0, class.ratio.0)))
                .max(MIN_LIMIT.cpu.0)
        } else {
            estimated_or_declared(size.cpu.0, class.size.cpu.0, class.ratio.0)
        };
        Resources::new(cpu, memory.max(size.memory.0), spec.size.accelerators)
    }

    /// Returns a smaller limit for a running attempt if its use is far below its limit.
    pub(crate) fn shrunk_limit(
        &self,
        (class, reclaimable): (&ClassName, bool),
        limit: &Resources,
        peak: &PeakUse,
    ) -> Option<Resources> {
        // For most tasks their own peak rules out a smaller limit, which saves the lookup
        // of the class.
        let own = resources_with_margin(&peak.used);
        let memory = shrink_if_worthwhile(limit.memory.0, own.memory.0) == limit.memory.0;
        let cpu = !reclaimable || shrink_if_worthwhile(limit.cpu.0, own.cpu.0) == limit.cpu.0;
        if peak.reports < MIN_SHRINK_REPORTS || (memory && cpu) {
            return None;
        }
        let estimated = self
            .classes
            .get(class)
            .map_or(MIN_LIMIT, |c| resources_with_margin(&c.size));
        let need = own.max(&estimated).max(&MIN_LIMIT);
        let memory = shrink_if_worthwhile(limit.memory.0, need.memory.0);
        let cpu = if reclaimable {
            shrink_if_worthwhile(limit.cpu.0, need.cpu.0)
        } else {
            limit.cpu.0
        };
        let target = Resources::new(cpu, memory, limit.accelerators);
        (target != *limit).then_some(target)
    }

    /// Returns a larger limit for a running attempt if its use approaches its limit.
    pub(crate) fn grown_limit(
        &self,
        limit: &Resources,
        used: &Resources,
        wanted: Millicores,
    ) -> Option<Resources> {
        let memory = if used.memory.0 * 100 >= limit.memory.0 * GROW_THRESHOLD_PERCENT {
            limit.memory.0 * 3 / 2
        } else {
            limit.memory.0
        };
        let cpu = limit.cpu.0.max(wanted.0);
        let target = Resources::new(cpu, memory, limit.accelerators);
        (target != *limit).then_some(target)
    }
}

impl ClassEstimate {
    fn refresh(&mut self) {
        let cpu = self.cpu.quantile(SIZE_QUANTILE);
        let memory = self.memory.quantile(SIZE_QUANTILE);
        self.size = Resources::new(cpu, memory, 0);
        let cpu = self.cpu_ratio.quantile(SIZE_QUANTILE);
        let memory = self.memory_ratio.quantile(SIZE_QUANTILE);
        self.ratio = (cpu, memory);
    }
}

/// Returns the larger of the declared and the estimated amount, with the safety margin
/// only on the estimate. The estimate is the smaller of the absolute quantile and the
/// quantile of the ratio to the declared size: the absolute one is too large for small
/// tasks of a class with several sizes, and the ratio is too large for tasks declared
/// too large in a class where others are declared too small.
fn estimated_or_declared(declared: u64, absolute: u64, ratio: u64) -> u64 {
    let estimated = absolute.min(permille_of(declared, ratio));
    if estimated <= declared {
        declared
    } else {
        with_margin(estimated)
    }
}

fn permille(part: u64, total: u64) -> u64 {
    part.saturating_mul(1_000) / total.max(1)
}

fn permille_of(total: u64, permille: u64) -> u64 {
    (u128::from(total) * u128::from(permille)).div_ceil(1_000) as u64
}

/// Adds the safety margin to an amount.
const fn with_margin(amount: u64) -> u64 {
    let (num, den) = SAFETY_MARGIN;
    amount.saturating_mul(num) / den
}

fn resources_with_margin(amount: &Resources) -> Resources {
    Resources::new(
        with_margin(amount.cpu.0),
        with_margin(amount.memory.0),
        amount.accelerators,
    )
}

const fn shrink_if_worthwhile(limit: u64, need: u64) -> u64 {
    if need.saturating_mul(MIN_SHRINK_RATIO) <= limit {
        need
    } else {
        limit
    }
}
