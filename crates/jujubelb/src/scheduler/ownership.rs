//! The thread that keeps this process's store lease, takes shards over and
//! gives up their keys.
//!
//! The key only tells who should own a shard; the shard's log decides who may.

use std::sync::Arc;
use std::thread::JoinHandle;

use indexmap::IndexMap;

use super::Scheduler;
use super::claim::Claims;
use super::journal::{self, Task, Told};
use crate::model::{ShardName, Span, Time};
use crate::process::Running;
use crate::store::{Expect, LeaseId, Store, StoreError, Version};
use crate::telemetry::{Inbox, Outlet, queue};

/// Length of the store lease. With the time for a takeover it stays below the
/// worker lease of 15 s, so that tasks of a dead owner go on.
const LEASE: Span = Span::from_secs(6);

/// Interval of renewals. Two may fail before the lease ends.
const RENEW: Span = Span::from_secs(2);

/// Interval of the thread's decisions.
const STEP: Span = Span::from_millis(100);

/// Entries in the queues to and from a journal: one append, one snapshot and
/// one request to end are outstanding at most.
const QUEUE: usize = 8;

/// A shard that was taken over: the ends of its journal's queues.
#[derive(Debug)]
pub(super) struct Taken {
    pub(super) shard: ShardName,
    pub(super) tasks: Outlet<Task>,
    pub(super) told: Inbox<Told>,
}

/// State of the thread.
pub(super) struct Ownership {
    scheduler: Arc<Scheduler>,
    claims: Claims,
    taken: Outlet<Taken>,
    /// Shards whose term ended.
    ended: Inbox<ShardName>,
    lease: Option<(LeaseId, Time)>,
    /// Owned shards with the version of their key, unless it was lost.
    owned: IndexMap<ShardName, Option<Version>>,
    journals: Vec<JoinHandle<()>>,
}

impl Ownership {
    /// The state at the start.
    pub(super) fn new(
        scheduler: Arc<Scheduler>,
        taken: Outlet<Taken>,
        ended: Inbox<ShardName>,
    ) -> Self {
        let process = &scheduler.process;
        let claims = Claims::new(
            process.clock.now(),
            process.node.clone(),
            process.settings.domain.clone(),
        );
        Self {
            scheduler,
            claims,
            taken,
            ended,
            lease: None,
            owned: IndexMap::new(),
            journals: Vec::new(),
        }
    }

    /// Runs until the process ends.
    pub(super) fn run(mut self, running: &Running) {
        self.ended.wake_here();
        while running.goes_on() {
            self.give_up_ended();
            self.renew();
            self.take_over(running);
            self.journals.retain(|journal| !journal.is_finished());
            running.wait(STEP);
        }
        self.give_up_ended();
        for journal in self.journals {
            if journal.join().is_err() {
                log::error!("the thread of a journal ended with a panic");
            }
        }
    }

    fn give_up_ended(&mut self) {
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
                .delete(&key(&shard), Expect::Version(version));
            if let Err(error) = deleted {
                // The key ends with the lease.
                log::info!(shard:% = shard, error:% = error; "the key of a shard could not be deleted");
            }
        }
        if self.owned.is_empty()
            && self.scheduler.process.is_draining()
            && let Some((lease, _)) = self.lease.take()
        {
            let _ = self.scheduler.process.store.revoke(lease);
        }
    }

    fn renew(&mut self) {
        let now = self.scheduler.process.clock.now();
        let Some((lease, renewed)) = self.lease else {
            return self.restore();
        };
        if now.since(renewed) < RENEW {
            return;
        }
        if self.owned.is_empty() {
            // It ends by itself; a new one is made when it is needed.
            self.lease = None;
            return;
        }
        match self.scheduler.process.store.renew(lease) {
            Ok(()) => self.lease = Some((lease, now)),
            Err(StoreError::LeaseEnded) => {
                self.lease = None;
                self.owned.values_mut().for_each(|version| *version = None);
                self.restore();
            }
            Err(error) => {
                log::warn!(error:% = error; "the store lease could not be renewed");
                // Try again in the next step; the store's adapter keeps the pace.
            }
        }
    }

    /// Writes the keys of owned shards again after the lease ended, for example
    /// in an outage of the store. If another process was faster, its append to
    /// the log ends this one's term.
    fn restore(&mut self) {
        let lost = |(shard, version): (&ShardName, &Option<Version>)| {
            version.is_none().then(|| shard.clone())
        };
        let lost: Vec<_> = self.owned.iter().filter_map(lost).collect();
        for shard in lost {
            if let Some(version) = self.put(&shard) {
                self.owned.insert(shard, Some(version));
            }
        }
    }

    fn take_over(&mut self, running: &Running) {
        let scheduler = self.scheduler.clone();
        if scheduler.process.is_draining() {
            return;
        }
        let (now, config) = (
            scheduler.process.clock.now(),
            scheduler.process.board.config(),
        );
        let members = scheduler.peers.present();
        let owned: Vec<_> = self.owned.keys().cloned().collect();
        for shard in self.claims.due(now, &config, &members, &owned) {
            if !running.goes_on() {
                return;
            }
            if let Some(version) = self.put(&shard) {
                log::info!(shard:% = shard; "the process takes a shard over");
                self.owned.insert(shard.clone(), Some(version));
                scheduler.process.store.set_shards(self.owned.len());
                self.open(shard);
            }
        }
    }

    /// Writes the key of a shard under the lease, if no other process has it.
    fn put(&mut self, shard: &ShardName) -> Option<Version> {
        let process = &self.scheduler.process;
        let lease = match self.lease {
            Some((lease, _)) => lease,
            None => match process.store.grant(LEASE) {
                Ok(lease) => {
                    self.lease = Some((lease, process.clock.now()));
                    lease
                }
                Err(error) => {
                    log::debug!(error:% = error; "no store lease was granted");
                    return None;
                }
            },
        };
        // The incarnation tells this process's key from that of an earlier one,
        // whose lease is about to end.
        let value = format!("{} {}", process.node, process.incarnation.0);
        let value = value.as_bytes();
        match process
            .store
            .put(&key(shard), value, Expect::Absent, Some(lease))
        {
            Ok(version) => Some(version),
            Err(StoreError::LeaseEnded) => {
                self.lease = None;
                None
            }
            // The key may be this process's own, written by a call whose answer was lost.
            Err(StoreError::Conflict { .. } | StoreError::Unknown(_)) => {
                let entry = process.store.get(&key(shard)).ok().flatten()?;
                (entry.value == value).then_some(entry.version)
            }
            Err(error) => {
                log::debug!(shard:% = shard, error:% = error; "a shard could not be taken over");
                None
            }
        }
    }

    /// Starts the journal of a shard and passes its queues to the owner thread.
    fn open(&mut self, shard: ShardName) {
        let queues = &self.scheduler.process.queues;
        let (tasks, work) = queue(queues, "journal-tasks", QUEUE);
        let (results, told) = queue(queues, "journal-results", QUEUE);
        let (scheduler, name) = (self.scheduler.clone(), shard.clone());
        let thread = std::thread::Builder::new()
            .name("journal".into())
            .spawn(move || journal::run(&scheduler, name, work, results));
        let journal = match thread {
            Ok(journal) => journal,
            Err(error) => {
                log::error!(error:% = error; "the thread of a journal could not be started");
                self.owned.swap_remove(&shard);
                return;
            }
        };
        self.journals.push(journal);
        if self.taken.push(Taken { shard, tasks, told }).is_err() {
            // The queue has room for all shards; the dropped ends stop the journal.
            log::error!("a shard that was taken over could not be passed on");
        }
    }
}

/// Key that names the owner of a shard.
fn key(shard: &ShardName) -> String {
    format!("shard/{shard}/owner")
}
