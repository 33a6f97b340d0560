//! Division of team quotas among the shards in service.
//!
//! Each shard computes its own share from the configuration alone, so the shares
//! sum exactly to the quota without any coordination.

use crate::config::Config;
use crate::model::{Resources, ShardName};
use crate::place::share;

#[cfg(test)]
mod tests;

/// Maximum number of chunks of one quota. It bounds the cost for a quota much larger
/// than any task; four chunks for each of 26 shards still give balanced shares.
const MAX_CHUNKS: u64 = 104;

/// Number of chunks into which `quota` is divided, given the largest task.
///
/// At least 1. If there are several chunks, each has at least `largest` of every
/// resource of which the team has a quota.
pub(crate) fn chunk_count(quota: &Resources, largest: &Resources) -> u64 {
    share::tasks_within(quota, &Resources::ZERO, largest)
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

/// Largest task that may run: for each resource, the smaller of the limit of one task
/// and the largest amount that a worker has for tasks.
pub(crate) fn largest_task(config: &Config) -> Resources {
    let host = config
        .workers
        .values()
        .map(|w| w.capacity.saturating_sub(&w.reserved))
        .fold(Resources::ZERO, |a, b| a.max(&b));
    component_min(&config.limits.task, &host)
}

/// Smaller amount of each resource.
pub(crate) fn component_min(a: &Resources, b: &Resources) -> Resources {
    Resources::new(
        a.cpu.0.min(b.cpu.0),
        a.memory.0.min(b.memory.0),
        a.accelerators.min(b.accelerators),
    )
}

/// Shards that get a share of the quotas: those of failure domains in service.
pub(crate) fn shards_in_service(config: &Config) -> Vec<ShardName> {
    config
        .shards
        .iter()
        .filter(|(_, s)| config.in_service(&s.domain))
        .map(|(name, _)| name.clone())
        .collect()
}

/// Division of quotas among a fixed set of shards.
#[derive(Debug)]
pub(crate) struct QuotaDivision {
    /// Shards with the hashes of their names.
    shards: Vec<(ShardName, u64)>,
    largest: Resources,
}

impl QuotaDivision {
    /// Creates the division for a configuration.
    pub(crate) fn from_config(config: &Config) -> Self {
        Self::new(shards_in_service(config), largest_task(config))
    }

    /// Creates a division among `shards` with chunks of at least `largest`.
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

    /// Returns the share of each shard in one team's quota. Empty if no shard is in
    /// service; otherwise the shares sum exactly to `quota`.
    pub(crate) fn shares(&self, team: &str, quota: &Resources) -> Vec<(&ShardName, Resources)> {
        let mut shares: Vec<_> = self
            .shards
            .iter()
            .map(|(name, _)| (name, Resources::ZERO))
            .collect();
        let team = name_hash(team);
        let count = chunk_count(quota, &component_min(quota, &self.largest));
        for index in 0..count {
            if let Some(owner) = self.chunk_owner(team, index) {
                shares[owner].1 += chunk(quota, count, index);
            }
        }
        shares
    }

    /// Returns the share of `shard` in one team's quota.
    pub(crate) fn share(&self, team: &str, quota: &Resources, shard: &ShardName) -> Resources {
        self.shares(team, quota)
            .into_iter()
            .find(|(name, _)| *name == shard)
            .map_or(Resources::ZERO, |(_, share)| share)
    }

    /// Returns the shard that gets a chunk, by rendezvous hashing: the one with the highest
    /// weight. If a shard leaves, only its own chunks move.
    fn chunk_owner(&self, team: u64, index: u64) -> Option<usize> {
        let key = splitmix64(team ^ splitmix64(index));
        (0..self.shards.len()).max_by_key(|&i| (splitmix64(key ^ self.shards[i].1), i))
    }
}

/// Stable hash of a name, identical in all processes and versions.
fn name_hash(name: &str) -> u64 {
    let digest = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Mixing function of SplitMix64, in which each input bit affects all output bits. Much
/// cheaper than a cryptographic hash of each combination of team, chunk and shard.
const fn splitmix64(value: u64) -> u64 {
    let z = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
