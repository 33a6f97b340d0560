//! The newest decision records that a process knows.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use indexmap::IndexMap;

use crate::model::{NodeName, Record, RecordId, Span, Subject, WallTime};
use crate::telemetry::Clock;

/// Records kept in memory. A shard's snapshot keeps as many.
const KEPT: usize = 2_000;

/// Records that this process made. Numbers are counted from the calendar time
/// of its start, so that a restart never repeats one.
#[derive(Debug)]
pub(crate) struct Records {
    node: NodeName,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    next: u64,
    kept: VecDeque<Record>,
}

impl Records {
    /// No records yet.
    pub(crate) fn new(node: NodeName) -> Self {
        let state = State {
            next: Clock::wall().as_micros(),
            kept: VecDeque::new(),
        };
        Self {
            node,
            state: Mutex::new(state),
        }
    }

    /// Identity of the next record.
    pub(crate) fn next_id(&self) -> RecordId {
        let mut state = self.lock();
        state.next += 1;
        RecordId {
            node: self.node.clone(),
            seq: state.next,
        }
    }

    /// Keeps a record; the oldest one makes room.
    pub(crate) fn keep(&self, record: Record) {
        let mut state = self.lock();
        if state.kept.len() == KEPT {
            state.kept.pop_front();
        }
        state.kept.push_back(record);
    }

    /// The kept records about a subject, or all, of at most this age.
    pub(crate) fn about(&self, subject: Option<&str>, age: Option<Span>) -> Vec<Record> {
        let state = self.lock();
        about(state.kept.iter(), subject, age)
    }

    /// Number of kept records.
    pub(crate) fn len(&self) -> usize {
        self.lock().kept.len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The records about a subject, with all that led to them, or all records;
/// oldest first. `age` is the highest age; what led to a record may be older.
pub(crate) fn about<'a>(
    records: impl Iterator<Item = &'a Record> + Clone,
    subject: Option<&str>,
    age: Option<Span>,
) -> Vec<Record> {
    let start = age.map_or(WallTime::ZERO, |age| Clock::wall() - age);
    let by_id: IndexMap<&RecordId, &Record> = records.clone().map(|r| (&r.id, r)).collect();
    let mut chosen: IndexMap<&RecordId, &Record> = IndexMap::new();
    let wanted = records
        .filter(|record| record.at >= start)
        .filter(|record| subject.is_none_or(|text| concerns(record, text)));
    for record in wanted {
        let mut next = Some(record);
        while let Some(record) = next {
            if chosen.insert(&record.id, record).is_some() {
                break;
            }
            next = record.parent.as_ref().and_then(|id| by_id.get(id).copied());
        }
    }
    let mut found: Vec<Record> = chosen.into_values().cloned().collect();
    found.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
    found
}

/// Whether a record is about what an operator names: its subject with or
/// without the kind, the job of its task, its place or the record itself.
fn concerns(record: &Record, text: &str) -> bool {
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
