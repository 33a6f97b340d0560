//! Accepting and cancelling jobs.

use super::io::{Cancellation, Output, RequestId, Submission};
use super::outbox::{Item, Reply};
use super::owner::Owner;
use super::policy::Policy;
use super::recorder::Note;
use crate::journal::Change;
use crate::model::{
    Action, Cause, Code, Fact, JobName, JobSpec, ShardName, Span, Subject, Time, Unit,
};

/// Time between repeats of a cancellation or an offer without an answer. To be tuned.
pub(super) const REPEAT_EVERY: Span = Span::from_secs(2);

/// Most tasks that a shard keeps; more would make its snapshot too large. To be tuned.
const TASKS_KEPT: usize = 100_000;

impl<P: Policy> Owner<P> {
    /// Takes a submission. It is answered once it is stored.
    pub(super) fn submit(&mut self, now: Time, ticket: RequestId, submission: Submission) {
        match self.check_submission(now, &submission) {
            Ok(()) => self.accept(now, ticket, submission.job),
            Err(code) => self.out(Output::Submitted(ticket, code)),
        }
    }

    fn check_submission(&self, now: Time, submission: &Submission) -> Result<(), Code> {
        if submission.shard != self.shard || self.is_stopping() {
            return Err(Code::NotOwner);
        }
        match self.book.planned.has_same_job(&submission.job) {
            Some(true) if self.book.stored.has_same_job(&submission.job) == Some(true) => {
                return Err(Code::AlreadyAccepted);
            }
            Some(false) => return Err(Code::JobConflict),
            Some(true) => {}
            None => self.check_job(&submission.job)?,
        }
        match self.outbox.is_open(now) {
            true => Ok(()),
            false => Err(Code::StoreUnavailable),
        }
    }

    fn check_job(&self, job: &JobSpec) -> Result<(), Code> {
        let limits = &self.config.limits;
        if job.tasks == 0 {
            return Err(Code::Malformed);
        }
        if !self.config.teams.contains_key(&job.team) {
            return Err(Code::UnknownTeam);
        }
        if job.tasks > limits.tasks || !job.task.size.fits(&limits.task) {
            return Err(Code::Impossible);
        }
        let tasks = usize::try_from(job.tasks).unwrap_or(usize::MAX);
        if self.book.planned.tasks.len().saturating_add(tasks) > TASKS_KEPT {
            return Err(Code::QueueFull);
        }
        Ok(())
    }

    fn accept(&mut self, now: Time, ticket: RequestId, job: JobSpec) {
        if self.book.planned.has_same_job(&job).is_some() {
            // The first submission is not stored yet; this repeat is answered with it.
            self.outbox.push(Item {
                reply: Some(Reply::Submitted(ticket, Code::AlreadyAccepted)),
                ..Item::default()
            });
            return;
        }
        let subject = Subject::Job(job.name.clone());
        let tasks = Fact::new("tasks", i64::from(job.tasks), Unit::Count);
        let note = Note::new(subject, Action::Accept, Cause::Requested).facts(vec![tasks]);
        let reply = Reply::Submitted(ticket, Code::Accepted);
        self.plan_with(now, Change::Accepted { job }, Some(note), Some(reply));
    }

    /// Takes a cancellation. It is answered once it is stored.
    pub(super) fn cancel(&mut self, now: Time, ticket: RequestId, cancel: &Cancellation) {
        if cancel.shard != self.shard || self.is_stopping() {
            return self.out(Output::Cancelled(ticket, Code::NotOwner));
        }
        let Some(cancelled) = self.is_cancelled(&cancel.job) else {
            return self.out(Output::Cancelled(ticket, Code::NotFound));
        };
        if !self.outbox.is_open(now) {
            return self.out(Output::Cancelled(ticket, Code::StoreUnavailable));
        }
        let reply = Reply::Cancelled(ticket, Code::Done);
        if cancelled {
            // Answered with the next segment, because the first cancellation may not be stored yet.
            return self.outbox.push(Item {
                reply: Some(reply),
                ..Item::default()
            });
        }
        let subject = Subject::Job(cancel.job.clone());
        let note = Note::new(subject, Action::Stop, Cause::Requested);
        let change = Change::Cancelled {
            job: cancel.job.clone(),
        };
        self.plan_with(now, change, Some(note), Some(reply));
    }

    /// Whether a job is cancelled as planned; absent if the job is unknown.
    fn is_cancelled(&self, job: &JobName) -> Option<bool> {
        let planned = &self.book.planned;
        let live = planned.jobs.get(job).map(|job| job.cancelled);
        live.or_else(|| planned.ended_jobs.get(job).map(|job| job.cancelled))
    }

    /// Schedules the passing on of a stored cancellation to the shards that got tasks of the job.
    pub(super) fn pass_cancel(&mut self, now: Time, job: &JobName) {
        let stored = &self.book.stored;
        let live = stored
            .jobs
            .get(job)
            .map(|job| (job.cancelled, &job.handoff_targets));
        let known = live.or_else(|| {
            stored
                .ended_jobs
                .get(job)
                .map(|job| (job.cancelled, &job.handoff_targets))
        });
        if let Some((true, moved)) = known {
            for shard in moved {
                self.passes
                    .entry((job.clone(), shard.clone()))
                    .or_insert(now);
            }
        }
    }

    /// Passes all stored cancellations on once more, for a new owner.
    pub(super) fn resume_passes(&mut self, now: Time) {
        let stored = &self.book.stored;
        let names: Vec<_> = stored
            .jobs
            .keys()
            .chain(stored.ended_jobs.keys())
            .cloned()
            .collect();
        for name in names {
            self.pass_cancel(now, &name);
        }
    }

    /// Sends the cancellations that are due.
    pub(super) fn send_passes(&mut self, now: Time) {
        let mut due = Vec::new();
        for ((job, shard), next) in &mut self.passes {
            if *next <= now {
                *next = now + REPEAT_EVERY;
                due.push(Cancellation {
                    shard: shard.clone(),
                    job: job.clone(),
                });
            }
        }
        for cancel in due {
            self.out(Output::ForwardCancel(cancel));
        }
    }

    /// Takes another shard's answer to a cancellation.
    pub(super) fn take_cancel_answer(&mut self, cancel: &Cancellation, code: Option<Code>) {
        if matches!(code, Some(Code::Done | Code::NotFound)) {
            let key: (JobName, ShardName) = (cancel.job.clone(), cancel.shard.clone());
            self.passes.shift_remove(&key);
        }
    }
}
