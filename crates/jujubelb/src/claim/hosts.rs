//! The sets of entry hosts from which holders are chosen.

use crate::model::{HostName, NodeName, Span, Time};
use crate::peer::ClaimKey;

/// Holders of each key.
const HOLDERS: usize = 3;

/// Identity of a set of hosts: a hash of their names.
pub type HostSetId = u64;

/// The set of configured entry hosts, and the former sets that still matter.
#[derive(Debug, Clone)]
pub struct HostSets {
    lifetime: Span,
    sets: Vec<HostSet>,
}

#[derive(Debug, Clone)]
struct HostSet {
    id: HostSetId,
    hosts: Vec<HostName>,
    /// When it stops to matter; `None` for the set in force.
    until: Option<Time>,
}

/// The holders that a claim needs. A claim without groups is not granted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimPlan {
    /// A majority of each of these groups is needed.
    pub groups: Vec<Vec<NodeName>>,
    /// The sets from which the groups were chosen.
    pub sets: Vec<HostSetId>,
}

impl HostSets {
    /// No set yet. `lifetime` is the time for which a former set matters.
    pub fn new(lifetime: Span) -> Self {
        Self {
            lifetime,
            sets: Vec::new(),
        }
    }

    /// Takes over the configured entry hosts.
    pub fn configure(&mut self, now: Time, hosts: impl IntoIterator<Item = HostName>) {
        let mut hosts: Vec<_> = hosts.into_iter().collect();
        hosts.sort();
        hosts.dedup();
        let id = set_id(&hosts);
        self.sets
            .retain(|s| s.until.is_none_or(|until| now < until));
        let until = now + self.lifetime;
        for set in &mut self.sets {
            if set.id == id {
                set.until = None;
            } else {
                set.until.get_or_insert(until);
            }
        }
        if !self.sets.iter().any(|s| s.id == id) {
            let until = None;
            self.sets.push(HostSet { id, hosts, until });
        }
    }

    /// The holders of a key: a group for each set that matters now.
    pub fn plan(&self, now: Time, key: &ClaimKey) -> ClaimPlan {
        let groups = self.current(now).map(|s| s.holders(key)).collect();
        let sets = self.current(now).map(|s| s.id).collect();
        ClaimPlan { groups, sets }
    }

    /// Whether a claimant that knows these sets knows all that matter now.
    pub(super) fn are_known_to(&self, now: Time, sets: &[HostSetId]) -> bool {
        self.current(now).all(|s| sets.contains(&s.id))
    }

    fn current(&self, now: Time) -> impl Iterator<Item = &HostSet> {
        let matters = move |s: &&HostSet| s.until.is_none_or(|until| now < until);
        self.sets.iter().filter(matters)
    }
}

impl HostSet {
    /// The hosts with the highest scores for the key.
    fn holders(&self, key: &ClaimKey) -> Vec<NodeName> {
        let mut scored: Vec<_> = self.hosts.iter().map(|h| (score(h, key), h)).collect();
        scored.sort_by(|a, b| b.cmp(a));
        let best = scored.into_iter().take(HOLDERS);
        best.map(|(_, host)| NodeName::new(format!("{host}/entry")))
            .collect()
    }
}

fn score(host: &HostName, key: &ClaimKey) -> [u8; 32] {
    hash([host.as_str(), key.service.as_str(), key.key.as_str()].into_iter())
}

fn set_id(hosts: &[HostName]) -> HostSetId {
    let hash = hash(hosts.iter().map(HostName::as_str));
    let (first, _) = hash.split_at(8);
    first.iter().fold(0, |id, byte| id << 8 | u64::from(*byte))
}

/// Hash of texts. Each is preceded by its length, so that no two lists are alike.
fn hash<'a>(texts: impl Iterator<Item = &'a str>) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for text in texts {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    *hasher.finalize().as_bytes()
}
