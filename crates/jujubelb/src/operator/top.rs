//! Combines what the processes know into the overview.

use indexmap::IndexMap;

use super::Operators;
use super::api::{DomainTop, NodeTop, ServiceTop, TopView};
use super::query::Views;
use crate::config::Config;
use crate::model::{Resources, ServiceName, Span};
use crate::peer::{Heartbeat, Liveness};
use crate::shard::{ShardSummary, TeamUsage};

/// The overview from the answers of all processes.
pub(super) fn combine(operators: &Operators, views: Views) -> TopView {
    let config = operators.process.active_config.config();
    let mut services = IndexMap::new();
    let mut shards: Vec<ShardSummary> = Vec::new();
    let mut teams: Vec<TeamUsage> = Vec::new();
    let mut quarantined = Vec::new();
    let ages: IndexMap<_, _> = views
        .views
        .iter()
        .map(|view| (view.node.clone(), view.age))
        .collect();
    for view in views.views {
        for service in view.services {
            add_service(&mut services, service);
        }
        shards.extend(view.shards);
        teams.extend(view.teams);
        quarantined.extend(view.quarantined);
    }
    quarantined.sort();
    TopView {
        node: operators.process.node.clone(),
        age: operators.process.active_config.evidence_age(),
        revision: config.revision,
        domains: domains(&config),
        shards: newest(shards),
        services: services.into_values().collect(),
        teams: sum(teams),
        nodes: nodes(operators, &ages),
        quarantined,
    }
}

/// Adds one process's view of a service. Latencies of several processes can't be
/// merged exactly: the median is weighted by requests and the tail is the largest.
fn add_service(all: &mut IndexMap<ServiceName, ServiceTop>, one: ServiceTop) {
    let Some(sum) = all.get_mut(&one.service) else {
        all.insert(one.service.clone(), one);
        return;
    };
    let (before, added) = (u64::from(sum.rate), u64::from(one.rate));
    let weighted = sum.p50.as_micros() * before + one.p50.as_micros() * added;
    sum.p50 = Span::from_micros(weighted / (before + added).max(1));
    sum.p99 = sum.p99.max(one.p99);
    sum.rate += one.rate;
    sum.refused += one.refused;
    sum.inflight += one.inflight;
    sum.endpoints = sum.endpoints.max(one.endpoints);
}

/// For each shard what the owner with the highest epoch says.
fn newest(mut shards: Vec<ShardSummary>) -> Vec<ShardSummary> {
    shards.sort_by(|a, b| (&a.shard, b.epoch).cmp(&(&b.shard, a.epoch)));
    shards.dedup_by(|a, b| a.shard == b.shard);
    shards
}

fn sum(teams: Vec<TeamUsage>) -> Vec<TeamUsage> {
    let mut all: IndexMap<_, TeamUsage> = IndexMap::new();
    for one in teams {
        match all.get_mut(&one.team) {
            Some(sum) => {
                sum.used += one.used;
                sum.share += one.share;
            }
            None => {
                all.insert(one.team.clone(), one);
            }
        }
    }
    all.into_values().collect()
}

fn domains(config: &Config) -> Vec<DomainTop> {
    let mut sums: IndexMap<_, (u32, Resources)> = IndexMap::new();
    for (name, worker) in &config.workers {
        if let Some(domain) = config.domain_of(name) {
            let sum = sums.entry(domain).or_default();
            sum.0 += 1;
            sum.1 += worker.capacity.saturating_sub(&worker.reserved);
        }
    }
    let top = |(name, domain): (&crate::model::DomainName, &crate::config::Domain)| {
        let (workers, capacity) = sums.get(name).copied().unwrap_or_default();
        DomainTop {
            domain: name.clone(),
            region: domain.region.clone(),
            out: domain.out,
            workers,
            capacity,
        }
    };
    config.domains.iter().map(top).collect()
}

fn nodes(
    operators: &Operators,
    ages: &IndexMap<crate::model::NodeName, Option<Span>>,
) -> Vec<NodeTop> {
    let top = |beat: &Heartbeat, alive| NodeTop {
        node: beat.node.clone(),
        role: beat.role,
        domain: beat.domain.clone(),
        draining: beat.draining,
        alive,
        revision: beat.revision,
        age: ages.get(&beat.node).copied().flatten(),
    };
    let mut nodes = operators.peers.with_membership(|members| {
        let known = members.iter();
        known
            .map(|member| top(&member.heartbeat, member.liveness == Liveness::Alive))
            .collect::<Vec<_>>()
    });
    nodes.push(top(&operators.peers.own_heartbeat(), true));
    nodes.sort_by(|a, b| a.node.cmp(&b.node));
    nodes
}
