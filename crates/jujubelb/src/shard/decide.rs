//! Calls the policy and carries out the decisions that the hard rules permit.

use indexmap::{IndexMap, IndexSet};

use super::owner::{Eviction, Owner};
use super::policy::{AssignedTask, Choice, Decision, Policy, ShardView, WorkerView};
use super::reconcile::{AttemptEnd, attempt_fact};
use super::recorder::RecordDraft;
use super::state::TaskState;
use super::tracked_worker::TrackedWorker;
use crate::journal::{AttemptOutcome, Change};
use crate::model::{
    Action, Attempt, Cause, JobName, RecordId, Resources, ShardName, Subject, TaskId, Time,
    WorkerName,
};

impl<P: Policy> Owner<P> {
    /// Calls the policy and applies its decisions.
    pub(super) fn decide(&mut self, now: Time) {
        if self.workers.values().any(|tracked| !tracked.declared) {
            self.update_workers();
        }
        let (mut workers, overcommitted) = self.view_workers(now);
        for name in self.end_unsent_assignments(now, &overcommitted) {
            if let (Some(view), _) = self.worker_view(now, &name) {
                workers.insert(name, view);
            }
        }
        self.track_queued_tasks(now);
        let view = ShardView {
            now,
            shard: &self.shard,
            config: &self.config,
            state: &self.state.planned,
            workers: &workers,
            backoff_until: &self.backoff_until,
            queued_since: &self.queued_since,
            peers: &self.peers,
            can_start: self.is_startable(now) && self.commits.is_accepting(now),
        };
        for decision in self.policy.choose(&view) {
            if !self.apply(now, decision) {
                self.refused_decisions += 1;
            }
        }
    }

    /// Ends assignments whose start was never sent and will not be sent: the job
    /// was cancelled or parked, or the worker is overcommitted. Returns the
    /// affected workers.
    fn end_unsent_assignments(
        &mut self,
        now: Time,
        overcommitted: &IndexSet<WorkerName>,
    ) -> IndexSet<WorkerName> {
        let mut unsent = Vec::new();
        for worker in self.state.occupied_workers() {
            let overcommitted = match self.workers.contains_key(worker) {
                true => overcommitted.contains(worker),
                false => !self.committed(worker).fits(&self.capacity(worker)),
            };
            for (task, attempt, _) in self.state.assigned(worker) {
                let job = self.state.planned.jobs.get(&task.job);
                let cause = match job {
                    Some(job) if job.cancelled => Cause::Requested,
                    Some(job) if job.parked.is_some() => Cause::JobFailing,
                    _ if overcommitted => Cause::NoCapacity,
                    _ => continue,
                };
                if !self.may_run(worker, &(task.clone(), attempt)) {
                    unsent.push((worker.clone(), task.clone(), attempt, cause));
                }
            }
        }
        let mut affected = IndexSet::new();
        for (worker, task, attempt, cause) in unsent {
            let end = AttemptEnd::unreported(AttemptOutcome::NotStarted, cause, None);
            self.end_attempt(now, &worker, &task, attempt, end);
            affected.insert(worker);
        }
        affected
    }

    /// Whether an assigned attempt may run: its start was sent, it was reported,
    /// or a former owner assigned it.
    fn may_run(&self, worker: &WorkerName, key: &(TaskId, Attempt)) -> bool {
        let tracked = self.workers.get(worker);
        let sent_or_reported =
            |t: &TrackedWorker| t.sent_starts.contains_key(key) || t.inventory.contains_key(key);
        tracked.is_some_and(sent_or_reported) || self.is_inherited(&key.0)
    }

    /// Updates the times since which tasks are queued and until which they wait after a failure.
    fn track_queued_tasks(&mut self, now: Time) {
        let planned = &self.state.planned;
        let queued = |id: &TaskId| {
            let task = planned.tasks.get(id);
            task.is_some_and(|task| task.state == TaskState::Queued)
        };
        self.queued_since.retain(|id, _| queued(id));
        self.backoff_until
            .retain(|id, until| queued(id) && *until > now);
        for (id, _, _) in planned.queued_tasks() {
            if !self.queued_since.contains_key(id) {
                self.queued_since.insert(id.clone(), now);
            }
        }
    }

    /// Returns all declared workers as the policy sees them.
    pub(super) fn worker_views(&self, now: Time) -> IndexMap<WorkerName, WorkerView> {
        self.view_workers(now).0
    }

    /// Returns all declared workers as the policy sees them, and the names of
    /// workers on which more is committed than their capacity.
    fn view_workers(&self, now: Time) -> (IndexMap<WorkerName, WorkerView>, IndexSet<WorkerName>) {
        let mut views = IndexMap::with_capacity(self.workers.len());
        let mut overcommitted = IndexSet::new();
        for name in self.workers.keys() {
            let (view, fits) = self.worker_view(now, name);
            views.extend(view.map(|view| (name.clone(), view)));
            if !fits {
                overcommitted.insert(name.clone());
            }
        }
        (views, overcommitted)
    }

    /// Returns a worker as the policy sees it, if it is declared, and whether its
    /// commitments fit its capacity.
    fn worker_view(&self, now: Time, name: &WorkerName) -> (Option<WorkerView>, bool) {
        let (assigned, committed) = self.committed_attempts(name);
        let fits = committed.fits(&self.capacity(name));
        (self.view_of(now, name, assigned, committed), fits)
    }

    fn view_of(
        &self,
        now: Time,
        name: &WorkerName,
        assigned: Vec<AssignedTask>,
        committed: Resources,
    ) -> Option<WorkerView> {
        let declared = self.config.workers.get(name)?;
        let domain = self.config.domain_of(name)?.clone();
        Some(WorkerView {
            usable: self.is_usable(now, name) && self.config.in_service(&domain),
            domain,
            capacity: declared.capacity,
            reserved: declared.reserved,
            free: self.capacity(name).saturating_sub(&committed),
            protection: declared.protection,
            quarantined: self.state.planned.quarantined.contains(name),
            assigned,
        })
    }

    fn is_usable(&self, now: Time, name: &WorkerName) -> bool {
        let Some(tracked) = self.workers.get(name) else {
            return false;
        };
        let leaving = tracked.last_report.as_ref().is_none_or(|last| last.leaving);
        tracked.declared && tracked.is_reachable(now) && !leaving
    }

    /// Returns the tasks assigned to a worker, and the capacity committed for them
    /// and for running attempts that are not assigned to it.
    fn committed_attempts(&self, name: &WorkerName) -> (Vec<AssignedTask>, Resources) {
        let tracked = self.workers.get(name);
        let mut assigned = Vec::new();
        let mut sum = Resources::ZERO;
        let mut running_assigned = 0;
        for (task, attempt, planned) in self.state.assigned(name) {
            let key = (task.clone(), attempt);
            let report = tracked.and_then(|tracked| tracked.inventory.get(&key));
            let stored = self.state.stored_limit(task, attempt, name);
            let limit = stored.map_or(planned, |stored| stored.max(&planned));
            let limit = tracked.map_or(limit, |tracked| {
                tracked.committed_limit_with(report, &key, limit)
            });
            let running = report.is_some_and(|report| !report.phase.is_ended());
            sum += limit;
            running_assigned += usize::from(running);
            assigned.push(AssignedTask {
                limit,
                reported_limit: report.map(|report| report.limit),
                running,
                stopping: self.evictions.contains_key(&key) || self.is_cancelled_task(task),
                task: key.0,
                attempt,
            });
        }
        if let Some(tracked) = tracked {
            sum += self.unassigned_limits(name, tracked, running_assigned);
        }
        (assigned, sum)
    }

    /// Sum of the limits of running attempts in an inventory that are not assigned
    /// to the worker. `running_assigned` is the number of those that are.
    fn unassigned_limits(
        &self,
        worker: &WorkerName,
        tracked: &TrackedWorker,
        running_assigned: usize,
    ) -> Resources {
        let running = || tracked.inventory.values().filter(|r| !r.phase.is_ended());
        if running().count() == running_assigned {
            return Resources::ZERO;
        }
        let unassigned = running().filter(|report| {
            let place = self.state.planned.assignment(&report.task);
            !place.is_some_and(|(w, _, a)| w == worker && a == report.attempt)
        });
        unassigned.map(|report| report.limit).sum()
    }

    fn is_cancelled_task(&self, task: &TaskId) -> bool {
        let job = self.state.planned.jobs.get(&task.job);
        job.is_some_and(|job| job.cancelled)
    }

    /// Capacity committed for an attempt: the largest of the planned, stored, reported
    /// and sent limits.
    fn committed_limit(
        &self,
        worker: &WorkerName,
        key: &(TaskId, Attempt),
        planned: Resources,
    ) -> Resources {
        let stored = self.state.stored_limit(&key.0, key.1, worker);
        let limit = stored.map_or(planned, |stored| stored.max(&planned));
        let tracked = self.workers.get(worker);
        tracked.map_or(limit, |tracked| tracked.committed_limit(key, limit))
    }

    /// Capacity committed for all attempts that run or may run on a worker,
    /// including those to be stopped.
    pub(super) fn committed(&self, worker: &WorkerName) -> Resources {
        self.committed_attempts(worker).1
    }

    /// Carries out a decision. Returns false if it breaks a hard rule.
    fn apply(&mut self, now: Time, decision: Decision) -> bool {
        let Decision {
            choice,
            cause,
            facts,
            parent,
        } = decision;
        let draft = |subject, action| {
            RecordDraft::new(subject, action, cause)
                .with_facts(facts.clone())
                .with_parent(parent.clone())
        };
        match choice {
            Choice::Assign {
                task,
                worker,
                limit,
            } => {
                let draft = draft(Subject::Task(task.clone()), Action::Start);
                self.assign(now, task, worker, limit, draft)
            }
            Choice::Evict { task } => {
                let draft = draft(Subject::Task(task.clone()), Action::Evict);
                self.evict(now, &task, draft)
            }
            Choice::Resize { task, limit } => {
                let action = match cause {
                    Cause::Interference => Action::Throttle,
                    Cause::InterferenceEnded => Action::Unthrottle,
                    _ => Action::Resize,
                };
                let draft = draft(Subject::Task(task.clone()), action);
                self.resize(now, task, limit, draft)
            }
            Choice::HandOff { task, to } => {
                let draft = draft(Subject::Task(task.clone()), Action::HandOff);
                self.hand_off(now, task, to, draft)
            }
            Choice::Delay { task } => {
                if self.recorded_delays.insert((task.clone(), cause)) {
                    let draft = draft(Subject::Task(task), Action::Delay);
                    self.record(now, draft);
                }
                true
            }
            Choice::Quarantine { worker } => {
                let draft = draft(Subject::Worker(worker.clone()), Action::Quarantine);
                self.quarantine(now, worker, true, draft)
            }
            Choice::Readmit { worker } => {
                let draft = draft(Subject::Worker(worker.clone()), Action::Readmit);
                self.quarantine(now, worker, false, draft)
            }
            Choice::Park { job } => {
                let draft = draft(Subject::Job(job.clone()), Action::Park);
                self.park(now, job, cause, draft)
            }
        }
    }

    fn queued_attempt(&self, task: &TaskId) -> Option<Attempt> {
        let task = self.state.planned.tasks.get(task)?;
        (task.state == TaskState::Queued).then_some(task.attempt)
    }

    /// Assigns a queued task if no hard rule forbids it.
    fn assign(
        &mut self,
        now: Time,
        task: TaskId,
        worker: WorkerName,
        limit: Resources,
        draft: RecordDraft,
    ) -> bool {
        let Some(attempt) = self.queued_attempt(&task) else {
            return false;
        };
        let free = self
            .capacity(&worker)
            .saturating_sub(&self.committed(&worker));
        let waits = self
            .backoff_until
            .get(&task)
            .is_some_and(|until| *until > now);
        let permitted = self.is_permitted(&task, &worker);
        let usable = self.is_usable(now, &worker) && self.is_startable(now);
        if waits || !permitted || !usable || !limit.fits(&free) {
            return false;
        }
        let attempt = attempt.next();
        let mut draft = draft.with_place(worker.as_str());
        draft.facts.push(attempt_fact(attempt));
        self.recorded_delays.retain(|(delayed, _)| *delayed != task);
        let change = Change::Assigned {
            task,
            attempt,
            worker,
            limit,
        };
        self.plan(now, change, Some(draft))
    }

    /// Whether the worker's domain is in service and the task may run there.
    fn is_permitted(&self, task: &TaskId, worker: &WorkerName) -> bool {
        let (Some(domain), Some(job)) = (
            self.config.domain_of(worker),
            self.state.planned.jobs.get(&task.job),
        ) else {
            return false;
        };
        let domains = &job.spec.task.domains;
        self.config.in_service(domain) && (domains.is_empty() || domains.contains(domain))
    }

    /// Checkpoints and stops an assigned task, or ends its assignment if the start was not sent.
    fn evict(&mut self, now: Time, task: &TaskId, draft: RecordDraft) -> bool {
        let Some((worker, _, attempt)) = self.state.planned.assignment(task) else {
            return false;
        };
        let worker = worker.clone();
        let key = (task.clone(), attempt);
        if self.evictions.contains_key(&key) {
            return true;
        }
        if self.may_run(&worker, &key) {
            let cause = draft.cause;
            let record = self.record(now, draft.with_place(worker.as_str()));
            let since = now;
            self.evictions.insert(
                key,
                Eviction {
                    since,
                    record,
                    cause,
                },
            );
            self.request_sync(&worker);
        } else {
            let end = AttemptEnd::unreported(AttemptOutcome::NotStarted, draft.cause, draft.parent);
            self.end_attempt(now, &worker, task, attempt, end);
        }
        true
    }

    fn resize(&mut self, now: Time, task: TaskId, limit: Resources, draft: RecordDraft) -> bool {
        let Some((worker, planned, attempt)) = self.state.planned.assignment(&task) else {
            return false;
        };
        let (worker, key) = (worker.clone(), (task.clone(), attempt));
        if planned == limit || self.evictions.contains_key(&key) {
            return planned == limit;
        }
        let committed = self.committed_limit(&worker, &key, planned);
        let others = self.committed(&worker).saturating_sub(&committed);
        let free = self.capacity(&worker).saturating_sub(&others);
        // A smaller limit is always permitted, even on an overcommitted worker.
        if !limit.fits(&free) && !limit.fits(&planned) {
            return false;
        }
        let draft = draft.with_place(worker.as_str());
        self.plan(now, Change::Resized { task, limit }, Some(draft))
    }

    fn hand_off(&mut self, now: Time, task: TaskId, to: ShardName, draft: RecordDraft) -> bool {
        let Some(attempt) = self.queued_attempt(&task) else {
            return false;
        };
        if to == self.shard || !self.config.shards.contains_key(&to) {
            return false;
        }
        let draft = draft.with_place(to.as_str());
        self.plan(now, Change::Offered { task, attempt, to }, Some(draft))
    }

    fn quarantine(&mut self, now: Time, worker: WorkerName, on: bool, draft: RecordDraft) -> bool {
        if self.state.planned.quarantined.contains(&worker) == on {
            return true;
        }
        self.plan(now, Change::Quarantined { worker, on }, Some(draft))
    }

    fn park(&mut self, now: Time, job: JobName, cause: Cause, draft: RecordDraft) -> bool {
        let planned = self.state.planned.jobs.get(&job);
        if planned.is_none_or(|planned| planned.parked.is_some()) {
            return planned.is_some();
        }
        self.plan(now, Change::Parked { job, cause }, Some(draft))
    }

    /// Evicts all tasks from workers that are leaving, out of service or no longer declared.
    pub(super) fn evict_displaced_tasks(&mut self, now: Time) {
        let mut evictions = Vec::new();
        for worker in self.state.occupied_workers() {
            let Some(cause) = self.eviction_cause(now, worker) else {
                continue;
            };
            for (task, attempt, _) in self.state.assigned(worker) {
                if !self.evictions.contains_key(&(task.clone(), attempt)) {
                    evictions.push((task.clone(), cause));
                }
            }
        }
        for (task, cause) in evictions {
            let draft = RecordDraft::new(Subject::Task(task.clone()), Action::Evict, cause);
            let parent = self.parent_record(cause);
            self.evict(now, &task, draft.with_parent(parent));
        }
    }

    fn eviction_cause(&self, now: Time, worker: &WorkerName) -> Option<Cause> {
        let tracked = self.workers.get(worker)?;
        if tracked
            .last_report
            .as_ref()
            .is_some_and(|last| last.leaving)
        {
            return Some(Cause::HostLeaving);
        }
        let domain = self.config.domain_of(worker).or_else(|| self.home_domain());
        if domain.is_some_and(|domain| !self.config.in_service(domain)) {
            return Some(Cause::DomainOut);
        }
        // A new owner's configuration may be out of date and lack workers that were added since.
        let confirmed = self
            .evidence
            .is_some_and(|t| now.since(t) < super::owner::MAX_EVIDENCE_AGE);
        (!tracked.declared && confirmed).then_some(Cause::ConfigChange)
    }

    /// Returns the record of the change that led to evictions with this cause.
    fn parent_record(&self, cause: Cause) -> Option<RecordId> {
        match cause {
            Cause::DomainOut => {
                let domain = self.home_domain()?.clone();
                self.recorder.latest(&Subject::Domain(domain))
            }
            Cause::ConfigChange => self.recorder.latest(&Subject::Config),
            _ => None,
        }
    }
}
