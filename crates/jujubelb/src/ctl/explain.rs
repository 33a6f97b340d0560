//! Builds chains of decisions from root cause to action and formats them as sentences.
//!
//! Pure functions over records, without any I/O.

use std::time::{Duration, UNIX_EPOCH};

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use crate::config::format;
use crate::model::{
    Action, Bytes, Cause, Fact, Millicores, Record, RecordId, Span, Subject, Unit, WallTime,
};

/// Decisions from root cause to action.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Chain {
    /// Record that caused the first step but was not found; `None` if no cause is missing.
    pub missing: Option<RecordId>,
    /// Records from root cause to action; never empty.
    pub steps: Vec<Record>,
}

/// The chains that end in decisions about a subject, by the time of their last
/// decision, newest last.
///
/// A decision that caused another one about the subject is shown as a step of
/// that chain only.
pub fn chains(records: &[Record], subject: &str) -> Vec<Chain> {
    let by_id: IndexMap<&RecordId, &Record> = records.iter().map(|r| (&r.id, r)).collect();
    let mut about: Vec<&Record> = by_id
        .values()
        .filter(|r| is_about(r, subject))
        .copied()
        .collect();
    if about.is_empty() {
        // The server matches names that can't be recognised from the records alone.
        about = by_id.values().copied().collect();
    }
    let causes: IndexSet<&RecordId> = about.iter().filter_map(|r| r.parent.as_ref()).collect();
    let mut last: Vec<&Record> = about
        .iter()
        .filter(|r| !causes.contains(&r.id))
        .copied()
        .collect();
    last.sort_by_key(|r| (r.at, &r.id));
    last.into_iter().map(|r| chain(r, &by_id)).collect()
}

/// Follows the causes of one record back to the root.
fn chain(last: &Record, by_id: &IndexMap<&RecordId, &Record>) -> Chain {
    let mut steps = vec![last.clone()];
    let mut seen = IndexSet::from([&last.id]);
    let mut next = cause_of(last);
    let mut missing = None;
    while let Some(id) = next {
        // Damaged records could form a cycle.
        if !seen.insert(id) {
            break;
        }
        match by_id.get(id) {
            Some(record) => {
                steps.push((*record).clone());
                next = cause_of(record);
            }
            None => {
                missing = Some(id.clone());
                next = None;
            }
        }
    }
    steps.reverse();
    Chain { missing, steps }
}

/// The record that caused this one. A revision of the configuration is a root: the revision before it, which
/// its record names, did not cause it.
fn cause_of(record: &Record) -> Option<&RecordId> {
    match record.action {
        Action::Apply => None,
        _ => record.parent.as_ref(),
    }
}

/// Whether a record is about a subject as an operator writes it: `job/3`,
/// `worker w-1` or only `w-1`. A job's name also means its tasks.
pub fn is_about(record: &Record, subject: &str) -> bool {
    let subject = subject.trim();
    let full = record.subject.to_string();
    let name = full.split_once(' ').map_or(full.as_str(), |(_, name)| name);
    let job = match &record.subject {
        Subject::Task(task) => Some(task.job.as_str()),
        _ => None,
    };
    let job_name = subject.strip_prefix("job ").unwrap_or(subject);
    subject == full || subject == name || job == Some(job_name)
}

/// The job of a task as an operator writes it: `job/3` or `task job/3`.
pub fn job_of(subject: &str) -> Option<&str> {
    let name = subject.trim();
    let (job, index) = name.strip_prefix("task ").unwrap_or(name).split_once('/')?;
    index.parse::<u32>().is_ok().then_some(job)
}

/// Selects the chains of a job that explain why a task without decisions of its own has not
/// started: those whose last decision is a delay or is not about a task. Only the first waiting
/// task of a team has a record of its delay.
pub fn waiting(chains: Vec<Chain>) -> Vec<Chain> {
    let explains_wait = |chain: &Chain| {
        chain.steps.last().is_some_and(|last| {
            !matches!(last.subject, Subject::Task(_)) || last.action == Action::Delay
        })
    };
    chains.into_iter().filter(explains_wait).collect()
}

/// Selects the chains that end in the parking of a job, which stops all its tasks.
pub fn parked(chains: Vec<Chain>) -> Vec<Chain> {
    let ends_parked = |chain: &Chain| chain.steps.last().is_some_and(|r| r.action == Action::Park);
    chains.into_iter().filter(ends_parked).collect()
}

/// Formats one decision as a sentence without its time.
pub fn sentence(record: &Record) -> String {
    let mut text = format!("{} {}", record.subject, action_text(record));
    text += &format!(": {}", cause_text(record));
    text += &format!(" ({})", record.cause.number());
    let facts: Vec<String> = record.facts.iter().map(fact_text).collect();
    if !facts.is_empty() {
        text += &format!("; {}", facts.join(", "));
    }
    if record.count > 1 {
        text += &format!(" [stands for {} decisions]", record.count);
    }
    text
}

/// Formats one decision as a line of its time and sentence.
pub fn line(record: &Record) -> String {
    format!("{}  {}", time(record.at), sentence(record))
}

/// Formats a chain with one line for each step, followed by the origin and remedy of the last step.
pub fn paragraph(chain: &Chain) -> String {
    let mut lines = Vec::new();
    if let Some(id) = &chain.missing {
        lines.push(format!(
            "(the decision {id} that caused the next one is no longer kept; the chain begins here)"
        ));
    }
    for (depth, step) in chain.steps.iter().enumerate() {
        let arrow = if depth == 0 { "" } else { "-> " };
        lines.push(format!("{}  {arrow}{}", time(step.at), sentence(step)));
    }
    if let Some(last) = chain.steps.last() {
        lines.push(format!("   {}", origin(last)));
        let remedy = remedy(last);
        if remedy != "nothing" {
            lines.push(format!("   what to do: {remedy}"));
        }
    }
    lines.join("\n")
}

/// The process, shard and configuration revision of a decision.
fn origin(record: &Record) -> String {
    let shard = match &record.shard {
        Some((shard, epoch)) => format!(", shard {shard}, epoch {epoch}"),
        None => String::new(),
    };
    let id = &record.id;
    format!(
        "decided by {id}{shard}, configuration revision {}",
        record.revision
    )
}

/// Formats a time in UTC as RFC 3339 with seconds.
pub fn time(at: WallTime) -> String {
    match UNIX_EPOCH.checked_add(Duration::from_micros(at.as_micros())) {
        // `humantime` panics on years above 9999.
        Some(time) if at.as_micros() < 253_402_300_800_000_000 => {
            humantime::format_rfc3339_seconds(time).to_string()
        }
        _ => format!("{} µs", at.as_micros()),
    }
}

fn action_text(record: &Record) -> String {
    let place = |word: &str| match &record.place {
        Some(place) => format!(" {word} {place}"),
        None => String::new(),
    };
    let fixed = |text: &str| text.to_owned();
    match record.action {
        Action::Accept => fixed("was accepted"),
        Action::Start => format!("was started{}", place("on")),
        Action::Move => format!("was moved{}", place("to")),
        Action::Throttle => format!("was throttled{}", place("on")),
        Action::Unthrottle => format!("got its processor limit back{}", place("on")),
        Action::Checkpoint => format!("was asked for a checkpoint{}", place("on")),
        Action::Evict => format!("was evicted{}", place("from")),
        Action::Stop => format!("was stopped{}", place("on")),
        Action::Complete => format!("completed{}", place("on")),
        Action::Fail => format!("failed{}", place("on")),
        Action::Refuse => format!("was refused{}", place("at")),
        Action::Delay => fixed("was delayed"),
        Action::Quarantine => fixed("was put in quarantine"),
        Action::Readmit => fixed("may get tasks again"),
        Action::Park => fixed("was parked"),
        // The former owner's record holds the values that it compared; the new owner's record has none.
        Action::HandOff if record.cause == Cause::RoomElsewhere && record.facts.is_empty() => {
            format!("was taken in{}", place("from"))
        }
        Action::HandOff => format!("was handed off{}", place("to")),
        Action::Receive => format!("was received{}", place("from")),
        Action::TakeOver => format!("was taken over by {}", record.id.node),
        Action::StepDown => format!("was given up by {}", record.id.node),
        Action::Resize => format!("got another limit{}", place("on")),
        Action::Apply => format!("came into force as revision {}", record.revision),
        Action::Remove => fixed("was taken out of service"),
        Action::Restore => fixed("came into service"),
    }
}

/// Describes the cause. Some causes need other words for a service or when an endpoint is restored.
fn cause_text(record: &Record) -> String {
    match (&record.subject, record.action, record.cause) {
        (Subject::Service(_), _, Cause::LimitExceeded) => {
            "a caller exceeded its limit of requests".to_owned()
        }
        (_, Action::Restore, Cause::HostLeaving) => {
            "the host list no longer says that the host is leaving".to_owned()
        }
        (_, Action::Restore, Cause::EndpointLeaving) => {
            "the endpoint no longer says that it is leaving".to_owned()
        }
        (_, Action::Restore, Cause::DomainOut) => lowercase_first(Cause::DomainIn.meaning()),
        _ => lowercase_first(record.cause.meaning()),
    }
}

fn remedy(record: &Record) -> &'static str {
    match (&record.subject, record.cause) {
        (Subject::Service(_), Cause::LimitExceeded) => {
            "look at the caller; `limits.rate` sets the limit"
        }
        _ => record.cause.remedy(),
    }
}

fn fact_text(fact: &Fact) -> String {
    let name = fact.name.replace('-', " ");
    let unsigned = u64::try_from(fact.value);
    let value = match (fact.unit, unsigned) {
        (Unit::Bytes, Ok(n)) => format::bytes(Bytes(n)),
        (Unit::Millicores, Ok(n)) => format::cores(Millicores(n)),
        (Unit::Micros, Ok(n)) => Span::from_micros(n).to_string(),
        (Unit::Permille, _) => format!("{:.1} %", fact.value as f64 / 10.0),
        (Unit::Count, _) => fact.value.to_string(),
        (Unit::Bytes, Err(_)) => format!("{} B", fact.value),
        (Unit::Millicores, Err(_)) => format!("{} m", fact.value),
        (Unit::Micros, Err(_)) => format!("{} µs", fact.value),
    };
    format!("{name} {value}")
}

/// A sentence without its final full stop and with a lower-case first letter, for use after a colon.
fn lowercase_first(text: &str) -> String {
    let text = text.trim().trim_end_matches('.');
    let mut chars = text.chars();
    match chars.next() {
        Some(first) => first.to_lowercase().chain(chars).collect(),
        None => String::new(),
    }
}

/// Parses a cause from its number or its JSON name; `None` if it is unknown.
pub fn parse_cause(text: &str) -> Option<Cause> {
    let known = Cause::ALL.iter().copied();
    match text.parse::<u16>() {
        Ok(number) => known.into_iter().find(|c| c.number() == number),
        Err(_) => serde_json::from_value(text.into()).ok(),
    }
}

/// Parses an action from its JSON name; `None` if it is unknown.
pub fn parse_action(text: &str) -> Option<Action> {
    serde_json::from_value(text.into()).ok()
}
