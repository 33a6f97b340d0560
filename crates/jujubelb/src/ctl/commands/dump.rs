//! `jujubectl dump`: writes the state of all processes.

use super::note_missing_sources;
use crate::ctl::CtlError;
use crate::ctl::cli::Dump;
use crate::ctl::client::Client;
use crate::ctl::options::Options;
use crate::ctl::terminal::Terminal;
use crate::operator::api::{self, DumpView};

/// Writes JSON in every output format, as a dump has no table.
pub(super) fn run(args: &Dump, options: &Options, terminal: &mut Terminal) -> Result<(), CtlError> {
    let client = Client::new(options)?;
    let progress = terminal.progress("collecting the state of all processes");
    let view = client.get::<DumpView>(api::DUMP, &[]);
    progress.finish_and_clear();
    let view = view?;
    note_missing_sources(&view.sources, terminal);
    let text = serde_json::to_string_pretty(&view).map_err(std::io::Error::other)?;
    let Some(path) = &args.output else {
        return terminal.line(&text);
    };
    std::fs::write(path, text + "\n").map_err(|error| CtlError::File {
        path: path.clone(),
        error,
    })
}
