//! Combines the views of all processes into the operators' overview.

use indexmap::IndexMap;

use super::OperatorApi;
use super::api::{DomainTop, NodeTop, ServiceTop, TopView};
use super::query::NodeViews;
use crate::config::Config;
use crate::model::{Resources, ServiceName, Span};
use crate::peer::{Heartbeat, Liveness};
use crate::shard::{ShardSummary, TeamUsage};

/// Builds the overview from the replies of all processes.
pub(super) fn combine(operators: &OperatorApi, views: NodeViews) -> TopView {
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
        shards: newest_summaries(shards),
        services: services.into_values().collect(),
        teams: sum_teams(teams),
        nodes: nodes(operators, &ages),
        quarantined,
    }
}

/// Adds one process's view of a service. Percentiles of several processes can't be merged
/// exactly: the median is averaged by request rate, and the largest p99 is kept.
fn add_service(merged: &mut IndexMap<ServiceName, ServiceTop>, one: ServiceTop) {
    let Some(total) = merged.get_mut(&one.service) else {
        merged.insert(one.service.clone(), one);
        return;
    };
    let (before, added) = (u64::from(total.rate), u64::from(one.rate));
    let weighted = total.p50.as_micros() * before + one.p50.as_micros() * added;
    total.p50 = Span::from_micros(weighted / (before + added).max(1));
    total.p99 = total.p99.max(one.p99);
    total.rate += one.rate;
    total.refused += one.refused;
    total.inflight += one.inflight;
    total.endpoints = total.endpoints.max(one.endpoints);
}

/// Keeps for each shard the summary with the highest epoch, which is the current owner's.
fn newest_summaries(mut shards: Vec<ShardSummary>) -> Vec<ShardSummary> {
    shards.sort_by(|a, b| (&a.shard, b.epoch).cmp(&(&b.shard, a.epoch)));
    shards.dedup_by(|a, b| a.shard == b.shard);
    shards
}

fn sum_teams(teams: Vec<TeamUsage>) -> Vec<TeamUsage> {
    let mut merged: IndexMap<_, TeamUsage> = IndexMap::new();
    for one in teams {
        match merged.get_mut(&one.team) {
            Some(total) => {
                total.used += one.used;
                total.share += one.share;
            }
            None => {
                merged.insert(one.team.clone(), one);
            }
        }
    }
    merged.into_values().collect()
}

fn domains(config: &Config) -> Vec<DomainTop> {
    let mut sums: IndexMap<_, (u32, Resources)> = IndexMap::new();
    for (name, worker) in &config.workers {
        if let Some(domain) = config.domain_of(name) {
            let total = sums.entry(domain).or_default();
            total.0 += 1;
            total.1 += worker.capacity.saturating_sub(&worker.reserved);
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
    operators: &OperatorApi,
    ages: &IndexMap<crate::model::NodeName, Option<Span>>,
) -> Vec<NodeTop> {
    let top = |heartbeat: &Heartbeat, alive| NodeTop {
        node: heartbeat.node.clone(),
        role: heartbeat.role,
        domain: heartbeat.domain.clone(),
        draining: heartbeat.draining,
        alive,
        revision: heartbeat.revision,
        age: ages.get(&heartbeat.node).copied().flatten(),
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
