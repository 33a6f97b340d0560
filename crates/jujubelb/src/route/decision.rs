//! Aggregation of refusals, delays and endpoint removals into decision records.

use indexmap::IndexMap;

use crate::model::{Action, Cause, Fact, Record, RecordId, Revision, Subject, Time, WallTime};

/// Maximum number of aggregated decisions waiting to be collected. Beyond it new
/// ones are only counted, so that memory stays bounded if nothing collects them.
const MAX_PENDING_DECISIONS: usize = 2_048;

/// Decisions of one second that have the same subject, action and cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AggregatedDecision {
    /// Time of the first decision.
    pub at: Time,
    /// What the decisions are about.
    pub subject: Subject,
    /// The action taken.
    pub action: Action,
    /// The cause of the action.
    pub cause: Cause,
    /// Values that the first decision compared.
    pub facts: Vec<Fact>,
    /// Number of decisions, saturating.
    pub count: u32,
}

impl AggregatedDecision {
    /// Converts to a decision record.
    pub fn into_record(self, id: RecordId, at: WallTime, revision: Revision) -> Record {
        Record {
            id,
            at,
            shard: None,
            subject: self.subject,
            action: self.action,
            cause: self.cause,
            place: None,
            facts: self.facts,
            revision,
            parent: None,
            count: self.count,
        }
    }
}

/// Decisions that were not collected yet, by second.
#[derive(Debug, Clone, Default)]
pub(super) struct DecisionLog {
    pending: IndexMap<(u64, Subject, Action, Cause), AggregatedDecision>,
    /// Decisions that were not recorded because the log was full.
    dropped: u64,
}

impl DecisionLog {
    /// Adds a decision to the aggregate of its second. `facts` is called only for the first one.
    pub(super) fn record(
        &mut self,
        at: Time,
        subject: Subject,
        action: Action,
        cause: Cause,
        facts: impl FnOnce() -> Vec<Fact>,
    ) {
        let key = (second(at), subject, action, cause);
        if let Some(decision) = self.pending.get_mut(&key) {
            decision.count = decision.count.saturating_add(1);
            return;
        }
        if self.pending.len() >= MAX_PENDING_DECISIONS {
            self.dropped += 1;
            return;
        }
        let decision = AggregatedDecision {
            at,
            subject: key.1.clone(),
            action,
            cause,
            facts: facts(),
            count: 1,
        };
        self.pending.insert(key, decision);
    }

    /// Removes and returns the decisions of all seconds before the current one.
    pub(super) fn take(&mut self, now: Time) -> Vec<AggregatedDecision> {
        let current = second(now);
        let (done, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|((second, ..), _)| *second < current);
        self.pending = pending;
        let done: IndexMap<_, _> = done;
        done.into_values().collect()
    }

    /// Number of decisions that were not recorded because the log was full.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }
}

fn second(at: Time) -> u64 {
    at.as_micros() / 1_000_000
}
