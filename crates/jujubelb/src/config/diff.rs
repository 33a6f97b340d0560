//! Differences between two configurations and detection of unsafe changes.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use super::{Config, format};
use crate::model::{Bytes, Millicores, RackName, ShardName, Span, WorkerName};

/// A changed field with its formatted values before and after.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Path of the field, for example `quota.cpu`.
    pub field: String,
    /// Formatted value before the change.
    pub from: String,
    /// Formatted value after the change.
    pub to: String,
}

/// How an item differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemChange {
    /// The item is only in the new configuration.
    Added,
    /// The item is only in the old configuration.
    Removed,
    /// The item is in both with these changed fields.
    Changed(Vec<FieldChange>),
}

/// An item that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Kind of the item, one of `KINDS`, for example `worker`.
    pub kind: &'static str,
    /// Name of the item.
    pub name: String,
    /// How it differs.
    pub change: ItemChange,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name) = (self.kind, &self.name);
        match &self.change {
            ItemChange::Added => write!(f, "+ {kind} {name}"),
            ItemChange::Removed => write!(f, "- {kind} {name}"),
            ItemChange::Changed(fields) => {
                let show = |c: &FieldChange| format!("{} {} -> {}", c.field, c.from, c.to);
                let list: Vec<String> = fields.iter().map(show).collect();
                write!(f, "~ {kind} {name}: {}", list.join("; "))
            }
        }
    }
}

/// Lists all differences, grouped by kind in the order of `KINDS`.
pub fn diff(old: &Config, new: &Config) -> Vec<Difference> {
    let (old, new) = (named_values(old), named_values(new));
    let mut out = Vec::new();
    for (key, before) in &old {
        match new.get(key) {
            None => out.push(difference(key, ItemChange::Removed)),
            Some(after) if after != before => {
                let mut fields = Vec::new();
                compare("", before, after, &mut fields);
                out.push(difference(key, ItemChange::Changed(fields)));
            }
            Some(_) => {}
        }
    }
    let added = new.keys().filter(|key| !old.contains_key(*key));
    out.extend(added.map(|key| difference(key, ItemChange::Added)));
    let order = |d: &Difference| KINDS.iter().position(|k| *k == d.kind);
    out.sort_by_key(order);
    out
}

/// Kinds of items in the order in which differences are listed.
const KINDS: [&str; 10] = [
    "region", "domain", "host", "rack", "worker", "service", "endpoint", "team", "job", "limits",
];

type Key = (&'static str, String);

fn difference((kind, name): &Key, change: ItemChange) -> Difference {
    Difference {
        kind,
        name: name.clone(),
        change,
    }
}

/// Returns all named items as JSON values, for comparison field by field.
fn named_values(config: &Config) -> IndexMap<Key, Value> {
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
        let mut fields = value(service);
        if let Value::Object(map) = &mut fields {
            map.remove("endpoints");
        }
        put("service", name, fields);
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

/// Converts to JSON. Plain structs with text keys always serialize; a failure would
/// appear as null.
fn value(item: &impl Serialize) -> Value {
    serde_json::to_value(item).unwrap_or_default()
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
            from: format_value(path, old),
            to: format_value(path, new),
        });
    }
}

/// Formats a value with the unit of its field.
fn format_value(path: &str, value: &Value) -> String {
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

/// A change that could run a task twice or lose it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UnsafeChange {
    /// Which change is refused and why.
    pub message: String,
    /// How to make the change safely.
    pub remedy: String,
}

impl fmt::Display for UnsafeChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {}", self.message, self.remedy)
    }
}

/// Lists the changes that have to be refused.
///
/// A task runs in one place because one shard owner commands each worker and
/// waits until the worker's lease has expired before it starts the task elsewhere.
/// This no longer holds if a worker changes its shard or address, or is removed,
/// while it is in service. The worker has to be drained, or its domain has to be out
/// of service, in the configuration that is active *before* the change.
pub fn unsafe_changes(old: &Config, new: &Config) -> Vec<UnsafeChange> {
    let mut out = Vec::new();
    check_racks(old, new, &mut out);
    check_workers(old, new, &mut out);
    check_addresses(old, new, &mut out);
    check_shards(old, new, &mut out);
    check_domains(old, new, &mut out);
    check_jobs(old, new, &mut out);
    out
}

const DRAIN_FIRST: &str = "first apply a change that sets `drained: true`, or take the domain out of service, then apply this change";

fn push(out: &mut Vec<UnsafeChange>, message: String, remedy: impl Into<String>) {
    let remedy = remedy.into();
    out.push(UnsafeChange { message, remedy });
}

/// Refuses to move a rack with workers to another shard.
fn check_racks(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
    for (name, rack) in &old.racks {
        let moved = new.racks.get(name).filter(|r| r.shard != rack.shard);
        if let Some(other) = moved
            && has_workers(old, name)
        {
            let message = format!(
                "rack {name} has workers and would move from shard {} to {}",
                rack.shard, other.shard
            );
            let remedy =
                "drain its workers, remove them in one change and move the rack in the next";
            push(out, message, remedy);
        }
    }
}

fn has_workers(config: &Config, rack: &RackName) -> bool {
    config.workers.values().any(|w| &w.rack == rack)
}

/// Refuses to move a worker to another shard, and to remove or readdress a worker in service.
fn check_workers(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
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
                shard_text(from),
                shard_text(to)
            );
            let remedy = "drain it, remove it in one change and add it again in the next";
            push(out, message, remedy);
        } else if worker.address != after.address && old.may_start_on(name) {
            let message = format!(
                "worker {name} is in service and its address would change from {} to {}, \
                 which would leave tasks running unobserved on the former host",
                worker.address, after.address
            );
            push(out, message, DRAIN_FIRST);
        }
    }
}

fn shard_text(shard: Option<&ShardName>) -> &str {
    shard.map_or("none", ShardName::as_str)
}

/// Refuses to reuse the address of a removed worker for a worker of another shard.
fn check_addresses(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
    let users: IndexMap<_, &WorkerName> = old.workers.iter().map(|(n, w)| (w.address, n)).collect();
    for (name, worker) in &new.workers {
        let Some(former) = users.get(&worker.address).filter(|f| **f != name) else {
            continue;
        };
        let (from, to) = (old.shard_of(former), new.shard_of(name));
        if from != to {
            let message = format!(
                "host {} of worker {former} would become worker {name} of another shard",
                worker.address
            );
            let remedy = format!("remove {former} in one change and add {name} in the next");
            push(out, message, remedy);
        }
    }
}

/// Refuses to remove a shard in service or to move it to another domain: its log
/// contains accepted tasks.
fn check_shards(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
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
                push(out, message, "assign the racks to a new shard");
            }
            _ => {}
        }
    }
}

/// Refuses to remove a domain that is in service and not empty.
fn check_domains(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
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

/// Refuses to change the specification of a job, which was accepted under its name.
fn check_jobs(old: &Config, new: &Config, out: &mut Vec<UnsafeChange>) {
    for (name, job) in &old.jobs {
        if new.jobs.get(name).is_some_and(|after| after != job) {
            let message =
                format!("job {name} is already accepted and its specification would change");
            let remedy = "remove it and declare the new specification under another name";
            push(out, message, remedy);
        }
    }
}
