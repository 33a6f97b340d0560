//! The journal of one shard: blocking calls that open the log, append to it, write
//! snapshots and delete what they cover.

use std::collections::VecDeque;

use thiserror::Error;

use super::{Segment, WriterId, codec, open, snapshot};
use crate::model::{Epoch, ShardName, Span, Time};
use crate::shard::State;
use crate::store::{Expect, MAX_VALUE_BYTES, Store, StoreError, Version};

/// Time from a snapshot until the segments that it covers are deleted.
pub const SEGMENT_RETENTION: Span = Span::from_secs(120);

/// An append that took longer, or that began more than this time after the last
/// confirmed one, is confirmed by reading the snapshot. Twice this time is shorter than
/// [`SEGMENT_RETENTION`], so that an index can't be written, covered and deleted by
/// another owner unnoticed.
pub const SNAPSHOT_CHECK_AFTER: Span = Span::from_secs(30);

/// Number of segments from one snapshot to the next.
pub const SEGMENTS_PER_SNAPSHOT: u64 = 256;

/// Error of a journal call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JournalError {
    /// A call to the store failed and had no effect.
    #[error("the call to the log of the shard had no effect: {0}")]
    Store(#[from] StoreError),
    /// The append may have taken effect. [`Journal::resolve`] finds out.
    #[error(
        "it is not known whether the append took effect: {0}; resolve it before the next append"
    )]
    Unresolved(StoreError),
    /// Another owner, with this epoch, has written to the log. The last append had no
    /// effect.
    #[error("the log has an owner with epoch {0}; this one has to step down")]
    Fenced(Epoch),
    /// A value in the log is damaged or missing. Nothing after it can be replayed.
    #[error(
        "the value of {key} is damaged: {reason}; restore it from a copy of the store before an owner opens the shard"
    )]
    Corrupt {
        /// Key of the value in the store.
        key: String,
        /// Why the value is invalid.
        reason: String,
    },
}

/// The state that was recovered from a log when it was opened.
#[derive(Debug, Clone, PartialEq)]
pub struct RecoveredLog {
    /// State after replay, the opening segment included.
    pub state: State,
    /// Estimates of the placement policy in the snapshot, in its own encoding; empty if
    /// there was no snapshot.
    pub policy: Vec<u8>,
}

/// An append whose outcome is not known yet.
#[derive(Debug)]
struct PendingAppend {
    bytes: Vec<u8>,
    /// Start of the first attempt.
    began: Time,
    /// Whether an attempt got no response, so that the write may take effect at any time.
    unclear: bool,
}

/// The log of one shard, as seen by one writer.
///
/// `clock` returns monotonic time. It is read before and after calls to the store.
#[derive(Debug)]
pub struct Journal<S, C> {
    pub(super) store: S,
    pub(super) clock: C,
    pub(super) shard: ShardName,
    pub(super) writer: WriterId,
    pub(super) epoch: Epoch,
    pub(super) next_index: u64,
    /// Start of the last call that showed that no other owner had covered `next_index`
    /// by a snapshot.
    pub(super) confirmed_at: Time,
    pending: Option<PendingAppend>,
    /// Snapshots whose segments are still to be deleted: when each one was known to be
    /// stored, and its next index.
    pub(super) undeleted: VecDeque<(Time, u64)>,
    /// Next index of the newest known snapshot.
    pub(super) covered_until: u64,
}

impl<S: Store, C: Fn() -> Time> Journal<S, C> {
    /// Reads the log to its end, replays it and appends an opening segment with a higher
    /// epoch. If another writer appends first, reads on and tries again.
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
            next_index: 0,
            confirmed_at: now,
            pending: None,
            undeleted: VecDeque::new(),
            covered_until: 0,
        };
        let recovered = open::open(&mut journal)?;
        Ok((journal, recovered))
    }

    /// Epoch of this writer, set by the opening segment.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Index that the next append gets.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Whether [`SEGMENTS_PER_SNAPSHOT`] segments follow the newest known snapshot.
    pub fn is_snapshot_due(&self) -> bool {
        self.next_index - self.covered_until >= SEGMENTS_PER_SNAPSHOT
    }

    /// Whether there is an append whose outcome is not known yet.
    pub fn has_unresolved(&self) -> bool {
        self.pending.is_some()
    }

    /// Appends a segment at the next index.
    ///
    /// # Errors
    /// After `Unresolved`, call `resolve` until it returns another result.
    pub fn append(&mut self, segment: &Segment) -> Result<(), JournalError> {
        if self.pending.is_some() {
            let reason = "an earlier append is not resolved".to_owned();
            return Err(JournalError::Unresolved(StoreError::Unknown(reason)));
        }
        let bytes = self.encode(segment)?;
        self.pending = Some(PendingAppend {
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

    /// Finds out the outcome of the last append, and writes it again if necessary. A write
    /// without a response may still take effect later, so that an absent key proves
    /// nothing: only a segment stored at the index decides.
    pub fn resolve(&mut self) -> Result<(), JournalError> {
        let Some(mut pending) = self.pending.take() else {
            return Ok(());
        };
        let result = self.write_pending(&mut pending);
        if matches!(result, Err(JournalError::Unresolved(_))) {
            self.pending = Some(pending);
        }
        result
    }

    /// Tries to write the pending segment.
    fn write_pending(&mut self, pending: &mut PendingAppend) -> Result<(), JournalError> {
        let key = snapshot::segment_key(&self.shard, self.next_index);
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

    /// Reads the index of the pending segment to see whose segment is stored there.
    fn read_back(&mut self, key: &str, pending: &PendingAppend) -> Result<(), JournalError> {
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
            Ok(None) => self.check_not_covered().and_then(|()| {
                let reason = "no segment is stored at its index yet".to_owned();
                Err(JournalError::Unresolved(StoreError::Unknown(reason)))
            }),
            Err(error) => Err(JournalError::Unresolved(error)),
        }
    }

    /// Accepts a stored segment as the newest one, unless its index had been covered by a
    /// snapshot and deleted before it was written.
    fn confirm(&mut self, pending: &PendingAppend) -> Result<(), JournalError> {
        let quick = (self.clock)().since(pending.began) <= SNAPSHOT_CHECK_AFTER;
        let recent = pending.began.since(self.confirmed_at) <= SNAPSHOT_CHECK_AFTER;
        if quick && recent {
            self.confirmed_at = pending.began;
        } else {
            self.check_not_covered()?;
        }
        self.next_index += 1;
        Ok(())
    }

    /// Reads the snapshot's head and returns an error if it covers the next index.
    pub(super) fn check_not_covered(&mut self) -> Result<(), JournalError> {
        let began = (self.clock)();
        let head = match open::read_head(self) {
            Ok(head) => head,
            Err(JournalError::Store(error)) => return Err(JournalError::Unresolved(error)),
            Err(error) => return Err(error),
        };
        if let Some((head, _)) = head
            && head.next_index > self.next_index
        {
            return Err(JournalError::Fenced(head.epoch));
        }
        self.confirmed_at = began;
        Ok(())
    }

    /// Writes a snapshot of a state that results from this log. The state may lack the
    /// newest appends, since it still corresponds to a prefix of the log. Does nothing if
    /// the stored snapshot covers as much.
    pub fn snapshot(&mut self, state: &State, policy: &[u8]) -> Result<(), JournalError> {
        let stored = open::read_head(self)?;
        let mut expect = Expect::Absent;
        if let Some((head, version)) = stored {
            if head.epoch > self.epoch {
                return Err(JournalError::Fenced(head.epoch));
            }
            if head.next_index >= state.next_segment {
                self.snapshot_stored(head.next_index);
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
        self.snapshot_stored(head.next_index);
        Ok(())
    }

    /// Writes the head. If the outcome is unclear, reads back whether it was written.
    fn write_head(&self, bytes: &[u8], expect: Expect) -> Result<Version, StoreError> {
        let key = snapshot::head_key(&self.shard);
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

    /// Records that a snapshot with this next index is stored.
    pub(super) fn snapshot_stored(&mut self, next: u64) {
        if next > self.covered_until {
            self.covered_until = next;
            self.undeleted.push_back(((self.clock)(), next));
        }
    }

    /// Deletes up to `limit` keys of segments and snapshot parts that a snapshot has covered
    /// for at least [`SEGMENT_RETENTION`], and returns how many were deleted. Call it at a
    /// low rate, since each key takes a call to the store.
    pub fn delete_covered(&mut self, limit: usize) -> Result<usize, JournalError> {
        let now = (self.clock)();
        let Some(&(since, next)) = self.undeleted.front() else {
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
                if snapshot::parse_index(&entry.key, &prefix).is_some_and(|index| index < next) {
                    self.store.delete(&entry.key, Expect::Any)?;
                    deleted += 1;
                }
            }
        }
        if deleted == 0 {
            self.undeleted.pop_front();
        }
        Ok(deleted)
    }
}
