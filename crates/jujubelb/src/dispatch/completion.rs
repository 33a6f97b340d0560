//! Completion of runs and of jobs.

use super::Dispatcher;
use super::job::TaskState;
use super::job_spec::{JobKey, Run, TaskKey};
use super::poll::{RunCompletion, RunOutcome};
use super::progress::JobOutcome;
use super::worker::Worker;
use crate::model::{Span, Time, WorkerName};

/// Pause before a failed task starts again, so that a short fault does not use up all
/// attempts.
const RETRY_PAUSE: Span = Span::from_millis(150);

impl Dispatcher {
    /// Processes a completion that a worker has reported.
    pub(super) fn run_completed(
        &mut self,
        worker: &WorkerName,
        completion: &RunCompletion,
        now: Time,
    ) {
        let mut began = None;
        if let Some(w) = self.workers.get_mut(worker)
            && w.runs
                .get(&completion.task)
                .is_some_and(|r| r.run == completion.run)
            && let Some(tracked) = w.runs.shift_remove(&completion.task)
        {
            began = Some(tracked.since);
            w.record_ended_run(&tracked, now);
        }
        log::info!(task:% = completion.task, run:% = completion.run, worker:% = worker, how:% = completion.outcome; "run completed");
        self.begin_reported(completion.task.step, now);
        let Some(job) = self.jobs.get_mut(&completion.task.step.job) else {
            return;
        };
        job.started = true;
        let live = job.outcome.is_none();
        let Some(task) = job.task_mut(completion.task) else {
            return;
        };
        task.run = task.run.max(completion.run);
        task.waiting_since = None;
        if task.state == TaskState::Done {
            return;
        }
        if let Some(saved) = &completion.checkpoint {
            job.record_checkpoint(completion.task, completion.run, saved);
        }
        match completion.outcome {
            RunOutcome::Done => {
                self.record_success(worker, began);
                self.task_done(completion.task, live, now);
            }
            RunOutcome::Failed => self.task_failed(worker, completion.task, completion.run, now),
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {
                self.release(completion.task);
            }
        }
    }

    /// Returns an assigned task to the waiting state, unless a worker still tracks a run of it.
    ///
    /// The number of the run that has ended does not matter: a new leader may find two runs of a
    /// task, and either may be the last one to end.
    pub(super) fn release(&mut self, key: TaskKey) {
        let task = self.jobs.get(&key.step.job).and_then(|j| j.task(key));
        let Some((TaskState::Placed(name), shared)) = task.map(|t| (&t.state, t.shared)) else {
            return;
        };
        let tracks = |w: &Worker| w.runs.contains_key(&key);
        if self.workers.get(name).is_some_and(tracks) {
            return;
        }
        // Only a task of which a second run was found can have runs on other workers.
        let mut workers = self.workers.iter();
        let other = shared.then(|| workers.find(|(_, w)| tracks(w)));
        let state = match other.flatten() {
            Some((other, _)) => TaskState::Placed(other.clone()),
            None => TaskState::Waiting,
        };
        self.set_state(key, state);
    }

    /// Records a successful run as evidence of the worker's health. `began` is when its start
    /// was ordered; `None` if this term did not know the run.
    fn record_success(&mut self, worker: &WorkerName, began: Option<Time>) {
        if let Some(w) = self.workers.get_mut(worker)
            && w.health.record_success(began.unwrap_or_default())
        {
            log::info!(worker:% = worker; "worker considered healthy again");
        }
    }

    fn task_done(&mut self, key: TaskKey, live: bool, now: Time) {
        let Some(record) = self.job_record(key.step.job) else {
            return;
        };
        let Some(step) = record.spec.steps.get(usize::from(key.step.step)) else {
            return;
        };
        if step.long_running {
            // A long-running task is restarted whatever its outcome.
            self.release(key);
            return;
        }
        self.set_state(key, TaskState::Done);
        if step.gang {
            // A gang has succeeded as soon as one member has.
            for index in 0..step.count {
                self.set_state(TaskKey { index, ..key }, TaskState::Done);
            }
        }
        if !live {
            return;
        }
        self.mark_dirty(key.step.job);
        let done = self
            .jobs
            .get(&key.step.job)
            .and_then(|j| j.step(key.step.occurrence, key.step.step))
            .is_some_and(|s| s.is_done());
        if done {
            self.queue_ready_steps(key.step.job);
            self.finish_if_complete(key.step.job, now);
        }
    }

    fn task_failed(&mut self, worker: &WorkerName, key: TaskKey, run: Run, now: Time) {
        let Some(record) = self.job_record(key.step.job) else {
            return;
        };
        let Some(step) = record.spec.steps.get(usize::from(key.step.step)) else {
            return;
        };
        let may_eject = self.ejection_slots() > 0;
        if let Some(w) = self.workers.get_mut(worker)
            && w.health.record_failure(now, key.step.job, may_eject)
        {
            log::warn!(worker:% = worker; "worker considered unhealthy: runs of several jobs failed without a success in between");
        }
        // The failures of a gang are recorded on its first task.
        let counted = match step.gang {
            true => TaskKey { index: 0, ..key },
            false => key,
        };
        let mut failures = 0;
        if let Some(task) = self
            .jobs
            .get_mut(&key.step.job)
            .and_then(|j| j.task_mut(counted))
        {
            if !task.failed.contains(&run) && !step.long_running {
                task.failed.push(run);
            }
            failures = task.failed.len();
        }
        if let Some(task) = self
            .jobs
            .get_mut(&key.step.job)
            .and_then(|j| j.task_mut(key))
        {
            task.not_before = now + RETRY_PAUSE;
        }
        self.mark_dirty(key.step.job);
        self.release(key);
        if failures >= record.queue.attempts as usize && !step.long_running {
            log::info!(job:% = key.step.job, task:% = key, failures = failures; "job failed: a task has used up its attempts");
            self.finish(key.step.job, JobOutcome::Failed, now);
        }
    }

    /// Ends a job if all its tasks have succeeded.
    pub(super) fn finish_if_complete(&mut self, key: JobKey, now: Time) {
        let complete = |j: &super::job::Job| j.outcome.is_none() && j.is_complete();
        if self.jobs.get(&key).is_some_and(complete) {
            self.finish(key, JobOutcome::Completed, now);
        }
    }

    /// Ends a job and marks its runs to be stopped.
    pub(super) fn finish(&mut self, key: JobKey, outcome: JobOutcome, now: Time) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        job.outcome = Some(outcome);
        job.ended = Some(now);
        let age = now.since(job.accepted);
        let record = &job.record;
        self.admission.job_ended(&record.queue, &record.spec);
        log::info!(job:% = key, outcome:% = outcome, age:% = age; "job ended");
        self.ready.retain(|s| s.job != key);
        self.scheduled.shift_remove(&key);
        for worker in self.workers.values_mut() {
            for (task, tracked) in &mut worker.runs {
                tracked.must_stop |= task.step.job == key;
            }
        }
        self.mark_dirty(key);
    }
}
