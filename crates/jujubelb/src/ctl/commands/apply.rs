//! `jujubectl apply`: sends changed and removed files as one change.

use indexmap::IndexMap;
use serde::Serialize;

use super::check::validate;
use super::diff::{Differences, merge_files};
use crate::config::declare::OPERATIONS_FILE;
use crate::ctl::cli::Apply;
use crate::ctl::client::Client;
use crate::ctl::export::{Render, Style, export};
use crate::ctl::options::{Options, identity};
use crate::ctl::terminal::Terminal;
use crate::ctl::{CtlError, explain, files};
use crate::model::Revision;
use crate::operator::api::{self, ApplyRequest, ApplyResponse, ConfigView};

/// Output of a change of the configuration: its differences and the resulting revision.
#[derive(Serialize)]
#[serde(transparent)]
pub(super) struct Applied(pub(super) ApplyResponse);

impl Render for Applied {
    fn text(&self, _: &Style) -> String {
        let change = &self.0.change;
        let mut lines = self.0.diff.clone();
        lines.push(match self.0.unchanged {
            true => format!(
                "nothing to change; revision {} is in force",
                change.revision
            ),
            false => format!(
                "revision {} is in force since {} (change {} by {})",
                change.revision,
                explain::time(change.at),
                change.change,
                change.author
            ),
        });
        lines.join("\n")
    }
}

pub(super) fn run(
    args: &Apply,
    options: &Options,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    let files = files::read(&args.paths)?;
    if files.contains_key(OPERATIONS_FILE) || args.remove.iter().any(|n| n == OPERATIONS_FILE) {
        let message =
            format!("{OPERATIONS_FILE} is written by `jujubectl domain` and `jujubectl drain`");
        return Err(CtlError::Usage(message));
    }
    let client = Client::new(options)?;
    let active: ConfigView = client.get(api::CONFIG, &[])?;
    if let Some(name) = args.remove.iter().find(|n| !active.files.contains_key(*n)) {
        let message = format!("no file {name} is in force; `jujubectl get` lists them");
        return Err(CtlError::Usage(message));
    }
    let merged = merge_files(&active.files, &files, &args.remove);
    let new = validate(&merged, options, terminal)?;
    if args.dry_run {
        let old = validate(&active.files, options, terminal)?;
        return export(options.format, &Differences::new(&old, &new), terminal);
    }
    let revision = active.change.map(|c| c.revision).unwrap_or_default();
    let (change, author) = identity(&args.identity);
    let mut edits: IndexMap<_, _> = files.into_iter().map(|(n, t)| (n, Some(t))).collect();
    edits.extend(args.remove.iter().map(|n| (n.clone(), None)));
    let request = ApplyRequest {
        change: change.clone(),
        author,
        expected: args.expected.map_or(revision, Revision),
        files: edits,
    };
    let progress = terminal.progress("applying");
    let answer = client.post(api::APPLY, &[], &request, &lost_response_remedy(&change));
    progress.finish_and_clear();
    export(options.format, &Applied(answer?), terminal)
}

/// Tells the operator how to find out or repeat a change whose response was lost.
pub(super) fn lost_response_remedy(change: &str) -> String {
    format!(
        "the change {change} may have taken effect; repeat the command with \
         `--change {change}`, or look at `jujubectl get`"
    )
}
