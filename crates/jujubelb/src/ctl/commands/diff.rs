//! `jujubectl diff`: compares two sets of files, or files with the active configuration.

use serde::Serialize;

use super::check::validate;
use crate::config::Config;
use crate::config::declare::Files;
use crate::config::diff::{Difference, UnsafeChange, diff, unsafe_changes};
use crate::ctl::cli::Diff;
use crate::ctl::client::Client;
use crate::ctl::export::{Render, Style, export};
use crate::ctl::options::Options;
use crate::ctl::terminal::Terminal;
use crate::ctl::{CtlError, files};
use crate::operator::api::{self, ConfigView};

/// Differences between two configurations, and those that the server would refuse.
#[derive(Serialize)]
pub(super) struct Differences {
    pub(super) differences: Vec<Difference>,
    pub(super) unsafe_changes: Vec<UnsafeChange>,
}

impl Differences {
    pub(super) fn new(old: &Config, new: &Config) -> Self {
        Self {
            differences: diff(old, new),
            unsafe_changes: unsafe_changes(old, new),
        }
    }
}

impl Render for Differences {
    fn text(&self, _: &Style) -> String {
        let mut lines: Vec<String> = self.differences.iter().map(ToString::to_string).collect();
        if lines.is_empty() {
            lines.push("no differences".into());
        }
        let refused = self.unsafe_changes.iter();
        lines.extend(refused.map(|u| format!("! would be refused: {u}")));
        lines.join("\n")
    }
}

pub(super) fn run(args: &Diff, options: &Options, terminal: &mut Terminal) -> Result<(), CtlError> {
    let first = files::read(std::slice::from_ref(&args.first))?;
    let (old, new) = match &args.second {
        Some(second) => {
            let second = files::read(std::slice::from_ref(second))?;
            let old = validate(&first, options, terminal)?;
            (old, validate(&second, options, terminal)?)
        }
        None => {
            let view: ConfigView = Client::new(options)?.get(api::CONFIG, &[])?;
            let old = validate(&view.files, options, terminal)?;
            let merged = merge_files(&view.files, &first, &[]);
            (old, validate(&merged, options, terminal)?)
        }
    };
    let differences = Differences::new(&old, &new);
    export(options.format, &differences, terminal)?;
    match differences.differences.is_empty() {
        true => Ok(()),
        false => Err(CtlError::Differences),
    }
}

/// Returns `base` with the given files added or replaced and the `removed` names left out.
pub(super) fn merge_files(base: &Files, files: &Files, removed: &[String]) -> Files {
    let mut merged = base.clone();
    merged.extend(files.iter().map(|(n, t)| (n.clone(), t.clone())));
    merged.retain(|name, _| !removed.contains(name));
    merged
}
