//! The demo's report, printed as tables or as JSON.

use clap::ValueEnum;
use comfy_table::{CellAlignment, ContentArrangement, Table, presets};
use indexmap::IndexMap;
use serde::Serialize;

use crate::load::{RequestKind, RequestStats, StatsByKind};
use crate::standin::ledger::{Counts, Invariant, Ledger, Tally};

/// Maximum number of violations printed for each invariant in the table format.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Output format of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// Request counts and latency of one request kind.
#[derive(Debug, Clone, Serialize)]
pub struct Latency {
    /// Requests sent, whatever their outcome.
    pub requests: u64,
    /// Requests with a complete response. Latency covers only these.
    pub answered: u64,
    /// Median latency in microseconds.
    pub p50: u64,
    /// 99th percentile in microseconds.
    pub p99: u64,
    /// 99.9th percentile in microseconds.
    pub p999: u64,
    /// Number of requests by name of the outcome.
    #[serde(rename = "ends")]
    pub outcomes: IndexMap<String, u64>,
}

impl From<RequestStats> for Latency {
    fn from(stats: RequestStats) -> Self {
        let at = |q| stats.latency.value_at_quantile(q);
        Self {
            requests: stats.outcomes.values().sum(),
            answered: stats.latency.len(),
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            outcomes: stats.outcomes,
        }
    }
}

/// Results of one run of the demo.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Seed of the load generator and of the submitted jobs.
    pub seed: u64,
    /// Duration of the demo in seconds, including start and stop of the processes.
    pub seconds: f64,
    /// Latency by request kind.
    pub latency: IndexMap<RequestKind, Latency>,
    /// Attempts and tasks counted by the stand-ins.
    #[serde(rename = "work")]
    pub task_counts: Counts,
    /// Tasks of accepted jobs, without those that are made to fail.
    pub submitted: u64,
    /// Tasks completed while a failure domain was out of service.
    #[serde(rename = "during")]
    pub outage_completions: u64,
    /// Tasks that were moved, throttled or stopped, and the number of them whose cause the
    /// records explain.
    pub explained: (usize, usize),
    /// Number of checks and the violations found, by invariant.
    pub invariants: IndexMap<Invariant, Tally>,
    /// Failed steps of the demo, each with its error.
    pub failures: Vec<String>,
}

impl Report {
    /// Creates a report without results.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            seconds: 0.0,
            latency: IndexMap::new(),
            task_counts: Counts::default(),
            submitted: 0,
            outage_completions: 0,
            explained: (0, 0),
            invariants: IndexMap::new(),
            failures: Vec::new(),
        }
    }

    /// Sets latency, task counts and invariant checks from the load generator and the ledger.
    pub fn set_results(&mut self, outcomes: StatsByKind, ledger: &Ledger) {
        self.latency = outcomes
            .into_iter()
            .map(|(kind, o)| (kind, o.into()))
            .collect();
        self.latency.sort_unstable_keys();
        self.task_counts = ledger.counts();
        self.invariants = Invariant::ALL
            .into_iter()
            .map(|i| (i, ledger.tally(i)))
            .collect();
    }

    /// Sum of violations, failed steps, invariants that were never checked and unexplained tasks.
    pub fn faults(&self) -> usize {
        let violations: usize = self.invariants.values().map(|t| t.violations.len()).sum();
        let unchecked = self.invariants.values().filter(|t| t.checks == 0).count();
        let unexplained = self.explained.0 - self.explained.1;
        violations + unchecked + unexplained + self.failures.len()
    }

    /// Prints the report to standard output.
    pub fn print(&self, format: Format) -> eyre::Result<()> {
        match format {
            Format::Json => println!("{}", serde_json::to_string_pretty(self)?),
            Format::Table => self.print_tables(),
        }
        Ok(())
    }

    fn print_tables(&self) {
        println!(
            "Requests (latency in milliseconds)\n{}",
            self.latency_table()
        );
        println!("Work\n{}", self.work_table());
        println!("Invariants\n{}", self.invariant_table());
        for (invariant, tally) in &self.invariants {
            for text in tally.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
                println!("{invariant:?}: {text}");
            }
        }
        for failure in &self.failures {
            println!("failed: {failure}");
        }
        println!(
            "seed {}, {:.1} s, {} faults",
            self.seed,
            self.seconds,
            self.faults()
        );
    }

    fn latency_table(&self) -> Table {
        let mut table = table(&[
            "sort",
            "requests",
            "answered",
            "p50",
            "p99",
            "p99.9",
            "other ends",
        ]);
        for (kind, latency) in &self.latency {
            let other = latency
                .outcomes
                .iter()
                .filter(|(end, _)| !end.starts_with("100") && *end != "done");
            let other: Vec<String> = other
                .map(|(end, count)| format!("{end}: {count}"))
                .collect();
            let ms = |micros: u64| format!("{:.1}", micros as f64 / 1e3);
            table.add_row(vec![
                format!("{kind:?}").to_lowercase(),
                latency.requests.to_string(),
                latency.answered.to_string(),
                ms(latency.p50),
                ms(latency.p99),
                ms(latency.p999),
                other.join(", "),
            ]);
        }
        table
    }

    fn work_table(&self) -> Table {
        let mut table = table(&["figure", "tasks"]);
        let rows = [
            ("submitted", self.submitted),
            ("attempts started", self.task_counts.started),
            ("completed", self.task_counts.completed),
            (
                "completed while the domain was out",
                self.outage_completions,
            ),
            ("evicted with a checkpoint", self.task_counts.evictions),
            ("resumed after an eviction", self.task_counts.resumed),
            ("attempts lost with their worker", self.task_counts.lost),
            ("moved, throttled or stopped", self.explained.0 as u64),
            ("of these explained by records", self.explained.1 as u64),
        ];
        for (name, value) in rows {
            table.add_row(vec![name.to_owned(), value.to_string()]);
        }
        table
    }

    fn invariant_table(&self) -> Table {
        let mut table = table(&["invariant", "checks", "violations"]);
        for (invariant, tally) in &self.invariants {
            table.add_row(vec![
                invariant.to_string(),
                tally.checks.to_string(),
                tally.violations.len().to_string(),
            ]);
        }
        table
    }
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::UTF8_BORDERS_ONLY)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header);
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}
