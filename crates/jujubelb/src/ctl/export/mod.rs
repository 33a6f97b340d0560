//! Output formats of command results.

mod json;
mod table;

use serde::Serialize;

use super::CtlError;
use super::cli::Format;
use super::terminal::Terminal;

pub(super) use json::Json;
pub(super) use table::{Style, Text, format_table};

/// The result of a command: JSON by its `Serialize` implementation, text by this trait.
pub(super) trait Render: Serialize {
    /// Formats the result as text; an empty text prints nothing.
    fn text(&self, style: &Style) -> String;
}

/// An output format.
pub(super) trait Exporter {
    /// Writes one result.
    fn export<S: Render>(&self, value: &S, terminal: &mut Terminal) -> Result<(), CtlError>;
}

/// Writes one result in the given format.
pub(super) fn export<S: Render>(
    format: Format,
    value: &S,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    match format {
        Format::Table => Text.export(value, terminal),
        Format::Json => Json.export(value, terminal),
    }
}
