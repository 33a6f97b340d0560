//! The durable state of a shard. It changes only by applying the changes of
//! segments, so that a replay of the log gives the same state as live operation.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::journal::{Change, Segment, WriterId};
use crate::model::{
    Attempt, Cause, Checkpoint, Epoch, JobName, JobSpec, Record, Resources, ShardName, TaskId,
    WorkerName,
};

/// Most decision records that the state retains for operators.
pub const MAX_RECORDS: usize = 2_000;

/// Most ended jobs that the state retains so that a repeated submission gets the
/// same answer. A shard accepts about 900 jobs a day at the target scale, so
/// this covers five days.
pub const MAX_ENDED_JOBS: usize = 5_000;

/// Most answered offers that the state retains so that a repeated offer gets the same reply.
pub const MAX_ANSWERED_OFFERS: usize = 5_000;

/// State of a task in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for a worker.
    Queued,
    /// Assigned to a worker, where it may run.
    Assigned {
        /// Worker of the attempt.
        worker: WorkerName,
        /// Limit of the attempt.
        limit: Resources,
        /// Epoch of the owner that assigned it.
        epoch: Epoch,
    },
    /// Offered to another shard. It can't start here while the offer is open.
    Offered {
        /// Target of the offer.
        to: ShardName,
    },
    /// Not attempted any more.
    Parked {
        /// Reason for parking the job.
        cause: Cause,
    },
}

/// A task that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Current state.
    pub state: TaskState,
    /// Number of the newest attempt. A handoff uses up one number, so that the
    /// key of an offer, task and attempt, is used only once.
    pub attempt: Attempt,
    /// Newest stored checkpoint.
    pub checkpoint: Option<Checkpoint>,
    /// Number of failed attempts in this shard.
    pub failures: u32,
}

/// A job with tasks that have not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Specification of the job as accepted.
    pub spec: JobSpec,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Reason for parking the job, if it is parked.
    pub parked: Option<Cause>,
    /// Number of the job's tasks in `State::tasks`.
    pub open_tasks: u32,
    /// Number of tasks that succeeded in this shard.
    pub succeeded: u32,
    /// Shards to which tasks were handed off. Cancellations are forwarded to them.
    pub handoff_targets: IndexSet<ShardName>,
}

/// A job all of whose tasks in this shard succeeded, were cancelled or were handed off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// `job_digest` of the job as accepted.
    pub digest: [u8; 32],
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Number of tasks that succeeded in this shard.
    pub succeeded: u32,
    /// Shards to which tasks were handed off.
    pub handoff_targets: IndexSet<ShardName>,
}

/// A change that does not apply to the state. In a log it means corruption.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the change does not apply to the shard's state: {0}")]
pub struct InapplicableChange(pub String);

/// Durable state of a shard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Index of the next segment in the log.
    pub next_segment: u64,
    /// Epoch of the newest applied segment.
    pub epoch: Epoch,
    /// Writer of the newest applied segment; absent before the first one.
    pub writer: Option<WriterId>,
    /// Owners that may still renew leases, by epoch, including the current owner until it stops.
    pub owners: IndexMap<Epoch, WriterId>,
    /// Jobs with tasks that have not ended.
    pub jobs: IndexMap<JobName, Job>,
    /// Tasks that have not ended.
    pub tasks: IndexMap<TaskId, Task>,
    /// Ended jobs, oldest first, at most `MAX_ENDED_JOBS`.
    pub ended_jobs: IndexMap<JobName, EndedJob>,
    /// Workers in quarantine.
    pub quarantined: IndexSet<WorkerName>,
    /// Answered offers of other shards with whether the task was received, oldest
    /// first, at most `MAX_ANSWERED_OFFERS`.
    pub answered_offers: IndexMap<(TaskId, Attempt), bool>,
    /// Highest epoch per source shard among the owners whose offers were answered.
    pub source_epochs: IndexMap<ShardName, Epoch>,
    /// Decision records, oldest first, at most `MAX_RECORDS`.
    pub records: VecDeque<Record>,
}

/// Returns the digest that identifies a repeated submission of the same job.
pub fn job_digest(job: &JobSpec) -> [u8; 32] {
    // Encoding plain data into a growable buffer can't fail.
    let bytes = postcard::to_allocvec(job).unwrap_or_default();
    *blake3::hash(&bytes).as_bytes()
}

impl State {
    /// Applies the changes and records of the next segment.
    pub fn apply(&mut self, segment: &Segment) -> Result<(), InapplicableChange> {
        self.set_writer(segment.epoch, &segment.writer)?;
        for change in &segment.changes {
            self.apply_change(change)?;
        }
        self.records.extend(segment.records.iter().cloned());
        let excess = self.records.len().saturating_sub(MAX_RECORDS);
        self.records.drain(..excess);
        self.next_segment += 1;
        Ok(())
    }

    /// Sets the current epoch and writer to those of a segment.
    fn set_writer(&mut self, epoch: Epoch, writer: &WriterId) -> Result<(), InapplicableChange> {
        if epoch < self.epoch {
            return Err(InapplicableChange(format!(
                "a segment of epoch {epoch} follows one of epoch {}",
                self.epoch
            )));
        }
        if epoch > self.epoch {
            self.owners.insert(epoch, writer.clone());
        } else if self.writer.as_ref() != Some(writer) {
            return Err(InapplicableChange(format!("epoch {epoch} has two writers")));
        }
        self.epoch = epoch;
        self.writer = Some(writer.clone());
        Ok(())
    }

    /// Applies one change of the current owner.
    pub fn apply_change(&mut self, change: &Change) -> Result<(), InapplicableChange> {
        let applied = match change {
            Change::Accepted { job } => self.accept(job),
            Change::Assigned {
                task,
                attempt,
                worker,
                limit,
            } => self.assign(task, *attempt, worker, *limit),
            Change::Resized { task, limit } => self.resize(task, *limit),
            Change::Checkpointed {
                task,
                attempt,
                checkpoint,
            } => self.checkpoint(task, *attempt, checkpoint),
            Change::Ended {
                task,
                attempt,
                outcome,
            } => self.end_attempt(task, *attempt, *outcome),
            Change::Cancelled { job } => self.cancel(job),
            Change::Parked { job, cause } => self.park(job, *cause),
            Change::Offered { task, attempt, to } => self.offer(task, *attempt, to),
            Change::Received { .. } => self.receive(change),
            Change::Declined {
                task,
                attempt,
                from,
                epoch,
            } => self.record_offer_reply(task, *attempt, from, *epoch, false),
            Change::Released { task, attempt } => self.release(task, *attempt),
            Change::Withdrawn { task, attempt } => self.withdraw(task, *attempt),
            Change::Quarantined { worker, on: true } => self.quarantined.insert(worker.clone()),
            Change::Quarantined { worker, on: false } => self.quarantined.shift_remove(worker),
            Change::OwnersRetired { below } => {
                self.owners.retain(|epoch, _| epoch >= below);
                true
            }
            Change::LateSuccess { task, attempt } => self.complete_late(task, *attempt),
            Change::SteppedDown => self.owners.shift_remove(&self.epoch).is_some(),
        };
        match applied {
            true => Ok(()),
            false => Err(InapplicableChange(format!("{change:?}"))),
        }
    }

    /// Whether a task is queued and `attempt` is its newest one.
    pub(super) fn is_queued_after(&self, id: &TaskId, attempt: Attempt) -> bool {
        let task = self.tasks.get(id);
        task.is_some_and(|task| task.state == TaskState::Queued && task.attempt == attempt)
    }

    /// Returns the queued tasks with their jobs, in order of arrival.
    pub fn queued_tasks(&self) -> impl Iterator<Item = (&TaskId, &Task, &JobSpec)> {
        self.tasks
            .iter()
            .filter(|(_, task)| task.state == TaskState::Queued)
            .filter_map(|(id, task)| Some((id, task, &self.jobs.get(&id.job)?.spec)))
    }

    /// Whether the known job of this name has the same specification; `None` if the job is unknown.
    pub fn has_same_job(&self, job: &JobSpec) -> Option<bool> {
        if let Some(known) = self.jobs.get(&job.name) {
            return Some(known.spec == *job);
        }
        let ended = self.ended_jobs.get(&job.name)?;
        Some(ended.digest == job_digest(job))
    }

    /// Returns the worker, limit and attempt of an assigned task.
    pub fn assignment(&self, task: &TaskId) -> Option<(&WorkerName, Resources, Attempt)> {
        let task = self.tasks.get(task)?;
        match &task.state {
            TaskState::Assigned { worker, limit, .. } => Some((worker, *limit, task.attempt)),
            _ => None,
        }
    }
}

impl Task {
    pub(super) fn queued(attempt: Attempt, checkpoint: Option<Checkpoint>) -> Self {
        Self {
            state: TaskState::Queued,
            attempt,
            checkpoint,
            failures: 0,
        }
    }

    /// Whether the task is assigned to a worker.
    pub const fn is_assigned(&self) -> bool {
        matches!(self.state, TaskState::Assigned { .. })
    }

    pub(super) const fn is_offered(&self) -> bool {
        matches!(self.state, TaskState::Offered { .. })
    }
}

impl Job {
    pub(super) fn new(spec: &JobSpec, open_tasks: u32) -> Self {
        Self {
            spec: spec.clone(),
            cancelled: false,
            parked: None,
            open_tasks,
            succeeded: 0,
            handoff_targets: IndexSet::new(),
        }
    }
}
