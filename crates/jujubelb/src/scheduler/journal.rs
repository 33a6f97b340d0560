//! The thread of one shard's journal: blocking calls to the store.

use std::sync::Arc;

use super::Scheduler;
use crate::journal::{Journal, JournalError, RecoveredLog, Segment, WriterId};
use crate::model::{Epoch, ShardName, Span, Time};
use crate::shard::State;
use crate::store::StoreError;
use crate::telemetry::{Inbox, Outlet};

/// Longest wait for a task, in which the end of the term is noticed.
const STEP: Span = Span::from_millis(200);

/// Wait before an append without an answer is looked at again, and before the
/// log is opened again.
const AGAIN: Span = Span::from_millis(300);

/// Interval of deleting covered segments, and how many are deleted at a time.
/// That is 8 writes/s at most, above the 6.7 segments/s that a shard may append:
/// a slower rate would let covered segments pile up at a lasting peak.
const TIDY_EVERY: Span = Span::from_secs(2);
const TIDY: usize = 16;

/// What the owner asks of the journal.
#[derive(Debug)]
pub(super) enum Task {
    /// Append this segment.
    Append(Box<Segment>),
    /// Write a snapshot of this state and the policy's estimates.
    Snapshot(Box<State>, Vec<u8>),
}

/// What the journal tells the owner.
#[derive(Debug)]
pub(super) enum Told {
    /// The log was opened; the call began at this time.
    Opened(Box<RecoveredLog>, Time),
    /// The log could not be opened and will not be.
    Failed,
    /// The result of the append with this sequence number, and whether a snapshot is due.
    Appended(u64, Result<(), StoreError>, bool),
    /// A higher epoch was found.
    Fenced(Epoch),
}

type Log = Journal<Arc<crate::store::HttpStore>, Box<dyn Fn() -> Time + Send>>;

/// Opens the log and serves the owner until it drops its end of the queue.
pub(super) fn run(
    scheduler: &Scheduler,
    shard: ShardName,
    mut tasks: Inbox<Task>,
    mut told: Outlet<Told>,
) {
    tasks.wake_here();
    let Some((mut log, opened, began)) = open(scheduler, &shard, &tasks) else {
        tell(&mut told, Told::Failed);
        return;
    };
    tell(&mut told, Told::Opened(Box::new(opened), began));
    let clock = scheduler.process.clock;
    let mut tidied = clock.now();
    while !tasks.is_abandoned() {
        let Some(task) = tasks.pop() else {
            if clock.now().since(tidied) >= TIDY_EVERY {
                tidied = clock.now();
                tidy(&mut log, &shard);
            }
            std::thread::park_timeout(STEP.to_std());
            continue;
        };
        match task {
            Task::Append(segment) => {
                let Some(result) = append(&mut log, &segment, &tasks) else {
                    return;
                };
                tell(&mut told, result);
            }
            Task::Snapshot(state, policy) => snapshot(&mut log, &shard, &state, &policy),
        }
    }
}

fn tell(told: &mut Outlet<Told>, news: Told) {
    if told.push(news).is_err() {
        // The queue holds more than can be outstanding; its reader is gone.
        log::debug!("a journal's result was not taken");
    }
}

/// Opens the log, again and again while the store is away.
fn open(
    scheduler: &Scheduler,
    shard: &ShardName,
    tasks: &Inbox<Task>,
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
                log::error!(shard:% = shard, error:% = error; "the log of a shard can't be opened");
                return None;
            }
            Err(error) => {
                log::warn!(shard:% = shard, error:% = error; "the log of a shard could not be opened yet");
                std::thread::sleep(AGAIN.to_std());
            }
        }
    }
    None
}

/// Appends and finds out the result, however long the store is away. `None` if
/// the owner is gone.
fn append(log: &mut Log, segment: &Segment, tasks: &Inbox<Task>) -> Option<Told> {
    let mut result = log.append(segment);
    while matches!(result, Err(JournalError::Unresolved(_))) {
        if tasks.is_abandoned() {
            return None;
        }
        std::thread::sleep(AGAIN.to_std());
        result = log.resolve();
    }
    let result = match result {
        Ok(()) => Ok(()),
        Err(JournalError::Fenced(epoch)) => return Some(Told::Fenced(epoch)),
        Err(JournalError::Store(error) | JournalError::Unresolved(error)) => Err(error),
        Err(error @ JournalError::Corrupt { .. }) => {
            log::error!(error:% = error; "the log of a shard is damaged");
            Err(StoreError::Malformed(error.to_string()))
        }
    };
    Some(Told::Appended(segment.seq, result, log.is_snapshot_due()))
}

fn snapshot(log: &mut Log, shard: &ShardName, state: &State, policy: &[u8]) {
    match log.snapshot(state, policy) {
        Ok(()) => log::debug!(shard:% = shard, next = state.next_segment; "a snapshot was written"),
        // A fenced journal's next append tells the owner.
        Err(error) => log::warn!(shard:% = shard, error:% = error; "a snapshot was not written"),
    }
}

fn tidy(log: &mut Log, shard: &ShardName) {
    if let Err(error) = log.delete_covered(TIDY) {
        log::debug!(shard:% = shard, error:% = error; "covered segments were not deleted");
    }
}
