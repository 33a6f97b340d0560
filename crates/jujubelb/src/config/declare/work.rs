//! Teams, limits, jobs and watchers.

use super::draft::{Draft, Kind};
use super::fields::Fields;
use super::pattern::Numbers;
use super::tree::Node;
use crate::config::{Limits, Team};
use crate::model::{
    ClassName, DomainName, JobName, JobSpec, Priority, TaskKind, TaskSpec, TeamName,
};

const TEAM: [&str; 3] = ["name", "quota", "weight"];
const QUOTA: [&str; 3] = ["cpu", "memory", "accelerators"];
const LIMITS: [&str; 4] = ["rate", "link", "task", "tasks"];
const JOB: [&str; 12] = [
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
const WATCHER: [&str; 10] = [
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

/// All fields, to compare them with the page.
#[cfg(test)]
pub(super) const FIELDS: [&[&str]; 5] = [&TEAM, &QUOTA, &LIMITS, &JOB, &WATCHER];

pub(super) fn team(draft: &mut Draft, node: &Node) {
    let Some(fields) = Fields::open(node, "team", &TEAM, &mut draft.problems) else {
        return;
    };
    let name = draft.named(Kind::Team, &fields, Numbers::default());
    let quota = fields
        .need("quota", &mut draft.problems)
        .and_then(|node| Fields::open(node, "quota", &QUOTA, &mut draft.problems))
        .map(|inner| inner.resources(true, &mut draft.problems));
    let weight = fields.count("weight", 1..=1_000, 1, &mut draft.problems) as u32;
    if let (Some(name), Some(quota)) = (name, quota) {
        let team = Team { quota, weight };
        draft.config.teams.insert(TeamName::new(name), team);
    }
}

pub(super) fn limits(draft: &mut Draft, node: &Node) {
    if let Some(first) = draft.limits {
        let place = draft.problems.place(first);
        let message = format!("`limits` are declared twice, first at {place}");
        let remedy = "keep them in one file";
        draft.problems.push(node.at, message, remedy);
        return;
    }
    draft.limits = Some(node.at);
    let Some(fields) = Fields::open(node, "limits", &LIMITS, &mut draft.problems) else {
        return;
    };
    let base = Limits::default();
    let problems = &mut draft.problems;
    let task = fields
        .get("task")
        .and_then(|node| Fields::open(node, "limit of a task", &QUOTA, problems))
        .map_or(base.task, |inner| inner.resources(true, problems));
    draft.config.limits = Limits {
        rate: fields.count("rate", 0..=1_000_000, base.rate.into(), problems) as u32,
        link: fields.rate("link", problems).unwrap_or(base.link),
        task,
        tasks: fields.count("tasks", 1..=1_000_000, base.tasks.into(), problems) as u32,
    };
}

pub(super) fn job(draft: &mut Draft, node: &Node) {
    let Some(fields) = Fields::open(node, "job", &JOB, &mut draft.problems) else {
        return;
    };
    let kind = match word(draft, &fields, "kind", &["batch", "check"]) {
        Some("check") => TaskKind::Check,
        _ => TaskKind::Batch,
    };
    fields.need("duration", &mut draft.problems);
    finish(draft, &fields, kind);
}

pub(super) fn watcher(draft: &mut Draft, node: &Node) {
    if let Some(fields) = Fields::open(node, "watcher", &WATCHER, &mut draft.problems) {
        finish(draft, &fields, TaskKind::Watcher);
    }
}

fn finish(draft: &mut Draft, fields: &Fields<'_>, kind: TaskKind) {
    let none = Numbers::default();
    let name = draft.named(Kind::Job, fields, none);
    let team = draft.need_reference(Kind::Team, "team", fields, none);
    let tasks = fields.count("tasks", 1..=1_000_000, 1, &mut draft.problems) as u32;
    let class = class(draft, fields, name.as_deref());
    let priority = match word(draft, fields, "priority", &["urgent", "batch"]) {
        Some("urgent") => Priority::Urgent,
        Some(_) => Priority::Batch,
        None if kind == TaskKind::Check => Priority::Urgent,
        None => Priority::Batch,
    };
    let task = TaskSpec {
        kind,
        class,
        priority,
        size: fields.resources(true, &mut draft.problems),
        duration: fields.span("duration", &mut draft.problems),
        domains: domains(draft, fields),
        reclaimable: fields.flag("reclaimable", &mut draft.problems),
    };
    if let (Some(name), Some(team)) = (name, team) {
        let spec = JobSpec {
            name: JobName::new(name),
            team: TeamName::new(team),
            tasks,
            task,
        };
        draft.config.jobs.insert(spec.name.clone(), spec);
    }
}

/// The class of a job, by default its own name.
fn class(draft: &mut Draft, fields: &Fields<'_>, name: Option<&str>) -> ClassName {
    match fields.text("class", &mut draft.problems) {
        Some((at, class)) if draft.is_name(Kind::Job, class, at) => ClassName::from(class),
        _ => ClassName::from(name.unwrap_or_default()),
    }
}

fn domains(draft: &mut Draft, fields: &Fields<'_>) -> Vec<DomainName> {
    let names = fields.texts("domains", &mut draft.problems);
    for (at, name) in &names {
        draft.refer(Kind::Domain, name, *at);
    }
    names
        .iter()
        .map(|(_, name)| DomainName::from(*name))
        .collect()
}

/// One of some words; reports anything else.
fn word<'a>(
    draft: &mut Draft,
    fields: &Fields<'a>,
    field: &str,
    words: &[&str],
) -> Option<&'a str> {
    let (at, text) = fields.text(field, &mut draft.problems)?;
    if words.contains(&text) {
        return Some(text);
    }
    let message = format!("`{field}` can't be `{}`", super::fields::printable(text));
    let remedy = format!("write one of: {}", words.join(", "));
    draft.problems.push(at, message, remedy);
    None
}
