//! The journal of one shard: blocking calls that open, append, snapshot and tidy.

use std::collections::VecDeque;

use thiserror::Error;

use super::{Segment, WriterId, codec, open, snapshot};
use crate::model::{Epoch, ShardName, Span, Time};
use crate::shard::State;
use crate::store::{Expect, MAX_VALUE_BYTES, Store, StoreError, Version};

/// Age of a snapshot before the segments that it covers are deleted. To be tuned.
pub const SEGMENT_RETENTION: Span = Span::from_secs(120);

/// An append that took longer, or that follows no confirmed append within this
/// time, is confirmed by reading the snapshot. Two such spans are shorter than
/// `SEGMENT_RETENTION`, so an index can't be written, covered and deleted unnoticed.
pub const SNAPSHOT_CHECK_AFTER: Span = Span::from_secs(30);

/// Segments between snapshots. To be tuned.
pub const SEGMENTS_PER_SNAPSHOT: u64 = 256;

/// Failure of a journal call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JournalError {
    /// The call had no effect.
    #[error("the log of the shard could not be used: {0}")]
    Store(#[from] StoreError),
    /// The append may have taken effect. `Journal::resolve` finds out.
    #[error("the result of the append is not known yet: {0}; resolve it before the next append")]
    Unresolved(StoreError),
    /// Another owner has written to the log; nothing of the last append is accepted.
    #[error("the log has an owner with epoch {0}; this one has to step down")]
    Fenced(Epoch),
    /// A value in the log is damaged. Nothing after it can be replayed.
    #[error(
        "the value of {key} is damaged: {reason}; restore it from a copy of the store before an owner opens the shard"
    )]
    Corrupt {
        /// The key.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

/// What opening a log gives.
#[derive(Debug, Clone, PartialEq)]
pub struct RecoveredLog {
    /// The state, the opening segment included.
    pub state: State,
    /// Estimates that the policy saved in the snapshot.
    pub policy: Vec<u8>,
}

/// An append whose result is not known yet.
#[derive(Debug)]
struct Pending {
    bytes: Vec<u8>,
    /// Start of the first try.
    began: Time,
    /// Whether a try got no answer, so that the write may take effect at any time.
    unclear: bool,
}

/// The log of one shard as one writer uses it.
///
/// `clock` gives monotonic time; it is read before and after calls to the store.
#[derive(Debug)]
pub struct Journal<S, C> {
    pub(super) store: S,
    pub(super) clock: C,
    pub(super) shard: ShardName,
    pub(super) writer: WriterId,
    pub(super) epoch: Epoch,
    /// Index of the next append.
    pub(super) next: u64,
    /// Start of the last call that showed that no other owner had covered `next_segment`.
    pub(super) confirmed: Time,
    pending: Option<Pending>,
    /// Snapshots whose segments are still to be deleted: when each was known to be stored, and its next index.
    pub(super) covered: VecDeque<(Time, u64)>,
    /// Next index of the newest snapshot known.
    pub(super) snapped: u64,
}

impl<S: Store, C: Fn() -> Time> Journal<S, C> {
    /// Reads the log to its end, replays it and appends the opening segment with
    /// a higher epoch. If another writer is first, reads on and tries again.
    pub fn open(
        store: S,
        clock: C,
        shard: ShardName,
        writer: WriterId,
    ) -> Result<(Self, RecoveredLog), JournalError> {
        let now = clock();
        let mut journal = Self {
            store,
            clock,
            shard,
            writer,
            epoch: Epoch::default(),
            next: 0,
            confirmed: now,
            pending: None,
            covered: VecDeque::new(),
            snapped: 0,
        };
        let opened = open::open(&mut journal)?;
        Ok((journal, opened))
    }

    /// The epoch of this writer.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Index of the next append.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Whether enough segments follow the newest snapshot for a new one.
    pub fn is_snapshot_due(&self) -> bool {
        self.next - self.snapped >= SEGMENTS_PER_SNAPSHOT
    }

    /// Whether the result of an append is not known yet.
    pub fn has_unresolved(&self) -> bool {
        self.pending.is_some()
    }

    /// Appends a segment at the next index.
    ///
    /// # Errors
    /// After `Unresolved`, call `resolve` until it gives another result.
    pub fn append(&mut self, segment: &Segment) -> Result<(), JournalError> {
        if self.pending.is_some() {
            let reason = "an earlier append is not resolved".to_owned();
            return Err(JournalError::Unresolved(StoreError::Unknown(reason)));
        }
        let bytes = self.encode(segment)?;
        self.pending = Some(Pending {
            bytes,
            began: (self.clock)(),
            unclear: false,
        });
        self.resolve()
    }

    fn encode(&self, segment: &Segment) -> Result<Vec<u8>, JournalError> {
        let bytes = codec::encode(segment).map_err(StoreError::Refused)?;
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(JournalError::Store(StoreError::TooLarge {
                size: bytes.len(),
                limit: MAX_VALUE_BYTES,
            }));
        }
        Ok(bytes)
    }

    /// Finds out the result of the last append, writing it again if needed. A
    /// write without an answer may take effect later, so an absent key proves
    /// nothing: only a stored segment at the index settles the matter.
    pub fn resolve(&mut self) -> Result<(), JournalError> {
        let Some(mut pending) = self.pending.take() else {
            return Ok(());
        };
        let result = self.attempt(&mut pending);
        if matches!(result, Err(JournalError::Unresolved(_))) {
            self.pending = Some(pending);
        }
        result
    }

    fn attempt(&mut self, pending: &mut Pending) -> Result<(), JournalError> {
        let key = snapshot::segment_key(&self.shard, self.next);
        let put = self.store.put(&key, &pending.bytes, Expect::Absent, None);
        match put {
            Ok(_) => self.confirm(pending),
            Err(StoreError::Conflict { .. }) => {
                pending.unclear = true;
                self.read_back(&key, pending)
            }
            Err(error @ (StoreError::Unknown(_) | StoreError::Malformed(_))) => {
                pending.unclear = true;
                match self.read_back(&key, pending) {
                    Err(JournalError::Unresolved(_)) => Err(JournalError::Unresolved(error)),
                    known => known,
                }
            }
            Err(error) if pending.unclear => Err(JournalError::Unresolved(error)),
            Err(error) => Err(JournalError::Store(error)),
        }
    }

    fn read_back(&mut self, key: &str, pending: &Pending) -> Result<(), JournalError> {
        match self.store.get(key) {
            Ok(Some(entry)) if entry.value == pending.bytes => self.confirm(pending),
            Ok(Some(entry)) => {
                let other: Segment =
                    codec::decode(&entry.value).map_err(|reason| JournalError::Corrupt {
                        key: key.to_owned(),
                        reason,
                    })?;
                Err(JournalError::Fenced(other.epoch))
            }
            Ok(None) => self.check_covered().and_then(|()| {
                let reason = "the segment is absent".to_owned();
                Err(JournalError::Unresolved(StoreError::Unknown(reason)))
            }),
            Err(error) => Err(JournalError::Unresolved(error)),
        }
    }

    /// Accepts a stored segment as the newest one, unless its index was covered
    /// by a snapshot and deleted before.
    fn confirm(&mut self, pending: &Pending) -> Result<(), JournalError> {
        let quick = (self.clock)().since(pending.began) <= SNAPSHOT_CHECK_AFTER;
        let recent = pending.began.since(self.confirmed) <= SNAPSHOT_CHECK_AFTER;
        if quick && recent {
            self.confirmed = pending.began;
        } else {
            self.check_covered()?;
        }
        self.next += 1;
        Ok(())
    }

    /// Reads the snapshot and fails if it covers the next index.
    pub(super) fn check_covered(&mut self) -> Result<(), JournalError> {
        let began = (self.clock)();
        let head = match open::read_head(self) {
            Ok(head) => head,
            Err(JournalError::Store(error)) => return Err(JournalError::Unresolved(error)),
            Err(error) => return Err(error),
        };
        if let Some((head, _)) = head
            && head.next > self.next
        {
            return Err(JournalError::Fenced(head.epoch));
        }
        self.confirmed = began;
        Ok(())
    }

    /// Writes a snapshot of a state that this journal's appends led to.
    ///
    /// A state that lacks the newest appends is allowed: it is a prefix of the log.
    pub fn snapshot(&mut self, state: &State, policy: &[u8]) -> Result<(), JournalError> {
        let stored = open::read_head(self)?;
        let mut expect = Expect::Absent;
        if let Some((head, version)) = stored {
            if head.epoch > self.epoch {
                return Err(JournalError::Fenced(head.epoch));
            }
            if head.next >= state.next_segment {
                self.note_covered(head.next);
                return Ok(());
            }
            expect = Expect::Version(version);
        }
        let (head, parts) =
            snapshot::encode(self.epoch, state, policy).map_err(StoreError::Refused)?;
        for (part, bytes) in (0..).zip(&parts) {
            let key = snapshot::part_key(&self.shard, &head, part);
            self.store.put(&key, bytes, Expect::Any, None)?;
        }
        let bytes = codec::encode(&head).map_err(StoreError::Refused)?;
        self.write_head(&bytes, expect)?;
        self.note_covered(head.next);
        Ok(())
    }

    fn write_head(&self, bytes: &[u8], expect: Expect) -> Result<Version, StoreError> {
        let key = snapshot::key(&self.shard);
        match self.store.put(&key, bytes, expect, None) {
            Err(error @ (StoreError::Unknown(_) | StoreError::Conflict { .. })) => {
                match self.store.get(&key)? {
                    Some(entry) if entry.value == bytes => Ok(entry.version),
                    _ => Err(error),
                }
            }
            result => result,
        }
    }

    /// Notes that a snapshot with this next index is stored.
    pub(super) fn note_covered(&mut self, next: u64) {
        if next > self.snapped {
            self.snapped = next;
            self.covered.push_back(((self.clock)(), next));
        }
    }

    /// Deletes up to `limit` keys that a snapshot of sufficient age covers, and
    /// returns how many were deleted. To be called at a low rate.
    pub fn delete_covered(&mut self, limit: usize) -> Result<usize, JournalError> {
        let now = (self.clock)();
        let Some(&(since, next)) = self.covered.front() else {
            return Ok(0);
        };
        if now.since(since) < SEGMENT_RETENTION {
            return Ok(0);
        }
        let mut deleted = 0;
        for prefix in [
            snapshot::segment_prefix(&self.shard),
            snapshot::part_prefix(&self.shard),
        ] {
            for entry in self.store.list(&prefix, "", limit - deleted)? {
                if snapshot::index_in(&entry.key, &prefix).is_some_and(|index| index < next) {
                    self.store.delete(&entry.key, Expect::Any)?;
                    deleted += 1;
                }
            }
        }
        if deleted == 0 {
            self.covered.pop_front();
        }
        Ok(deleted)
    }
}
