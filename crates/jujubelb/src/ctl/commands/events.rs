//! `jujubectl events`.

use indexmap::IndexMap;
use serde::Serialize;

use super::note_sources;
use crate::config::{Config, declare};
use crate::ctl::cli::Events;
use crate::ctl::client::Client;
use crate::ctl::export::{Show, Style, export};
use crate::ctl::options::Options;
use crate::ctl::terminal::Terminal;
use crate::ctl::{CtlError, explain};
use crate::model::{
    Action, Cause, DomainName, JobName, Record, ShardName, Subject, TeamName, WorkerName,
};
use crate::operator::api::{self, ConfigView, RecordsView, TasksView};

#[derive(Serialize)]
#[serde(transparent)]
struct List(RecordsView);

impl Show for List {
    fn text(&self, _: &Style) -> String {
        let lines: Vec<String> = self.0.records.iter().map(explain::line).collect();
        match lines.is_empty() {
            true => "no decisions".into(),
            false => lines.join("\n"),
        }
    }
}

/// Which records to show.
#[derive(Debug, Default)]
pub(in crate::ctl) struct Filter {
    pub(in crate::ctl) action: Option<Action>,
    pub(in crate::ctl) cause: Option<Cause>,
    pub(in crate::ctl) team: Option<TeamName>,
    pub(in crate::ctl) domain: Option<DomainName>,
    /// Declared and known jobs with their teams.
    pub(in crate::ctl) jobs: IndexMap<JobName, TeamName>,
    /// The configuration in force, which tells where things stand.
    pub(in crate::ctl) config: Config,
}

impl Filter {
    fn new(args: &Events) -> Result<Self, CtlError> {
        let action = parse(&args.action, explain::parse_action, |text| {
            format!("there is no action `{text}`; actions are for example start, evict, refuse")
        })?;
        let cause = parse(&args.cause, explain::parse_cause, |text| {
            format!("there is no cause `{text}`; docs/result-codes.md lists all")
        })?;
        Ok(Self {
            action,
            cause,
            team: args.team.as_deref().map(TeamName::from),
            domain: args.domain.as_deref().map(DomainName::from),
            ..Self::default()
        })
    }

    /// Whether a record is to be shown.
    pub(in crate::ctl) fn is_wanted(&self, record: &Record) -> bool {
        self.action.is_none_or(|a| a == record.action)
            && self.cause.is_none_or(|c| c == record.cause)
            && (self.team.is_none() || self.team_of(record) == self.team.as_ref())
            && (self.domain.is_none() || self.domain_of(record) == self.domain.as_ref())
    }

    fn team_of<'a>(&'a self, record: &'a Record) -> Option<&'a TeamName> {
        match &record.subject {
            Subject::Team(team) => Some(team),
            Subject::Task(task) => self.jobs.get(&task.job),
            Subject::Job(job) => self.jobs.get(job),
            _ => None,
        }
    }

    /// The domain of the subject, else of the place, else of the deciding shard.
    fn domain_of<'a>(&'a self, record: &'a Record) -> Option<&'a DomainName> {
        let config = &self.config;
        let subject = match &record.subject {
            Subject::Domain(domain) => Some(domain),
            Subject::Worker(worker) => config.domain_of(worker),
            Subject::Shard(shard) => self.domain_of_shard(shard),
            Subject::Endpoint(name) => {
                let mut services = config.services.values();
                services.find_map(|s| Some(&s.endpoints.get(name)?.domain))
            }
            _ => None,
        };
        let place = || {
            let place = record.place.as_ref()?.as_str();
            let worker = config.domain_of(&WorkerName::from(place));
            worker.or_else(|| self.domain_of_shard(&ShardName::from(place)))
        };
        let shard = || self.domain_of_shard(&record.shard.as_ref()?.0);
        subject.or_else(place).or_else(shard)
    }

    fn domain_of_shard(&self, shard: &ShardName) -> Option<&DomainName> {
        Some(&self.config.shards.get(shard)?.domain)
    }
}

fn parse<T>(
    text: &Option<String>,
    read: impl Fn(&str) -> Option<T>,
    wrong: impl Fn(&str) -> String,
) -> Result<Option<T>, CtlError> {
    match text {
        None => Ok(None),
        Some(text) => read(text)
            .map(Some)
            .ok_or_else(|| CtlError::Usage(wrong(text))),
    }
}

pub(super) fn run(
    args: &Events,
    options: &Options,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    let mut filter = Filter::new(args)?;
    let client = Client::new(options)?;
    let progress = terminal.progress("collecting records");
    let since = args.since.as_secs().max(1).to_string();
    let view = client.get::<RecordsView>(api::RECORDS, &[("since", since)]);
    let known = learn(&mut filter, &client);
    progress.finish_and_clear();
    let mut view = view?;
    known?;
    view.records.retain(|r| filter.is_wanted(r));
    view.records
        .sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
    note_sources(&view.sources, terminal);
    export(options.format, &List(view), terminal)
}

/// Asks for what the filters by team and domain need.
fn learn(filter: &mut Filter, client: &Client) -> Result<(), CtlError> {
    if filter.team.is_none() && filter.domain.is_none() {
        return Ok(());
    }
    let view: ConfigView = client.get(api::CONFIG, &[])?;
    // A set that this version can't read leaves the filters with less knowledge.
    filter.config = declare::check(&view.files).unwrap_or_default();
    let declared = filter.config.jobs.values();
    filter.jobs = declared.map(|j| (j.name.clone(), j.team.clone())).collect();
    if filter.team.is_some() {
        let tasks: TasksView = client.get(api::TASKS, &[])?;
        let known = tasks.tasks.into_iter().map(|t| (t.task.job, t.team));
        filter.jobs.extend(known);
    }
    Ok(())
}
