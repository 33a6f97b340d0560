//! Capacity model: computes the cost of the control plane at the target size from recorded slopes
//! (cost per unit of load) and compares it with the limits.

#[cfg(test)]
mod tests;

use eyre::{Result, WrapErr};
use serde::Deserialize;

/// Recorded slopes and target size, as YAML.
pub const SLOPES: &str = include_str!("../../../../docs/capacity.yaml");

/// Limit of the processor time that control uses on a node, in ms/s (thousandths of a core).
const MAX_CPU_MS_PER_S: f64 = 14.0;

/// Limit of the memory that control uses on a node, in megabytes.
const MAX_MEMORY_MB: f64 = 256.0;

/// Limit of a node's control traffic, in kilobytes per second.
const MAX_TRAFFIC_KB_PER_S: f64 = 9.0;

/// Writes per second that the store sustains: the low end of "several hundred".
const MAX_STORE_WRITES_PER_S: f64 = 300.0;

/// Reads per second that the store sustains.
const MAX_STORE_READS_PER_S: f64 = 2_000.0;

/// Capacity of the link between regions, in megabits per second.
const MAX_LINK_MBIT_PER_S: f64 = 30.0;

const SECONDS_PER_DAY: f64 = 86_400.0;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct TargetSize {
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
struct OwnerCosts {
    cpu_ms: f64,
    memory_mb: f64,
    segment_bytes: f64,
    snapshot_bytes: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct ControlCosts {
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

/// Target size and the recorded slopes of each component.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    target: TargetSize,
    owner: OwnerCosts,
    control: ControlCosts,
    constants: Constants,
}

/// Row of the capacity table: one metric at the target size and its limit, in the same unit.
struct Row {
    role: &'static str,
    metric: &'static str,
    value: f64,
    unit: &'static str,
    limit: f64,
    mechanism: &'static str,
}

impl Row {
    const fn new(
        role: &'static str,
        metric: &'static str,
        (value, unit): (f64, &'static str),
        limit: f64,
        mechanism: &'static str,
    ) -> Self {
        Self {
            role,
            metric,
            value,
            unit,
            limit,
            mechanism,
        }
    }
}

impl Slopes {
    /// Parses the YAML of [`SLOPES`].
    pub fn parse(text: &str) -> Result<Self> {
        serde_saphyr::from_str(text).wrap_err("can't parse docs/capacity.yaml")
    }

    /// Renders the capacity table as Markdown and marks limits that are exceeded.
    pub fn table(&self) -> String {
        let mut text = String::from(
            "| role | figure | at the target | limit | share of the limit | carried by |\n|---|---|---|---|---|---|\n",
        );
        for row in self.rows() {
            let share = row.value / row.limit * 100.0;
            let verdict = if share > 100.0 { ", **not met**" } else { "" };
            text += &format!(
                "| {} | {} | {:.2} {} | {} {} | {share:.0} %{verdict} | {} |\n",
                row.role, row.metric, row.value, row.unit, row.limit, row.unit, row.mechanism
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
        let row = |metric, bytes: f64| {
            let traffic = (bytes * rate / 1e3, "KB/s");
            Row::new("worker", metric, traffic, MAX_TRAFFIC_KB_PER_S, mechanism)
        };
        vec![
            row("traffic, nothing new", idle),
            row("traffic, 18 tasks report use", using),
        ]
    }

    fn scheduler_rows(&self) -> Vec<Row> {
        let workers = self.target.workers / self.target.shards * self.constants.exchanges_per_s;
        let decode = workers * self.control.exchange_decode_us / 1e3;
        let row = |metric, measured, limit, mechanism| {
            Row::new("scheduler", metric, measured, limit, mechanism)
        };
        vec![
            row(
                "owner of one shard, processor time",
                (self.owner.cpu_ms, "ms/s"),
                MAX_CPU_MS_PER_S,
                "shards of at most 104 workers; decisions at most every 50 ms",
            ),
            row(
                "decoding of reports, processor time",
                (decode, "ms/s"),
                MAX_CPU_MS_PER_S,
                "the same",
            ),
            row(
                "memory of one shard's owner",
                (self.owner.memory_mb, "MB"),
                MAX_MEMORY_MB,
                "state of one shard only; bounded records",
            ),
            row(
                "exchanges with one shard's workers",
                (workers * self.control.exchange_use_bytes / 1e3, "KB/s"),
                MAX_TRAFFIC_KB_PER_S,
                "nothing yet; see below",
            ),
        ]
    }

    fn shared_rows(&self) -> Vec<Row> {
        let changes = self.target.changes_a_day / SECONDS_PER_DAY;
        let work = changes * (self.control.check_ms + self.control.apply_ms);
        let row = |metric, measured, limit, mechanism| {
            Row::new("each process", metric, measured, limit, mechanism)
        };
        vec![
            row(
                "heartbeats",
                (self.constants.heartbeat_bytes_per_s / 1e3, "KB/s"),
                MAX_TRAFFIC_KB_PER_S,
                "interval follows from a byte budget",
            ),
            row(
                "configuration pulls, mean",
                (changes * self.control.pull_bytes / 1e3, "KB/s"),
                MAX_TRAFFIC_KB_PER_S,
                "one reader a domain; peers pull",
            ),
            row(
                "configuration check and apply, mean",
                (work, "ms/s"),
                MAX_CPU_MS_PER_S,
                "contents by hash; whole configuration per change",
            ),
        ]
    }

    fn store_rows(&self) -> Vec<Row> {
        let appends = self.target.shards * self.constants.appends_per_s;
        let snapshots = appends / self.control.appends_per_cycle;
        let renewals = self.target.hosts * self.constants.owner_renewals_per_s;
        let claims = self.target.jobs_a_day / SECONDS_PER_DAY;
        let reads = self.target.domains + snapshots * self.control.reads_per_cycle;
        let bytes = appends * self.owner.segment_bytes + snapshots * self.owner.snapshot_bytes;
        let row = |metric, measured, limit, mechanism| {
            Row::new("store", metric, measured, limit, mechanism)
        };
        vec![
            row(
                "appends at a lasting peak",
                (appends, "/s"),
                MAX_STORE_WRITES_PER_S,
                "group commit: grows with shards, not with starts",
            ),
            row(
                "appends, deletions, snapshots, renewals, claims",
                (2.0 * appends + snapshots + renewals + claims, "/s"),
                MAX_STORE_WRITES_PER_S,
                "the same; deletions are paced",
            ),
            row(
                "reads",
                (reads, "/s"),
                MAX_STORE_READS_PER_S,
                "one reader a domain",
            ),
            row(
                "log and snapshots through a link between regions, at most",
                (bytes * 8.0 / 1e6, "Mbit/s"),
                MAX_LINK_MBIT_PER_S,
                "segments, no rewriting of state",
            ),
        ]
    }

    /// Tasks and task starts per second of one shard at the target size, the load at which
    /// the owner's costs have to be measured.
    pub fn shard_load(&self) -> (f64, f64) {
        let shards = self.target.shards;
        (self.target.tasks / shards, self.target.starts / shards)
    }
}
