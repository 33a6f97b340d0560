//! Refusals, delays and removals, aggregated for the records.

use indexmap::IndexMap;

use crate::model::{Action, Cause, Fact, Record, RecordId, Revision, Subject, Time, WallTime};

/// Notes that are kept until they are collected. Beyond it new ones are only
/// counted: a collector that stopped must not use up the memory.
const MAX_PENDING_DECISIONS: usize = 2_048;

/// Like decisions of one second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AggregatedDecision {
    /// When the first one was made.
    pub at: Time,
    /// What it is about.
    pub subject: Subject,
    /// What was done.
    pub action: Action,
    /// Why.
    pub cause: Cause,
    /// The numbers compared by the first one.
    pub facts: Vec<Fact>,
    /// How many there were.
    pub count: u32,
}

impl AggregatedDecision {
    /// The decision record of the note.
    pub fn into_record(self, id: RecordId, at: WallTime, revision: Revision) -> Record {
        Record {
            id,
            at,
            shard: None,
            subject: self.subject,
            action: self.action,
            cause: self.cause,
            place: None,
            facts: self.facts,
            revision,
            parent: None,
            count: self.count,
        }
    }
}

/// Notes that were not collected yet.
#[derive(Debug, Clone, Default)]
pub(super) struct DecisionLog {
    pending: IndexMap<(u64, Subject, Action, Cause), AggregatedDecision>,
    dropped: u64,
}

impl DecisionLog {
    /// Adds a decision to those of the same second. The facts are made only for the first.
    pub(super) fn record(
        &mut self,
        at: Time,
        subject: Subject,
        action: Action,
        cause: Cause,
        facts: impl FnOnce() -> Vec<Fact>,
    ) {
        let key = (second(at), subject, action, cause);
        if let Some(note) = self.pending.get_mut(&key) {
            note.count = note.count.saturating_add(1);
            return;
        }
        if self.pending.len() >= MAX_PENDING_DECISIONS {
            self.dropped += 1;
            return;
        }
        let note = AggregatedDecision {
            at,
            subject: key.1.clone(),
            action,
            cause,
            facts: facts(),
            count: 1,
        };
        self.pending.insert(key, note);
    }

    /// Takes the notes of the seconds that are over.
    pub(super) fn take(&mut self, now: Time) -> Vec<AggregatedDecision> {
        let current = second(now);
        let (done, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|((second, ..), _)| *second < current);
        self.pending = pending;
        let done: IndexMap<_, _> = done;
        done.into_values().collect()
    }

    /// Decisions for which there was no room.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }
}

fn second(at: Time) -> u64 {
    at.as_micros() / 1_000_000
}
