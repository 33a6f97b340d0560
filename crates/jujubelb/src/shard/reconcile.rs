//! Compares a worker's inventory with the planned state and plans the difference.

use indexmap::IndexSet;

use super::owner::Owner;
use super::policy::{Policy, PolicyEvent};
use super::recorder::Note;
use crate::journal::{AttemptOutcome, Change};
use crate::model::{
    Action, Attempt, Cause, Fact, RecordId, Resources, Span, Subject, TaskId, Time, Unit,
    WorkerName,
};
use crate::worker::{Phase, TaskReport};

/// Wait before a task that failed for the first time is tried again. To be tuned.
const BACKOFF_FIRST: Span = Span::from_secs(1);

/// Longest wait before a failed task is tried again. To be tuned.
const BACKOFF_LONGEST: Span = Span::from_secs(300);

/// How an attempt ended, with what the record says.
pub(super) struct Ending {
    pub outcome: AttemptOutcome,
    pub action: Action,
    pub cause: Cause,
    pub phase: Option<Phase>,
    pub parent: Option<RecordId>,
}

impl Ending {
    /// The end of an attempt that the worker reported.
    fn reported(phase: Phase) -> Option<Self> {
        let (outcome, action, cause) = match phase {
            Phase::Running => return None,
            Phase::Succeeded => (AttemptOutcome::Success, Action::Complete, Cause::Finished),
            Phase::Failed => (AttemptOutcome::Failure, Action::Fail, Cause::AttemptFailed),
            Phase::OverLimit => (AttemptOutcome::Failure, Action::Fail, Cause::LimitExceeded),
            Phase::Evicted => (AttemptOutcome::Eviction, Action::Evict, Cause::Finished),
            Phase::Stopped => (AttemptOutcome::Loss, Action::Stop, Cause::Requested),
            Phase::Lapsed => (AttemptOutcome::Loss, Action::Stop, Cause::LeaseExpired),
        };
        Some(Self {
            outcome,
            action,
            cause,
            phase: Some(phase),
            parent: None,
        })
    }

    /// The end of an attempt that certainly runs no more or never ran.
    pub(super) fn unreported(
        outcome: AttemptOutcome,
        cause: Cause,
        parent: Option<RecordId>,
    ) -> Self {
        let action = match outcome {
            AttemptOutcome::NotStarted => Action::Delay,
            _ => Action::Stop,
        };
        Self {
            outcome,
            action,
            cause,
            phase: None,
            parent,
        }
    }
}

impl<P: Policy> Owner<P> {
    /// Plans what the last inventories say, after planned changes were given up.
    pub(super) fn reconcile_all(&mut self, now: Time) {
        let workers: Vec<_> = self.links.keys().cloned().collect();
        for worker in workers {
            self.reconcile(now, &worker);
        }
    }

    /// Plans the ends and checkpoints that a worker's inventory shows.
    pub(super) fn reconcile(&mut self, now: Time, worker: &WorkerName) {
        let Some(link) = self.links.get(worker).filter(|link| link.seen.is_some()) else {
            return;
        };
        let mut reported: Vec<TaskReport> = Vec::new();
        let mut absent = Vec::new();
        for (task, attempt, _) in self.book.assigned(worker) {
            let key = (task.clone(), attempt);
            match link.inventory.get(&key) {
                Some(report) => reported.push(report.clone()),
                None if self.is_absence_final(worker, &key) => absent.push(key),
                None => {}
            }
        }
        for report in reported {
            self.take_task_report(now, worker, &report);
        }
        for key in absent {
            self.take_absence(now, worker, &key);
        }
        self.take_found(now, worker);
    }

    /// Completes tasks whose attempt ended well on a worker that could not be
    /// reached until its lease had ended, unless they were assigned again.
    fn take_found(&mut self, now: Time, worker: &WorkerName) {
        let Some(link) = self.links.get(worker) else {
            return;
        };
        let planned = &self.book.planned;
        let found = link.inventory.iter().filter(|((task, attempt), report)| {
            report.phase == Phase::Succeeded && planned.is_waiting_after(task, *attempt)
        });
        let found: Vec<_> = found.map(|(key, _)| key.clone()).collect();
        for (task, attempt) in found {
            let subject = Subject::Task(task.clone());
            let note = Note::new(subject, Action::Complete, Cause::Finished)
                .at(worker.as_str())
                .facts(vec![attempt_fact(attempt)]);
            self.plan(now, Change::LateSuccess { task, attempt }, Some(note));
        }
    }

    /// Whether the absence of an attempt from the inventory is conclusive: its
    /// start was answered, or a former owner assigned it.
    fn is_absence_final(&self, worker: &WorkerName, key: &(TaskId, Attempt)) -> bool {
        let link = self.links.get(worker);
        let sent = link.is_some_and(|link| link.start_answered(key));
        sent || self.is_inherited(&key.0)
    }

    pub(super) fn is_inherited(&self, task: &TaskId) -> bool {
        use super::state::TaskState;
        let task = self.book.planned.tasks.get(task);
        task.is_some_and(
            |task| matches!(task.state, TaskState::Assigned { epoch, .. } if epoch < self.epoch),
        )
    }

    fn take_task_report(&mut self, now: Time, worker: &WorkerName, report: &TaskReport) {
        self.take_checkpoint(now, worker, report);
        let Some(ending) = Ending::reported(report.phase) else {
            return;
        };
        self.end(now, worker, &report.task, report.attempt, ending);
    }

    fn take_checkpoint(&mut self, now: Time, worker: &WorkerName, report: &TaskReport) {
        let Some(checkpoint) = &report.checkpoint else {
            return;
        };
        let known = self.book.planned.tasks.get(&report.task);
        if known.is_none_or(|task| task.checkpoint.as_ref() == Some(checkpoint)) {
            return;
        }
        let change = Change::Checkpointed {
            task: report.task.clone(),
            attempt: report.attempt,
            checkpoint: checkpoint.clone(),
        };
        let subject = Subject::Task(report.task.clone());
        let evicted = report.phase == Phase::Evicted;
        let eviction = self.evicting.get(&(report.task.clone(), report.attempt));
        let cause = eviction.map_or(Cause::Requested, |e| e.cause);
        let note = Note::new(subject, Action::Checkpoint, cause)
            .at(worker.as_str())
            .parent(eviction.map(|e| e.record.clone()));
        // Checkpoints that the worker writes on its own are no decision of this owner.
        self.plan(now, change, evicted.then_some(note));
    }

    /// An attempt that may have been sent is in no later inventory. Each request
    /// has a number, so an earlier one has no effect any more.
    fn take_absence(&mut self, now: Time, worker: &WorkerName, key: &(TaskId, Attempt)) {
        let Some(link) = self.links.get(worker) else {
            return;
        };
        let refusal = link
            .refused
            .iter()
            .find(|r| (&r.task, r.attempt) == (&key.0, key.1));
        let (outcome, cause) = match refusal.map(|r| r.reason) {
            Some(crate::worker::RefusalReason::TooLate) => {
                (AttemptOutcome::NotStarted, Cause::StaleEvidence)
            }
            Some(crate::worker::RefusalReason::InsufficientCapacity) => {
                (AttemptOutcome::NotStarted, Cause::NoCapacity)
            }
            Some(crate::worker::RefusalReason::Leaving) => {
                (AttemptOutcome::NotStarted, Cause::HostLeaving)
            }
            Some(_) => (AttemptOutcome::NotStarted, Cause::WorkerUnreachable),
            None if self.is_inherited(&key.0) => (AttemptOutcome::Loss, Cause::OwnerLost),
            None => (AttemptOutcome::Loss, Cause::WorkerUnreachable),
        };
        let ending = Ending::unreported(outcome, cause, None);
        self.end(now, worker, &key.0, key.1, ending);
    }

    /// The worker has a new incarnation: what the former one had runs no more.
    pub(super) fn restarted(
        &mut self,
        now: Time,
        worker: &WorkerName,
        known: &IndexSet<(TaskId, Attempt)>,
    ) {
        let subject = Subject::Worker(worker.clone());
        let note = Note::new(subject, Action::Remove, Cause::WorkerRestarted);
        let lost: Vec<_> = self
            .book
            .assigned(worker)
            .map(|(task, attempt, _)| (task.clone(), attempt))
            .filter(|key| known.contains(key) || self.is_inherited(&key.0))
            .collect();
        if lost.is_empty() {
            return;
        }
        let parent = self.record(now, note);
        for (task, attempt) in lost {
            let parent = Some(parent.clone());
            let ending = Ending::unreported(AttemptOutcome::Loss, Cause::WorkerRestarted, parent);
            self.end(now, worker, &task, attempt, ending);
        }
    }

    /// Plans the end of an attempt.
    pub(super) fn end(
        &mut self,
        now: Time,
        worker: &WorkerName,
        task: &TaskId,
        attempt: Attempt,
        ending: Ending,
    ) {
        let Some((_, limit, _)) = self.book.planned.assignment(task) else {
            return;
        };
        let key = (task.clone(), attempt);
        let eviction = self.evicting.get(&key);
        let parent = ending.parent.or_else(|| eviction.map(|e| e.record.clone()));
        let cause = match (ending.outcome, eviction) {
            (AttemptOutcome::Eviction, Some(eviction)) => eviction.cause,
            _ => ending.cause,
        };
        let note = Note::new(Subject::Task(task.clone()), ending.action, cause)
            .at(worker.as_str())
            .facts(vec![attempt_fact(attempt)])
            .parent(parent);
        self.note_end(now, worker, &key, limit, ending.outcome, ending.phase);
        let change = Change::Ended {
            task: task.clone(),
            attempt,
            outcome: ending.outcome,
        };
        self.plan(now, change, Some(note));
        self.back_off(now, task, ending.outcome);
        self.delays.retain(|(delayed, _)| delayed != task);
    }

    fn note_end(
        &mut self,
        now: Time,
        worker: &WorkerName,
        key: &(TaskId, Attempt),
        limit: Resources,
        outcome: AttemptOutcome,
        phase: Option<Phase>,
    ) {
        // After planned changes were given up, the same end is planned again.
        if self.told.insert(key.0.clone(), key.1) == Some(key.1) {
            return;
        }
        let Some(job) = self.book.planned.jobs.get(&key.0.job) else {
            return;
        };
        let job = &job.spec;
        let news = PolicyEvent::AttemptEnded {
            task: &key.0,
            attempt: key.1,
            job,
            worker,
            limit,
            outcome,
            phase,
        };
        self.policy.on_event(now, news);
    }

    fn back_off(&mut self, now: Time, task: &TaskId, outcome: AttemptOutcome) {
        let Some(left) = self.book.planned.tasks.get(task) else {
            return;
        };
        if outcome == AttemptOutcome::Failure {
            let doublings = left.failures.saturating_sub(1).min(16);
            let wait = BACKOFF_FIRST.as_micros() << doublings;
            let wait = wait.min(BACKOFF_LONGEST.as_micros());
            self.backoff
                .insert(task.clone(), now + Span::from_micros(wait));
        }
    }
}

pub(super) fn attempt_fact(attempt: Attempt) -> Fact {
    let number = i64::try_from(attempt.0).unwrap_or(i64::MAX);
    Fact::new("attempt", number, Unit::Count)
}
