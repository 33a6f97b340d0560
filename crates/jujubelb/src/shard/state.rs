//! The durable state of a shard. It changes only by applying the changes of a
//! segment, so that replay and live use give the same state.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::journal::{Change, Segment, WriterId};
use crate::model::{
    Attempt, Cause, Checkpoint, Epoch, JobName, JobSpec, Record, Resources, ShardName, TaskId,
    WorkerName,
};

/// Records kept for operators. To be tuned.
pub const MAX_RECORDS: usize = 2_000;

/// Ended jobs kept so that a repeated submission gets the same answer. A shard
/// accepts about 900 jobs a day at the target scale, so this covers five days. To be tuned.
pub const MAX_ENDED_JOBS: usize = 5_000;

/// Offers whose answers are kept so that a repeat gets the same answer. To be tuned.
pub const MAX_ANSWERED_OFFERS: usize = 5_000;

/// Where a task stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// It waits for a worker.
    Queued,
    /// It is assigned to a worker and may run there.
    Assigned {
        /// The worker.
        worker: WorkerName,
        /// Limit of the attempt.
        limit: Resources,
        /// Epoch of the owner that assigned it.
        epoch: Epoch,
    },
    /// It is offered to another shard and can't start here.
    Offered {
        /// The target.
        to: ShardName,
    },
    /// It is no longer tried.
    Parked {
        /// Why.
        cause: Cause,
    },
}

/// A task that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Where it stands.
    pub state: TaskState,
    /// The newest attempt. A handoff uses up one number, so that the key of an offer is never repeated.
    pub attempt: Attempt,
    /// The newest stored checkpoint.
    pub checkpoint: Option<Checkpoint>,
    /// Attempts that failed.
    pub failures: u32,
}

/// A job with tasks that have not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job as accepted.
    pub spec: JobSpec,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Why it is no longer tried, if so.
    pub parked: Option<Cause>,
    /// Tasks in `State::tasks`.
    pub open_tasks: u32,
    /// Tasks that ended well.
    pub succeeded: u32,
    /// Shards to which tasks were handed off. A cancellation is passed on to them.
    pub handoff_targets: IndexSet<ShardName>,
}

/// A job without tasks in this shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Digest of the job as accepted.
    pub digest: [u8; 32],
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Tasks that ended well.
    pub succeeded: u32,
    /// Shards to which tasks were handed off.
    pub handoff_targets: IndexSet<ShardName>,
}

/// A change that does not fit the state. In a log it means corruption.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the change does not fit the state of the shard: {0}")]
pub struct InapplicableChange(pub String);

/// Durable state of a shard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Index of the segment that comes next.
    pub next_segment: u64,
    /// Epoch of the newest segment.
    pub epoch: Epoch,
    /// Writer of the newest segment.
    pub writer: Option<WriterId>,
    /// Owners that may still renew leases, by epoch, the present one included.
    pub owners: IndexMap<Epoch, WriterId>,
    /// Jobs with tasks that have not ended.
    pub jobs: IndexMap<JobName, Job>,
    /// Tasks that have not ended.
    pub tasks: IndexMap<TaskId, Task>,
    /// Newest ended jobs, oldest first.
    pub ended_jobs: IndexMap<JobName, EndedJob>,
    /// Workers in quarantine.
    pub quarantined: IndexSet<WorkerName>,
    /// Answered offers of other shards and whether the task was taken, oldest first.
    pub answered_offers: IndexMap<(TaskId, Attempt), bool>,
    /// Highest epoch of an owner of another shard whose offer was answered.
    pub source_epochs: IndexMap<ShardName, Epoch>,
    /// Newest decision records, oldest first.
    pub records: VecDeque<Record>,
}

/// Digest by which a repeated submission is recognised.
pub fn job_digest(job: &JobSpec) -> [u8; 32] {
    // Encoding plain data into a growing buffer has no way to fail.
    let bytes = postcard::to_allocvec(job).unwrap_or_default();
    *blake3::hash(&bytes).as_bytes()
}

impl State {
    /// Applies a whole segment.
    pub fn apply(&mut self, segment: &Segment) -> Result<(), InapplicableChange> {
        self.begin(segment.epoch, &segment.writer)?;
        for change in &segment.changes {
            self.change(change)?;
        }
        self.records.extend(segment.records.iter().cloned());
        let excess = self.records.len().saturating_sub(MAX_RECORDS);
        self.records.drain(..excess);
        self.next_segment += 1;
        Ok(())
    }

    /// Notes the writer of a segment.
    fn begin(&mut self, epoch: Epoch, writer: &WriterId) -> Result<(), InapplicableChange> {
        if epoch < self.epoch {
            return Err(InapplicableChange(format!(
                "epoch {epoch} follows {}",
                self.epoch
            )));
        }
        if epoch > self.epoch {
            self.owners.insert(epoch, writer.clone());
        } else if self.writer.as_ref() != Some(writer) {
            return Err(InapplicableChange(format!(
                "two writers have epoch {epoch}"
            )));
        }
        self.epoch = epoch;
        self.writer = Some(writer.clone());
        Ok(())
    }

    /// Applies one change of the present owner.
    pub fn change(&mut self, change: &Change) -> Result<(), InapplicableChange> {
        let fitted = match change {
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
            } => self.end(task, *attempt, *outcome),
            Change::Cancelled { job } => self.cancel(job),
            Change::Parked { job, cause } => self.park(job, *cause),
            Change::Offered { task, attempt, to } => self.offer(task, *attempt, to),
            Change::Received { .. } => self.receive(change),
            Change::Declined {
                task,
                attempt,
                from,
                epoch,
            } => self.answered(task, *attempt, from, *epoch, false),
            Change::Released { task, attempt } => self.release(task, *attempt),
            Change::Withdrawn { task, attempt } => self.withdraw(task, *attempt),
            Change::Quarantined { worker, on: true } => self.quarantined.insert(worker.clone()),
            Change::Quarantined { worker, on: false } => self.quarantined.shift_remove(worker),
            Change::OwnersRetired { below } => {
                self.owners.retain(|epoch, _| epoch >= below);
                true
            }
            Change::LateSuccess { task, attempt } => self.find(task, *attempt),
            Change::SteppedDown => self.owners.shift_remove(&self.epoch).is_some(),
        };
        match fitted {
            true => Ok(()),
            false => Err(InapplicableChange(format!("{change:?}"))),
        }
    }

    /// Whether a task is queued and this is its newest attempt.
    pub(super) fn is_waiting_after(&self, id: &TaskId, attempt: Attempt) -> bool {
        let task = self.tasks.get(id);
        task.is_some_and(|task| task.state == TaskState::Queued && task.attempt == attempt)
    }

    /// Tasks that wait for a worker, in order of arrival.
    pub fn queued_tasks(&self) -> impl Iterator<Item = (&TaskId, &Task, &JobSpec)> {
        self.tasks
            .iter()
            .filter(|(_, task)| task.state == TaskState::Queued)
            .filter_map(|(id, task)| Some((id, task, &self.jobs.get(&id.job)?.spec)))
    }

    /// Whether a job is known, and with this content.
    pub fn has_same_job(&self, job: &JobSpec) -> Option<bool> {
        if let Some(known) = self.jobs.get(&job.name) {
            return Some(known.spec == *job);
        }
        let ended = self.ended_jobs.get(&job.name)?;
        Some(ended.digest == job_digest(job))
    }

    /// The worker and limit of an assigned task.
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

    /// Whether it is assigned to a worker.
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
