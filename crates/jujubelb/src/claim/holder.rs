//! The claims that this process keeps as a holder.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::Serialize;

use crate::model::{Span, Time};
use crate::peer::{ClaimKey, ClaimReply};

use super::{HostSetId, HostSets};

/// Maximum number of claims kept. Each takes a few hundred bytes, so this is some
/// 20 MB, and enough for 100 keyed requests per second at each holder.
const MAX_CLAIMS: usize = 60_000;

/// Holder of claims. Memory is bounded: when the table is full, new claims are not
/// granted.
#[derive(Debug)]
pub struct Holder {
    /// Time for which a claim is kept.
    retention: Span,
    /// Until then an earlier claim may exist that was lost by a restart.
    abstains_until: Time,
    claims: IndexMap<ClaimKey, ClaimEntry>,
    /// Expiration times in ascending order. An entry's expiration never changes, but
    /// the entry may have been replaced.
    expirations: VecDeque<(Time, ClaimKey)>,
    max_claims: usize,
}

#[derive(Debug, Clone, Copy)]
struct ClaimEntry {
    claimant: u128,
    /// Whether the claimant released it. The entry stays, so that the claim is not
    /// granted if it arrives after the release.
    released: bool,
    expires: Time,
}

/// State of a holder for diagnostic dumps.
#[derive(Debug, Clone, Serialize)]
pub struct HolderState {
    /// Number of claims, including released ones.
    pub claims: usize,
    /// Maximum number of claims.
    pub limit: usize,
    /// Whether the holder abstains because its process started recently.
    pub abstaining: bool,
}

impl Holder {
    /// Creates the holder of a process that starts now. `retention` is the time for which
    /// a claim is kept, and for which the holder abstains at first.
    pub fn new(now: Time, retention: Span) -> Self {
        Self::with_capacity(now, retention, MAX_CLAIMS)
    }

    pub(super) fn with_capacity(now: Time, retention: Span, max_claims: usize) -> Self {
        Self {
            retention,
            abstains_until: now + retention,
            claims: IndexMap::new(),
            expirations: VecDeque::new(),
            max_claims,
        }
    }

    /// Handles a claim. `sets` are the host sets that the claimant knows, `own` those
    /// that this process knows. A repeated claim gets the same answer.
    pub fn claim(
        &mut self,
        now: Time,
        key: &ClaimKey,
        claimant: u128,
        sets: &[HostSetId],
        own: &HostSets,
    ) -> ClaimReply {
        self.expire(now);
        match self.claims.get(key).copied() {
            Some(entry) if entry.claimant == claimant && entry.released => ClaimReply::Abstained,
            Some(entry) if entry.claimant == claimant => ClaimReply::Granted,
            Some(entry) if !entry.released => ClaimReply::Held,
            _ if now < self.abstains_until || !own.all_known_to(now, sets) => ClaimReply::Abstained,
            _ if self.insert_claim(now, key, claimant, false) => ClaimReply::Granted,
            _ => ClaimReply::Abstained,
        }
    }

    /// Releases the claim of a request that certainly did not run.
    pub fn release(&mut self, now: Time, key: &ClaimKey, claimant: u128) {
        self.expire(now);
        match self.claims.get_mut(key) {
            Some(entry) if entry.claimant == claimant => entry.released = true,
            Some(_) => {}
            None => {
                self.insert_claim(now, key, claimant, true);
            }
        }
    }

    #[cfg(test)]
    pub(crate) fn set_abstains_until(&mut self, until: Time) {
        self.abstains_until = until;
    }

    /// State for diagnostic dumps.
    pub fn state(&self, now: Time) -> HolderState {
        HolderState {
            claims: self.claims.len(),
            limit: self.max_claims,
            abstaining: now < self.abstains_until,
        }
    }

    /// Inserts a claim. Returns false if the table is full.
    fn insert_claim(&mut self, now: Time, key: &ClaimKey, claimant: u128, released: bool) -> bool {
        if self.expirations.len() >= self.max_claims {
            return false;
        }
        let expires = now + self.retention;
        let entry = ClaimEntry {
            claimant,
            released,
            expires,
        };
        self.claims.insert(key.clone(), entry);
        self.expirations.push_back((expires, key.clone()));
        true
    }

    fn expire(&mut self, now: Time) {
        while let Some((expires, key)) = self
            .expirations
            .pop_front_if(|(expires, _)| *expires <= now)
        {
            // A released claim may have been replaced by a newer one.
            if self
                .claims
                .get(&key)
                .is_some_and(|entry| entry.expires == expires)
            {
                self.claims.swap_remove(&key);
            }
        }
    }
}
