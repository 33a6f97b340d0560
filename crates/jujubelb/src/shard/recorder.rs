//! Creates decision records and links each to the record that caused it.

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::state::State;
use crate::journal::WriterId;
use crate::model::{
    Action, Cause, Epoch, Fact, Record, RecordId, Revision, ShardName, Subject, Time, WallTime,
};

/// Most subjects whose latest record is remembered.
const MAX_SUBJECTS: usize = 20_000;

/// Contents of a decision record without its identity, time and shard.
#[derive(Debug, Clone)]
pub(super) struct RecordDraft {
    pub subject: Subject,
    pub action: Action,
    pub cause: Cause,
    pub place: Option<ArcStr>,
    pub facts: Vec<Fact>,
    /// Record that caused this one. If absent, the latest record of the task or
    /// its job is used, because each step of a task follows from the previous one.
    pub parent: Option<RecordId>,
}

impl RecordDraft {
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

    pub(super) fn with_place(mut self, place: &str) -> Self {
        self.place = Some(ArcStr::from(place));
        self
    }

    pub(super) fn with_facts(mut self, facts: Vec<Fact>) -> Self {
        self.facts = facts;
        self
    }

    pub(super) fn with_parent(mut self, parent: Option<RecordId>) -> Self {
        self.parent = parent;
        self
    }
}

#[derive(Debug)]
pub(super) struct Recorder {
    shard: ShardName,
    epoch: Epoch,
    writer: WriterId,
    /// The same instant on the monotonic clock and on the wall clock.
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
            seq: initial_seq(shard, writer, state.epoch),
            revision: Revision::default(),
            latest: IndexMap::new(),
        };
        for record in &state.records {
            recorder.set_latest(record);
        }
        recorder
    }

    pub(super) fn create(&mut self, now: Time, draft: RecordDraft) -> Record {
        let parent = draft.parent.or_else(|| match &draft.subject {
            Subject::Task(_) | Subject::Job(_) => self.latest(&draft.subject),
            _ => None,
        });
        self.seq = self.seq.wrapping_add(1);
        let record = Record {
            id: RecordId {
                node: self.writer.node.clone(),
                seq: self.seq,
            },
            at: self.wall_time(now),
            shard: Some((self.shard.clone(), self.epoch)),
            subject: draft.subject,
            action: draft.action,
            cause: draft.cause,
            place: draft.place,
            facts: draft.facts,
            revision: self.revision,
            parent,
            count: 1,
        };
        self.set_latest(&record);
        record
    }

    /// Converts an instant of the monotonic clock to wall-clock time.
    pub(super) fn wall_time(&self, now: Time) -> WallTime {
        self.clocks.1 + now.since(self.clocks.0)
    }

    /// Returns the latest record of a subject, or of its job for a task without one.
    pub(super) fn latest(&self, subject: &Subject) -> Option<RecordId> {
        let found = self.latest.get(subject);
        let found = found.or_else(|| match subject {
            Subject::Task(task) => self.latest.get(&Subject::Job(task.job.clone())),
            _ => None,
        });
        found.cloned()
    }

    fn set_latest(&mut self, record: &Record) {
        let previous = self
            .latest
            .insert(record.subject.clone(), record.id.clone());
        if previous.is_none() && self.latest.len() > MAX_SUBJECTS {
            self.latest.swap_remove_index(0);
        }
    }
}

/// Returns the sequence number before an owner's first record. A process has one
/// sequence per shard and term; the hash makes collisions between them unlikely.
fn initial_seq(shard: &ShardName, writer: &WriterId, epoch: Epoch) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(shard.as_str().as_bytes());
    hasher.update(&writer.incarnation.0.to_le_bytes());
    hasher.update(&epoch.0.to_le_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
