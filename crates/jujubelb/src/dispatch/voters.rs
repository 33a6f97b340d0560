//! Hosts that a leader asks whether its term is still the newest while the store does not
//! answer it.
//!
//! A leader extends leases from the last moment at which it knew that no other leader was
//! elected. The store tells that with each renewal. Without the store, a majority of the term's
//! voters tells it. The next leader asks the voters to refuse the former term from now on;
//! once so many have agreed that no majority is left, that moment can't move any more.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::succession::EarlierLeader;

/// The voters of a term. The store has them before the leader of the term relies on them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet {
    /// Nonce of the term.
    pub term: u64,
    /// Identifies the set. A host votes in a set only if its process was enrolled in it, which
    /// the leader asks of it once, so that a restarted host, which has forgotten what it has
    /// refused, does not vote.
    pub id: u64,
    /// Addresses on which the voters take calls of other hosts. Without any, only the store can
    /// confirm the term.
    pub hosts: Vec<SocketAddr>,
}

impl VoterSet {
    /// The voters of a term that has none.
    pub fn empty(term: u64) -> Self {
        Self {
            term,
            id: 0,
            hosts: Vec::new(),
        }
    }

    /// Number of voters that confirm the term together.
    pub fn majority(&self) -> usize {
        self.hosts.len() / 2 + 1
    }

    /// Number of voters that have to refuse the term so that no majority is left.
    pub fn blocking(&self) -> usize {
        self.hosts.len() + 1 - self.majority()
    }
}

/// What the store holds about voters. Each election writes it, and the leader rewrites it when
/// its own voters change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRecord {
    /// The voters of the newest term, and of earlier ones whose leaders may still act. Nothing is
    /// known of a term that is not listed, such as one of an older version.
    pub sets: Vec<VoterSet>,
}

impl VoterRecord {
    /// The record of a new term without voters. `stored` is that of the terms before, of which
    /// the leaders `earlier` may still act.
    pub fn following(stored: Option<&Self>, earlier: &[EarlierLeader], nonce: u64) -> Self {
        let may_act = |set: &&VoterSet| {
            let mut terms = earlier.iter().filter_map(|leader| leader.term);
            terms.any(|term| term.nonce == set.term)
        };
        let sets = stored.map_or(&[][..], |record| &record.sets);
        let mut sets: Vec<VoterSet> = sets.iter().filter(may_act).cloned().collect();
        sets.push(VoterSet::empty(nonce));
        Self { sets }
    }

    /// The voters of a term; `None` if they are not known.
    pub fn of_term(&self, nonce: u64) -> Option<&VoterSet> {
        self.sets.iter().find(|set| set.term == nonce)
    }

    /// The record with other voters for the term of the set.
    pub fn with(&self, set: VoterSet) -> Self {
        let others = self.sets.iter().filter(|known| known.term != set.term);
        let mut sets: Vec<VoterSet> = others.cloned().collect();
        sets.push(set);
        Self { sets }
    }
}
