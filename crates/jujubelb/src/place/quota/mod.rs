//! Division of a team's quota over the shards in service.
//!
//! Each shard computes its own share from the configuration alone, so the shares
//! sum exactly to the quota without any coordination.

use crate::config::Config;
use crate::model::{Resources, ShardName};

#[cfg(test)]
mod tests;

/// Most chunks of one quota. Keeps the division cheap for a quota that is much
/// larger than any task; four chunks for each of 26 shards still even out.
const MAX_CHUNKS: u64 = 104;

/// Number of chunks into which `quota` is divided, given the largest task.
///
/// At least 1. With more than one chunk, each chunk holds `largest` in every
/// resource of which the team has any quota.
pub(crate) fn chunk_count(quota: &Resources, largest: &Resources) -> u64 {
    let pairs = [
        (quota.cpu.0, largest.cpu.0),
        (quota.memory.0, largest.memory.0),
        (
            u64::from(quota.accelerators),
            u64::from(largest.accelerators),
        ),
    ];
    pairs
        .into_iter()
        .filter(|(have, task)| *have > 0 && *task > 0)
        .map(|(have, task)| have / task)
        .min()
        .unwrap_or(1)
        .clamp(1, MAX_CHUNKS)
}

/// Chunk number `index` of `count`. The chunks sum exactly to `quota`.
pub(crate) fn chunk(quota: &Resources, count: u64, index: u64) -> Resources {
    let part = |total: u64| total / count + u64::from(index < total % count);
    // A part of a `u32` is itself a `u32`.
    let accelerators = part(u64::from(quota.accelerators)) as u32;
    Resources::new(part(quota.cpu.0), part(quota.memory.0), accelerators)
}

/// The largest task that may run at all: within the limit of one task and within
/// the largest worker, resource by resource.
pub(crate) fn largest_task(config: &Config) -> Resources {
    let host = config
        .workers
        .values()
        .map(|w| w.capacity.saturating_sub(&w.reserved))
        .fold(Resources::ZERO, |a, b| a.max(&b));
    component_min(&config.limits.task, &host)
}

/// The smaller amount in each resource.
pub(crate) fn component_min(a: &Resources, b: &Resources) -> Resources {
    Resources::new(
        a.cpu.0.min(b.cpu.0),
        a.memory.0.min(b.memory.0),
        a.accelerators.min(b.accelerators),
    )
}

/// The shards over which quotas are divided: those of domains in service.
pub(crate) fn shards_in_service(config: &Config) -> Vec<ShardName> {
    config
        .shards
        .iter()
        .filter(|(_, s)| config.in_service(&s.domain))
        .map(|(name, _)| name.clone())
        .collect()
}

/// Divides quotas over a fixed set of shards.
#[derive(Debug)]
pub(crate) struct QuotaDivision {
    shards: Vec<(ShardName, u64)>,
    largest: Resources,
}

impl QuotaDivision {
    /// The division that the configuration asks for.
    pub(crate) fn from_config(config: &Config) -> Self {
        Self::new(shards_in_service(config), largest_task(config))
    }

    /// A division over `shards` with chunks that hold `largest`.
    pub(crate) fn new(shards: Vec<ShardName>, largest: Resources) -> Self {
        let shards = shards
            .into_iter()
            .map(|s| {
                let hash = name_hash(s.as_str());
                (s, hash)
            })
            .collect();
        Self { shards, largest }
    }

    /// The shares of one team's quota. Empty if no shard is in service;
    /// otherwise they sum exactly to `quota`.
    pub(crate) fn shares(&self, team: &str, quota: &Resources) -> Vec<(&ShardName, Resources)> {
        let mut shares: Vec<_> = self
            .shards
            .iter()
            .map(|(name, _)| (name, Resources::ZERO))
            .collect();
        let team = name_hash(team);
        let count = chunk_count(quota, &component_min(quota, &self.largest));
        for index in 0..count {
            if let Some(chunk_owner) = self.chunk_owner(team, index) {
                shares[chunk_owner].1 += chunk(quota, count, index);
            }
        }
        shares
    }

    /// The share of `shard` in one team's quota.
    pub(crate) fn share(&self, team: &str, quota: &Resources, shard: &ShardName) -> Resources {
        self.shares(team, quota)
            .into_iter()
            .find(|(name, _)| *name == shard)
            .map_or(Resources::ZERO, |(_, share)| share)
    }

    /// Rendezvous hashing: the shard with the highest weight for this chunk. A
    /// shard that leaves moves only its own chunks.
    fn chunk_owner(&self, team: u64, index: u64) -> Option<usize> {
        let key = splitmix64(team ^ splitmix64(index));
        (0..self.shards.len()).max_by_key(|&i| (splitmix64(key ^ self.shards[i].1), i))
    }
}

/// A stable hash of a name; the same in all processes and versions.
fn name_hash(name: &str) -> u64 {
    let digest = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The finaliser of SplitMix64: spreads each input bit over the whole word. Far
/// cheaper than a cryptographic hash of each triple of team, chunk and shard.
const fn splitmix64(value: u64) -> u64 {
    let z = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
