//! Opening a log: loads the snapshot, replays the segments and takes over the log with
//! an opening segment.

use super::log::{Journal, JournalError, RecoveredLog};
use super::snapshot::{self, Body, Head};
use super::{Segment, codec};
use crate::model::Time;
use crate::shard::State;
use crate::store::{Store, StoreError, Version};

/// Segments read in one call. A segment has up to 1 MB.
const SEGMENTS_PER_READ: usize = 16;

/// Attempts to read a consistent log or to append the opening segment, after which the
/// caller has to try again. Each failed attempt means that another writer made progress.
const MAX_ATTEMPTS: usize = 16;

/// Reads and replays the log, then appends the opening segment with a higher epoch.
pub(super) fn open<S: Store, C: Fn() -> Time>(
    journal: &mut Journal<S, C>,
) -> Result<RecoveredLog, JournalError> {
    let mut recovered = load_snapshot(journal)?;
    for _ in 0..MAX_ATTEMPTS {
        replay(journal, &mut recovered.state)?;
        journal.next_index = recovered.state.next_segment;
        journal.epoch = recovered.state.epoch.next();
        let segment = Segment {
            epoch: journal.epoch,
            writer: journal.writer.clone(),
            seq: 0,
            changes: Vec::new(),
            records: Vec::new(),
        };
        match append_and_resolve(journal, &segment) {
            Err(JournalError::Fenced(_)) if !is_covered(journal)? => {}
            Err(JournalError::Fenced(_)) => recovered = load_snapshot(journal)?,
            Err(error) => return Err(error),
            Ok(()) => {
                let index = recovered.state.next_segment;
                apply(journal, &mut recovered.state, &segment, index)?;
                return Ok(recovered);
            }
        }
    }
    Err(JournalError::Store(StoreError::Refused(
        "other writers opened the shard first in every attempt".into(),
    )))
}

/// Appends a segment and tries a few times to resolve its outcome.
fn append_and_resolve<S: Store, C: Fn() -> Time>(
    journal: &mut Journal<S, C>,
    segment: &Segment,
) -> Result<(), JournalError> {
    let mut result = journal.append(segment);
    for _ in 0..MAX_ATTEMPTS {
        if !matches!(result, Err(JournalError::Unresolved(_))) {
            break;
        }
        result = journal.resolve();
    }
    result
}

/// Whether the stored snapshot covers the next index, so that replay has to start from it.
fn is_covered<S: Store, C: Fn() -> Time>(journal: &Journal<S, C>) -> Result<bool, JournalError> {
    Ok(read_head(journal)?.is_some_and(|(head, _)| head.next_index > journal.next_index))
}

/// Loads the stored snapshot, or the empty state if there is none.
fn load_snapshot<S: Store, C: Fn() -> Time>(
    journal: &mut Journal<S, C>,
) -> Result<RecoveredLog, JournalError> {
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        let began = (journal.clock)();
        let Some((head, _)) = read_head(journal)? else {
            journal.confirmed_at = began;
            return Ok(RecoveredLog {
                state: State::default(),
                policy: Vec::new(),
            });
        };
        // If a part is missing or damaged, a newer snapshot may have replaced this one.
        // The same error twice shows that it has not.
        match read_body(journal, &head) {
            Ok(body) => {
                journal.confirmed_at = began;
                journal.snapshot_stored(head.next_index);
                return Ok(RecoveredLog {
                    state: body.state,
                    policy: body.policy,
                });
            }
            Err(error @ JournalError::Corrupt { .. }) if last_error.as_ref() != Some(&error) => {
                last_error = Some(error);
            }
            Err(error) => return Err(error),
        }
    }
    Err(last_error.unwrap_or_else(|| {
        JournalError::Store(StoreError::Refused(
            "the snapshot changed during every read".into(),
        ))
    }))
}

/// Reads the head of the stored snapshot and its version in the store.
pub(super) fn read_head<S: Store, C: Fn() -> Time>(
    journal: &Journal<S, C>,
) -> Result<Option<(Head, Version)>, JournalError> {
    let key = snapshot::head_key(&journal.shard);
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
                let reason = "this part of the snapshot is missing".to_owned();
                return Err(JournalError::Corrupt { key, reason });
            }
        }
    }
    codec::decode(&bytes).map_err(|reason| JournalError::Corrupt {
        key: snapshot::head_key(&journal.shard),
        reason,
    })
}

/// Applies all segments that follow the state. Starts again from the snapshot if the next
/// segment was deleted meanwhile.
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
        let batch = journal.store.list(&prefix, &after, SEGMENTS_PER_READ)?;
        if batch.is_empty() {
            return Ok(());
        }
        for entry in batch {
            let index = snapshot::parse_index(&entry.key, &prefix);
            if index != Some(state.next_segment) {
                gaps += 1;
                let missing = snapshot::segment_key(&journal.shard, state.next_segment);
                let reloaded = load_snapshot(journal)?.state;
                if gaps > MAX_ATTEMPTS || reloaded.next_segment <= state.next_segment {
                    let reason = format!("the segment is missing and {} follows", entry.key);
                    return Err(JournalError::Corrupt {
                        key: missing,
                        reason,
                    });
                }
                *state = reloaded;
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

/// Applies the segment with this index to a state.
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
