//! The most recent decision records of a process.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use indexmap::IndexMap;

use crate::model::{NodeName, Record, RecordId, Span, Subject, WallTime};
use crate::telemetry::Clock;

/// Number of records retained in memory. A shard's snapshot retains as many.
const MAX_RECORDS: usize = 2_000;

/// Records that this process created. Sequence numbers start from the calendar time
/// of its start in microseconds, so that a restart does not repeat one.
#[derive(Debug)]
pub(crate) struct Records {
    node: NodeName,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    last_seq: u64,
    recent: VecDeque<Record>,
}

impl Records {
    /// Creates an empty store of records for the process `node`.
    pub(crate) fn new(node: NodeName) -> Self {
        let state = State {
            last_seq: Clock::wall().as_micros(),
            recent: VecDeque::new(),
        };
        Self {
            node,
            state: Mutex::new(state),
        }
    }

    /// Allocates the identifier of a new record.
    pub(crate) fn next_id(&self) -> RecordId {
        let mut state = self.lock();
        state.last_seq += 1;
        RecordId {
            node: self.node.clone(),
            seq: state.last_seq,
        }
    }

    /// Adds a record; at the capacity the oldest one is dropped.
    pub(crate) fn add(&self, record: Record) {
        let mut state = self.lock();
        if state.recent.len() == MAX_RECORDS {
            state.recent.pop_front();
        }
        state.recent.push_back(record);
    }

    /// Retained records about a subject, or all, up to `age`, with their parents.
    pub(crate) fn about(&self, subject: Option<&str>, age: Option<Span>) -> Vec<Record> {
        let state = self.lock();
        records_about(state.recent.iter(), subject, age)
    }

    /// Number of retained records.
    pub(crate) fn len(&self) -> usize {
        self.lock().recent.len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records about a subject, or all records, together with their chains of parents;
/// oldest first. `age` is the highest age; parents may be older.
pub(crate) fn records_about<'a>(
    records: impl Iterator<Item = &'a Record> + Clone,
    subject: Option<&str>,
    age: Option<Span>,
) -> Vec<Record> {
    let start = age.map_or(WallTime::ZERO, |age| Clock::wall() - age);
    let by_id: IndexMap<&RecordId, &Record> = records.clone().map(|r| (&r.id, r)).collect();
    let mut selected: IndexMap<&RecordId, &Record> = IndexMap::new();
    let matching = records
        .filter(|record| record.at >= start)
        .filter(|record| subject.is_none_or(|text| matches_subject(record, text)));
    for record in matching {
        let mut next = Some(record);
        while let Some(record) = next {
            if selected.insert(&record.id, record).is_some() {
                break;
            }
            next = record.parent.as_ref().and_then(|id| by_id.get(id).copied());
        }
    }
    let mut history: Vec<Record> = selected.into_values().cloned().collect();
    history.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
    history
}

/// Whether a record matches the text of an operator: its subject with or without
/// the kind, the job of its task, its place or its identifier.
fn matches_subject(record: &Record, text: &str) -> bool {
    let subject = record.subject.to_string();
    let name = subject.split_once(' ').map_or("", |(_, name)| name);
    let job = match &record.subject {
        Subject::Task(task) => task.job.as_str() == text,
        _ => false,
    };
    subject == text
        || name == text
        || job
        || record.place.as_ref().is_some_and(|place| place == text)
        || record.id.to_string() == text
}
