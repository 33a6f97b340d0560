//! Acceptance and cancellation of jobs.

use super::commit_queue::{CommitItem, PendingReply};
use super::io::{Cancellation, Output, RequestId, Submission};
use super::owner::Owner;
use super::policy::Policy;
use super::recorder::RecordDraft;
use crate::journal::Change;
use crate::model::{
    Action, Cause, Code, Fact, JobName, JobSpec, ShardName, Span, Subject, Time, Unit,
};

/// Time between transmissions of a cancellation or an offer that has no reply yet.
pub(super) const REPEAT_INTERVAL: Span = Span::from_secs(2);

/// Most tasks in a shard. More would make its snapshot too large.
const MAX_TASKS: usize = 100_000;

impl<P: Policy> Owner<P> {
    /// Handles a submission. An accepted one is answered once it is stored.
    pub(super) fn submit(&mut self, now: Time, request: RequestId, submission: Submission) {
        match self.check_submission(now, &submission) {
            Ok(()) => self.accept(now, request, submission.job),
            Err(code) => self.emit(Output::Submitted(request, code)),
        }
    }

    fn check_submission(&self, now: Time, submission: &Submission) -> Result<(), Code> {
        if submission.shard != self.shard || self.is_stopping() {
            return Err(Code::NotOwner);
        }
        match self.state.planned.has_same_job(&submission.job) {
            Some(true) if self.state.stored.has_same_job(&submission.job) == Some(true) => {
                return Err(Code::AlreadyAccepted);
            }
            Some(false) => return Err(Code::JobConflict),
            Some(true) => {}
            None => self.check_job(&submission.job)?,
        }
        match self.commits.is_accepting(now) {
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
        if self.state.planned.tasks.len().saturating_add(tasks) > MAX_TASKS {
            return Err(Code::QueueFull);
        }
        Ok(())
    }

    fn accept(&mut self, now: Time, request: RequestId, job: JobSpec) {
        if self.state.planned.has_same_job(&job).is_some() {
            // The first submission is not stored yet; this repeat is answered with the next
            // segment.
            self.commits.push(CommitItem {
                reply: Some(PendingReply::Submitted(request, Code::AlreadyAccepted)),
                ..CommitItem::default()
            });
            return;
        }
        let subject = Subject::Job(job.name.clone());
        let tasks = Fact::new("tasks", i64::from(job.tasks), Unit::Count);
        let draft =
            RecordDraft::new(subject, Action::Accept, Cause::Requested).with_facts(vec![tasks]);
        let reply = PendingReply::Submitted(request, Code::Accepted);
        self.plan_with(now, Change::Accepted { job }, Some(draft), Some(reply));
    }

    /// Handles a cancellation. It is answered once it is stored.
    pub(super) fn cancel(&mut self, now: Time, request: RequestId, cancellation: &Cancellation) {
        if cancellation.shard != self.shard || self.is_stopping() {
            return self.emit(Output::Cancelled(request, Code::NotOwner));
        }
        let Some(cancelled) = self.is_cancelled(&cancellation.job) else {
            return self.emit(Output::Cancelled(request, Code::NotFound));
        };
        if !self.commits.is_accepting(now) {
            return self.emit(Output::Cancelled(request, Code::StoreUnavailable));
        }
        let reply = PendingReply::Cancelled(request, Code::Done);
        if cancelled {
            // Answered with the next segment, because the first cancellation may not be stored yet.
            return self.commits.push(CommitItem {
                reply: Some(reply),
                ..CommitItem::default()
            });
        }
        let subject = Subject::Job(cancellation.job.clone());
        let draft = RecordDraft::new(subject, Action::Stop, Cause::Requested);
        let change = Change::Cancelled {
            job: cancellation.job.clone(),
        };
        self.plan_with(now, change, Some(draft), Some(reply));
    }

    /// Whether a job is cancelled as planned; `None` if the job is unknown.
    fn is_cancelled(&self, job: &JobName) -> Option<bool> {
        let planned = &self.state.planned;
        let open = planned.jobs.get(job).map(|job| job.cancelled);
        open.or_else(|| planned.ended_jobs.get(job).map(|job| job.cancelled))
    }

    /// Schedules a stored cancellation for the shards to which tasks of the job were handed off.
    pub(super) fn queue_cancellation(&mut self, now: Time, job: &JobName) {
        let stored = &self.state.stored;
        let open = stored
            .jobs
            .get(job)
            .map(|job| (job.cancelled, &job.handoff_targets));
        let found = open.or_else(|| {
            stored
                .ended_jobs
                .get(job)
                .map(|job| (job.cancelled, &job.handoff_targets))
        });
        if let Some((true, targets)) = found {
            for shard in targets {
                self.open_cancellations
                    .entry((job.clone(), shard.clone()))
                    .or_insert(now);
            }
        }
    }

    /// Schedules all stored cancellations again, for a new owner.
    pub(super) fn resume_cancellations(&mut self, now: Time) {
        let stored = &self.state.stored;
        let names: Vec<_> = stored
            .jobs
            .keys()
            .chain(stored.ended_jobs.keys())
            .cloned()
            .collect();
        for name in names {
            self.queue_cancellation(now, &name);
        }
    }

    /// Forwards the cancellations whose next transmission is due.
    pub(super) fn send_cancellations(&mut self, now: Time) {
        let mut due = Vec::new();
        for ((job, shard), next) in &mut self.open_cancellations {
            if *next <= now {
                *next = now + REPEAT_INTERVAL;
                due.push(Cancellation {
                    shard: shard.clone(),
                    job: job.clone(),
                });
            }
        }
        for cancellation in due {
            self.emit(Output::ForwardCancel(cancellation));
        }
    }

    /// Handles another shard's reply to a forwarded cancellation.
    pub(super) fn handle_cancel_reply(&mut self, cancellation: &Cancellation, code: Option<Code>) {
        if matches!(code, Some(Code::Done | Code::NotFound)) {
            let key: (JobName, ShardName) = (cancellation.job.clone(), cancellation.shard.clone());
            self.open_cancellations.shift_remove(&key);
        }
    }
}
