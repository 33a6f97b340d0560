//! The sets of entry hosts from which the holders of a key are chosen.

use crate::model::{HostName, NodeName, Span, Time};
use crate::peer::ClaimKey;

/// Number of holders of a key in each host set.
const HOLDERS_PER_KEY: usize = 3;

/// Identifier of a host set: a hash of the host names.
pub type HostSetId = u64;

/// The configured set of entry hosts, and former sets that are still relevant.
#[derive(Debug, Clone)]
pub struct HostSets {
    /// Time for which a former set stays relevant.
    retention: Span,
    sets: Vec<HostSet>,
}

#[derive(Debug, Clone)]
struct HostSet {
    id: HostSetId,
    hosts: Vec<HostName>,
    /// When it stops being relevant; `None` for the configured set.
    relevant_until: Option<Time>,
}

/// The holders that have to grant a claim. A claim without groups is not granted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimPlan {
    /// Groups of holders; a majority of each has to grant the claim.
    pub groups: Vec<Vec<NodeName>>,
    /// The host sets from which the groups were chosen.
    pub sets: Vec<HostSetId>,
}

impl HostSets {
    /// Creates it without sets. `retention` is the time for which a former set stays
    /// relevant.
    pub fn new(retention: Span) -> Self {
        Self {
            retention,
            sets: Vec::new(),
        }
    }

    /// Sets the configured entry hosts, whose order does not matter.
    pub fn configure(&mut self, now: Time, hosts: impl IntoIterator<Item = HostName>) {
        let mut hosts: Vec<_> = hosts.into_iter().collect();
        hosts.sort();
        hosts.dedup();
        let id = set_id(&hosts);
        self.sets
            .retain(|s| s.relevant_until.is_none_or(|until| now < until));
        let relevant_until = now + self.retention;
        for set in &mut self.sets {
            if set.id == id {
                set.relevant_until = None;
            } else {
                set.relevant_until.get_or_insert(relevant_until);
            }
        }
        if !self.sets.iter().any(|s| s.id == id) {
            let relevant_until = None;
            self.sets.push(HostSet {
                id,
                hosts,
                relevant_until,
            });
        }
    }

    /// The holders of a key: one group for each relevant set.
    pub fn plan(&self, now: Time, key: &ClaimKey) -> ClaimPlan {
        let groups = self.relevant_sets(now).map(|s| s.holders(key)).collect();
        let sets = self.relevant_sets(now).map(|s| s.id).collect();
        ClaimPlan { groups, sets }
    }

    /// Whether `sets` includes all relevant sets.
    pub(super) fn all_known_to(&self, now: Time, sets: &[HostSetId]) -> bool {
        self.relevant_sets(now).all(|s| sets.contains(&s.id))
    }

    fn relevant_sets(&self, now: Time) -> impl Iterator<Item = &HostSet> {
        let is_relevant = move |s: &&HostSet| s.relevant_until.is_none_or(|until| now < until);
        self.sets.iter().filter(is_relevant)
    }
}

impl HostSet {
    /// The entry processes of the hosts with the highest scores for the key.
    fn holders(&self, key: &ClaimKey) -> Vec<NodeName> {
        let mut scored: Vec<_> = self.hosts.iter().map(|h| (score(h, key), h)).collect();
        scored.sort_by(|a, b| b.cmp(a));
        let best = scored.into_iter().take(HOLDERS_PER_KEY);
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

/// Hash of a list of strings. Each is preceded by its length, so that different lists
/// have different inputs.
fn hash<'a>(texts: impl Iterator<Item = &'a str>) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for text in texts {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    *hasher.finalize().as_bytes()
}
