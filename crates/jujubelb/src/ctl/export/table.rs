//! Text output and tables.

use comfy_table::{Attribute, Cell, Color, ContentArrangement, Table, presets};

use super::{Exporter, Render};
use crate::ctl::CtlError;
use crate::ctl::terminal::Terminal;

/// Display properties of the output.
#[derive(Debug, Clone, Copy)]
pub(in crate::ctl) struct Style {
    /// Whether colours and bold text are used.
    pub(in crate::ctl) colour: bool,
    /// Width in columns.
    pub(in crate::ctl) width: u16,
}

/// Writes the text form of a value without trailing white space.
pub(in crate::ctl) struct Text;

impl Exporter for Text {
    fn export<S: Render>(&self, value: &S, terminal: &mut Terminal) -> Result<(), CtlError> {
        let style = Style {
            colour: terminal.colour,
            width: terminal.width,
        };
        let text = value.text(&style);
        match text.is_empty() {
            true => Ok(()),
            false => terminal.line(text.trim_end()),
        }
    }
}

/// Formats a table without borders. Cells wrap to keep within the width.
pub(in crate::ctl) fn format_table(
    style: &Style,
    header: &[&str],
    rows: Vec<Vec<String>>,
) -> String {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_width(style.width);
    match style.colour {
        true => table.enforce_styling(),
        false => table.force_no_tty(),
    };
    let bold = |text: &&str| Cell::new(text).add_attribute(Attribute::Bold);
    table.set_header(header.iter().map(bold));
    for row in rows {
        table.add_row(row.into_iter().map(state_cell));
    }
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    let lines = table.lines().map(|line| line.trim_end().to_owned());
    lines.collect::<Vec<_>>().join("\n")
}

/// A cell, coloured if its text is a state that needs attention.
fn state_cell(text: String) -> Cell {
    let colour = match text.as_str() {
        "out" | "dead" | "parked" | "no answer" => Some(Color::Red),
        "draining" | "leaving" | "queued" => Some(Color::Yellow),
        _ => None,
    };
    let cell = Cell::new(text);
    match colour {
        Some(colour) => cell.fg(colour),
        None => cell,
    }
}
