//! What changes from one configuration to another, and which changes are unsafe.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use super::{Config, format};
use crate::model::{Bytes, Millicores, RackName, ShardName, Span, WorkerName};

/// A field with its values before and after.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Path of the field, for example `quota.cpu`.
    pub field: String,
    /// Value before.
    pub from: String,
    /// Value after.
    pub to: String,
}

/// What happened to a thing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// These fields changed.
    Changed(Vec<FieldChange>),
}

/// One thing that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Sort of thing, for example `worker`.
    pub kind: &'static str,
    /// Its name.
    pub name: String,
    /// What happened to it.
    pub change: Change,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name) = (self.kind, &self.name);
        match &self.change {
            Change::Added => write!(f, "+ {kind} {name}"),
            Change::Removed => write!(f, "- {kind} {name}"),
            Change::Changed(fields) => {
                let show = |c: &FieldChange| format!("{} {} -> {}", c.field, c.from, c.to);
                let list: Vec<String> = fields.iter().map(show).collect();
                write!(f, "~ {kind} {name}: {}", list.join("; "))
            }
        }
    }
}

/// All differences, by kind in the order of declaration.
pub fn diff(old: &Config, new: &Config) -> Vec<Difference> {
    let (old, new) = (things(old), things(new));
    let mut out = Vec::new();
    for (key, before) in &old {
        match new.get(key) {
            None => out.push(difference(key, Change::Removed)),
            Some(after) if after != before => {
                let mut fields = Vec::new();
                compare("", before, after, &mut fields);
                out.push(difference(key, Change::Changed(fields)));
            }
            Some(_) => {}
        }
    }
    let added = new.keys().filter(|key| !old.contains_key(*key));
    out.extend(added.map(|key| difference(key, Change::Added)));
    let order = |d: &Difference| KINDS.iter().position(|k| *k == d.kind);
    out.sort_by_key(order);
    out
}

/// Kinds in the order in which they are shown.
const KINDS: [&str; 10] = [
    "region", "domain", "host", "rack", "worker", "service", "endpoint", "team", "job", "limits",
];

type Key = (&'static str, String);

fn difference((kind, name): &Key, change: Change) -> Difference {
    Difference {
        kind,
        name: name.clone(),
        change,
    }
}

/// Everything with a name, as plain values.
fn things(config: &Config) -> IndexMap<Key, Value> {
    let mut out = IndexMap::new();
    let mut put = |kind, name: &dyn fmt::Display, value: Value| {
        out.insert((kind, name.to_string()), value);
    };
    for name in &config.regions {
        put("region", name, Value::Null);
    }
    for (name, domain) in &config.domains {
        put("domain", name, value(domain));
    }
    for (name, host) in &config.hosts {
        put("host", name, value(host));
    }
    for (name, rack) in &config.racks {
        let drained = config.drained.racks.contains(name);
        put("rack", name, with_drained(value(rack), drained));
    }
    for (name, worker) in &config.workers {
        let drained = config.drained.workers.contains(name);
        put("worker", name, with_drained(value(worker), drained));
    }
    for (name, service) in &config.services {
        let mut own = value(service);
        if let Value::Object(map) = &mut own {
            map.remove("endpoints");
        }
        put("service", name, own);
        for (name, endpoint) in &service.endpoints {
            put("endpoint", name, value(endpoint));
        }
    }
    for (name, team) in &config.teams {
        put("team", name, value(team));
    }
    for (name, job) in &config.jobs {
        put("job", name, value(job));
    }
    put("limits", &"of the deployment", value(&config.limits));
    out
}

/// Plain structs with text keys always serialize; a failure would show as null.
fn value(thing: &impl Serialize) -> Value {
    serde_json::to_value(thing).unwrap_or_default()
}

fn with_drained(mut value: Value, drained: bool) -> Value {
    if let Value::Object(map) = &mut value {
        map.insert("drained".into(), drained.into());
    }
    value
}

fn compare(path: &str, old: &Value, new: &Value, out: &mut Vec<FieldChange>) {
    if let (Value::Object(a), Value::Object(b)) = (old, new) {
        for (key, before) in a {
            let path = match path {
                "" => key.clone(),
                path => format!("{path}.{key}"),
            };
            compare(&path, before, b.get(key).unwrap_or(&Value::Null), out);
        }
    } else if old != new {
        out.push(FieldChange {
            field: path.to_owned(),
            from: leaf(path, old),
            to: leaf(path, new),
        });
    }
}

/// A value for people, with the unit that belongs to its field.
fn leaf(path: &str, value: &Value) -> String {
    let field = path.rsplit('.').next().unwrap_or(path);
    match (field, value) {
        ("cpu", Value::Number(n)) => format::cores(Millicores(n.as_u64().unwrap_or(0))),
        ("memory" | "body", Value::Number(n)) => format::bytes(Bytes(n.as_u64().unwrap_or(0))),
        ("link", Value::Number(n)) => format::bytes(Bytes(n.as_u64().unwrap_or(0))) + "/s",
        ("deadline" | "duration", Value::Number(n)) => {
            Span::from_micros(n.as_u64().unwrap_or(0)).to_string()
        }
        (_, Value::String(text)) => text.clone(),
        (_, Value::Null) => "none".into(),
        (_, value) => value.to_string(),
    }
}

/// A change that could make a task run twice or lose it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UnsafeChange {
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for UnsafeChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {}", self.message, self.remedy)
    }
}

/// The changes that may not be applied.
///
/// A task runs in one place because one shard owner commands each worker and
/// waits for the worker's lease before it starts the task elsewhere. A worker
/// that changes its shard or its address, or disappears while it is in service,
/// breaks that chain. It has to be drained, or its domain has to be out, in the
/// configuration that is in force *before* the change.
pub fn unsafe_changes(old: &Config, new: &Config) -> Vec<UnsafeChange> {
    let mut out = Vec::new();
    racks(old, new, &mut out);
    workers(old, new, &mut out);
    addresses(old, new, &mut out);
    shards(old, new, &mut out);
    domains(old, new, &mut out);
    jobs(old, new, &mut out);
    out
}

const DRAIN_FIRST: &str =
    "apply it with `drained: true` first, or take the domain out, and apply this change afterwards";

fn push(out: &mut Vec<UnsafeChange>, message: String, remedy: impl Into<String>) {
    let remedy = remedy.into();
    out.push(UnsafeChange { message, remedy });
}

/// A rack stays in its shard while it has workers.
fn racks(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
    for (name, rack) in &old.racks {
        let moved = new.racks.get(name).filter(|r| r.shard != rack.shard);
        if let Some(other) = moved
            && has_workers(old, name)
        {
            let message = format!(
                "rack {name} has workers and would move from shard {} to {}",
                rack.shard, other.shard
            );
            let remedy = "remove its drained workers in one change and move the rack in the next";
            push(out, message, remedy);
        }
    }
}

fn has_workers(config: &Config, rack: &RackName) -> bool {
    config.workers.values().any(|w| &w.rack == rack)
}

/// A worker in service stays, with its shard and its address.
fn workers(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
    for (name, worker) in &old.workers {
        let Some(after) = new.workers.get(name) else {
            if old.may_start_on(name) {
                push(
                    out,
                    format!("worker {name} is in service and would be removed"),
                    DRAIN_FIRST,
                );
            }
            continue;
        };
        let (from, to) = (old.shard_of(name), new.shard_of(name));
        if from != to && worker.rack != after.rack {
            let message = format!(
                "worker {name} would move from shard {} to {}",
                text(from),
                text(to)
            );
            let remedy = "drain it, remove it in one change and add it again in the next";
            push(out, message, remedy);
        } else if worker.address != after.address && old.may_start_on(name) {
            let message = format!(
                "worker {name} is in service and its address would change from {} to {}, \
                 so tasks on the former host would be out of sight",
                worker.address, after.address
            );
            push(out, message, DRAIN_FIRST);
        }
    }
}

fn text(shard: Option<&ShardName>) -> &str {
    shard.map_or("none", ShardName::as_str)
}

/// A host does not go to a worker of another shard in one step.
fn addresses(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
    let users: IndexMap<_, &WorkerName> = old.workers.iter().map(|(n, w)| (w.address, n)).collect();
    for (name, worker) in &new.workers {
        let Some(former) = users.get(&worker.address).filter(|f| **f != name) else {
            continue;
        };
        let (from, to) = (old.shard_of(former), new.shard_of(name));
        if from != to {
            let message = format!(
                "the host {} of worker {former} would become worker {name} of another shard",
                worker.address
            );
            let remedy = format!("remove {former} in one change and add {name} in the next");
            push(out, message, remedy);
        }
    }
}

/// A shard in service stays in its domain: its log holds accepted tasks.
fn shards(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
    for (name, shard) in &old.shards {
        let drained = shard.racks.iter().all(|r| old.drained.racks.contains(r));
        match new.shards.get(name) {
            None if old.in_service(&shard.domain) && !drained => {
                let message = format!("shard {name} is in service and would be removed");
                push(out, message, DRAIN_FIRST);
            }
            Some(after) if after.domain != shard.domain => {
                let message = format!(
                    "shard {name} would move from domain {} to {}",
                    shard.domain, after.domain
                );
                push(out, message, "declare the racks with a new shard");
            }
            _ => {}
        }
    }
}

/// A domain that is in service and not empty stays.
fn domains(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
    for name in old.domains.keys() {
        if new.domains.contains_key(name) || !old.in_service(name) {
            continue;
        }
        let used = old.racks.values().any(|r| &r.domain == name)
            || old.hosts.values().any(|h| &h.domain == name)
            || old
                .services
                .values()
                .flat_map(|s| s.endpoints.values())
                .any(|e| &e.domain == name);
        if used {
            let message = format!("domain {name} is in service and would be removed");
            let remedy = format!("run `jujubectl domain out {name}` first");
            push(out, message, remedy);
        }
    }
}

/// A job is accepted under its name with one content.
fn jobs(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
    for (name, job) in &old.jobs {
        if new.jobs.get(name).is_some_and(|after| after != job) {
            let message = format!("job {name} is accepted and its content would change");
            let remedy = "remove it and declare the new content under a new name";
            push(out, message, remedy);
        }
    }
}
