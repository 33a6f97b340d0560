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
    /// Under which conditions, one sentence each.
    pub conditions: Vec<String>,
    /// The figures.
    pub tables: Vec<Table>,
    /// Targets with whether they were met.
    pub targets: Vec<Target>,
}

/// A target and what was measured for it.
#[derive(Debug, Clone, Serialize)]
pub struct Target {
    /// The target.
    pub target: String,
    /// What was measured.
    pub measured: String,
    /// Whether it was met.
    pub met: bool,
}

/// One table of figures.
#[derive(Debug, Clone, Serialize)]
pub struct Table {
    /// What it shows.
    pub title: String,
    /// Heads of the columns.
    pub columns: Vec<String>,
    /// The rows, each with a cell for each column.
    pub rows: Vec<Vec<Cell>>,
}

/// A figure or a text.
#[derive(Debug, Clone, Serialize, From, Display)]
#[serde(untagged)]
pub enum Cell {
    /// A text.
    #[display("{_0}")]
    Text(String),
    /// A figure, printed with two decimals.
    #[display("{_0:.2}")]
    Number(f64),
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
    fn grid(&self) -> Grid {
        let mut grid = Grid::new();
        grid.load_preset(ASCII_MARKDOWN).set_header(&self.columns);
        for row in &self.rows {
            grid.add_row(row.iter().map(|cell| {
                let alignment = match cell {
                    Cell::Text(_) => CellAlignment::Left,
                    Cell::Number(_) => CellAlignment::Right,
                };
                comfy_table::Cell::new(cell).set_alignment(alignment)
            }));
        }
        grid
    }
}
