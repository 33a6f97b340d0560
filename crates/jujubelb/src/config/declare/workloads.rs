//! Declarations of teams, limits, jobs and watchers.

use super::builder::{ConfigBuilder, Kind};
use super::fields::Fields;
use super::pattern::Numbers;
use super::yaml::Node;
use crate::config::{Limits, Team};
use crate::model::{
    ClassName, DomainName, JobName, JobSpec, Priority, TaskKind, TaskSpec, TeamName,
};

const TEAM_FIELDS: [&str; 3] = ["name", "quota", "weight"];
const QUOTA_FIELDS: [&str; 3] = ["cpu", "memory", "accelerators"];
const LIMITS_FIELDS: [&str; 4] = ["rate", "link", "task", "tasks"];
const JOB_FIELDS: [&str; 12] = [
    "name",
    "team",
    "tasks",
    "kind",
    "class",
    "priority",
    "cpu",
    "memory",
    "accelerators",
    "duration",
    "domains",
    "reclaimable",
];
const WATCHER_FIELDS: [&str; 10] = [
    "name",
    "team",
    "tasks",
    "class",
    "priority",
    "cpu",
    "memory",
    "accelerators",
    "domains",
    "reclaimable",
];

/// All fields, to check that the documentation lists them.
#[cfg(test)]
pub(super) const ALL_FIELDS: [&[&str]; 5] = [
    &TEAM_FIELDS,
    &QUOTA_FIELDS,
    &LIMITS_FIELDS,
    &JOB_FIELDS,
    &WATCHER_FIELDS,
];

pub(super) fn team(builder: &mut ConfigBuilder, node: &Node) {
    let Some(fields) = Fields::open(node, "team", &TEAM_FIELDS, &mut builder.problems) else {
        return;
    };
    let name = builder.read_name(Kind::Team, &fields, Numbers::default());
    let quota = fields
        .require("quota", &mut builder.problems)
        .and_then(|node| Fields::open(node, "quota", &QUOTA_FIELDS, &mut builder.problems))
        .map(|inner| inner.resources(true, &mut builder.problems));
    let weight = fields.integer("weight", 1..=1_000, 1, &mut builder.problems) as u32;
    if let (Some(name), Some(quota)) = (name, quota) {
        let team = Team { quota, weight };
        builder.config.teams.insert(TeamName::new(name), team);
    }
}

pub(super) fn limits(builder: &mut ConfigBuilder, node: &Node) {
    if let Some(first) = builder.limits {
        let place = builder.problems.location(first);
        let message = format!("`limits` is declared twice, first at {place}");
        let remedy = "merge them into one section";
        builder.problems.push(node.at, message, remedy);
        return;
    }
    builder.limits = Some(node.at);
    let Some(fields) = Fields::open(node, "limits", &LIMITS_FIELDS, &mut builder.problems) else {
        return;
    };
    let base = Limits::default();
    let problems = &mut builder.problems;
    let task = fields
        .get("task")
        .and_then(|node| Fields::open(node, "task limit", &QUOTA_FIELDS, problems))
        .map_or(base.task, |inner| inner.resources(true, problems));
    builder.config.limits = Limits {
        rate: fields.integer("rate", 0..=1_000_000, base.rate.into(), problems) as u32,
        link: fields.rate("link", problems).unwrap_or(base.link),
        task,
        tasks: fields.integer("tasks", 1..=1_000_000, base.tasks.into(), problems) as u32,
    };
}

pub(super) fn job(builder: &mut ConfigBuilder, node: &Node) {
    let Some(fields) = Fields::open(node, "job", &JOB_FIELDS, &mut builder.problems) else {
        return;
    };
    let kind = match one_of(builder, &fields, "kind", &["batch", "check"]) {
        Some("check") => TaskKind::Check,
        _ => TaskKind::Batch,
    };
    fields.require("duration", &mut builder.problems);
    add_job(builder, &fields, kind);
}

pub(super) fn watcher(builder: &mut ConfigBuilder, node: &Node) {
    if let Some(fields) = Fields::open(node, "watcher", &WATCHER_FIELDS, &mut builder.problems) {
        add_job(builder, &fields, TaskKind::Watcher);
    }
}

/// Adds a job or watcher with the fields that both have.
fn add_job(builder: &mut ConfigBuilder, fields: &Fields<'_>, kind: TaskKind) {
    let none = Numbers::default();
    let name = builder.read_name(Kind::Job, fields, none);
    let team = builder.require_reference(Kind::Team, "team", fields, none);
    let tasks = fields.integer("tasks", 1..=1_000_000, 1, &mut builder.problems) as u32;
    let class = class(builder, fields, name.as_deref());
    let priority = match one_of(builder, fields, "priority", &["urgent", "batch"]) {
        Some("urgent") => Priority::Urgent,
        Some(_) => Priority::Batch,
        None if kind == TaskKind::Check => Priority::Urgent,
        None => Priority::Batch,
    };
    let task = TaskSpec {
        kind,
        class,
        priority,
        size: fields.resources(true, &mut builder.problems),
        duration: fields.span("duration", &mut builder.problems),
        domains: domains(builder, fields),
        reclaimable: fields.flag("reclaimable", &mut builder.problems),
    };
    if let (Some(name), Some(team)) = (name, team) {
        let spec = JobSpec {
            name: JobName::new(name),
            team: TeamName::new(team),
            tasks,
            task,
        };
        builder.config.jobs.insert(spec.name.clone(), spec);
    }
}

/// Reads the class of a job; its own name by default.
fn class(builder: &mut ConfigBuilder, fields: &Fields<'_>, name: Option<&str>) -> ClassName {
    match fields.text("class", &mut builder.problems) {
        Some((at, class)) if builder.check_name(Kind::Job, class, at) => ClassName::from(class),
        _ => ClassName::from(name.unwrap_or_default()),
    }
}

fn domains(builder: &mut ConfigBuilder, fields: &Fields<'_>) -> Vec<DomainName> {
    let names = fields.texts("domains", &mut builder.problems);
    for (at, name) in &names {
        builder.add_reference(Kind::Domain, name, *at);
    }
    names
        .iter()
        .map(|(_, name)| DomainName::from(*name))
        .collect()
}

/// Reads an optional keyword; reports one that is not in `words`.
fn one_of<'a>(
    builder: &mut ConfigBuilder,
    fields: &Fields<'a>,
    field: &str,
    words: &[&str],
) -> Option<&'a str> {
    let (at, text) = fields.text(field, &mut builder.problems)?;
    if words.contains(&text) {
        return Some(text);
    }
    let message = format!(
        "`{}` is not a valid `{field}`",
        super::fields::printable(text)
    );
    let remedy = format!("use one of {}", words.join(", "));
    builder.problems.push(at, message, remedy);
    None
}
