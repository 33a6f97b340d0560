//! `jujubectl events`: lists decisions that match a filter.

use indexmap::IndexMap;
use serde::Serialize;

use super::note_missing_sources;
use crate::config::{Config, declare};
use crate::ctl::cli::Events;
use crate::ctl::client::Client;
use crate::ctl::export::{Render, Style, export};
use crate::ctl::options::Options;
use crate::ctl::terminal::Terminal;
use crate::ctl::{CtlError, explain};
use crate::model::{
    Action, Cause, DomainName, JobName, Record, ShardName, Subject, TeamName, WorkerName,
};
use crate::operator::api::{self, ConfigView, RecordsView, TasksView};

#[derive(Serialize)]
#[serde(transparent)]
struct DecisionList(RecordsView);

impl Render for DecisionList {
    fn text(&self, _: &Style) -> String {
        let lines: Vec<String> = self.0.records.iter().map(explain::line).collect();
        match lines.is_empty() {
            true => "no decisions".into(),
            false => lines.join("\n"),
        }
    }
}

/// Selects records; an absent criterion matches all.
#[derive(Debug, Default)]
pub(in crate::ctl) struct Filter {
    pub(in crate::ctl) action: Option<Action>,
    pub(in crate::ctl) cause: Option<Cause>,
    pub(in crate::ctl) team: Option<TeamName>,
    pub(in crate::ctl) domain: Option<DomainName>,
    /// Teams of the declared jobs and, with `team`, of the jobs that have tasks.
    pub(in crate::ctl) jobs: IndexMap<JobName, TeamName>,
    /// The active configuration, which gives the domain of workers, shards and endpoints.
    pub(in crate::ctl) config: Config,
}

impl Filter {
    fn new(args: &Events) -> Result<Self, CtlError> {
        let action = parse_option(&args.action, explain::parse_action, |text| {
            format!("there is no action `{text}`; actions are for example start, evict, refuse")
        })?;
        let cause = parse_option(&args.cause, explain::parse_cause, |text| {
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

    /// Whether a record meets all criteria.
    pub(in crate::ctl) fn matches(&self, record: &Record) -> bool {
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

    /// The domain of the subject, or else of the place, or else of the deciding shard.
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

fn parse_option<T>(
    text: &Option<String>,
    parser: impl Fn(&str) -> Option<T>,
    usage_error: impl Fn(&str) -> String,
) -> Result<Option<T>, CtlError> {
    match text {
        None => Ok(None),
        Some(text) => parser(text)
            .map(Some)
            .ok_or_else(|| CtlError::Usage(usage_error(text))),
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
    let loaded = load_context(&mut filter, &client);
    progress.finish_and_clear();
    let mut view = view?;
    loaded?;
    view.records.retain(|r| filter.matches(r));
    view.records
        .sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
    note_missing_sources(&view.sources, terminal);
    export(options.format, &DecisionList(view), terminal)
}

/// Fetches the configuration and tasks that the filters by team and domain need.
fn load_context(filter: &mut Filter, client: &Client) -> Result<(), CtlError> {
    if filter.team.is_none() && filter.domain.is_none() {
        return Ok(());
    }
    let view: ConfigView = client.get(api::CONFIG, &[])?;
    // Without a configuration that this version can parse, the filters match fewer records.
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
