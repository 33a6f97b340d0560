//! `jujubectl why`: explains the decisions about a subject.

use std::time::Duration;

use indexmap::IndexSet;
use serde::Serialize;

use super::note_missing_sources;
use crate::ctl::CtlError;
use crate::ctl::cli::Why;
use crate::ctl::client::Client;
use crate::ctl::explain::{self, Chain};
use crate::ctl::export::{Render, Style, export};
use crate::ctl::options::Options;
use crate::ctl::terminal::Terminal;
use crate::model::{Action, RecordId};
use crate::operator::api::{self, RecordsView, Source};

/// Interval between two reads with `--follow`.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Age of the oldest records that a repeated read requests, unless `--since` is shorter.
/// Records reach the log with their segment and may be some seconds late.
const REFRESH_LOOKBACK: Duration = Duration::from_secs(60);

#[derive(Serialize)]
struct Explanation {
    sources: Vec<Source>,
    chains: Vec<Chain>,
}

impl Render for Explanation {
    fn text(&self, _: &Style) -> String {
        let mut parts: Vec<String> = self.chains.iter().map(explain::paragraph).collect();
        let answered = self.sources.iter().filter(|s| s.answered);
        for source in answered {
            match source.age {
                Some(age) if age > crate::config::MAX_EVIDENCE_AGE => parts.push(format!(
                    "note: {} was last confirmed {age} ago; it may be cut off",
                    source.node
                )),
                Some(_) => {}
                None => parts.push(format!(
                    "note: {} has no contact to the store; it answers from what it knows",
                    source.node
                )),
            }
        }
        parts.join("\n\n")
    }
}

pub(super) fn run(args: &Why, options: &Options, terminal: &mut Terminal) -> Result<(), CtlError> {
    let client = Client::new(options)?;
    let subject = args.subject.join(" ");
    let progress = terminal.progress("collecting records");
    let view = read_records(&client, &subject, args.since);
    progress.finish_and_clear();
    let view = view?;
    let mut chains = explain::chains(&view.records, &subject);
    // A job is parked after a failure of one of its tasks; the record names the job, not the task.
    let last = chains.last().and_then(|c| c.steps.last());
    let incomplete = last.is_none_or(|r| r.action == Action::Fail) && !args.follow;
    if let Some(job) = explain::job_of(&subject).filter(|_| incomplete) {
        let records = read_records(&client, job, args.since)?.records;
        let job_chains = explain::chains(&records, job);
        if !chains.is_empty() {
            chains.extend(explain::parked(job_chains));
        } else {
            chains = explain::waiting(job_chains);
            if !chains.is_empty() {
                terminal.note(&format!(
                    "no decision about {subject} yet; these concern its job {job}, whose tasks wait for each other"
                ));
            }
        }
    }
    note_missing_sources(&view.sources, terminal);
    if chains.is_empty() && !args.follow {
        let since = humantime::format_duration(args.since);
        terminal.note(&format!(
            "no decision about {subject} in the last {since}; check the name or use a longer --since"
        ));
    }
    let shown: IndexSet<RecordId> = last_steps(&chains).collect();
    let sources = view.sources;
    export(options.format, &Explanation { sources, chains }, terminal)?;
    match args.follow {
        true => follow(args, &subject, &client, options, shown, terminal),
        false => Ok(()),
    }
}

/// Prints new chains until interrupted.
fn follow(
    args: &Why,
    subject: &str,
    client: &Client,
    options: &Options,
    mut shown: IndexSet<RecordId>,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    loop {
        terminal.flush()?;
        std::thread::sleep(REFRESH_INTERVAL);
        let view = read_records(client, subject, args.since.min(REFRESH_LOOKBACK))?;
        let mut chains = explain::chains(&view.records, subject);
        chains.retain(|c| c.steps.last().is_some_and(|r| !shown.contains(&r.id)));
        if chains.is_empty() {
            continue;
        }
        shown.extend(last_steps(&chains));
        terminal.line("")?;
        let sources = view.sources;
        export(options.format, &Explanation { sources, chains }, terminal)?;
    }
}

fn last_steps(chains: &[Chain]) -> impl Iterator<Item = RecordId> {
    chains
        .iter()
        .filter_map(|c| Some(c.steps.last()?.id.clone()))
}

fn read_records(client: &Client, subject: &str, since: Duration) -> Result<RecordsView, CtlError> {
    let since = since.as_secs().max(1).to_string();
    client.get(
        api::RECORDS,
        &[("subject", subject.to_owned()), ("since", since)],
    )
}
