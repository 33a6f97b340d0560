//! Makes decision records and links each to the record that caused it.

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::state::State;
use crate::journal::WriterId;
use crate::model::{
    Action, Cause, Epoch, Fact, Record, RecordId, Revision, ShardName, Subject, Time, WallTime,
};

/// Subjects whose latest record is known. To be tuned.
const SUBJECTS_KEPT: usize = 20_000;

/// What a record says, without its identity.
#[derive(Debug, Clone)]
pub(super) struct Note {
    pub subject: Subject,
    pub action: Action,
    pub cause: Cause,
    pub place: Option<ArcStr>,
    pub facts: Vec<Fact>,
    /// The record that caused it; by default the latest one about the task or
    /// its job, because the steps in the life of a task follow from each other.
    pub parent: Option<RecordId>,
}

impl Note {
    pub(super) fn new(subject: Subject, action: Action, cause: Cause) -> Self {
        Self {
            subject,
            action,
            cause,
            place: None,
            facts: Vec::new(),
            parent: None,
        }
    }

    pub(super) fn at(mut self, place: &str) -> Self {
        self.place = Some(ArcStr::from(place));
        self
    }

    pub(super) fn facts(mut self, facts: Vec<Fact>) -> Self {
        self.facts = facts;
        self
    }

    pub(super) fn parent(mut self, parent: Option<RecordId>) -> Self {
        self.parent = parent;
        self
    }
}

#[derive(Debug)]
pub(super) struct Recorder {
    shard: ShardName,
    epoch: Epoch,
    writer: WriterId,
    /// A pair of instants that relates the monotonic clock to the calendar.
    clocks: (Time, WallTime),
    seq: u64,
    pub revision: Revision,
    latest: IndexMap<Subject, RecordId>,
}

impl Recorder {
    pub(super) fn new(
        shard: &ShardName,
        writer: &WriterId,
        clocks: (Time, WallTime),
        state: &State,
    ) -> Self {
        let mut recorder = Self {
            shard: shard.clone(),
            epoch: state.epoch,
            writer: writer.clone(),
            clocks,
            seq: first_seq(shard, writer, state.epoch),
            revision: Revision::default(),
            latest: IndexMap::new(),
        };
        for record in &state.records {
            recorder.remember(record);
        }
        recorder
    }

    pub(super) fn make(&mut self, now: Time, note: Note) -> Record {
        let parent = note.parent.or_else(|| match &note.subject {
            Subject::Task(_) | Subject::Job(_) => self.latest(&note.subject),
            _ => None,
        });
        self.seq = self.seq.wrapping_add(1);
        let record = Record {
            id: RecordId {
                node: self.writer.node.clone(),
                seq: self.seq,
            },
            at: self.wall(now),
            shard: Some((self.shard.clone(), self.epoch)),
            subject: note.subject,
            action: note.action,
            cause: note.cause,
            place: note.place,
            facts: note.facts,
            revision: self.revision,
            parent,
            count: 1,
        };
        self.remember(&record);
        record
    }

    /// The calendar time of an instant.
    pub(super) fn wall(&self, now: Time) -> WallTime {
        self.clocks.1 + now.since(self.clocks.0)
    }

    /// The latest record about a subject, or about the job of a task.
    pub(super) fn latest(&self, subject: &Subject) -> Option<RecordId> {
        let found = self.latest.get(subject);
        let found = found.or_else(|| match subject {
            Subject::Task(task) => self.latest.get(&Subject::Job(task.job.clone())),
            _ => None,
        });
        found.cloned()
    }

    fn remember(&mut self, record: &Record) {
        let known = self
            .latest
            .insert(record.subject.clone(), record.id.clone());
        if known.is_none() && self.latest.len() > SUBJECTS_KEPT {
            self.latest.swap_remove_index(0);
        }
    }
}

/// The number before an owner's first record. A process has one sequence for
/// each shard and term; the hash keeps them from meeting.
fn first_seq(shard: &ShardName, writer: &WriterId, epoch: Epoch) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(shard.as_str().as_bytes());
    hasher.update(&writer.incarnation.0.to_le_bytes());
    hasher.update(&epoch.0.to_le_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
