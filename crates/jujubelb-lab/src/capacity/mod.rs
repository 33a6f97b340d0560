//! The cost of control at the target size, worked out from recorded slopes.

#[cfg(test)]
mod tests;

use eyre::{Result, WrapErr};
use serde::Deserialize;

/// The recorded slopes.
pub const SLOPES: &str = include_str!("../../../../docs/capacity.yaml");

/// Most processor time of a node's control, in thousandths of a core.
const CPU: f64 = 14.0;

/// Most memory of a node's control, in megabytes.
const MEMORY: f64 = 256.0;

/// Most traffic of a node's control, in kilobytes a second.
const TRAFFIC: f64 = 9.0;

/// Writes a second that the store takes: the low end of "several hundred".
const WRITES: f64 = 300.0;

/// Reads a second that the store takes.
const READS: f64 = 2_000.0;

/// Capacity of the link between regions in megabits a second.
const LINK: f64 = 30.0;

const SECONDS_A_DAY: f64 = 86_400.0;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Target {
    workers: f64,
    domains: f64,
    shards: f64,
    hosts: f64,
    tasks: f64,
    starts: f64,
    changes_a_day: f64,
    jobs_a_day: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Owner {
    cpu_ms: f64,
    memory_mb: f64,
    segment_bytes: f64,
    snapshot_bytes: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Control {
    exchange_idle_bytes: f64,
    exchange_use_bytes: f64,
    exchange_decode_us: f64,
    pull_bytes: f64,
    check_ms: f64,
    apply_ms: f64,
    reads_per_cycle: f64,
    appends_per_cycle: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Constants {
    appends_per_s: f64,
    exchanges_per_s: f64,
    heartbeat_bytes_per_s: f64,
    owner_renewals_per_s: f64,
}

/// All slopes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    target: Target,
    owner: Owner,
    control: Control,
    constants: Constants,
}

/// One line of the table.
struct Row {
    role: &'static str,
    figure: &'static str,
    value: f64,
    unit: &'static str,
    limit: f64,
    mechanism: &'static str,
}

impl Row {
    const fn new(
        role: &'static str,
        figure: &'static str,
        (value, unit): (f64, &'static str),
        limit: f64,
        mechanism: &'static str,
    ) -> Self {
        Self {
            role,
            figure,
            value,
            unit,
            limit,
            mechanism,
        }
    }
}

impl Slopes {
    /// Reads slopes.
    pub fn parse(text: &str) -> Result<Self> {
        serde_saphyr::from_str(text).wrap_err("docs/capacity.yaml has an error")
    }

    /// The table as Markdown.
    pub fn table(&self) -> String {
        let mut text = String::from(
            "| role | figure | at the target | limit | share of the limit | carried by |\n|---|---|---|---|---|---|\n",
        );
        for row in self.rows() {
            let share = row.value / row.limit * 100.0;
            let met = if share > 100.0 { ", **not met**" } else { "" };
            text += &format!(
                "| {} | {} | {:.2} {} | {} {} | {share:.0} %{met} | {} |\n",
                row.role, row.figure, row.value, row.unit, row.limit, row.unit, row.mechanism
            );
        }
        text
    }

    fn rows(&self) -> Vec<Row> {
        let mut rows = self.worker_rows();
        rows.extend(self.scheduler_rows());
        rows.extend(self.shared_rows());
        rows.extend(self.store_rows());
        rows
    }

    fn worker_rows(&self) -> Vec<Row> {
        let (idle, using) = (
            self.control.exchange_idle_bytes,
            self.control.exchange_use_bytes,
        );
        let rate = self.constants.exchanges_per_s;
        let mechanism = "one lease and one exchange a worker; inventory only when it changed";
        let row = |figure, bytes: f64| {
            let traffic = (bytes * rate / 1e3, "KB/s");
            Row::new("worker", figure, traffic, TRAFFIC, mechanism)
        };
        vec![
            row("traffic, nothing new", idle),
            row("traffic, 18 tasks report use", using),
        ]
    }

    fn scheduler_rows(&self) -> Vec<Row> {
        let workers = self.target.workers / self.target.shards * self.constants.exchanges_per_s;
        let decode = workers * self.control.exchange_decode_us / 1e3;
        let row = |figure, measured, limit, mechanism| {
            Row::new("scheduler", figure, measured, limit, mechanism)
        };
        vec![
            row(
                "owner of one shard, processor time",
                (self.owner.cpu_ms, "ms/s"),
                CPU,
                "shards of at most 104 workers; decisions at most every 50 ms",
            ),
            row(
                "decoding of reports, processor time",
                (decode, "ms/s"),
                CPU,
                "the same",
            ),
            row(
                "memory of one shard's owner",
                (self.owner.memory_mb, "MB"),
                MEMORY,
                "state of one shard only; bounded records",
            ),
            row(
                "exchanges with one shard's workers",
                (workers * self.control.exchange_use_bytes / 1e3, "KB/s"),
                TRAFFIC,
                "nothing yet; see below",
            ),
        ]
    }

    fn shared_rows(&self) -> Vec<Row> {
        let changes = self.target.changes_a_day / SECONDS_A_DAY;
        let work = changes * (self.control.check_ms + self.control.apply_ms);
        let row = |figure, measured, limit, mechanism| {
            Row::new("each process", figure, measured, limit, mechanism)
        };
        vec![
            row(
                "heartbeats",
                (self.constants.heartbeat_bytes_per_s / 1e3, "KB/s"),
                TRAFFIC,
                "interval follows from a byte budget",
            ),
            row(
                "configuration pulls, mean",
                (changes * self.control.pull_bytes / 1e3, "KB/s"),
                TRAFFIC,
                "one reader a domain; peers pull",
            ),
            row(
                "configuration check and apply, mean",
                (work, "ms/s"),
                CPU,
                "contents by hash; whole configuration per change",
            ),
        ]
    }

    fn store_rows(&self) -> Vec<Row> {
        let appends = self.target.shards * self.constants.appends_per_s;
        let snapshots = appends / self.control.appends_per_cycle;
        let renewals = self.target.hosts * self.constants.owner_renewals_per_s;
        let claims = self.target.jobs_a_day / SECONDS_A_DAY;
        let reads = self.target.domains + snapshots * self.control.reads_per_cycle;
        let bytes = appends * self.owner.segment_bytes + snapshots * self.owner.snapshot_bytes;
        let row = |figure, measured, limit, mechanism| {
            Row::new("store", figure, measured, limit, mechanism)
        };
        vec![
            row(
                "appends at a lasting peak",
                (appends, "/s"),
                WRITES,
                "group commit: grows with shards, not with starts",
            ),
            row(
                "appends, deletions, snapshots, renewals, claims",
                (2.0 * appends + snapshots + renewals + claims, "/s"),
                WRITES,
                "the same; deletions are paced",
            ),
            row("reads", (reads, "/s"), READS, "one reader a domain"),
            row(
                "log and snapshots through a link between regions, at most",
                (bytes * 8.0 / 1e6, "Mbit/s"),
                LINK,
                "segments, no rewriting of state",
            ),
        ]
    }

    /// Tasks and starts of one shard, which the owner's figures were measured at.
    pub fn shard(&self) -> (f64, f64) {
        let shards = self.target.shards;
        (self.target.tasks / shards, self.target.starts / shards)
    }
}
