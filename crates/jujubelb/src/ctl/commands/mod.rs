//! The commands, one module each.

mod apply;
mod check;
mod completions;
mod confirm_dead;
mod diff;
mod domain;
mod drain;
mod dump;
mod events;
mod get;
mod tasks;
mod top;
mod why;

use super::CtlError;
use super::cli::Command;
use super::options::Options;
use super::terminal::Terminal;
use crate::operator::api::Source;

#[cfg(test)]
pub(super) use events::Filter;
#[cfg(test)]
pub(super) use tasks::TaskList;
#[cfg(test)]
pub(super) use top::Overview;

/// Runs the command given on the command line.
pub(super) fn run(
    command: &Command,
    options: &Options,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    match command {
        Command::Check(args) => check::run(args, options, terminal),
        Command::Diff(args) => diff::run(args, options, terminal),
        Command::Apply(args) => apply::run(args, options, terminal),
        Command::Get(args) => get::run(args, options, terminal),
        Command::Domain(args) => domain::run(args, options, terminal),
        Command::Drain(args) => drain::run(args, options, terminal),
        Command::Tasks(args) => tasks::run(args, options, terminal),
        Command::Why(args) => why::run(args, options, terminal),
        Command::Events(args) => events::run(args, options, terminal),
        Command::Top(args) => top::run(args, options, terminal),
        Command::Dump(args) => dump::run(args, options, terminal),
        Command::ConfirmDead(args) => confirm_dead::run(args, options, terminal),
        Command::Completions(args) => completions::run(args, terminal),
    }
}

/// Names on standard error the processes that did not answer, because the
/// output is incomplete without them.
fn note_missing_sources(sources: &[Source], terminal: &mut Terminal) {
    let silent = sources.iter().filter(|s| !s.answered);
    let names: Vec<&str> = silent.map(|s| s.node.as_str()).collect();
    if !names.is_empty() {
        let text = format!("note: incomplete; no answer from {}", names.join(", "));
        terminal.note(&text);
    }
}
