//! JSON for programs.

use super::{Exporter, Show};
use crate::ctl::CtlError;
use crate::ctl::terminal::Terminal;

/// Indented JSON, one document for each thing.
pub(in crate::ctl) struct Json;

impl Exporter for Json {
    fn export<S: Show>(&self, thing: &S, terminal: &mut Terminal) -> Result<(), CtlError> {
        let text = serde_json::to_string_pretty(thing).map_err(std::io::Error::other)?;
        terminal.line(&text)
    }
}
