//! At-most-once claims of request keys.
//!
//! Three holders are chosen for each key by rendezvous hashing over the
//! configured entry hosts. A request is sent only after a majority of them
//! granted its claim; two majorities have a holder in common, hence two
//! attempts with the same key can't both be granted.
//!
//! Four rules keep this true through restarts and changes of the host set:
//!
//! - A holder that started less than one lifetime ago abstains, because it may
//!   have lost claims.
//! - After a change of the host set a majority in the old and in the new set is
//!   needed for one lifetime.
//! - A process that started after the change does not know the old set.
//!   Therefore a claim names the sets that its claimant knows, and a holder
//!   that knows of another one abstains.
//! - A partitioned process does not hear of the change at all. Therefore a
//!   process claims nothing while its configuration is confirmed by no read
//!   younger than the lifetime of a key, and a former set matters for longer
//!   than that age and the lifetime of a key together.

mod claimant;
mod holder;
mod hosts;

#[cfg(test)]
mod tests;

pub use claimant::Claimant;
pub use holder::{Holder, HolderState};
pub use hosts::{ClaimPlan, HostSetId, HostSets};

use crate::model::Span;

/// Time after its first attempt within which a caller may retry with the same
/// key, if the settings name no other.
pub const DEFAULT_KEY_LIFETIME: Span = Span::from_secs(600);

/// Added to the lifetime of a key: the time that a claim may take (10 s) and the
/// delay with which a new configuration arrives (5 s), rounded up.
const MARGIN: Span = Span::from_secs(16);

/// Time for which a claim is held and for which a holder abstains after its
/// start. It is longer than the lifetime of the key by a margin and by 5 % for
/// clocks of different speed.
pub fn claim_retention(key: Span) -> Span {
    key.scale_up(105, 100) + MARGIN
}

/// Time for which a former host set matters: a partitioned process may claim
/// under it for one lifetime after the change, and the caller may retry
/// elsewhere for another one.
pub fn former_set_retention(key: Span) -> Span {
    claim_retention(key) + key.scale_up(105, 100)
}

/// Whether a process may claim keys, by the age of the evidence of its configuration.
pub fn may_claim(age: Option<Span>, key: Span) -> bool {
    age.is_some_and(|age| age <= key)
}

/// Time after admission within which a claim has to be decided.
pub const CLAIM_TIMEOUT: Span = Span::from_secs(10);
