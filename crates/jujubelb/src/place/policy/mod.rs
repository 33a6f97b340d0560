//! The placement policy of a shard's owner.
//!
//! It keeps nothing that it can't rebuild from the owner's view: a decision that
//! the owner drops, or a change that it never heard of, is found when the view
//! is compared with what is remembered.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::attribution::Attribution;
use super::capacity::{SizeEstimator, SizeEstimatorState};
use super::fair_queue::FairQueue;
use super::interference::InterferenceModel;
use super::quota::QuotaDivision;
use super::selection::CapacityIndex;
use crate::config::Config;
use crate::model::{
    Cause, ClassName, Priority, Resources, ShardName, Span, TaskId, TeamName, Time, WorkerName,
};
use crate::shard::{Decision, News, Policy, TeamUse, View};

mod assess;
mod attribute;
mod events;
mod facts;
mod handoff;
mod mitigate;
mod preempt;
mod queue_pass;
mod resize;
mod sync;
mod tracked;

use mitigate::PendingMitigation;
use tracked::TrackedWorker;

#[cfg(test)]
mod tests;

/// Shortest time between two passes over the shard. The log is appended to every
/// 150 ms at most, so deciding more often starts nothing earlier. To be tuned.
const PASS_INTERVAL: Span = Span::from_millis(50);

/// The placement policy: decides where tasks run, how much they may use, and
/// what gives way when there is not enough.
#[derive(Debug, Default)]
pub struct PlacementPolicy {
    sizes: SizeEstimator,
    interference: InterferenceModel,
    attribution: Attribution,
    queue: FairQueue,
    index: CapacityIndex,
    /// Workers by their position in the owner's view and in the index.
    workers: IndexMap<WorkerName, TrackedWorker>,
    /// Reservations of tasks that exceeded their limit, doubled.
    doubled_limits: IndexMap<TaskId, Resources>,
    /// Causes of delay already given.
    delay_causes: IndexMap<TaskId, Cause>,
    /// Workers for which urgent tasks wait, and until when.
    holds: IndexMap<TaskId, (usize, Time)>,
    /// Workers whose tasks or use may have changed.
    dirty: IndexSet<WorkerName>,
    /// Reactions to late services that are to be carried out.
    pending_mitigations: Vec<PendingMitigation>,
    /// Workers with services on which each class runs.
    class_spread: IndexMap<ClassName, usize>,
    /// Shares of the teams' quotas in this shard.
    quota_shares: IndexMap<TeamName, Resources>,
    division: Option<QuotaDivision>,
    /// What the usable workers of the shard have for tasks.
    usable_total: Resources,
    /// The largest task that fits any worker of the deployment.
    largest_task: Resources,
    /// Amounts offered to other shards since their summaries were last trusted.
    offered: IndexMap<ShardName, Resources>,
    offered_since: Time,
    /// The configuration for which shares and services were computed.
    config_revision: Option<crate::model::Revision>,
    next_pass: Time,
    /// When the queue was last compared in full.
    queue_synced: Time,
    /// Varies choices among equals.
    rng_state: u64,
}

/// Estimates kept in the shard's snapshot.
#[derive(Debug, Serialize, Deserialize)]
struct SavedEstimates {
    sizes: SizeEstimatorState,
    interference: InterferenceModel,
}

impl PlacementPolicy {
    /// A policy without any estimates. `seed` varies its choices among equals.
    pub fn new(seed: u64) -> Self {
        Self {
            rng_state: seed,
            ..Self::default()
        }
    }

    /// A number that differs on each call (a linear congruential generator).
    fn next_random(&mut self) -> u64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.rng_state >> 33
    }

    /// Takes over what depends on the configuration only.
    fn apply_config(&mut self, now: Time, config: &Config, shard: &ShardName) {
        if self.config_revision == Some(config.revision) {
            return;
        }
        self.config_revision = Some(config.revision);
        let division = QuotaDivision::from_config(config);
        self.quota_shares = config
            .teams
            .iter()
            .map(|(name, team)| {
                let share = division.share(name.as_str(), &team.quota, shard);
                (name.clone(), share)
            })
            .collect();
        self.division = Some(division);
        self.largest_task = super::quota::largest_task(config);
        for (name, team) in &config.teams {
            self.queue.set_weight(name, team.weight);
        }
        for (name, tracked) in &mut self.workers {
            tracked.services = tracked::services_on(now, name, config);
        }
        self.dirty.extend(self.workers.keys().cloned());
    }

    /// What the team may still use in this shard.
    fn remaining_quota(&self, team: &TeamName) -> Resources {
        let share = self.quota_shares.get(team).copied().unwrap_or_default();
        share.saturating_sub(&self.queue.used(team))
    }
}

impl Policy for PlacementPolicy {
    fn choose(&mut self, view: &View<'_>) -> Vec<Decision> {
        if view.now < self.next_pass {
            return Vec::new();
        }
        self.next_pass = view.now + PASS_INTERVAL;
        self.apply_config(view.now, view.config, view.shard);
        let mut decisions = Vec::new();
        self.sync(view);
        self.attribute_failures(view, &mut decisions);
        self.adjust_running(view, &mut decisions);
        self.process_queue(view, &mut decisions);
        decisions
    }

    fn note(&mut self, now: Time, news: News<'_>) {
        self.handle_event(now, news);
    }

    fn save(&self) -> Vec<u8> {
        let saved = SavedEstimates {
            sizes: self.sizes.state(),
            interference: self.interference.clone(),
        };
        // Encoding plain data into a growing buffer has no way to fail.
        postcard::to_allocvec(&saved).unwrap_or_default()
    }

    fn restore(&mut self, saved: &[u8]) {
        if let Ok(saved) = postcard::from_bytes::<SavedEstimates>(saved) {
            self.sizes = SizeEstimator::restore(saved.sizes);
            self.interference = saved.interference;
        }
    }

    fn teams(&self, view: &View<'_>) -> Vec<TeamUse> {
        let teams = view.config.teams.keys().map(|team| TeamUse {
            team: team.clone(),
            used: self.queue.used(team),
            share: self.quota_shares.get(team).copied().unwrap_or_default(),
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
            "delayed": self.delay_causes.len(),
            "holds": self.holds.len(),
            "throttled": self.workers.values().flat_map(|w| w.tasks.values())
                .filter(|t| t.throttled.is_some())
                .count(),
            "probation": self.workers.keys()
                .filter(|w| self.attribution.is_on_probation(w))
                .collect::<Vec<_>>(),
        })
    }
}
