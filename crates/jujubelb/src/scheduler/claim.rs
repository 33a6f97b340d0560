//! Decides which shards a process tries to own, and when. Does no I/O.

use indexmap::IndexMap;

use crate::config::Config;
use crate::model::{DomainName, NodeName, ShardName, Span, Time};
use crate::peer::{Liveness, Member, Role};

/// Time after the start in which a process learns of its peers before it claims shards.
const STARTUP_DELAY: Span = Span::from_millis(2_000);

/// Delay for each live scheduler that ranks before this one.
const RANK_DELAY: Span = Span::from_millis(1_000);

/// Additional delay of schedulers outside the shard's failure domain, which
/// take over only if the domain has no scheduler left.
const OTHER_DOMAIN_DELAY: Span = Span::from_millis(5_000);

/// Interval between attempts, each of which costs a write to the store. A former
/// owner's store lease ends within a few seconds.
const RETRY_INTERVAL: Span = Span::from_millis(1_000);

/// Schedules the attempts to own shards.
#[derive(Debug)]
pub(super) struct ClaimSchedule {
    node: NodeName,
    domain: DomainName,
    started: Time,
    /// Shards that no live process owns.
    unowned: IndexMap<ShardName, UnownedShard>,
}

#[derive(Debug, Clone, Copy)]
struct UnownedShard {
    /// When this process first saw the shard without a live owner.
    since: Time,
    /// Absent before the first attempt.
    last_attempt: Option<Time>,
}

impl ClaimSchedule {
    /// The schedule of a process that started at `now`.
    pub(super) fn new(now: Time, node: NodeName, domain: DomainName) -> Self {
        Self {
            node,
            domain,
            started: now,
            unowned: IndexMap::new(),
        }
    }

    /// The shards to claim now. `owned` are those that this process owns or is opening.
    pub(super) fn due(
        &mut self,
        now: Time,
        config: &Config,
        members: &[Member],
        owned: &[ShardName],
    ) -> Vec<ShardName> {
        let has_live_owner = |shard: &ShardName| {
            let mut live = members
                .iter()
                .filter(|m| m.liveness == Liveness::Alive && !m.heartbeat.draining);
            live.any(|m| m.heartbeat.shards.iter().any(|s| s.shard == *shard))
        };
        let is_unowned = |shard: &&ShardName| !owned.contains(*shard) && !has_live_owner(shard);
        let shards: Vec<_> = config.shards.keys().filter(is_unowned).cloned().collect();
        self.unowned.retain(|shard, _| shards.contains(shard));
        let mut due = Vec::new();
        for shard in shards {
            let delay = self.delay(config, members, &shard);
            let initial = UnownedShard {
                since: now,
                last_attempt: None,
            };
            let state = self.unowned.entry(shard.clone()).or_insert(initial);
            let waited = now.since(state.since) >= delay;
            let retry = state
                .last_attempt
                .is_none_or(|at| now.since(at) >= RETRY_INTERVAL);
            if waited && retry && now.since(self.started) >= STARTUP_DELAY {
                state.last_attempt = Some(now);
                due.push(shard);
            }
        }
        due
    }

    /// Delay by the rank among the live schedulers. Those of the shard's domain
    /// rank first; the order among them differs from shard to shard, which
    /// distributes the shards.
    fn delay(&self, config: &Config, members: &[Member], shard: &ShardName) -> Span {
        let home = config.shards.get(shard).map(|s| &s.domain);
        let is_home = |domain: &DomainName| home == Some(domain);
        let own_rank = (!is_home(&self.domain), rank_hash(shard, &self.node));
        let preferred = members
            .iter()
            .filter(|m| m.heartbeat.role == Role::Scheduler)
            .filter(|m| m.liveness == Liveness::Alive && !m.heartbeat.draining)
            .filter(|m| {
                (
                    !is_home(&m.heartbeat.domain),
                    rank_hash(shard, &m.heartbeat.node),
                ) < own_rank
            })
            .count();
        let rank = Span::from_micros(RANK_DELAY.as_micros() * preferred as u64);
        match is_home(&self.domain) {
            true => rank,
            false => rank + OTHER_DOMAIN_DELAY,
        }
    }
}

/// A hash that ranks the processes differently for each shard.
fn rank_hash(shard: &ShardName, node: &NodeName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(shard.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
