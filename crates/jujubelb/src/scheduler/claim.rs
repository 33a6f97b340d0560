//! Which shards a process tries to own, and when. No I/O.

use indexmap::IndexMap;

use crate::config::Config;
use crate::model::{DomainName, NodeName, ShardName, Span, Time};
use crate::peer::{Liveness, Member, Role};

/// Delay after the start, in which a process hears of the others.
const LISTEN: Span = Span::from_millis(2_000);

/// Delay for each process that is preferred to this one.
const RANK_DELAY: Span = Span::from_millis(1_000);

/// Additional delay of processes in other failure domains. They take over if
/// the shard's own domain has no scheduler left.
const ELSEWHERE: Span = Span::from_millis(5_000);

/// Interval between attempts, each of which costs a write. A former owner's
/// store lease ends within a few seconds.
const RETRY: Span = Span::from_millis(1_000);

/// Decides about attempts to own shards.
#[derive(Debug)]
pub(super) struct Claims {
    node: NodeName,
    domain: DomainName,
    started: Time,
    /// Since when no live process owns the shard, and when this one last tried.
    open: IndexMap<ShardName, Open>,
}

#[derive(Debug, Clone, Copy)]
struct Open {
    since: Time,
    tried: Option<Time>,
}

impl Claims {
    /// The state of a process that started now.
    pub(super) fn new(now: Time, node: NodeName, domain: DomainName) -> Self {
        Self {
            node,
            domain,
            started: now,
            open: IndexMap::new(),
        }
    }

    /// The shards to try now. `owned` are those that this process owns or is opening.
    pub(super) fn due(
        &mut self,
        now: Time,
        config: &Config,
        members: &[Member],
        owned: &[ShardName],
    ) -> Vec<ShardName> {
        let held = |shard: &ShardName| {
            let mut live = members
                .iter()
                .filter(|m| m.liveness == Liveness::Alive && !m.heartbeat.draining);
            live.any(|m| m.heartbeat.shards.iter().any(|s| s.shard == *shard))
        };
        let unowned = |shard: &&ShardName| !owned.contains(*shard) && !held(shard);
        let shards: Vec<_> = config.shards.keys().filter(unowned).cloned().collect();
        self.open.retain(|shard, _| shards.contains(shard));
        let mut due = Vec::new();
        for shard in shards {
            let delay = self.delay(config, members, &shard);
            let first = Open {
                since: now,
                tried: None,
            };
            let open = self.open.entry(shard.clone()).or_insert(first);
            let waited = now.since(open.since) >= delay;
            let retry = open.tried.is_none_or(|at| now.since(at) >= RETRY);
            if waited && retry && now.since(self.started) >= LISTEN {
                open.tried = Some(now);
                due.push(shard);
            }
        }
        due
    }

    /// Delay by the rank among the live schedulers. Those of the shard's domain
    /// come first; the order among them differs from shard to shard, which
    /// spreads the shards.
    fn delay(&self, config: &Config, members: &[Member], shard: &ShardName) -> Span {
        let home = config.shards.get(shard).map(|s| &s.domain);
        let near = |domain: &DomainName| home == Some(domain);
        let own = (!near(&self.domain), weight(shard, &self.node));
        let ahead = members
            .iter()
            .filter(|m| m.heartbeat.role == Role::Scheduler)
            .filter(|m| m.liveness == Liveness::Alive && !m.heartbeat.draining)
            .filter(|m| (!near(&m.heartbeat.domain), weight(shard, &m.heartbeat.node)) < own)
            .count();
        let rank = Span::from_micros(RANK_DELAY.as_micros() * ahead as u64);
        match near(&self.domain) {
            true => rank,
            false => rank + ELSEWHERE,
        }
    }
}

/// A number that orders the processes differently for each shard.
fn weight(shard: &ShardName, node: &NodeName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(shard.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
