//! Relocation of tasks from unreachable workers once their leases have certainly expired.

use indexmap::IndexMap;

use super::owner::{LEASE_RENEWAL_WINDOW, Owner};
use super::policy::Policy;
use super::reconcile::AttemptEnd;
use super::recorder::RecordDraft;
use super::state::State;
use super::tracked_worker::LEASE_EXPIRY_WAIT;
use crate::journal::{AttemptOutcome, Change, WriterId};
use crate::model::{Action, Cause, Epoch, Fact, Subject, Time, Unit, WorkerName};

/// Former owners of the shard, with those that are known to have stopped renewing leases.
#[derive(Debug)]
pub(super) struct FormerOwners {
    /// Time at which the log was opened. No append of a former owner was confirmed after it.
    log_opened: Time,
    by_epoch: IndexMap<Epoch, WriterId>,
    /// Time at which each former owner was known to have stopped renewing leases.
    stopped_at: IndexMap<Epoch, Time>,
}

impl FormerOwners {
    pub(super) fn new(now: Time, state: &State) -> Self {
        let formers = state.owners.iter().filter(|(e, _)| **e < state.epoch);
        let mut recovery = Self {
            log_opened: now,
            by_epoch: formers.map(|(e, w)| (*e, w.clone())).collect(),
            stopped_at: IndexMap::new(),
        };
        // A process has one owner per shard at a time, so its own earlier terms have ended.
        if let Some(writer) = &state.writer {
            recovery.mark_stopped(now, writer);
        }
        recovery
    }

    /// Notes that a former owner no longer renews leases.
    pub(super) fn mark_stopped(&mut self, now: Time, writer: &WriterId) {
        for (epoch, former) in &self.by_epoch {
            if former == writer {
                self.stopped_at.entry(*epoch).or_insert(now);
            }
        }
    }

    /// Returns the former owners that may still renew leases.
    pub(super) fn unresolved(&self) -> impl Iterator<Item = &WriterId> {
        let open = self
            .by_epoch
            .iter()
            .filter(|(e, _)| !self.stopped_at.contains_key(*e));
        open.map(|(_, writer)| writer)
    }

    /// Returns the time since which no former owner renews leases, if it is known.
    pub(super) fn all_stopped_since(&self, now: Time) -> Option<Time> {
        // 5 % more, for the drift between the clocks of two processes.
        let authority = LEASE_RENEWAL_WINDOW.scale_up(105, 100);
        let expired = self.log_opened + authority;
        if self.unresolved().next().is_none() {
            let last = self.stopped_at.values().max().copied();
            return Some(last.map_or(self.log_opened, |last| last.max(self.log_opened)));
        }
        (now >= expired).then_some(expired)
    }
}

impl<P: Policy> Owner<P> {
    /// Returns the former owners that may still renew leases. The process queries
    /// their nodes and passes in `Input::FormerOwner`.
    pub fn former_owners(&self) -> Vec<WriterId> {
        self.former_owners.unresolved().cloned().collect()
    }

    /// Notes an operator's confirmation that a worker's host is dead. Ignored if
    /// the worker has reported to this owner.
    pub(super) fn confirm_dead(&mut self, now: Time, worker: WorkerName) {
        if let Some(tracked) = self
            .workers
            .get_mut(&worker)
            .filter(|l| l.last_report.is_none())
        {
            tracked.confirmed_dead.get_or_insert(now);
        }
    }

    /// Ends all attempts on workers whose lease has certainly expired.
    pub(super) fn relocate_lost_tasks(&mut self, now: Time) {
        let all_stopped_since = self.former_owners.all_stopped_since(now);
        if all_stopped_since.is_some() && self.state.planned.owners.len() > 1 {
            let below = self.epoch;
            self.plan(now, Change::OwnersRetired { below }, None);
        }
        let mut lost = Vec::new();
        for worker in self.state.occupied_workers() {
            let Some(tracked) = self.workers.get(worker) else {
                continue;
            };
            let (ended, cause) = match &tracked.last_report {
                Some(_) => (Some(tracked.lease_bound), Cause::WorkerUnreachable),
                None if tracked.confirmed_dead.is_some() && all_stopped_since.is_none() => (
                    tracked.confirmed_dead.map(|t| t + LEASE_EXPIRY_WAIT),
                    Cause::ConfirmedDead,
                ),
                None => (
                    all_stopped_since.map(|t| t + LEASE_EXPIRY_WAIT),
                    Cause::WorkerUnreachable,
                ),
            };
            if ended.is_some_and(|ended| now >= ended) {
                lost.push((worker.clone(), cause));
            }
        }
        for (worker, cause) in lost {
            self.give_up_worker(now, &worker, cause);
        }
    }

    fn give_up_worker(&mut self, now: Time, worker: &WorkerName, cause: Cause) {
        let waited = i64::try_from(LEASE_EXPIRY_WAIT.as_micros()).unwrap_or(i64::MAX);
        let draft = RecordDraft::new(Subject::Worker(worker.clone()), Action::Remove, cause)
            .with_facts(vec![Fact::new("lease-wait", waited, Unit::Micros)]);
        let parent = self.record(now, draft);
        let assigned: Vec<_> = self
            .state
            .assigned(worker)
            .map(|(task, attempt, _)| (task.clone(), attempt))
            .collect();
        for (task, attempt) in assigned {
            let key = (task.clone(), attempt);
            let tracked = self.workers.get(worker);
            let sent = tracked.is_some_and(|tracked| tracked.sent_starts.contains_key(&key));
            let outcome = match sent || self.is_inherited(&task) {
                true => AttemptOutcome::Loss,
                false => AttemptOutcome::NotStarted,
            };
            let end = AttemptEnd::unreported(outcome, cause, Some(parent.clone()));
            self.end_attempt(now, worker, &task, attempt, end);
        }
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.relocated = true;
        }
    }
}
