//! JSON output.

use super::{Exporter, Render};
use crate::ctl::CtlError;
use crate::ctl::terminal::Terminal;

/// Writes each value as one indented JSON document.
pub(in crate::ctl) struct Json;

impl Exporter for Json {
    fn export<S: Render>(&self, value: &S, terminal: &mut Terminal) -> Result<(), CtlError> {
        let text = serde_json::to_string_pretty(value).map_err(std::io::Error::other)?;
        terminal.line(&text)
    }
}
