//! Effects of each kind of change on the durable state. Each function returns
//! whether the change applies, and leaves the state unmodified if it does not.

use super::state::{
    EndedJob, Job, MAX_ANSWERED_OFFERS, MAX_ENDED_JOBS, State, Task, TaskState, job_digest,
};
use crate::journal::{AttemptOutcome, Change};
use crate::model::{
    Attempt, Cause, Checkpoint, Epoch, JobName, JobSpec, Resources, ShardName, TaskId, WorkerName,
};

impl State {
    pub(super) fn accept(&mut self, job: &JobSpec) -> bool {
        if self.jobs.contains_key(&job.name) || self.ended_jobs.contains_key(&job.name) {
            return false;
        }
        self.jobs.insert(job.name.clone(), Job::new(job, job.tasks));
        for index in 0..job.tasks {
            let id = TaskId {
                job: job.name.clone(),
                index,
            };
            self.tasks.insert(id, Task::queued(Attempt(0), None));
        }
        self.close_if_empty(&job.name);
        true
    }

    pub(super) fn assign(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
        worker: &WorkerName,
        limit: Resources,
    ) -> bool {
        let epoch = self.epoch;
        let Some(task) = self.tasks.get_mut(id) else {
            return false;
        };
        if task.state != TaskState::Queued || attempt != task.attempt.next() {
            return false;
        }
        task.attempt = attempt;
        task.state = TaskState::Assigned {
            worker: worker.clone(),
            limit,
            epoch,
        };
        true
    }

    pub(super) fn resize(&mut self, id: &TaskId, new: Resources) -> bool {
        match self.tasks.get_mut(id).map(|task| &mut task.state) {
            Some(TaskState::Assigned { limit, .. }) => {
                *limit = new;
                true
            }
            _ => false,
        }
    }

    pub(super) fn checkpoint(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
        checkpoint: &Checkpoint,
    ) -> bool {
        match self.tasks.get_mut(id) {
            Some(task) if task.attempt == attempt && task.is_assigned() => {
                task.checkpoint = Some(checkpoint.clone());
                true
            }
            _ => false,
        }
    }

    pub(super) fn end_attempt(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) -> bool {
        let Some(task) = self.tasks.get_mut(id) else {
            return false;
        };
        if task.attempt != attempt || !task.is_assigned() {
            return false;
        }
        if outcome == AttemptOutcome::Failure {
            task.failures += 1;
        }
        if outcome == AttemptOutcome::Success {
            if let Some(job) = self.jobs.get_mut(&id.job) {
                job.succeeded += 1;
            }
            self.remove_task(id);
        } else {
            self.requeue(id);
        }
        true
    }

    /// Completes a queued task whose newest attempt was considered lost but succeeded.
    pub(super) fn complete_late(&mut self, id: &TaskId, attempt: Attempt) -> bool {
        if !self.is_queued_after(id, attempt) {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.succeeded += 1;
        }
        self.remove_task(id);
        true
    }

    /// Queues a task that runs nowhere, or removes or parks it if its job was cancelled or parked.
    fn requeue(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        if job.cancelled {
            self.remove_task(id);
            return;
        }
        let state = match job.parked {
            Some(cause) => TaskState::Parked { cause },
            None => TaskState::Queued,
        };
        if let Some(task) = self.tasks.get_mut(id) {
            task.state = state;
        }
    }

    pub(super) fn cancel(&mut self, name: &JobName) -> bool {
        if let Some(ended) = self.ended_jobs.get_mut(name) {
            ended.cancelled = true;
            return true;
        }
        let Some(job) = self.jobs.get_mut(name) else {
            return false;
        };
        job.cancelled = true;
        let before = self.tasks.len();
        self.tasks
            .retain(|id, task| &id.job != name || task.is_assigned() || task.is_offered());
        let dropped = before - self.tasks.len();
        job.open_tasks -= u32::try_from(dropped).unwrap_or(job.open_tasks);
        self.close_if_empty(name);
        true
    }

    pub(super) fn park(&mut self, name: &JobName, cause: Cause) -> bool {
        let Some(job) = self.jobs.get_mut(name) else {
            return false;
        };
        job.parked = Some(cause);
        for (id, task) in &mut self.tasks {
            if &id.job == name && task.state == TaskState::Queued {
                task.state = TaskState::Parked { cause };
            }
        }
        true
    }

    pub(super) fn offer(&mut self, id: &TaskId, attempt: Attempt, to: &ShardName) -> bool {
        match self.tasks.get_mut(id) {
            Some(task) if task.state == TaskState::Queued && task.attempt == attempt => {
                task.state = TaskState::Offered { to: to.clone() };
                true
            }
            _ => false,
        }
    }

    pub(super) fn receive(&mut self, change: &Change) -> bool {
        let Change::Received {
            job,
            task,
            attempt,
            checkpoint,
            from,
            epoch,
        } = change
        else {
            return false;
        };
        if self.tasks.contains_key(task)
            || !self.record_offer_reply(task, *attempt, from, *epoch, true)
        {
            return false;
        }
        let target = self.jobs.entry(job.name.clone()).or_insert_with(|| {
            let mut target = Job::new(job, 0);
            if let Some(ended) = self.ended_jobs.shift_remove(&job.name) {
                target.cancelled = ended.cancelled;
                target.succeeded = ended.succeeded;
                target.handoff_targets = ended.handoff_targets;
            }
            target
        });
        target.open_tasks += 1;
        // Uses the next number, so that an offer of the task to a third shard has a new key.
        let received = Task::queued(attempt.next(), checkpoint.clone());
        self.tasks.insert(task.clone(), received);
        self.requeue(task);
        true
    }

    pub(super) fn record_offer_reply(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
        from: &ShardName,
        epoch: Epoch,
        received: bool,
    ) -> bool {
        let key = (id.clone(), attempt);
        if self.answered_offers.contains_key(&key) {
            return false;
        }
        self.answered_offers.insert(key, received);
        let highest = self.source_epochs.entry(from.clone()).or_default();
        *highest = epoch.max(*highest);
        while self.answered_offers.len() > MAX_ANSWERED_OFFERS {
            self.answered_offers.shift_remove_index(0);
        }
        true
    }

    pub(super) fn release(&mut self, id: &TaskId, attempt: Attempt) -> bool {
        let Some(to) = self.offer_target(id, attempt) else {
            return false;
        };
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.handoff_targets.insert(to);
        }
        self.remove_task(id);
        true
    }

    pub(super) fn withdraw(&mut self, id: &TaskId, attempt: Attempt) -> bool {
        if self.offer_target(id, attempt).is_none() {
            return false;
        }
        if let Some(task) = self.tasks.get_mut(id) {
            task.attempt = attempt.next();
        }
        self.requeue(id);
        true
    }

    /// Returns the target of the open offer with this key.
    fn offer_target(&self, id: &TaskId, attempt: Attempt) -> Option<ShardName> {
        let task = self.tasks.get(id)?;
        match &task.state {
            TaskState::Offered { to } if task.attempt == attempt => Some(to.clone()),
            _ => None,
        }
    }

    fn remove_task(&mut self, id: &TaskId) {
        if self.tasks.shift_remove(id).is_none() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.open_tasks -= 1;
            self.close_if_empty(&id.job);
        }
    }

    /// Moves a job to the ended jobs once it has no tasks left.
    fn close_if_empty(&mut self, name: &JobName) {
        if self.jobs.get(name).is_none_or(|job| job.open_tasks > 0) {
            return;
        }
        if let Some(job) = self.jobs.shift_remove(name) {
            let ended = EndedJob {
                digest: job_digest(&job.spec),
                cancelled: job.cancelled,
                succeeded: job.succeeded,
                handoff_targets: job.handoff_targets,
            };
            self.ended_jobs.insert(name.clone(), ended);
        }
        while self.ended_jobs.len() > MAX_ENDED_JOBS {
            self.ended_jobs.shift_remove_index(0);
        }
    }
}
