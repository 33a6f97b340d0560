//! Evidence for starts: how old the knowledge of evacuated domains and draining workers is.
//!
//! A task must not start in a domain for longer than a bound after its evacuation was acknowledged,
//! nor on a worker that drains. Evidence from a call that was sent at some time shows all that was
//! acknowledged before it, so a start within the bound after that time keeps the rule.

use super::Dispatcher;
use crate::model::{Span, Time, WorkerName};

/// Time that a start needs at most from its sending to the worker: two ways of 30 ms each, if it
/// goes through a relay, and the time in which its calls are collected.
const WAY_MARGIN: Span = Span::from_millis(75);

/// Part of a bound that is left when a start is planned: the way to the worker, and a short wait
/// before other orders. The operator's keys and the entries are read often enough for that: a watch
/// is answered after a second at the latest, so that evidence is at most about 2 s old.
const START_MARGIN: Span = Span::from_millis(150);

/// Longest time for which starts wait for newer evidence. A store that answers neither the watch nor
/// a read for so long is disturbed, and the bounds don't hold then; callers wait all the same.
const MAX_HOLD: Span = Span::from_secs(2);

/// What is known of the store, and since when.
#[derive(Debug, Default)]
pub(super) struct StartEvidence {
    /// When the last call was sent whose answer has shown all evacuated domains.
    evacuations: Option<Time>,
    /// When the last call was sent whose answer has shown all entries of workers.
    entries: Option<Time>,
    /// Whether the store does not answer this host, so that there is no newer evidence.
    store_lost: bool,
    /// When starts began to wait for newer evidence.
    held_since: Option<Time>,
}

/// Evidence that is missing for starts: for each part the time at or after which a call has to be
/// sent whose answer suffices; `None` if nothing has to be read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MissingEvidence {
    /// Of the evacuated domains.
    pub evacuations: Option<Time>,
    /// Of the entries of workers.
    pub entries: Option<Time>,
}

impl Dispatcher {
    /// Records that a call sent at this time has shown all evacuated domains.
    pub fn confirm_evacuations(&mut self, sent: Time) {
        let known = &mut self.evidence.evacuations;
        *known = (*known).max(Some(sent));
    }

    /// Records that a call sent at this time has shown the entries of all workers.
    pub fn confirm_entries(&mut self, sent: Time) {
        let known = &mut self.evidence.entries;
        *known = (*known).max(Some(sent));
    }

    /// Sets whether the store does not answer this host. Work then goes on with the evidence that
    /// there is.
    pub fn set_store_lost(&mut self, lost: bool) {
        self.evidence.store_lost = lost;
    }

    /// Evidence that has to be read before waiting tasks may start.
    pub fn missing_evidence(&self, now: Time) -> MissingEvidence {
        match self.ready.is_empty() {
            true => MissingEvidence::default(),
            false => self.missing_with(START_MARGIN, now),
        }
    }

    fn missing_with(&self, margin: Span, now: Time) -> MissingEvidence {
        if self.evidence.store_lost {
            return MissingEvidence::default();
        }
        let missing = |known: Option<Time>, bound: Span| {
            let oldest = now - bound.saturating_sub(margin);
            known.is_none_or(|sent| sent < oldest).then_some(oldest)
        };
        MissingEvidence {
            evacuations: missing(self.evidence.evacuations, self.bounds.evacuation),
            entries: missing(self.evidence.entries, self.bounds.drain),
        }
    }

    /// Whether the evidence lets tasks start. Logs when starts begin and cease to wait for it.
    pub(super) fn check_evidence(&mut self, now: Time) -> bool {
        let missing = self.missing_evidence(now);
        let age = |known: Option<Time>| known.map(|sent| now.since(sent));
        let is_sufficient = missing == MissingEvidence::default();
        let is_over = self.is_hold_over(now);
        match (is_sufficient, self.evidence.held_since) {
            (false, None) => {
                self.evidence.held_since = Some(now);
                log::warn!(evacuations:? = age(self.evidence.evacuations), entries:? = age(self.evidence.entries); "starts wait: the evidence for evacuations or entries of workers is too old");
            }
            (true, Some(since)) => {
                self.evidence.held_since = None;
                log::info!(waited:% = now.since(since), store_lost = self.evidence.store_lost; "starts go on");
            }
            _ => {}
        }
        is_sufficient || is_over
    }

    /// Whether starts have waited for newer evidence for so long that they go on without it.
    fn is_hold_over(&self, now: Time) -> bool {
        let held = self.evidence.held_since.map(|since| now.since(since));
        held.is_some_and(|held| held >= MAX_HOLD)
    }

    /// Whether a start order that has waited may still be sent as far as evacuations and draining
    /// workers are concerned.
    pub fn is_start_permitted(&self, name: &WorkerName, now: Time) -> bool {
        let is_open = self.workers.get(name).is_some_and(|worker| {
            worker.drain_deadline.is_none() && !self.evacuated.contains(&worker.report.domain)
        });
        let missing = self.missing_with(WAY_MARGIN, now);
        is_open && (missing == MissingEvidence::default() || self.is_hold_over(now))
    }
}
