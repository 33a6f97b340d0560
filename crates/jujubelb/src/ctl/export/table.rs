//! Text for people.

use comfy_table::{Attribute, Cell, Color, ContentArrangement, Table, presets};

use super::{Exporter, Show};
use crate::ctl::CtlError;
use crate::ctl::terminal::Terminal;

/// What the output can show.
#[derive(Debug, Clone, Copy)]
pub(in crate::ctl) struct Style {
    /// Whether colours are shown.
    pub(in crate::ctl) colour: bool,
    /// Columns.
    pub(in crate::ctl) width: u16,
}

/// Text for people.
pub(in crate::ctl) struct Text;

impl Exporter for Text {
    fn export<S: Show>(&self, thing: &S, terminal: &mut Terminal) -> Result<(), CtlError> {
        let style = Style {
            colour: terminal.colour,
            width: terminal.width,
        };
        let text = thing.text(&style);
        match text.is_empty() {
            true => Ok(()),
            false => terminal.line(text.trim_end()),
        }
    }
}

/// A table without lines. Cells wrap when the width is used up.
pub(in crate::ctl) fn grid(style: &Style, header: &[&str], rows: Vec<Vec<String>>) -> String {
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
        table.add_row(row.into_iter().map(mark));
    }
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    let lines = table.lines().map(|line| line.trim_end().to_owned());
    lines.collect::<Vec<_>>().join("\n")
}

/// Marks states that need attention.
fn mark(text: String) -> Cell {
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
