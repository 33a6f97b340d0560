//! Results of measurements and their exporters.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table as Grid};
use derive_more::{Display, From};
use serde::Serialize;

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Tables for people, in Markdown.
    Table,
    /// JSON for programs.
    Json,
}

/// Result of one measurement.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// What was measured.
    pub title: String,
    /// Conditions of the measurement, one sentence each.
    pub conditions: Vec<String>,
    /// Tables of measured values.
    pub tables: Vec<Table>,
    /// Targets with whether they were met.
    pub targets: Vec<Target>,
}

/// A target and what was measured for it.
#[derive(Debug, Clone, Serialize)]
pub struct Target {
    /// The target in words, with its limit.
    pub target: String,
    /// Measured value with its unit.
    pub measured: String,
    /// Whether it was met.
    pub met: bool,
}

impl Target {
    /// A target that is met if `count` is zero.
    pub(super) fn none(what: &str, count: u64) -> Self {
        Self {
            target: format!("no {what}"),
            measured: count.to_string(),
            met: count == 0,
        }
    }
}

/// One table of measured values.
#[derive(Debug, Clone, Serialize)]
pub struct Table {
    /// What it shows.
    pub title: String,
    /// Headings of the columns.
    pub columns: Vec<String>,
    /// The rows, each with a cell for each column.
    pub rows: Vec<Vec<Cell>>,
}

/// Content of a table cell.
#[derive(Debug, Clone, Serialize, From, Display)]
#[serde(untagged)]
pub enum Cell {
    /// Text, aligned to the left.
    #[display("{_0}")]
    Text(String),
    /// Measured value, printed with two decimals.
    #[display("{_0:.2}")]
    Number(f64),
    /// Count, printed as an integer.
    #[display("{_0}")]
    Count(u64),
}

impl From<&str> for Cell {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<usize> for Cell {
    fn from(count: usize) -> Self {
        Self::Count(count as u64)
    }
}

/// Heading of a column, and the function that gives a row's cell in it.
pub type Column<R> = (&'static str, fn(&R) -> Cell);

/// Reports as text in a format: a single one by itself, several as a list.
pub fn export(reports: &[Report], format: Format) -> eyre::Result<String> {
    match (reports, format) {
        ([report], _) => report.export(format),
        (_, Format::Json) => Ok(serde_json::to_string_pretty(reports)?),
        (_, Format::Table) => {
            let texts = reports.iter().map(|r| r.export(format));
            Ok(texts.collect::<Result<Vec<_>, _>>()?.join("\n"))
        }
    }
}

impl Report {
    /// The report as text in a format.
    pub fn export(&self, format: Format) -> eyre::Result<String> {
        match format {
            Format::Table => Ok(self.to_text()),
            Format::Json => Ok(serde_json::to_string_pretty(self)?),
        }
    }

    fn to_text(&self) -> String {
        let mut text = format!("# {}\n\n", self.title);
        for condition in &self.conditions {
            text += &format!("- {condition}\n");
        }
        for table in &self.tables {
            text += &format!("\n## {}\n\n{}\n", table.title, table.grid());
        }
        text += "\n## Targets\n\n";
        for target in &self.targets {
            let verdict = if target.met { "met" } else { "NOT MET" };
            text += &format!("- {}: {} ({verdict})\n", target.target, target.measured);
        }
        text
    }
}

impl Table {
    /// A table with one row for each of `rows`.
    pub fn of<R>(title: &str, columns: &[Column<R>], rows: &[R]) -> Self {
        let cells = |row| columns.iter().map(|(_, cell)| cell(row)).collect();
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(|(head, _)| (*head).to_owned()).collect(),
            rows: rows.iter().map(cells).collect(),
        }
    }

    fn grid(&self) -> Grid {
        let mut grid = Grid::new();
        grid.load_preset(ASCII_MARKDOWN).set_header(&self.columns);
        for row in &self.rows {
            grid.add_row(row.iter().map(|cell| {
                let alignment = match cell {
                    Cell::Text(_) => CellAlignment::Left,
                    Cell::Number(_) | Cell::Count(_) => CellAlignment::Right,
                };
                comfy_table::Cell::new(cell).set_alignment(alignment)
            }));
        }
        grid
    }
}
