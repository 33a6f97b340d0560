//! The placement policy of a shard's owner.
//!
//! It keeps nothing that it can't rebuild from the owner's view: a decision that
//! the owner drops, or a change that it never heard of, is found when the view
//! is compared with what is remembered.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::attribution::Attribution;
use super::capacity::{Sizes, SizesState};
use super::choose::Index;
use super::fair::Queue;
use super::interference::Interference;
use super::quota::Division;
use crate::config::Config;
use crate::model::{
    Cause, ClassName, Priority, Resources, ShardName, Span, TaskId, TeamName, Time, WorkerName,
};
use crate::shard::{Decision, Policy, PolicyEvent, ShardView, TeamUsage};

mod attribute;
mod facts;
mod handoff;
mod known;
mod news;
mod outlook;
mod preempt;
mod react;
mod resize;
mod start;
mod sync;

use known::Known;
use react::Order;

#[cfg(test)]
mod tests;

/// Shortest time between two passes over the shard. The log is appended to every
/// 150 ms at most, so deciding more often starts nothing earlier. To be tuned.
const PASS: Span = Span::from_millis(50);

/// The placement policy: decides where tasks run, how much they may use, and
/// what gives way when there is not enough.
#[derive(Debug, Default)]
pub struct PlacementPolicy {
    sizes: Sizes,
    interference: Interference,
    attribution: Attribution,
    queue: Queue,
    index: Index,
    /// Workers by their position in the owner's view and in the index.
    workers: IndexMap<WorkerName, Known>,
    /// Reservations of tasks that exceeded their limit, doubled.
    doubled: IndexMap<TaskId, Resources>,
    /// Causes of delay already given.
    delayed: IndexMap<TaskId, Cause>,
    /// Workers for which urgent tasks wait, and until when.
    holds: IndexMap<TaskId, (usize, Time)>,
    /// Workers whose tasks or use may have changed.
    dirty: IndexSet<WorkerName>,
    /// Reactions to late services that are to be carried out.
    orders: Vec<Order>,
    /// Workers with services on which each class runs.
    spread: IndexMap<ClassName, usize>,
    /// Shares of the teams' quotas in this shard.
    shares: IndexMap<TeamName, Resources>,
    division: Option<Division>,
    /// What the usable workers of the shard have for tasks.
    total: Resources,
    /// The largest task that fits any worker of the deployment.
    largest: Resources,
    /// Amounts offered to other shards since their summaries were last trusted.
    sent: IndexMap<ShardName, Resources>,
    sent_at: Time,
    /// The configuration for which shares and services were computed.
    revision: Option<crate::model::Revision>,
    next: Time,
    /// When the queue was last compared in full.
    compared: Time,
    /// Varies choices among equals.
    salt: u64,
}

/// Estimates kept in the shard's snapshot.
#[derive(Debug, Serialize, Deserialize)]
struct Saved {
    sizes: SizesState,
    interference: Interference,
}

impl PlacementPolicy {
    /// A policy without any estimates. `seed` varies its choices among equals.
    pub fn new(seed: u64) -> Self {
        Self {
            salt: seed,
            ..Self::default()
        }
    }

    /// A number that differs on each call (a linear congruential generator).
    fn salt(&mut self) -> u64 {
        self.salt = self
            .salt
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.salt >> 33
    }

    /// Takes over what depends on the configuration only.
    fn configure(&mut self, now: Time, config: &Config, shard: &ShardName) {
        if self.revision == Some(config.revision) {
            return;
        }
        self.revision = Some(config.revision);
        let division = Division::of(config);
        self.shares = config
            .teams
            .iter()
            .map(|(name, team)| {
                let share = division.share(name.as_str(), &team.quota, shard);
                (name.clone(), share)
            })
            .collect();
        self.division = Some(division);
        self.largest = super::quota::largest_task(config);
        for (name, team) in &config.teams {
            self.queue.set_weight(name, team.weight);
        }
        for (name, known) in &mut self.workers {
            known.services = known::services_on(now, name, config);
        }
        self.dirty.extend(self.workers.keys().cloned());
    }

    /// What the team may still use in this shard.
    fn quota_left(&self, team: &TeamName) -> Resources {
        let share = self.shares.get(team).copied().unwrap_or_default();
        share.saturating_sub(&self.queue.used(team))
    }
}

impl Policy for PlacementPolicy {
    fn choose(&mut self, view: &ShardView<'_>) -> Vec<Decision> {
        if view.now < self.next {
            return Vec::new();
        }
        self.next = view.now + PASS;
        self.configure(view.now, view.config, view.shard);
        let mut decisions = Vec::new();
        self.sync(view);
        self.attribute(view, &mut decisions);
        self.react(view, &mut decisions);
        self.start(view, &mut decisions);
        decisions
    }

    fn on_event(&mut self, now: Time, news: PolicyEvent<'_>) {
        self.take_news(now, news);
    }

    fn save(&self) -> Vec<u8> {
        let saved = Saved {
            sizes: self.sizes.state(),
            interference: self.interference.clone(),
        };
        // Encoding plain data into a growing buffer has no way to fail.
        postcard::to_allocvec(&saved).unwrap_or_default()
    }

    fn restore(&mut self, saved: &[u8]) {
        if let Ok(saved) = postcard::from_bytes::<Saved>(saved) {
            self.sizes = Sizes::restore(saved.sizes);
            self.interference = saved.interference;
        }
    }

    fn team_usage(&self, view: &ShardView<'_>) -> Vec<TeamUsage> {
        let teams = view.config.teams.keys().map(|team| TeamUsage {
            team: team.clone(),
            used: self.queue.used(team),
            share: self.shares.get(team).copied().unwrap_or_default(),
        });
        teams
            .filter(|t| t.used != Resources::ZERO || t.share != Resources::ZERO)
            .collect()
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
        "queued-urgent": self.queue.len(Priority::Urgent),
        "queued-batch": self.queue.len(Priority::Batch),
        "interference": self.interference,
        "sizes": self.sizes.state(),
        "delayed": self.delayed.len(),
        "holds": self.holds.len(),
        "throttled": self.workers.values().flat_map(|w| w.seen.values())
        .filter(|t| t.throttled.is_some())
        .count(),
        "probation": self.workers.keys()
        .filter(|w| self.attribution.is_on_probation(w))
        .collect::<Vec<_>>(),
        })
    }
}
