use super::claim::ClaimSchedule;
use crate::config::{Config, Shard};
use crate::model::{Epoch, Incarnation, Resources, Revision, ShardName, Span, Time};
use crate::peer::{Heartbeat, Liveness, Member, Role};
use crate::shard::ShardSummary;

fn config() -> Config {
    let shard = |domain: &str| Shard {
        domain: domain.into(),
        racks: Default::default(),
    };
    let names = ["a-1", "a-2", "a-3", "a-4", "b-1"];
    let shards = names.map(|name| (name.into(), shard(&name[..1])));
    Config {
        shards: shards.into_iter().collect(),
        ..Config::default()
    }
}

fn member(node: &str, domain: &str, shards: &[&str]) -> Member {
    let summary = |shard: &&str| ShardSummary {
        shard: (*shard).into(),
        domain: domain.into(),
        owner: node.into(),
        epoch: Epoch(1),
        free: Resources::ZERO,
        largest: Resources::ZERO,
        queued: 0,
        running: 0,
    };
    Member {
        heartbeat: Heartbeat {
            node: node.into(),
            incarnation: Incarnation(1),
            role: Role::Scheduler,
            address: "127.0.0.1:1".parse().unwrap(),
            interval: Span::from_millis(500),
            domain: domain.into(),
            draining: false,
            revision: Revision(1),
            evidence: None,
            loads: Vec::new(),
            shards: shards.iter().map(summary).collect(),
        },
        received_at: Time::ZERO,
        liveness: Liveness::Alive,
    }
}

/// The first second at which a process in domain `a` tries each shard.
fn first_attempts(node: &str, members: &[Member], owned: &[ShardName]) -> Vec<(ShardName, u64)> {
    let mut claims = ClaimSchedule::new(Time::ZERO, node.into(), "a".into());
    let mut first_attempts: Vec<(ShardName, u64)> = Vec::new();
    for second in 0..20 {
        let now = Time::from_millis(second * 1_000);
        for shard in claims.due(now, &config(), members, owned) {
            if !first_attempts.iter().any(|(known, _)| *known == shard) {
                first_attempts.push((shard, second));
            }
        }
    }
    first_attempts
}

/// Guards against contention of several schedulers for the same shard, and against
/// takeovers by a scheduler of another domain before those of the own domain.
#[test]
fn shards_of_the_own_domain_come_first_in_an_order_that_spreads_them() {
    let nodes = ["s1", "s2", "s3"];
    let first = |node: &str| {
        let others = nodes.iter().filter(|n| **n != node);
        let members: Vec<_> = others.map(|n| member(n, "a", &[])).collect();
        let first_attempts = first_attempts(node, &members, &[]);
        let other_domain = first_attempts
            .iter()
            .find(|(shard, _)| shard.as_str() == "b-1");
        assert!(
            other_domain.is_some_and(|(_, second)| *second >= 5),
            "{first_attempts:?}"
        );
        let early = first_attempts
            .into_iter()
            .filter(|(_, second)| *second <= 2);
        early.map(|(shard, _)| shard).collect::<Vec<_>>()
    };
    let early_attempts: Vec<_> = nodes.iter().map(|node| first(node)).collect();
    let all: indexmap::IndexSet<_> = early_attempts.iter().flatten().collect();
    assert!(all.len() >= 4, "{early_attempts:?}");
}

/// Guards against a takeover from a live owner, and against a dead or draining
/// owner whose shards nobody takes over.
#[test]
fn only_shards_without_a_live_owner_are_tried() {
    let shards = ["a-1", "a-2", "a-3", "a-4", "b-1"];
    let alive = member("s2", "a", &shards);
    assert!(first_attempts("s1", std::slice::from_ref(&alive), &[]).is_empty());
    let mut suspect = alive.clone();
    suspect.liveness = Liveness::Suspect;
    assert_eq!(first_attempts("s1", &[suspect], &[]).len(), 5);
    let mut draining = alive;
    draining.heartbeat.draining = true;
    assert_eq!(first_attempts("s1", &[draining], &["a-1".into()]).len(), 4);
}
