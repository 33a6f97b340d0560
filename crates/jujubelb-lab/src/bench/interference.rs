//! Measures placement beside services without prior interference estimates.
//!
//! 48 workers hold endpoints of two services. Some classes of batch tasks slow
//! one of the services, none slows both. Latency reports arrive 5 s late and are
//! noisy. The latency of a request is exponential around a mean that grows with
//! the load and with the disturbing cores on the worker; the share of requests
//! past their deadline is computed from it, so that the result has no sampling
//! noise of its own.

mod simulation;
mod threshold;

#[cfg(test)]
mod tests;

use jujubelb::place::PlacementPolicy;
use serde::Serialize;

use super::report::Target;
use super::{Cell, Measurement, Report, Table};
use simulation::Simulation;
use threshold::ThresholdEviction;

/// Options of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct Interference {
    /// Seed of arrivals, sizes and noise.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Minutes of simulated time.
    #[arg(long, default_value_t = 30)]
    minutes: u64,
}

impl Interference {
    /// Options of a short run that only checks that the measurement works.
    pub const QUICK: Self = Self {
        seed: 7,
        minutes: 2,
    };
}

impl Measurement for Interference {
    fn run(&self) -> Report {
        let rows = run(self.seed, self.minutes);
        let dropped: u64 = rows.iter().map(|r| r.dropped).sum();
        Report {
            title: "Placement next to services with unknown pairs".to_owned(),
            conditions: vec![format!(
                "48 workers, 12 classes, reports 5 s late, {} minutes, seed {}",
                self.minutes, self.seed
            )],
            tables: vec![Table::of(
                "Ratios to placement that ignores pairs",
                &COLUMNS,
                &rows,
            )],
            targets: vec![Target::none(
                "decisions that the owner would have dropped",
                dropped,
            )],
        }
    }
}

const COLUMNS: [super::Column<Row>; 10] = [
    ("variant", |r| r.variant.into()),
    ("offered", |r| r.offered.into()),
    ("late %", |r| Cell::Number(r.late * 100.0)),
    ("late at first %", |r| Cell::Number(r.late_at_first * 100.0)),
    ("late ratio", |r| r.late_ratio.into()),
    ("work, core-seconds", |r| r.work.into()),
    ("work ratio", |r| r.work_ratio.into()),
    ("evictions", |r| r.evictions.into()),
    ("throttles", |r| r.throttles.into()),
    ("dropped", |r| r.dropped.into()),
];

/// Results of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Policy that places tasks and protects services.
    pub variant: &'static str,
    /// Batch work offered, as a share of the capacity for it.
    pub offered: f64,
    /// Share of requests past their deadline.
    pub late: f64,
    /// Share of late requests in the first five minutes, before interference is estimated.
    pub late_at_first: f64,
    /// `late` relative to placement that ignores interference.
    pub late_ratio: f64,
    /// Core-seconds of batch work completed.
    pub work: f64,
    /// `work` relative to placement that ignores interference.
    pub work_ratio: f64,
    /// Evictions caused by interference with a service.
    pub evictions: u64,
    /// Throttlings caused by interference with a service.
    pub throttles: u64,
    /// Decisions that the owner would have dropped.
    pub dropped: u64,
}

/// Runs all variants at two levels of offered work, each for `minutes` of simulated time.
fn run(seed: u64, minutes: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for offered in [0.75, 1.1] {
        let policy = || PlacementPolicy::new(seed);
        let ignore = Simulation::new(policy(), seed, offered, false).run("ignore", minutes);
        let threshold = ThresholdEviction::new(policy());
        let threshold = Simulation::new(threshold, seed, offered, false).run("threshold", minutes);
        let place = Simulation::new(policy(), seed, offered, true).run("place", minutes);
        let (late, work) = (ignore.late, ignore.work);
        rows.extend([ignore, threshold, place].map(|row| Row {
            late_ratio: row.late / late,
            work_ratio: row.work / work,
            ..row
        }));
    }
    rows
}
