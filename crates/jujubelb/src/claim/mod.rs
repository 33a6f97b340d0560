//! At-most-once claims of request keys.
//!
//! Three holders are chosen for each key by rendezvous hashing over the configured
//! entry hosts. A request is sent only after a majority of them granted its claim. Two
//! majorities have a holder in common, so that two requests with the same key can't
//! both be granted.
//!
//! Four rules preserve this across restarts and changes of the host set:
//!
//! - A holder abstains for the retention of claims after its start, because it may have
//!   lost claims.
//! - After a change of the host set, a majority in both the former and the new set is
//!   needed until the former set is no longer relevant.
//! - A process that started after the change does not know the former set. Therefore a
//!   claim includes the sets that its claimant knows, and a holder that knows another
//!   relevant one abstains.
//! - A partitioned process does not learn of the change at all. Therefore a process
//!   claims nothing unless a read younger than the lifetime of a key confirmed its
//!   configuration, and a former set stays relevant for longer than that age and the
//!   lifetime of a key together.

mod claimant;
mod holder;
mod hosts;

#[cfg(test)]
mod tests;

pub use claimant::Claimant;
pub use holder::{Holder, HolderState};
pub use hosts::{ClaimPlan, HostSetId, HostSets};

use crate::model::Span;

/// Default of the lifetime of a key: the time after its first request within which a
/// caller may retry with the same key.
pub const DEFAULT_KEY_LIFETIME: Span = Span::from_secs(600);

/// Added to the lifetime of a key: the time that a claim may take (10 s,
/// [`CLAIM_TIMEOUT`]) and the delay of a new configuration (5 s), rounded up.
const RETENTION_MARGIN: Span = Span::from_secs(16);

/// Time for which a claim is kept, and for which a holder abstains after its start, by
/// the lifetime of a key. It exceeds the lifetime by a margin, and by 5 % for clocks
/// that run at different rates.
pub fn claim_retention(key: Span) -> Span {
    key.scale_up(105, 100) + RETENTION_MARGIN
}

/// Time for which a former host set stays relevant, by the lifetime of a key: a
/// partitioned process may claim under it for one lifetime after the change, and the
/// caller may retry at another process for another lifetime.
pub fn former_set_retention(key: Span) -> Span {
    claim_retention(key) + key.scale_up(105, 100)
}

/// Whether a process may claim keys. `age` is the time since its configuration was last
/// confirmed, `key` the lifetime of a key.
pub fn may_claim(age: Option<Span>, key: Span) -> bool {
    age.is_some_and(|age| age <= key)
}

/// Time after its start within which a claim has to be decided.
pub const CLAIM_TIMEOUT: Span = Span::from_secs(10);
