//! Summary of the ledger, as a text table or JSON.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use eyre::Result;
use serde::Serialize;

use super::ledger::{Counts, Invariant};
use super::platform::Platform;
use super::store::Calls;
use crate::bench::Format;

/// Number of violations of one invariant that the text lists.
const MAX_LISTED_VIOLATIONS: usize = 10;

/// Checks and violations of one invariant.
#[derive(Debug, Serialize)]
struct InvariantSummary {
    invariant: Invariant,
    title: &'static str,
    checks: u64,
    violations: Vec<String>,
}

/// Checks, tasks, requests and store calls of a platform so far.
#[derive(Debug, Serialize)]
pub(super) struct Summary {
    invariants: Vec<InvariantSummary>,
    tasks: Counts,
    requests: usize,
    store: Calls,
}

impl Summary {
    /// Collects the current summary of a platform.
    pub(super) fn of(platform: &Platform) -> Self {
        let ledger = platform.ledger();
        let line = |invariant: Invariant| {
            let tally = ledger.tally(invariant);
            InvariantSummary {
                invariant,
                title: invariant.title(),
                checks: tally.checks,
                violations: tally.violations,
            }
        };
        Self {
            invariants: Invariant::ALL.map(line).into(),
            tasks: ledger.counts(),
            requests: platform.receipts.total(),
            store: platform.store.calls(),
        }
    }

    /// Number of violations of all invariants.
    pub(super) fn violations(&self) -> usize {
        self.invariants.iter().map(|l| l.violations.len()).sum()
    }

    /// Formats the summary.
    pub(super) fn export(&self, format: Format) -> Result<String> {
        match format {
            Format::Table => Ok(self.to_text()),
            Format::Json => Ok(serde_json::to_string_pretty(self)?),
        }
    }

    fn to_text(&self) -> String {
        let mut grid = Table::new();
        grid.load_preset(ASCII_MARKDOWN)
            .set_header(["invariant", "checks", "violations"]);
        for line in &self.invariants {
            grid.add_row([
                line.invariant.to_string(),
                line.checks.to_string(),
                line.violations.len().to_string(),
            ]);
        }
        let Counts {
            started,
            completed,
            evictions,
            resumed,
            lost,
        } = self.tasks;
        let mut text = format!(
            "{grid}\n\ntask attempts: {started} started, {completed} completed, {evictions} evicted, \
             {resumed} resumed, {lost} lost\nrequests received by endpoints: {}\n\
             store calls: {} reads, {} writes, {} bytes\n",
            self.requests, self.store.reads, self.store.writes, self.store.bytes
        );
        for line in &self.invariants {
            for violation in line.violations.iter().take(MAX_LISTED_VIOLATIONS) {
                text += &format!("violation of {:?}: {violation}\n", line.invariant);
            }
        }
        text
    }
}
