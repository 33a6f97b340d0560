//! Fair queue: urgent tasks before batch tasks, weighted fair sharing between teams by
//! dominant share, and ageing.
//!
//! The tasks of one job are interchangeable, so there is one queue for each job. All
//! operations cost O(log n), except the removal of a complete job.

mod queues;

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::model::{JobName, Priority, Resources, Span, TaskId, TeamName, Time};
use queues::{JobQueue, Rank, TeamQueue};

#[cfg(test)]
mod tests;

/// Wait after which a batch task counts as starving and may start out of order.
pub(crate) const STARVATION_AGE: Span = Span::from_secs(900);

/// Number of starts in the usual order before one of a starving batch task, so that
/// the usual order keeps 94 % of the starts.
const STARTS_PER_STARVING_TURN: u32 = 16;

/// A queued task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QueuedTask {
    /// The task.
    pub(crate) task: TaskId,
    /// Its team.
    pub(crate) team: TeamName,
    /// Its priority.
    pub(crate) priority: Priority,
    /// When the task was queued.
    pub(crate) since: Time,
}

/// A team with its rank among the teams with ready jobs.
type RankedTeam = (Rank, TeamName);

/// Queued tasks of one shard.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    teams: IndexMap<TeamName, TeamQueue>,
    jobs: IndexMap<JobName, JobQueue>,
    /// Teams with ready jobs in order of rank, for each priority.
    ranks: [BTreeSet<RankedTeam>; 2],
    /// Ready batch jobs by the queueing time of their oldest task.
    batch_ages: BTreeSet<(Time, JobName)>,
    /// Jobs skipped until `unblock`.
    blocked: Vec<JobName>,
    /// Total resources of the shard, the basis of dominant shares.
    capacity: Resources,
    /// Number of queued tasks of each priority.
    counts: [usize; 2],
    /// Number of starts since the last one of a starving batch task.
    starts_since_turn: u32,
}

const fn priority_index(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Batch => 1,
    }
}

impl FairQueue {
    /// Sets the total resources of the shard.
    pub(crate) fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
        let teams: Vec<_> = self.teams.keys().cloned().collect();
        teams.iter().for_each(|t| self.update_rank(t));
    }

    /// Sets the weight of a team; 0 counts as 1.
    pub(crate) fn set_weight(&mut self, team: &TeamName, weight: u32) {
        self.team(team).weight = weight.max(1);
        self.update_rank(team);
    }

    /// Number of queued tasks of a priority.
    pub(crate) fn len(&self, priority: Priority) -> usize {
        self.counts[priority_index(priority)]
    }

    /// Number of queued tasks.
    pub(crate) fn total_len(&self) -> usize {
        self.counts.iter().sum()
    }

    /// Resources charged to the team for its assigned tasks.
    pub(crate) fn used(&self, team: &TeamName) -> Resources {
        self.teams.get(team).map_or(Resources::ZERO, |t| t.used)
    }

    /// Charges resources of an assigned task to a team.
    pub(crate) fn charge(&mut self, team: &TeamName, amount: &Resources) {
        self.team(team).used += *amount;
        self.update_rank(team);
    }

    /// Refunds resources charged by `charge`.
    pub(crate) fn refund(&mut self, team: &TeamName, amount: &Resources) {
        let entry = self.team(team);
        entry.used = entry.used.saturating_sub(amount);
        self.update_rank(team);
    }

    /// Queues a task. A task that is already queued keeps its position.
    pub(crate) fn push(&mut self, since: Time, team: &TeamName, task: &TaskId, priority: Priority) {
        self.team(team);
        let queue = self
            .jobs
            .entry(task.job.clone())
            .or_insert_with(|| JobQueue::new(team.clone(), priority));
        let before = queue.ready_since();
        if queue.push(since, task.index) {
            self.counts[priority_index(queue.priority)] += 1;
            self.update_job(&task.job, before);
        }
    }

    /// Removes a task, for example because it starts or is cancelled. Returns whether it
    /// was queued.
    pub(crate) fn remove(&mut self, task: &TaskId) -> bool {
        let Some(queue) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let before = queue.ready_since();
        let removed = queue.remove(task.index);
        if removed {
            self.counts[priority_index(queue.priority)] -= 1;
            self.update_job(&task.job, before);
        }
        removed
    }

    /// Removes and returns all tasks for which `keep` returns `false`.
    pub(crate) fn retain(&mut self, keep: impl Fn(&TaskId) -> bool) -> Vec<TaskId> {
        let mut removed = Vec::new();
        for (job, queue) in &self.jobs {
            let tasks = queue.indexes().map(|index| TaskId {
                job: job.clone(),
                index,
            });
            removed.extend(tasks.filter(|task| !keep(task)));
        }
        removed.iter().for_each(|task| {
            self.remove(task);
        });
        removed
    }

    /// Number of queued tasks of a job.
    pub(crate) fn job_len(&self, job: &JobName) -> usize {
        self.jobs.get(job).map_or(0, JobQueue::len)
    }

    /// Returns when a task was queued, or `None` if it isn't.
    pub(crate) fn queued_since(&self, task: &TaskId) -> Option<Time> {
        self.jobs.get(&task.job)?.queued_since(task.index)
    }

    /// Skips a job until `unblock`, because it can't start now.
    pub(crate) fn block(&mut self, job: &JobName) {
        let Some(queue) = self.jobs.get_mut(job) else {
            return;
        };
        let before = queue.ready_since();
        if before.is_some() {
            queue.blocked = true;
            self.blocked.push(job.clone());
            self.update_job(job, before);
        }
    }

    /// Unblocks all blocked jobs.
    pub(crate) fn unblock(&mut self) {
        for job in std::mem::take(&mut self.blocked) {
            if let Some(queue) = self.jobs.get_mut(&job) {
                queue.blocked = false;
                self.update_job(&job, None);
            }
        }
    }

    /// Returns the next task in order, without those of blocked jobs. It stays queued.
    pub(crate) fn peek(&self, now: Time) -> Option<QueuedTask> {
        let turn_due = self.starts_since_turn >= STARTS_PER_STARVING_TURN;
        let starving = || turn_due.then(|| self.starving_head(now)).flatten();
        starving()
            .or_else(|| self.first_of(Priority::Urgent))
            .or_else(|| self.first_of(Priority::Batch))
    }

    /// Counts the start of a task, which determines when a starving batch task is next.
    pub(crate) fn record_start(&mut self, now: Time, head: &QueuedTask) {
        let starved = head.priority == Priority::Batch && now.since(head.since) >= STARVATION_AGE;
        self.starts_since_turn = if starved {
            0
        } else {
            self.starts_since_turn.saturating_add(1)
        };
    }

    /// Returns the oldest batch task if it is starving.
    fn starving_head(&self, now: Time) -> Option<QueuedTask> {
        let (since, job) = self.batch_ages.first()?;
        if now.since(*since) < STARVATION_AGE {
            return None;
        }
        self.job_head(job)
    }

    fn first_of(&self, priority: Priority) -> Option<QueuedTask> {
        let (_, team) = self.ranks[priority_index(priority)].first()?;
        let (_, job) = self.teams.get(team)?.ready[priority_index(priority)].first()?;
        self.job_head(job)
    }

    fn job_head(&self, job: &JobName) -> Option<QueuedTask> {
        let queue = self.jobs.get(job)?;
        let (since, index) = queue.head()?;
        Some(QueuedTask {
            task: TaskId {
                job: job.clone(),
                index,
            },
            team: queue.team.clone(),
            priority: queue.priority,
            since,
        })
    }

    fn team(&mut self, team: &TeamName) -> &mut TeamQueue {
        self.teams.entry(team.clone()).or_default()
    }

    /// Updates the indexes after a job's queue changed. `before` is its `ready_since`
    /// before the change.
    fn update_job(&mut self, job: &JobName, before: Option<Time>) {
        let Some(queue) = self.jobs.get(job) else {
            return;
        };
        let (after, empty) = (queue.ready_since(), queue.is_empty());
        let (priority, team) = (queue.priority, queue.team.clone());
        if before != after {
            let ready = &mut self.team(&team).ready[priority_index(priority)];
            before.map(|t| ready.remove(&(t, job.clone())));
            after.map(|t| ready.insert((t, job.clone())));
            if priority == Priority::Batch {
                before.map(|t| self.batch_ages.remove(&(t, job.clone())));
                after.map(|t| self.batch_ages.insert((t, job.clone())));
            }
            self.update_rank(&team);
        }
        if empty {
            self.jobs.swap_remove(job);
        }
    }

    /// Updates a team's ranks.
    fn update_rank(&mut self, team: &TeamName) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        for priority_index in 0..entry.ranks.len() {
            let rank = entry.rank(priority_index, &self.capacity);
            if rank != entry.ranks[priority_index] {
                let ranks = &mut self.ranks[priority_index];
                entry.ranks[priority_index].map(|r| ranks.remove(&(r, team.clone())));
                rank.map(|r| ranks.insert((r, team.clone())));
                entry.ranks[priority_index] = rank;
            }
        }
    }
}
