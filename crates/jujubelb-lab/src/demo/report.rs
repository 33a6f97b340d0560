//! The demo's report, as a table for people or as JSON.

use clap::ValueEnum;
use comfy_table::{CellAlignment, ContentArrangement, Table, presets};
use indexmap::IndexMap;
use serde::Serialize;

use crate::load::{RequestKind, RequestStats, StatsByKind};
use crate::standin::ledger::{Counts, Invariant, Ledger, Tally};

/// Violations of one invariant that are printed in full.
const SHOWN: usize = 5;

/// Form of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// Tail latency of one sort of requests.
#[derive(Debug, Clone, Serialize)]
pub struct Latency {
    /// Requests.
    pub requests: u64,
    /// Requests answered in full.
    pub answered: u64,
    /// Median in microseconds.
    pub p50: u64,
    /// Slowest hundredth in microseconds.
    pub p99: u64,
    /// Slowest thousandth in microseconds.
    pub p999: u64,
    /// Requests by the name of their end.
    pub ends: IndexMap<String, u64>,
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
            ends: stats.outcomes,
        }
    }
}

/// The report.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Seed of the load.
    pub seed: u64,
    /// How long the demo took, in seconds.
    pub seconds: f64,
    /// Latency by sort of request.
    pub latency: IndexMap<RequestKind, Latency>,
    /// What ran.
    pub work: Counts,
    /// Batch tasks submitted.
    pub submitted: u64,
    /// Tasks completed while the failure domain was out.
    pub during: u64,
    /// Tasks that were moved, throttled or stopped, and how many of them `why` explains.
    pub explained: (usize, usize),
    /// Checks and violations by invariant.
    pub invariants: IndexMap<Invariant, Tally>,
    /// Steps of the demo that failed.
    pub failures: Vec<String>,
}

impl Report {
    /// An empty report.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            seconds: 0.0,
            latency: IndexMap::new(),
            work: Counts::default(),
            submitted: 0,
            during: 0,
            explained: (0, 0),
            invariants: IndexMap::new(),
            failures: Vec::new(),
        }
    }

    /// Takes the latency and the checks over.
    pub fn fill(&mut self, outcomes: StatsByKind, ledger: &Ledger) {
        self.latency = outcomes
            .into_iter()
            .map(|(sort, o)| (sort, o.into()))
            .collect();
        self.latency.sort_unstable_keys();
        self.work = ledger.counts();
        self.invariants = Invariant::ALL
            .into_iter()
            .map(|i| (i, ledger.tally(i)))
            .collect();
    }

    /// Number of violations, failed steps, invariants without a check and tasks that can't be explained.
    pub fn faults(&self) -> usize {
        let violations: usize = self.invariants.values().map(|t| t.violations.len()).sum();
        let unchecked = self.invariants.values().filter(|t| t.checks == 0).count();
        let unexplained = self.explained.0 - self.explained.1;
        violations + unchecked + unexplained + self.failures.len()
    }

    /// Prints the report.
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
            for text in tally.violations.iter().take(SHOWN) {
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
        for (sort, latency) in &self.latency {
            let other = latency
                .ends
                .iter()
                .filter(|(end, _)| !end.starts_with("100") && *end != "done");
            let other: Vec<String> = other
                .map(|(end, count)| format!("{end}: {count}"))
                .collect();
            let ms = |micros: u64| format!("{:.1}", micros as f64 / 1e3);
            table.add_row(vec![
                format!("{sort:?}").to_lowercase(),
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
            ("attempts started", self.work.started),
            ("completed", self.work.completed),
            ("completed while the domain was out", self.during),
            ("evicted with a checkpoint", self.work.evictions),
            ("resumed after an eviction", self.work.resumed),
            ("attempts lost with their worker", self.work.lost),
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
