//! Placement policy of a shard's owner.
//!
//! All tracked state can be rebuilt from the owner's view. A decision that the
//! owner rejects, or a change that was not reported as an event, is found when
//! the tracked state is compared with the view.

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
use crate::shard::{Decision, Policy, PolicyEvent, ShardView, TeamUsage};

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

/// Minimum time between two passes over the shard. The owner appends to the log
/// at most every 150 ms, so more frequent passes would start no task earlier.
const PASS_INTERVAL: Span = Span::from_millis(50);

/// Decides on which workers tasks run, what their resource limits are, and which
/// tasks are throttled, evicted or handed off when resources are short.
#[derive(Debug, Default)]
pub struct PlacementPolicy {
    sizes: SizeEstimator,
    interference: InterferenceModel,
    attribution: Attribution,
    queue: FairQueue,
    index: CapacityIndex,
    /// Workers, in the order of the owner's view and of `index`.
    workers: IndexMap<WorkerName, TrackedWorker>,
    /// Limit with twice the memory, for each task that exceeded its memory limit.
    doubled_limits: IndexMap<TaskId, Resources>,
    /// Cause of the last delay recorded for each queued task.
    delay_causes: IndexMap<TaskId, Cause>,
    /// Worker whose free capacity is held for a task, and the end of the hold.
    holds: IndexMap<TaskId, (usize, Time)>,
    /// Workers whose tasks or usage may have changed since the last pass.
    dirty: IndexSet<WorkerName>,
    /// Mitigations for slowed services that the next pass applies.
    pending_mitigations: Vec<PendingMitigation>,
    /// Number of workers with services on which each class runs.
    class_spread: IndexMap<ClassName, usize>,
    /// This shard's share of each team's quota.
    quota_shares: IndexMap<TeamName, Resources>,
    division: Option<QuotaDivision>,
    /// Resources that the usable workers of the shard have for tasks.
    usable_total: Resources,
    /// Largest task that fits any worker of the deployment, per resource.
    largest_task: Resources,
    /// Resources of the tasks offered to each other shard since `offered_since`,
    /// which that shard's summary may not include yet.
    offered: IndexMap<ShardName, Resources>,
    offered_since: Time,
    /// Revision of the configuration applied last.
    config_revision: Option<crate::model::Revision>,
    next_pass: Time,
    /// When the complete queue was last compared with the view.
    queue_synced: Time,
    /// State of the generator that varies choices among equals.
    rng_state: u64,
}

/// Estimates stored in the shard's snapshot.
#[derive(Debug, Serialize, Deserialize)]
struct SavedEstimates {
    sizes: SizeEstimatorState,
    interference: InterferenceModel,
}

impl PlacementPolicy {
    /// Creates a policy without estimates. `seed` varies choices among equals.
    pub fn new(seed: u64) -> Self {
        Self {
            rng_state: seed,
            ..Self::default()
        }
    }

    /// Next number of a linear congruential generator, below 2^31.
    fn next_random(&mut self) -> u64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.rng_state >> 33
    }

    /// Recomputes the state that depends on the configuration only, if it changed.
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

    /// Unused part of this shard's share of the team's quota.
    fn remaining_quota(&self, team: &TeamName) -> Resources {
        let share = self.quota_shares.get(team).copied().unwrap_or_default();
        share.saturating_sub(&self.queue.used(team))
    }
}

impl Policy for PlacementPolicy {
    fn choose(&mut self, view: &ShardView<'_>) -> Vec<Decision> {
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

    fn on_event(&mut self, now: Time, event: PolicyEvent<'_>) {
        self.handle_event(now, event);
    }

    fn save(&self) -> Vec<u8> {
        let saved = SavedEstimates {
            sizes: self.sizes.state(),
            interference: self.interference.clone(),
        };
        // Encoding plain data into a growable buffer can't fail.
        postcard::to_allocvec(&saved).unwrap_or_default()
    }

    fn restore(&mut self, saved: &[u8]) {
        if let Ok(saved) = postcard::from_bytes::<SavedEstimates>(saved) {
            self.sizes = SizeEstimator::restore(saved.sizes);
            self.interference = saved.interference;
        }
    }

    fn team_usage(&self, view: &ShardView<'_>) -> Vec<TeamUsage> {
        let teams = view.config.teams.keys().map(|team| TeamUsage {
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
