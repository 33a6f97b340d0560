//! Reading a log to its end and taking it over.

use super::log::{Journal, JournalError, RecoveredLog};
use super::snapshot::{self, Body, Head};
use super::{Segment, codec};
use crate::model::Time;
use crate::shard::State;
use crate::store::{Store, StoreError, Version};

/// Segments read in one call. Values have up to 1 MB.
const BATCH: usize = 16;

/// Tries to read a consistent log or to append the opening segment before the
/// caller has to try again. Each failed try means that another writer made progress.
const TRIES: usize = 16;

/// Reads and replays the log, then appends the opening segment.
pub(super) fn open<S: Store, C: Fn() -> Time>(
    journal: &mut Journal<S, C>,
) -> Result<RecoveredLog, JournalError> {
    let mut opened = load(journal)?;
    for _ in 0..TRIES {
        replay(journal, &mut opened.state)?;
        journal.next = opened.state.next_segment;
        journal.epoch = opened.state.epoch.next();
        let segment = Segment {
            epoch: journal.epoch,
            writer: journal.writer.clone(),
            seq: 0,
            changes: Vec::new(),
            records: Vec::new(),
        };
        match append(journal, &segment) {
            Err(JournalError::Fenced(_)) if !is_behind(journal)? => {}
            Err(JournalError::Fenced(_)) => opened = load(journal)?,
            Err(error) => return Err(error),
            Ok(()) => {
                let index = opened.state.next_segment;
                apply(journal, &mut opened.state, &segment, index)?;
                return Ok(opened);
            }
        }
    }
    Err(JournalError::Store(StoreError::Refused(
        "other writers keep opening the shard".into(),
    )))
}

/// Appends and resolves within a few calls.
fn append<S: Store, C: Fn() -> Time>(
    journal: &mut Journal<S, C>,
    segment: &Segment,
) -> Result<(), JournalError> {
    let mut result = journal.append(segment);
    for _ in 0..TRIES {
        if !matches!(result, Err(JournalError::Unresolved(_))) {
            break;
        }
        result = journal.resolve();
    }
    result
}

/// Whether a snapshot covers the next index, so that replay has to start from it.
fn is_behind<S: Store, C: Fn() -> Time>(journal: &Journal<S, C>) -> Result<bool, JournalError> {
    Ok(read_head(journal)?.is_some_and(|(head, _)| head.next > journal.next))
}

/// Reads the snapshot, if there is one.
fn load<S: Store, C: Fn() -> Time>(
    journal: &mut Journal<S, C>,
) -> Result<RecoveredLog, JournalError> {
    let mut failure = None;
    for _ in 0..TRIES {
        let began = (journal.clock)();
        let Some((head, _)) = read_head(journal)? else {
            journal.confirmed = began;
            return Ok(RecoveredLog {
                state: State::default(),
                policy: Vec::new(),
            });
        };
        // A part may be missing because a newer snapshot replaced this one.
        match read_body(journal, &head) {
            Ok(body) => {
                journal.confirmed = began;
                journal.note_covered(head.next);
                return Ok(RecoveredLog {
                    state: body.state,
                    policy: body.policy,
                });
            }
            Err(error @ JournalError::Corrupt { .. }) if failure.as_ref() != Some(&error) => {
                failure = Some(error);
            }
            Err(error) => return Err(error),
        }
    }
    Err(failure.unwrap_or_else(|| JournalError::Store(StoreError::Refused("no snapshot".into()))))
}

/// Reads the head of the snapshot and its version.
pub(super) fn read_head<S: Store, C: Fn() -> Time>(
    journal: &Journal<S, C>,
) -> Result<Option<(Head, Version)>, JournalError> {
    let key = snapshot::key(&journal.shard);
    let Some(entry) = journal.store.get(&key)? else {
        return Ok(None);
    };
    match codec::decode(&entry.value) {
        Ok(head) => Ok(Some((head, entry.version))),
        Err(reason) => Err(JournalError::Corrupt { key, reason }),
    }
}

fn read_body<S: Store, C: Fn() -> Time>(
    journal: &Journal<S, C>,
    head: &Head,
) -> Result<Body, JournalError> {
    let mut bytes = head.body.clone();
    for part in 0..head.parts {
        let key = snapshot::part_key(&journal.shard, head, part);
        match journal.store.get(&key)? {
            Some(entry) => bytes.extend_from_slice(&entry.value),
            None => {
                let reason = "the part is missing".to_owned();
                return Err(JournalError::Corrupt { key, reason });
            }
        }
    }
    codec::decode(&bytes).map_err(|reason| JournalError::Corrupt {
        key: snapshot::key(&journal.shard),
        reason,
    })
}

/// Applies all segments that follow the state. Starts over from the snapshot if
/// segments were deleted meanwhile.
fn replay<S: Store, C: Fn() -> Time>(
    journal: &mut Journal<S, C>,
    state: &mut State,
) -> Result<(), JournalError> {
    let prefix = snapshot::segment_prefix(&journal.shard);
    let mut gaps = 0;
    loop {
        let after = match state.next_segment.checked_sub(1) {
            Some(last) => snapshot::segment_key(&journal.shard, last),
            None => prefix.clone(),
        };
        let batch = journal.store.list(&prefix, &after, BATCH)?;
        if batch.is_empty() {
            return Ok(());
        }
        for entry in batch {
            let index = snapshot::index_in(&entry.key, &prefix);
            if index != Some(state.next_segment) {
                gaps += 1;
                let missing = snapshot::segment_key(&journal.shard, state.next_segment);
                let fresh = load(journal)?.state;
                if gaps > TRIES || fresh.next_segment <= state.next_segment {
                    let reason = format!("the segment is missing and {} follows", entry.key);
                    return Err(JournalError::Corrupt {
                        key: missing,
                        reason,
                    });
                }
                *state = fresh;
                break;
            }
            let segment = codec::decode(&entry.value).map_err(|reason| JournalError::Corrupt {
                key: entry.key.clone(),
                reason,
            })?;
            let index = state.next_segment;
            apply(journal, state, &segment, index)?;
        }
    }
}

fn apply<S, C>(
    journal: &Journal<S, C>,
    state: &mut State,
    segment: &Segment,
    index: u64,
) -> Result<(), JournalError> {
    state.apply(segment).map_err(|error| JournalError::Corrupt {
        key: snapshot::segment_key(&journal.shard, index),
        reason: error.to_string(),
    })
}
