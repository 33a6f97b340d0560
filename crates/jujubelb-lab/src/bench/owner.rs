//! CPU time and message sizes of a shard's owner for several shard sizes.
//!
//! The real owner with the real policy is driven against a small fake of its
//! workers and its store. The inputs of the first run are recorded and given to
//! a second owner, so that its CPU time excludes that of the fake. The
//! inputs depend on the seed only; the times do not.

mod load;
mod replay;
mod worker;

#[cfg(test)]
mod tests;

use super::report::Target;
use super::{Cell, Measurement, Report, Table};
use load::Load;
use replay::{Cost, replay};

/// Workers per shard; the last is the largest size that a shard may have.
const SHARD_SIZES: [usize; 3] = [26, 52, 104];

// Limits for the owner on one process host.
const MAX_CORE_PERCENT: f64 = 1.4;
const MAX_MEMORY_MB: f64 = 256.0;
const MAX_EXCHANGE_KB_PER_SECOND: f64 = 9.0;

/// Options of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct OwnerCost {
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Simulated seconds that are measured, after 35 s in which the load settles.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

/// Mean sizes of messages in bytes.
#[derive(Debug, Clone, Default, PartialEq)]
struct Sizes {
    request: f64,
    report: f64,
    segment: f64,
    snapshot: f64,
    summary: f64,
    /// Bytes a second of all exchanges of one worker.
    exchange: f64,
}

struct Row {
    workers: usize,
    running: usize,
    counts: load::Counts,
    sizes: Sizes,
    cost: Cost,
}

impl Measurement for OwnerCost {
    fn run(&self) -> Report {
        let rows: Vec<_> = SHARD_SIZES.iter().map(|size| self.row(*size)).collect();
        Report {
            title: "Cost of a shard's owner".to_owned(),
            conditions: vec![
                format!(
                    "Seed {}; {} s measured after {} s.",
                    self.seed,
                    self.seconds,
                    load::WARMUP_SECONDS
                ),
                "17 running tasks and 0.1 starts/s for each worker; 390 teams; 26 shards."
                    .to_owned(),
                "Requests and reports are JSON; segments, snapshots and summaries are postcard."
                    .to_owned(),
                "Processor time is that of the thread; its parts are divided by wall time."
                    .to_owned(),
            ],
            tables: vec![self.times(&rows), sizes(&rows)],
            targets: targets(&rows, self.seconds),
        }
    }
}

impl OwnerCost {
    fn row(&self, workers: usize) -> Row {
        let mut load = Load::new(self.seed, workers);
        load.run(load::WARMUP_SECONDS);
        load.measure();
        load.run(self.seconds);
        let counts = load.counts;
        Row {
            workers,
            running: load.running(),
            sizes: load.sizes(self.seconds),
            counts,
            cost: replay(load.into_recording()),
        }
    }

    fn times(&self, rows: &[Row]) -> Table {
        let row = |row: &Row| -> Vec<Cell> {
            let cost = &row.cost;
            let per = |micros: f64, count: u64| Cell::from(micros / count.max(1) as f64);
            vec![
                Cell::from(row.workers as f64),
                Cell::from(row.running as f64),
                Cell::from(row.counts.starts as f64 / self.seconds as f64),
                per(cost.total / 1e3, self.seconds),
                per(cost.policy / 1e3, self.seconds),
                per(cost.decisions as f64, self.seconds),
                per(cost.exchanges, row.counts.exchanges),
                per(cost.total, row.counts.starts),
                per(cost.segments, row.counts.segments),
            ]
        };
        Table {
            title: "Processor time".to_owned(),
            columns: columns(&[
                "workers",
                "running",
                "starts/s",
                "ms/s",
                "in policy ms/s",
                "decisions/s",
                "us/exchange",
                "us/start, all costs",
                "us/segment",
            ]),
            rows: rows.iter().map(row).collect(),
        }
    }
}

fn sizes(rows: &[Row]) -> Table {
    let row = |row: &Row| -> Vec<Cell> {
        let sizes = &row.sizes;
        let values = [
            row.workers as f64,
            sizes.request,
            sizes.report,
            sizes.segment,
            sizes.snapshot,
            sizes.summary,
            sizes.exchange,
        ];
        values.into_iter().map(Cell::from).collect()
    };
    Table {
        title: "Bytes".to_owned(),
        columns: columns(&[
            "workers",
            "sync request",
            "report",
            "segment",
            "snapshot",
            "summary",
            "exchanges of a worker, B/s",
        ]),
        rows: rows.iter().map(row).collect(),
    }
}

fn columns(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn targets(rows: &[Row], seconds: u64) -> Vec<Target> {
    let Some(row) = rows.last() else {
        return Vec::new();
    };
    let target = |name: &str, measured: f64, limit: f64, unit: &str| Target {
        target: format!("{name} under {limit} {unit}, {} workers", row.workers),
        measured: format!("{measured:.2} {unit}"),
        met: measured < limit,
    };
    let core = row.cost.total / 1e4 / seconds as f64;
    let exchange = row.sizes.exchange / 1e3;
    vec![
        target(
            "processor time of the owner",
            core,
            MAX_CORE_PERCENT,
            "% of a core",
        ),
        target(
            "memory of the measuring process",
            row.cost.memory,
            MAX_MEMORY_MB,
            "MB",
        ),
        target(
            "exchanges of a worker",
            exchange,
            MAX_EXCHANGE_KB_PER_SECOND,
            "KB/s",
        ),
    ]
}
