//! Relocation from workers that can't be reached.

use indexmap::IndexMap;

use super::link::LEASE_EXPIRY_WAIT;
use super::owner::{LEASE_RENEWAL_WINDOW, Owner};
use super::policy::Policy;
use super::reconcile::Ending;
use super::recorder::Note;
use super::state::State;
use crate::journal::{AttemptOutcome, Change, WriterId};
use crate::model::{Action, Cause, Epoch, Fact, Subject, Time, Unit, WorkerName};

/// What is known of former owners that may still renew leases.
#[derive(Debug)]
pub(super) struct Recovery {
    /// When the log was opened. No former owner had an append confirmed after this.
    opened: Time,
    formers: IndexMap<Epoch, WriterId>,
    /// When each former owner was known to have stopped renewing.
    cleared: IndexMap<Epoch, Time>,
}

impl Recovery {
    pub(super) fn new(now: Time, state: &State) -> Self {
        let formers = state.owners.iter().filter(|(e, _)| **e < state.epoch);
        let mut recovery = Self {
            opened: now,
            formers: formers.map(|(e, w)| (*e, w.clone())).collect(),
            cleared: IndexMap::new(),
        };
        // A process has one owner of a shard at a time, so its own earlier terms are over.
        if let Some(writer) = &state.writer {
            recovery.clear(now, writer);
        }
        recovery
    }

    /// Notes that a former owner renews no lease any more.
    pub(super) fn clear(&mut self, now: Time, writer: &WriterId) {
        for (epoch, former) in &self.formers {
            if former == writer {
                self.cleared.entry(*epoch).or_insert(now);
            }
        }
    }

    /// Former owners that may still renew leases.
    pub(super) fn open(&self) -> impl Iterator<Item = &WriterId> {
        let open = self
            .formers
            .iter()
            .filter(|(e, _)| !self.cleared.contains_key(*e));
        open.map(|(_, writer)| writer)
    }

    /// Since when no former owner renews leases, if that is known.
    pub(super) fn clear_since(&self, now: Time) -> Option<Time> {
        // 5 % for the drift between the clocks of two processes.
        let authority = LEASE_RENEWAL_WINDOW.scale_up(105, 100);
        let expired = self.opened + authority;
        if self.open().next().is_none() {
            let last = self.cleared.values().max().copied();
            return Some(last.map_or(self.opened, |last| last.max(self.opened)));
        }
        (now >= expired).then_some(expired)
    }
}

impl<P: Policy> Owner<P> {
    /// Former owners of whom it is not known that they stopped renewing leases.
    /// The process asks their nodes and passes `Input::FormerOwner` in.
    pub fn former_owners(&self) -> Vec<WriterId> {
        self.recovery.open().cloned().collect()
    }

    /// Notes an operator's word that a worker's host is dead.
    pub(super) fn confirm_dead(&mut self, now: Time, worker: WorkerName) {
        if let Some(link) = self.links.get_mut(&worker).filter(|l| l.seen.is_none()) {
            link.dead.get_or_insert(now);
        }
    }

    /// Gives up attempts on workers whose lease has certainly ended.
    pub(super) fn relocate(&mut self, now: Time) {
        let clear_since = self.recovery.clear_since(now);
        if clear_since.is_some() && self.book.planned.owners.len() > 1 {
            let below = self.epoch;
            self.plan(now, Change::OwnersRetired { below }, None);
        }
        let mut lost = Vec::new();
        for worker in self.book.occupied() {
            let Some(link) = self.links.get(worker) else {
                continue;
            };
            let (ended, cause) = match &link.seen {
                Some(_) => (Some(link.bound), Cause::WorkerUnreachable),
                None if link.dead.is_some() && clear_since.is_none() => (
                    link.dead.map(|t| t + LEASE_EXPIRY_WAIT),
                    Cause::ConfirmedDead,
                ),
                None => (
                    clear_since.map(|t| t + LEASE_EXPIRY_WAIT),
                    Cause::WorkerUnreachable,
                ),
            };
            if ended.is_some_and(|ended| now >= ended) {
                lost.push((worker.clone(), cause));
            }
        }
        for (worker, cause) in lost {
            self.give_up(now, &worker, cause);
        }
    }

    fn give_up(&mut self, now: Time, worker: &WorkerName, cause: Cause) {
        let waited = i64::try_from(LEASE_EXPIRY_WAIT.as_micros()).unwrap_or(i64::MAX);
        let note = Note::new(Subject::Worker(worker.clone()), Action::Remove, cause)
            .facts(vec![Fact::new("lease-wait", waited, Unit::Micros)]);
        let parent = self.record(now, note);
        let assigned: Vec<_> = self
            .book
            .assigned(worker)
            .map(|(task, attempt, _)| (task.clone(), attempt))
            .collect();
        for (task, attempt) in assigned {
            let key = (task.clone(), attempt);
            let link = self.links.get(worker);
            let sent = link.is_some_and(|link| link.starts.contains_key(&key));
            let outcome = match sent || self.is_inherited(&task) {
                true => AttemptOutcome::Loss,
                false => AttemptOutcome::NotStarted,
            };
            let ending = Ending::unreported(outcome, cause, Some(parent.clone()));
            self.end(now, worker, &task, attempt, ending);
        }
        if let Some(link) = self.links.get_mut(worker) {
            link.lost = true;
        }
    }
}
