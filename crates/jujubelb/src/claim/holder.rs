//! The claims that this process holds.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::Serialize;

use crate::model::{Span, Time};
use crate::peer::{ClaimAnswer, ClaimKey};

use super::{HostSetId, HostSets};

/// Claims that are held at most. Each takes a few hundred bytes, hence this is
/// some 20 MB and enough for 100 keyed requests per second at each holder.
const KEPT: usize = 60_000;

/// Holder of claims. Memory is bounded: when it is full, new claims are not granted.
#[derive(Debug)]
pub struct Holder {
    lifetime: Span,
    /// Until then an earlier claim may have been lost by a restart.
    abstains_until: Time,
    claims: IndexMap<ClaimKey, Held>,
    /// Ends of all entries in order; entries never change their end.
    ends: VecDeque<(Time, ClaimKey)>,
    kept: usize,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    claimant: u128,
    /// The claimant gave it up. The entry stays, so that the claim is not
    /// granted if it arrives after the release.
    released: bool,
    until: Time,
}

/// State of a holder, for dumps.
#[derive(Debug, Clone, Serialize)]
pub struct HolderState {
    /// Claims held, also released ones.
    pub claims: usize,
    /// Most claims that are held.
    pub limit: usize,
    /// Whether new claims are not granted because the process started recently.
    pub abstaining: bool,
}

impl Holder {
    /// A holder of a process that starts now.
    pub fn new(now: Time, lifetime: Span) -> Self {
        Self::with_capacity(now, lifetime, KEPT)
    }

    pub(super) fn with_capacity(now: Time, lifetime: Span, kept: usize) -> Self {
        Self {
            lifetime,
            abstains_until: now + lifetime,
            claims: IndexMap::new(),
            ends: VecDeque::new(),
            kept,
        }
    }

    /// Answers a claim. `sets` are the host sets that the claimant knows, and
    /// `own` those that this process knows. A repeated claim gets the same answer.
    pub fn claim(
        &mut self,
        now: Time,
        key: &ClaimKey,
        claimant: u128,
        sets: &[HostSetId],
        own: &HostSets,
    ) -> ClaimAnswer {
        self.expire(now);
        match self.claims.get(key).copied() {
            Some(held) if held.claimant == claimant && held.released => ClaimAnswer::Abstained,
            Some(held) if held.claimant == claimant => ClaimAnswer::Granted,
            Some(held) if !held.released => ClaimAnswer::Held,
            _ if now < self.abstains_until || !own.are_known_to(now, sets) => {
                ClaimAnswer::Abstained
            }
            _ if self.hold(now, key, claimant, false) => ClaimAnswer::Granted,
            _ => ClaimAnswer::Abstained,
        }
    }

    /// Gives up a claim of a request that was certainly not sent.
    pub fn release(&mut self, now: Time, key: &ClaimKey, claimant: u128) {
        self.expire(now);
        match self.claims.get_mut(key) {
            Some(held) if held.claimant == claimant => held.released = true,
            Some(_) => {}
            None => {
                self.hold(now, key, claimant, true);
            }
        }
    }

    #[cfg(test)]
    pub(crate) fn abstains_until_for_test(&mut self, until: Time) {
        self.abstains_until = until;
    }

    /// State for dumps.
    pub fn state(&self, now: Time) -> HolderState {
        HolderState {
            claims: self.claims.len(),
            limit: self.kept,
            abstaining: now < self.abstains_until,
        }
    }

    /// Enters a claim, if there is room.
    fn hold(&mut self, now: Time, key: &ClaimKey, claimant: u128, released: bool) -> bool {
        if self.ends.len() >= self.kept {
            return false;
        }
        let until = now + self.lifetime;
        let held = Held {
            claimant,
            released,
            until,
        };
        self.claims.insert(key.clone(), held);
        self.ends.push_back((until, key.clone()));
        true
    }

    fn expire(&mut self, now: Time) {
        while let Some((until, key)) = self.ends.pop_front_if(|(until, _)| *until <= now) {
            // A released claim may have been replaced by a newer one.
            if self
                .claims
                .get(&key)
                .is_some_and(|held| held.until == until)
            {
                self.claims.swap_remove(&key);
            }
        }
    }
}
