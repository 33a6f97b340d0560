//! Output formats behind one small trait.

mod json;
mod table;

use serde::Serialize;

use super::CtlError;
use super::cli::Format;
use super::terminal::Terminal;

pub(super) use json::Json;
pub(super) use table::{Style, Text, grid};

/// Something that a command shows.
pub(super) trait Show: Serialize {
    /// The text for people.
    fn text(&self, style: &Style) -> String;
}

/// An output format.
pub(super) trait Exporter {
    /// Writes one thing.
    fn export<S: Show>(&self, thing: &S, terminal: &mut Terminal) -> Result<(), CtlError>;
}

/// Writes one thing in the chosen format.
pub(super) fn export<S: Show>(
    format: Format,
    thing: &S,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    match format {
        Format::Table => Text.export(thing, terminal),
        Format::Json => Json.export(thing, terminal),
    }
}
