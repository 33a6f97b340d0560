//! Compares a worker's inventory with the planned state and plans the difference.

use indexmap::IndexSet;

use super::owner::Owner;
use super::policy::{Policy, PolicyEvent};
use super::recorder::RecordDraft;
use crate::journal::{AttemptOutcome, Change};
use crate::model::{
    Action, Attempt, Cause, Fact, RecordId, Resources, Span, Subject, TaskId, Time, Unit,
    WorkerName,
};
use crate::worker::{Phase, TaskReport};

/// Delay before the next attempt after a task's first failure. Doubles with each further failure.
const MIN_BACKOFF: Span = Span::from_secs(1);

/// Maximum delay before the next attempt at a failed task.
const MAX_BACKOFF: Span = Span::from_secs(300);

/// How an attempt ended, with the contents of its decision record.
pub(super) struct AttemptEnd {
    pub outcome: AttemptOutcome,
    pub action: Action,
    pub cause: Cause,
    pub phase: Option<Phase>,
    pub parent: Option<RecordId>,
}

impl AttemptEnd {
    /// Outcome of an attempt whose end the worker reported; `None` if it still runs.
    fn from_phase(phase: Phase) -> Option<Self> {
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

    /// Outcome of an attempt that certainly no longer runs or never ran, without a
    /// report of its end.
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
    /// Plans the contents of all last inventories again after planned changes were discarded.
    pub(super) fn reconcile_all(&mut self, now: Time) {
        let workers: Vec<_> = self.workers.keys().cloned().collect();
        for worker in workers {
            self.reconcile(now, &worker);
        }
    }

    /// Plans the ends and checkpoints in a worker's last inventory.
    pub(super) fn reconcile(&mut self, now: Time, worker: &WorkerName) {
        let Some(tracked) = self
            .workers
            .get(worker)
            .filter(|tracked| tracked.last_report.is_some())
        else {
            return;
        };
        let mut reported: Vec<TaskReport> = Vec::new();
        let mut absent = Vec::new();
        for (task, attempt, _) in self.state.assigned(worker) {
            let key = (task.clone(), attempt);
            match tracked.inventory.get(&key) {
                Some(report) => reported.push(report.clone()),
                None if self.is_absence_final(worker, &key) => absent.push(key),
                None => {}
            }
        }
        for report in reported {
            self.reconcile_report(now, worker, &report);
        }
        for key in absent {
            self.end_missing_attempt(now, worker, &key);
        }
        self.complete_late_successes(now, worker);
    }

    /// Completes tasks whose attempt succeeded on a worker that was unreachable
    /// until its lease had expired, unless they were assigned again.
    fn complete_late_successes(&mut self, now: Time, worker: &WorkerName) {
        let Some(tracked) = self.workers.get(worker) else {
            return;
        };
        let planned = &self.state.planned;
        let found = tracked
            .inventory
            .iter()
            .filter(|((task, attempt), report)| {
                report.phase == Phase::Succeeded && planned.is_queued_after(task, *attempt)
            });
        let found: Vec<_> = found.map(|(key, _)| key.clone()).collect();
        for (task, attempt) in found {
            let subject = Subject::Task(task.clone());
            let draft = RecordDraft::new(subject, Action::Complete, Cause::Finished)
                .with_place(worker.as_str())
                .with_facts(vec![attempt_fact(attempt)]);
            self.plan(now, Change::LateSuccess { task, attempt }, Some(draft));
        }
    }

    /// Whether the absence of an attempt from the inventory proves that it does not
    /// run: its start was answered, or a former owner assigned it.
    fn is_absence_final(&self, worker: &WorkerName, key: &(TaskId, Attempt)) -> bool {
        let tracked = self.workers.get(worker);
        let sent = tracked.is_some_and(|tracked| tracked.is_start_answered(key));
        sent || self.is_inherited(&key.0)
    }

    pub(super) fn is_inherited(&self, task: &TaskId) -> bool {
        use super::state::TaskState;
        let task = self.state.planned.tasks.get(task);
        task.is_some_and(
            |task| matches!(task.state, TaskState::Assigned { epoch, .. } if epoch < self.epoch),
        )
    }

    fn reconcile_report(&mut self, now: Time, worker: &WorkerName, report: &TaskReport) {
        self.plan_checkpoint(now, worker, report);
        let Some(end) = AttemptEnd::from_phase(report.phase) else {
            return;
        };
        self.end_attempt(now, worker, &report.task, report.attempt, end);
    }

    fn plan_checkpoint(&mut self, now: Time, worker: &WorkerName, report: &TaskReport) {
        let Some(checkpoint) = &report.checkpoint else {
            return;
        };
        let current = self.state.planned.tasks.get(&report.task);
        if current.is_none_or(|task| task.checkpoint.as_ref() == Some(checkpoint)) {
            return;
        }
        let change = Change::Checkpointed {
            task: report.task.clone(),
            attempt: report.attempt,
            checkpoint: checkpoint.clone(),
        };
        let subject = Subject::Task(report.task.clone());
        let evicted = report.phase == Phase::Evicted;
        let eviction = self.evictions.get(&(report.task.clone(), report.attempt));
        let cause = eviction.map_or(Cause::Requested, |e| e.cause);
        let draft = RecordDraft::new(subject, Action::Checkpoint, cause)
            .with_place(worker.as_str())
            .with_parent(eviction.map(|e| e.record.clone()));
        // Periodic checkpoints of the worker are no decisions of this owner and get no record.
        self.plan(now, change, evicted.then_some(draft));
    }

    /// Ends an attempt that may have been sent and is missing from a later
    /// inventory. Requests are numbered, so an earlier request can no longer start it.
    fn end_missing_attempt(&mut self, now: Time, worker: &WorkerName, key: &(TaskId, Attempt)) {
        let Some(tracked) = self.workers.get(worker) else {
            return;
        };
        let refusal = tracked
            .refusals
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
        let end = AttemptEnd::unreported(outcome, cause, None);
        self.end_attempt(now, worker, &key.0, key.1, end);
    }

    /// Ends the attempts that were sent to or reported by a worker's previous
    /// incarnation, which no longer run.
    pub(super) fn handle_restart(
        &mut self,
        now: Time,
        worker: &WorkerName,
        previous: &IndexSet<(TaskId, Attempt)>,
    ) {
        let subject = Subject::Worker(worker.clone());
        let draft = RecordDraft::new(subject, Action::Remove, Cause::WorkerRestarted);
        let lost: Vec<_> = self
            .state
            .assigned(worker)
            .map(|(task, attempt, _)| (task.clone(), attempt))
            .filter(|key| previous.contains(key) || self.is_inherited(&key.0))
            .collect();
        if lost.is_empty() {
            return;
        }
        let parent = self.record(now, draft);
        for (task, attempt) in lost {
            let parent = Some(parent.clone());
            let end = AttemptEnd::unreported(AttemptOutcome::Loss, Cause::WorkerRestarted, parent);
            self.end_attempt(now, worker, &task, attempt, end);
        }
    }

    /// Plans the end of an attempt.
    pub(super) fn end_attempt(
        &mut self,
        now: Time,
        worker: &WorkerName,
        task: &TaskId,
        attempt: Attempt,
        end: AttemptEnd,
    ) {
        let Some((_, limit, _)) = self.state.planned.assignment(task) else {
            return;
        };
        let key = (task.clone(), attempt);
        let eviction = self.evictions.get(&key);
        let parent = end.parent.or_else(|| eviction.map(|e| e.record.clone()));
        let cause = match (end.outcome, eviction) {
            (AttemptOutcome::Eviction, Some(eviction)) => eviction.cause,
            _ => end.cause,
        };
        let draft = RecordDraft::new(Subject::Task(task.clone()), end.action, cause)
            .with_place(worker.as_str())
            .with_facts(vec![attempt_fact(attempt)])
            .with_parent(parent);
        self.notify_attempt_end(now, worker, &key, limit, end.outcome, end.phase);
        let change = Change::Ended {
            task: task.clone(),
            attempt,
            outcome: end.outcome,
        };
        self.plan(now, change, Some(draft));
        self.start_backoff(now, task, end.outcome);
        self.recorded_delays.retain(|(delayed, _)| delayed != task);
    }

    fn notify_attempt_end(
        &mut self,
        now: Time,
        worker: &WorkerName,
        key: &(TaskId, Attempt),
        limit: Resources,
        outcome: AttemptOutcome,
        phase: Option<Phase>,
    ) {
        // The same end is planned again after planned changes were discarded.
        if self.notified_ends.insert(key.0.clone(), key.1) == Some(key.1) {
            return;
        }
        let Some(job) = self.state.planned.jobs.get(&key.0.job) else {
            return;
        };
        let job = &job.spec;
        let event = PolicyEvent::AttemptEnded {
            task: &key.0,
            attempt: key.1,
            job,
            worker,
            limit,
            outcome,
            phase,
        };
        self.policy.on_event(now, event);
    }

    fn start_backoff(&mut self, now: Time, task: &TaskId, outcome: AttemptOutcome) {
        let Some(remaining) = self.state.planned.tasks.get(task) else {
            return;
        };
        if outcome == AttemptOutcome::Failure {
            let doublings = remaining.failures.saturating_sub(1).min(16);
            let wait = MIN_BACKOFF.as_micros() << doublings;
            let wait = wait.min(MAX_BACKOFF.as_micros());
            self.backoff_until
                .insert(task.clone(), now + Span::from_micros(wait));
        }
    }
}

pub(super) fn attempt_fact(attempt: Attempt) -> Fact {
    let number = i64::try_from(attempt.0).unwrap_or(i64::MAX);
    Fact::new("attempt", number, Unit::Count)
}
