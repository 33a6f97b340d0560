//! The thread of one shard's journal, which makes the blocking calls to the store.

use std::sync::Arc;

use super::Scheduler;
use crate::journal::{Journal, JournalError, RecoveredLog, Segment, WriterId};
use crate::model::{Epoch, ShardName, Span, Time};
use crate::shard::State;
use crate::store::StoreError;
use crate::telemetry::{QueueReceiver, QueueSender};

/// Longest wait for a task; bounds how late the end of the term is noticed.
const MAX_TASK_WAIT: Span = Span::from_millis(200);

/// Delay before the outcome of an unanswered append is read again, and before
/// opening the log is retried.
const RETRY_DELAY: Span = Span::from_millis(300);

/// Interval between deletions of segments that a snapshot covers. With
/// [`MAX_DELETED_SEGMENTS`] it allows 8 deletions/s, above the 6.7 segments/s that a
/// shard may append: a lower rate would let covered segments accumulate under
/// sustained load.
const DELETE_INTERVAL: Span = Span::from_secs(2);
/// Number of covered segments deleted at a time.
const MAX_DELETED_SEGMENTS: usize = 16;

/// Work that the owner thread passes to the journal thread.
#[derive(Debug)]
pub(super) enum JournalTask {
    /// Appends a segment.
    Append(Box<Segment>),
    /// Writes a snapshot of the state and the policy's encoded estimates.
    Snapshot(Box<State>, Vec<u8>),
}

/// Results that the journal thread reports to the owner thread.
#[derive(Debug)]
pub(super) enum JournalEvent {
    /// The log was opened by a call that began at this time.
    Opened(Box<RecoveredLog>, Time),
    /// The log is corrupt, or the owner was gone before it could be opened.
    OpenFailed,
    /// Sequence number and result of an append, and whether a snapshot is due.
    Appended(u64, Result<(), StoreError>, bool),
    /// Another process opened the log with this higher epoch.
    Fenced(Epoch),
}

type Log = Journal<Arc<crate::store::HttpStore>, Box<dyn Fn() -> Time + Send>>;

/// Opens the log and carries out tasks until the owner thread drops its end of the queue.
pub(super) fn run(
    scheduler: &Scheduler,
    shard: ShardName,
    mut tasks: QueueReceiver<JournalTask>,
    mut events: QueueSender<JournalEvent>,
) {
    tasks.register_reader();
    let Some((mut log, opened, began)) = open(scheduler, &shard, &tasks) else {
        send_event(&mut events, JournalEvent::OpenFailed);
        return;
    };
    send_event(&mut events, JournalEvent::Opened(Box::new(opened), began));
    let clock = scheduler.process.clock;
    let mut last_deletion = clock.now();
    while !tasks.is_abandoned() {
        let Some(task) = tasks.pop() else {
            if clock.now().since(last_deletion) >= DELETE_INTERVAL {
                last_deletion = clock.now();
                delete_covered(&mut log, &shard);
            }
            std::thread::park_timeout(MAX_TASK_WAIT.to_std());
            continue;
        };
        match task {
            JournalTask::Append(segment) => {
                let Some(result) = append(&mut log, &segment, &tasks) else {
                    return;
                };
                send_event(&mut events, result);
            }
            JournalTask::Snapshot(state, policy) => snapshot(&mut log, &shard, &state, &policy),
        }
    }
}

fn send_event(events: &mut QueueSender<JournalEvent>, event: JournalEvent) {
    if events.push(event).is_err() {
        // The capacity exceeds the outstanding events, so the queue fills only if its
        // reader is gone.
        log::debug!("a journal event was dropped, because its reader is gone");
    }
}

/// Opens the log; retries while the store is unavailable. `None` if the log is
/// corrupt or the owner thread is gone.
fn open(
    scheduler: &Scheduler,
    shard: &ShardName,
    tasks: &QueueReceiver<JournalTask>,
) -> Option<(Log, RecoveredLog, Time)> {
    let process = &scheduler.process;
    let clock = process.clock;
    while !tasks.is_abandoned() {
        let began = clock.now();
        let writer = WriterId {
            node: process.node.clone(),
            incarnation: process.incarnation,
        };
        let now: Box<dyn Fn() -> Time + Send> = Box::new(move || clock.now());
        match Journal::open(process.store.clone(), now, shard.clone(), writer) {
            Ok((log, opened)) => {
                log::info!(shard:% = shard, epoch = log.epoch().0, next = log.next_index(); "the log of a shard was opened");
                return Some((log, opened, began));
            }
            Err(error @ JournalError::Corrupt { .. }) => {
                log::error!(shard:% = shard, error:% = error; "the log of a shard is corrupt and can't be opened");
                return None;
            }
            Err(error) => {
                log::warn!(shard:% = shard, error:% = error; "the log of a shard could not be opened; retrying");
                std::thread::sleep(RETRY_DELAY.to_std());
            }
        }
    }
    None
}

/// Appends and waits for a definite result, however long the store is unavailable.
/// `None` if the owner thread is gone.
fn append(
    log: &mut Log,
    segment: &Segment,
    tasks: &QueueReceiver<JournalTask>,
) -> Option<JournalEvent> {
    let mut result = log.append(segment);
    while matches!(result, Err(JournalError::Unresolved(_))) {
        if tasks.is_abandoned() {
            return None;
        }
        std::thread::sleep(RETRY_DELAY.to_std());
        result = log.resolve();
    }
    let result = match result {
        Ok(()) => Ok(()),
        Err(JournalError::Fenced(epoch)) => return Some(JournalEvent::Fenced(epoch)),
        Err(JournalError::Store(error) | JournalError::Unresolved(error)) => Err(error),
        Err(error @ JournalError::Corrupt { .. }) => {
            log::error!(error:% = error; "the log of a shard is corrupt");
            Err(StoreError::Malformed(error.to_string()))
        }
    };
    Some(JournalEvent::Appended(
        segment.seq,
        result,
        log.is_snapshot_due(),
    ))
}

fn snapshot(log: &mut Log, shard: &ShardName, state: &State, policy: &[u8]) {
    match log.snapshot(state, policy) {
        Ok(()) => log::debug!(shard:% = shard, next = state.next_segment; "a snapshot was written"),
        // A fenced journal reports it with the next append.
        Err(error) => {
            log::warn!(shard:% = shard, error:% = error; "a snapshot could not be written")
        }
    }
}

fn delete_covered(log: &mut Log, shard: &ShardName) {
    if let Err(error) = log.delete_covered(MAX_DELETED_SEGMENTS) {
        log::debug!(shard:% = shard, error:% = error; "covered segments could not be deleted");
    }
}
