//! Queued tasks of one job, and one team's part of the queue.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::model::{JobName, Priority, Resources, TeamName, Time};

/// Position of a team among teams with ready work, lowest first.
pub(super) type Rank = (u64, Time);

/// Queued tasks of one job.
#[derive(Debug)]
pub(super) struct JobQueue {
    pub(super) team: TeamName,
    pub(super) priority: Priority,
    /// Whether the job is left out of the order.
    pub(super) blocked: bool,
    order: BTreeSet<(Time, u32)>,
    since: IndexMap<u32, Time>,
}

impl JobQueue {
    pub(super) fn new(team: TeamName, priority: Priority) -> Self {
        Self {
            team,
            priority,
            blocked: false,
            order: BTreeSet::new(),
            since: IndexMap::new(),
        }
    }

    pub(super) fn push(&mut self, since: Time, index: u32) -> bool {
        if self.since.contains_key(&index) {
            return false;
        }
        self.since.insert(index, since);
        self.order.insert((since, index))
    }

    pub(super) fn remove(&mut self, index: u32) -> bool {
        match self.since.swap_remove(&index) {
            Some(since) => self.order.remove(&(since, index)),
            None => false,
        }
    }

    pub(super) fn head(&self) -> Option<(Time, u32)> {
        self.order.first().copied()
    }

    /// Age of the oldest task, unless the group is blocked or empty.
    pub(super) fn ready_since(&self) -> Option<Time> {
        let (since, _) = self.head()?;
        (!self.blocked).then_some(since)
    }

    pub(super) fn queued_since(&self, index: u32) -> Option<Time> {
        self.since.get(&index).copied()
    }

    pub(super) fn indexes(&self) -> impl Iterator<Item = u32> {
        self.since.keys().copied()
    }

    pub(super) fn len(&self) -> usize {
        self.since.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

/// One team's part of the queue.
#[derive(Debug)]
pub(super) struct TeamQueue {
    pub(super) weight: u32,
    pub(super) used: Resources,
    /// Ready groups by age of their oldest task, by priority.
    pub(super) ready: [BTreeSet<(Time, JobName)>; 2],
    /// The ranks under which the team is in the queue's order, by priority.
    pub(super) ranks: [Option<Rank>; 2],
}

impl Default for TeamQueue {
    fn default() -> Self {
        Self {
            weight: 1,
            used: Resources::ZERO,
            ready: Default::default(),
            ranks: [None; 2],
        }
    }
}

impl TeamQueue {
    /// Rank among teams with ready work.
    ///
    /// Batch work goes by weighted share, then by age. Urgent work goes by age,
    /// with at most one second of delay for a team that uses the whole shard:
    /// all of it has to start within 2.8 s. No rank depends on the present time,
    /// so waiting costs no updates.
    pub(super) fn rank(&self, priority_index: usize, capacity: &Resources) -> Option<Rank> {
        let (since, _) = self.ready[priority_index].first()?;
        let share = self.share(capacity) * 1_000 / u64::from(self.weight);
        Some(match priority_index {
            0 => (since.as_micros().saturating_add(share / 1_000), *since),
            _ => (share, *since),
        })
    }

    /// Dominant share of `capacity` in millionths: the largest over all resources.
    fn share(&self, capacity: &Resources) -> u64 {
        let part = |used: u64, all: u64| {
            let share = u128::from(used) * 1_000_000 / u128::from(all.max(1));
            u64::try_from(share).unwrap_or(u64::MAX).min(1_000_000)
        };
        let accelerators = part(
            u64::from(self.used.accelerators),
            u64::from(capacity.accelerators),
        );
        part(self.used.cpu.0, capacity.cpu.0)
            .max(part(self.used.memory.0, capacity.memory.0))
            .max(accelerators)
    }
}
