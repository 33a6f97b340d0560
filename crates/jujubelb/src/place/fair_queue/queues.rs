//! Queue of one job, and ready jobs of one team.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::model::{JobName, Priority, Resources, TeamName, Time};
use crate::place::share;

/// Rank of a team among the teams with ready jobs; the lowest comes first.
pub(super) type Rank = (u64, Time);

/// Queued tasks of one job.
#[derive(Debug)]
pub(super) struct JobQueue {
    pub(super) team: TeamName,
    pub(super) priority: Priority,
    /// Whether the job is skipped until the next `unblock`.
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

    /// When the oldest task was queued, unless the job is blocked or has no tasks.
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

/// Ready jobs and resource usage of one team.
#[derive(Debug)]
pub(super) struct TeamQueue {
    pub(super) weight: u32,
    pub(super) used: Resources,
    /// Ready jobs by the queueing time of their oldest task, for each priority.
    pub(super) ready: [BTreeSet<(Time, JobName)>; 2],
    /// Current rank of the team for each priority; absent without ready jobs.
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
    /// Rank among the teams with ready jobs of a priority.
    ///
    /// Batch tasks are ordered by weighted dominant share, then by age. Urgent tasks are
    /// ordered by age, with a delay of at most one second for a team that uses the
    /// complete shard, since all urgent tasks have to start within 2.8 s. Ranks don't
    /// depend on the current time, so they need no updates while tasks wait.
    pub(super) fn rank(&self, priority_index: usize, capacity: &Resources) -> Option<Rank> {
        let (since, _) = self.ready[priority_index].first()?;
        let share = share::weighted(&self.used, capacity, self.weight);
        Some(match priority_index {
            0 => (since.as_micros().saturating_add(share / 1_000), *since),
            _ => (share, *since),
        })
    }
}
