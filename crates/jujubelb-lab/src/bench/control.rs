//! Cost of the control plane by size: bytes of worker exchanges, of logs and of the
//! configuration, store calls of a log, and processor time.
//!
//! Bytes and calls are counted exactly. Times are medians of repeated runs and
//! differ from run to run.

mod configuration;
mod exchange;
mod journal;

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use super::{Measurement, Report};

/// Options of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct Control {
    /// Runs of which the median time is taken.
    #[arg(long, default_value_t = 21)]
    repeats: usize,
}

impl Control {
    /// A short run, which shows only that the measurement works.
    pub const QUICK: Self = Self { repeats: 1 };
}

impl Measurement for Control {
    fn run(&self) -> Report {
        let exchanges = exchange::rows(self.repeats);
        Report {
            title: "Cost of control by size".to_owned(),
            conditions: vec![
                format!("median time of {} runs", self.repeats),
                format!(
                    "each exchange has an allowance of {} bytes for the headers of HTTP, TCP and IP",
                    exchange::HEADER_BYTES
                ),
                "racks of 8 workers, job names of 24 characters".to_owned(),
            ],
            tables: vec![
                exchange::table(&exchanges),
                journal::segments(self.repeats),
                journal::cycle(),
                configuration::table(self.repeats),
            ],
            targets: exchange::targets(&exchanges),
        }
    }
}

/// Median time of a call in microseconds.
fn median<T>(repeats: usize, mut call: impl FnMut() -> T) -> f64 {
    let mut times: Vec<Duration> = (0..repeats.max(1))
        .map(|_| {
            let start = Instant::now();
            std::hint::black_box(call());
            start.elapsed()
        })
        .collect();
    times.sort();
    times[times.len() / 2].as_secs_f64() * 1e6
}
