//! The thread that renews this process's store lease, acquires shards and
//! deletes their owner keys when their terms end.
//!
//! The owner key only coordinates who tries to own a shard; the epoch in the shard's
//! log decides who may write.

use std::sync::Arc;
use std::thread::JoinHandle;

use indexmap::IndexMap;

use super::Scheduler;
use super::claim::ClaimSchedule;
use super::journal_thread::{self, JournalEvent, JournalTask};
use crate::model::{ShardName, Span, Time};
use crate::process::Running;
use crate::store::{Expect, LeaseId, Store, StoreError, Version};
use crate::telemetry::{QueueReceiver, QueueSender, queue};

/// Duration of the store lease. Together with the time of a takeover it stays below
/// the worker lease of 15 s, so that tasks of a dead owner continue to run.
const STORE_LEASE_DURATION: Span = Span::from_secs(6);

/// Interval of lease renewals. Two may fail before the lease ends.
const LEASE_RENEWAL_INTERVAL: Span = Span::from_secs(2);

/// Interval of the thread's steps.
const STEP_INTERVAL: Span = Span::from_millis(100);

/// Capacity of the queues to and from a journal thread. At most one append, one
/// snapshot and one request to end are outstanding.
const JOURNAL_QUEUE_CAPACITY: usize = 8;

/// A shard that this process acquired, with the queues of its journal thread.
#[derive(Debug)]
pub(super) struct AcquiredShard {
    pub(super) shard: ShardName,
    pub(super) tasks: QueueSender<JournalTask>,
    pub(super) events: QueueReceiver<JournalEvent>,
}

/// State of the ownership thread.
pub(super) struct OwnershipThread {
    scheduler: Arc<Scheduler>,
    claims: ClaimSchedule,
    acquired: QueueSender<AcquiredShard>,
    /// Shards whose term ended, as the owner thread reports them.
    ended: QueueReceiver<ShardName>,
    /// The store lease and its last renewal.
    lease: Option<(LeaseId, Time)>,
    /// Owned shards with the version of their owner key, absent while the key is lost.
    owned: IndexMap<ShardName, Option<Version>>,
    journals: Vec<JoinHandle<()>>,
}

impl OwnershipThread {
    /// The state before the first shard is acquired.
    pub(super) fn new(
        scheduler: Arc<Scheduler>,
        acquired: QueueSender<AcquiredShard>,
        ended: QueueReceiver<ShardName>,
    ) -> Self {
        let process = &scheduler.process;
        let claims = ClaimSchedule::new(
            process.clock.now(),
            process.node.clone(),
            process.settings.domain.clone(),
        );
        Self {
            scheduler,
            claims,
            acquired,
            ended,
            lease: None,
            owned: IndexMap::new(),
            journals: Vec::new(),
        }
    }

    /// Runs until the process ends.
    pub(super) fn run(mut self, running: &Running) {
        self.ended.register_reader();
        while running.is_active() {
            self.release_ended();
            self.renew_lease();
            self.acquire_due(running);
            self.journals.retain(|journal| !journal.is_finished());
            running.wait(STEP_INTERVAL);
        }
        self.release_ended();
        for journal in self.journals {
            if journal.join().is_err() {
                log::error!("a journal thread panicked");
            }
        }
    }

    fn release_ended(&mut self) {
        while let Some(shard) = self.ended.pop() {
            let Some(version) = self.owned.swap_remove(&shard) else {
                continue;
            };
            self.scheduler.process.store.set_shards(self.owned.len());
            let Some(version) = version else {
                continue;
            };
            let deleted = self
                .scheduler
                .process
                .store
                .delete(&owner_key(&shard), Expect::Version(version));
            if let Err(error) = deleted {
                // The store deletes the key when the lease ends.
                log::info!(shard:% = shard, error:% = error; "the owner key of a shard could not be deleted; it ends with the store lease");
            }
        }
        if self.owned.is_empty()
            && self.scheduler.process.is_draining()
            && let Some((lease, _)) = self.lease.take()
        {
            let _ = self.scheduler.process.store.revoke(lease);
        }
    }

    fn renew_lease(&mut self) {
        let now = self.scheduler.process.clock.now();
        let Some((lease, renewed)) = self.lease else {
            return self.restore_keys();
        };
        if now.since(renewed) < LEASE_RENEWAL_INTERVAL {
            return;
        }
        if self.owned.is_empty() {
            // The lease is left to expire; the next acquired shard gets a new one.
            self.lease = None;
            return;
        }
        match self.scheduler.process.store.renew(lease) {
            Ok(()) => self.lease = Some((lease, now)),
            Err(StoreError::LeaseEnded) => {
                self.lease = None;
                self.owned.values_mut().for_each(|version| *version = None);
                self.restore_keys();
            }
            Err(error) => {
                log::warn!(error:% = error; "the store lease could not be renewed");
                // The next step retries; the store client limits the rate of calls.
            }
        }
    }

    /// Writes the keys of owned shards again after the lease ended, for example
    /// in an outage of the store. If another process has taken a shard over in the
    /// meantime, its append to the log ends this process's term.
    fn restore_keys(&mut self) {
        let lost = |(shard, version): (&ShardName, &Option<Version>)| {
            version.is_none().then(|| shard.clone())
        };
        let lost: Vec<_> = self.owned.iter().filter_map(lost).collect();
        for shard in lost {
            if let Some(version) = self.put_owner_key(&shard) {
                self.owned.insert(shard, Some(version));
            }
        }
    }

    fn acquire_due(&mut self, running: &Running) {
        let scheduler = self.scheduler.clone();
        if scheduler.process.is_draining() {
            return;
        }
        let (now, config) = (
            scheduler.process.clock.now(),
            scheduler.process.active_config.config(),
        );
        let members = scheduler.peers.present();
        let owned: Vec<_> = self.owned.keys().cloned().collect();
        for shard in self.claims.due(now, &config, &members, &owned) {
            if !running.is_active() {
                return;
            }
            if let Some(version) = self.put_owner_key(&shard) {
                log::info!(shard:% = shard; "the process acquired a shard");
                self.owned.insert(shard.clone(), Some(version));
                scheduler.process.store.set_shards(self.owned.len());
                self.start_journal(shard);
            }
        }
    }

    /// Writes the owner key of a shard under the lease, if no other process holds it.
    fn put_owner_key(&mut self, shard: &ShardName) -> Option<Version> {
        let process = &self.scheduler.process;
        let lease = match self.lease {
            Some((lease, _)) => lease,
            None => match process.store.grant(STORE_LEASE_DURATION) {
                Ok(lease) => {
                    self.lease = Some((lease, process.clock.now()));
                    lease
                }
                Err(error) => {
                    log::debug!(error:% = error; "the store lease could not be granted");
                    return None;
                }
            },
        };
        // The incarnation distinguishes this process's key from that of an earlier
        // process of this node, whose lease is about to end.
        let value = format!("{} {}", process.node, process.incarnation.0);
        let value = value.as_bytes();
        match process
            .store
            .put(&owner_key(shard), value, Expect::Absent, Some(lease))
        {
            Ok(version) => Some(version),
            Err(StoreError::LeaseEnded) => {
                self.lease = None;
                None
            }
            // The key may be this process's own, written by a call whose reply was lost.
            Err(StoreError::Conflict { .. } | StoreError::Unknown(_)) => {
                let entry = process.store.get(&owner_key(shard)).ok().flatten()?;
                (entry.value == value).then_some(entry.version)
            }
            Err(error) => {
                log::debug!(shard:% = shard, error:% = error; "a shard could not be acquired");
                None
            }
        }
    }

    /// Starts the journal thread of a shard and passes its queues to the owner thread.
    fn start_journal(&mut self, shard: ShardName) {
        let queues = &self.scheduler.process.queues;
        let (tasks, task_receiver) = queue(queues, "journal-tasks", JOURNAL_QUEUE_CAPACITY);
        let (event_sender, events) = queue(queues, "journal-results", JOURNAL_QUEUE_CAPACITY);
        let (scheduler, name) = (self.scheduler.clone(), shard.clone());
        let thread = std::thread::Builder::new()
            .name("journal".into())
            .spawn(move || journal_thread::run(&scheduler, name, task_receiver, event_sender));
        let journal = match thread {
            Ok(journal) => journal,
            Err(error) => {
                log::error!(error:% = error; "a journal thread could not be started");
                self.owned.swap_remove(&shard);
                return;
            }
        };
        self.journals.push(journal);
        if self
            .acquired
            .push(AcquiredShard {
                shard,
                tasks,
                events,
            })
            .is_err()
        {
            // The capacity exceeds the number of shards. Dropping the queue ends stops
            // the journal thread.
            log::error!(
                "an acquired shard was dropped, because the queue to the owner thread is full"
            );
        }
    }
}

/// Store key whose value names the owner of a shard.
fn owner_key(shard: &ShardName) -> String {
    format!("shard/{shard}/owner")
}
