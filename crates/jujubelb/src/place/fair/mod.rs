//! Order of queued work: urgent before batch, weighted fair sharing between
//! teams by dominant share, and ageing.
//!
//! Tasks of one job are alike, so the queue keeps one group for each job. All
//! operations cost O(log n), except the removal of a whole job.

mod group;

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::model::{JobName, Priority, Resources, Span, TaskId, TeamName, Time};
use group::{Group, Rank, Team};

#[cfg(test)]
mod tests;

/// Wait after which a batch job is served out of turn.
pub(crate) const STARVING: Span = Span::from_secs(900);

/// Starts between two turns of starving batch work. The usual order keeps 94 %
/// of the starts.
const TURN: u32 = 16;

/// The next task in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Head {
    /// The task.
    pub(crate) task: TaskId,
    /// Its team.
    pub(crate) team: TeamName,
    /// Its priority.
    pub(crate) priority: Priority,
    /// When it was queued.
    pub(crate) since: Time,
}

/// Position of a team among teams with ready work, lowest first.
type Position = (Rank, TeamName);

/// Queued tasks of one shard.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    teams: IndexMap<TeamName, Team>,
    groups: IndexMap<JobName, Group>,
    /// Teams with ready work, by priority.
    ranks: [BTreeSet<Position>; 2],
    /// Ready batch groups by age of their oldest task.
    ages: BTreeSet<(Time, JobName)>,
    /// Groups left out until `unblock`.
    blocked: Vec<JobName>,
    /// What the shard has altogether, for dominant shares.
    total: Resources,
    /// Queued tasks, by priority.
    counts: [usize; 2],
    /// Starts since the last turn of starving batch work.
    run: u32,
}

const fn slot(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Batch => 1,
    }
}

impl Queue {
    /// Sets what the shard has altogether.
    pub(crate) fn set_total(&mut self, total: Resources) {
        self.total = total;
        let teams: Vec<_> = self.teams.keys().cloned().collect();
        teams.iter().for_each(|t| self.rerank(t));
    }

    /// Sets the weight of a team; at least 1.
    pub(crate) fn set_weight(&mut self, team: &TeamName, weight: u32) {
        self.team(team).weight = weight.max(1);
        self.rerank(team);
    }

    /// Number of queued tasks of a priority.
    pub(crate) fn len(&self, priority: Priority) -> usize {
        self.counts[slot(priority)]
    }

    /// Number of queued tasks.
    pub(crate) fn total_len(&self) -> usize {
        self.counts.iter().sum()
    }

    /// What the team's assigned tasks may use.
    pub(crate) fn used(&self, team: &TeamName) -> Resources {
        self.teams.get(team).map_or(Resources::ZERO, |t| t.used)
    }

    /// Counts assigned resources for a team.
    pub(crate) fn charge(&mut self, team: &TeamName, amount: &Resources) {
        self.team(team).used += *amount;
        self.rerank(team);
    }

    /// Takes back resources counted by `charge`.
    pub(crate) fn refund(&mut self, team: &TeamName, amount: &Resources) {
        let entry = self.team(team);
        entry.used = entry.used.saturating_sub(amount);
        self.rerank(team);
    }

    /// Queues a task. A task that is queued already keeps its place.
    pub(crate) fn push(&mut self, since: Time, team: &TeamName, task: &TaskId, priority: Priority) {
        self.team(team);
        let group = self
            .groups
            .entry(task.job.clone())
            .or_insert_with(|| Group::new(team.clone(), priority));
        let before = group.ready_since();
        if group.push(since, task.index) {
            self.counts[slot(group.priority)] += 1;
            self.regroup(&task.job, before);
        }
    }

    /// Removes a task, for example because it starts or is cancelled.
    pub(crate) fn remove(&mut self, task: &TaskId) -> bool {
        let Some(group) = self.groups.get_mut(&task.job) else {
            return false;
        };
        let before = group.ready_since();
        let removed = group.remove(task.index);
        if removed {
            self.counts[slot(group.priority)] -= 1;
            self.regroup(&task.job, before);
        }
        removed
    }

    /// Removes and returns all tasks that are not to be kept.
    pub(crate) fn retain(&mut self, keep: impl Fn(&TaskId) -> bool) -> Vec<TaskId> {
        let mut gone = Vec::new();
        for (job, group) in &self.groups {
            let tasks = group.indexes().map(|index| TaskId {
                job: job.clone(),
                index,
            });
            gone.extend(tasks.filter(|task| !keep(task)));
        }
        gone.iter().for_each(|task| {
            self.remove(task);
        });
        gone
    }

    /// Number of queued tasks of a job.
    pub(crate) fn waiting(&self, job: &JobName) -> usize {
        self.groups.get(job).map_or(0, Group::len)
    }

    /// Whether a task is queued, and since when.
    pub(crate) fn since(&self, task: &TaskId) -> Option<Time> {
        self.groups.get(&task.job)?.since(task.index)
    }

    /// Leaves a job out of the order until `unblock`, because it can't start now.
    pub(crate) fn block(&mut self, job: &JobName) {
        let Some(group) = self.groups.get_mut(job) else {
            return;
        };
        let before = group.ready_since();
        if before.is_some() {
            group.blocked = true;
            self.blocked.push(job.clone());
            self.regroup(job, before);
        }
    }

    /// Puts all blocked jobs back into the order.
    pub(crate) fn unblock(&mut self) {
        for job in std::mem::take(&mut self.blocked) {
            if let Some(group) = self.groups.get_mut(&job) {
                group.blocked = false;
                self.regroup(&job, None);
            }
        }
    }

    /// The task that is next in order, leaving out blocked jobs.
    pub(crate) fn next(&self, now: Time) -> Option<Head> {
        let turn = self.run >= TURN;
        let starving = || turn.then(|| self.starving(now)).flatten();
        starving()
            .or_else(|| self.first(Priority::Urgent))
            .or_else(|| self.first(Priority::Batch))
    }

    /// Notes that a task was started, for the turns of starving batch work.
    pub(crate) fn started(&mut self, now: Time, head: &Head) {
        let starved = head.priority == Priority::Batch && now.since(head.since) >= STARVING;
        self.run = if starved {
            0
        } else {
            self.run.saturating_add(1)
        };
    }

    /// The oldest batch task, if it has waited so long that it starves.
    fn starving(&self, now: Time) -> Option<Head> {
        let (since, job) = self.ages.first()?;
        if now.since(*since) < STARVING {
            return None;
        }
        self.head(job)
    }

    fn first(&self, priority: Priority) -> Option<Head> {
        let (_, team) = self.ranks[slot(priority)].first()?;
        let (_, job) = self.teams.get(team)?.ready[slot(priority)].first()?;
        self.head(job)
    }

    fn head(&self, job: &JobName) -> Option<Head> {
        let group = self.groups.get(job)?;
        let (since, index) = group.first()?;
        Some(Head {
            task: TaskId {
                job: job.clone(),
                index,
            },
            team: group.team.clone(),
            priority: group.priority,
            since,
        })
    }

    fn team(&mut self, team: &TeamName) -> &mut Team {
        self.teams.entry(team.clone()).or_default()
    }

    /// Brings the indexes up to date after a group changed. `before` is its
    /// position before the change.
    fn regroup(&mut self, job: &JobName, before: Option<Time>) {
        let Some(group) = self.groups.get(job) else {
            return;
        };
        let (after, empty) = (group.ready_since(), group.is_empty());
        let (priority, team) = (group.priority, group.team.clone());
        if before != after {
            let ready = &mut self.team(&team).ready[slot(priority)];
            before.map(|t| ready.remove(&(t, job.clone())));
            after.map(|t| ready.insert((t, job.clone())));
            if priority == Priority::Batch {
                before.map(|t| self.ages.remove(&(t, job.clone())));
                after.map(|t| self.ages.insert((t, job.clone())));
            }
            self.rerank(&team);
        }
        if empty {
            self.groups.swap_remove(job);
        }
    }

    /// Brings a team's ranks up to date.
    fn rerank(&mut self, team: &TeamName) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        for slot in 0..entry.ranks.len() {
            let rank = entry.rank(slot, &self.total);
            if rank != entry.ranks[slot] {
                let ranks = &mut self.ranks[slot];
                entry.ranks[slot].map(|r| ranks.remove(&(r, team.clone())));
                rank.map(|r| ranks.insert((r, team.clone())));
                entry.ranks[slot] = rank;
            }
        }
    }
}
