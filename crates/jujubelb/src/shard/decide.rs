//! Asks the policy and carries out what the hard rules permit.

use indexmap::{IndexMap, IndexSet};

use super::link::Link;
use super::owner::{Eviction, Owner};
use super::policy::{AssignedTask, Choice, Decision, Policy, ShardView, WorkerView};
use super::reconcile::{Ending, attempt_fact};
use super::recorder::Note;
use super::state::TaskState;
use crate::journal::{AttemptOutcome, Change};
use crate::model::{
    Action, Attempt, Cause, JobName, RecordId, Resources, ShardName, Subject, TaskId, Time,
    WorkerName,
};

impl<P: Policy> Owner<P> {
    /// Asks the policy and applies its decisions.
    pub(super) fn decide(&mut self, now: Time) {
        if self.links.values().any(|link| !link.declared) {
            self.declare_links();
        }
        let (mut workers, over) = self.survey(now);
        for name in self.drop_unsent(now, &over) {
            if let (Some(view), _) = self.worker_view(now, &name) {
                workers.insert(name, view);
            }
        }
        self.note_queued(now);
        let view = ShardView {
            now,
            shard: &self.shard,
            config: &self.config,
            state: &self.book.planned,
            workers: &workers,
            backoff_until: &self.backoff,
            queued_since: &self.queued,
            peers: &self.peers,
            can_start: self.is_startable(now) && self.outbox.is_open(now),
        };
        for decision in self.policy.choose(&view) {
            if !self.apply(now, decision) {
                self.refused += 1;
            }
        }
    }

    /// Takes back assignments whose start was never sent and won't be: the job was
    /// cancelled or parked, or the worker has less room than before. Gives the
    /// workers concerned.
    fn drop_unsent(&mut self, now: Time, over: &IndexSet<WorkerName>) -> IndexSet<WorkerName> {
        let mut unsent = Vec::new();
        for worker in self.book.occupied() {
            let over = match self.links.contains_key(worker) {
                true => over.contains(worker),
                false => !self.committed(worker).fits(&self.capacity(worker)),
            };
            for (task, attempt, _) in self.book.assigned(worker) {
                let job = self.book.planned.jobs.get(&task.job);
                let cause = match job {
                    Some(job) if job.cancelled => Cause::Requested,
                    Some(job) if job.parked.is_some() => Cause::JobFailing,
                    _ if over => Cause::NoCapacity,
                    _ => continue,
                };
                if !self.may_run(worker, &(task.clone(), attempt)) {
                    unsent.push((worker.clone(), task.clone(), attempt, cause));
                }
            }
        }
        let mut touched = IndexSet::new();
        for (worker, task, attempt, cause) in unsent {
            let ending = Ending::unreported(AttemptOutcome::NotStarted, cause, None);
            self.end(now, &worker, &task, attempt, ending);
            touched.insert(worker);
        }
        touched
    }

    /// Whether an assigned attempt may run: its start was sent, it was reported,
    /// or a former owner assigned it.
    fn may_run(&self, worker: &WorkerName, key: &(TaskId, Attempt)) -> bool {
        let link = self.links.get(worker);
        let known = |l: &Link| l.starts.contains_key(key) || l.inventory.contains_key(key);
        link.is_some_and(known) || self.is_inherited(&key.0)
    }

    /// Keeps the times at which tasks were queued and until which they wait.
    fn note_queued(&mut self, now: Time) {
        let planned = &self.book.planned;
        let queued = |id: &TaskId| {
            let task = planned.tasks.get(id);
            task.is_some_and(|task| task.state == TaskState::Queued)
        };
        self.queued.retain(|id, _| queued(id));
        self.backoff.retain(|id, until| queued(id) && *until > now);
        for (id, _, _) in planned.queued_tasks() {
            if !self.queued.contains_key(id) {
                self.queued.insert(id.clone(), now);
            }
        }
    }

    /// All workers as the policy sees them.
    pub(super) fn worker_views(&self, now: Time) -> IndexMap<WorkerName, WorkerView> {
        self.survey(now).0
    }

    /// All workers as the policy sees them, and those on which more is committed
    /// than they can hold.
    fn survey(&self, now: Time) -> (IndexMap<WorkerName, WorkerView>, IndexSet<WorkerName>) {
        let mut views = IndexMap::with_capacity(self.links.len());
        let mut over = IndexSet::new();
        for name in self.links.keys() {
            let (view, fits) = self.worker_view(now, name);
            views.extend(view.map(|view| (name.clone(), view)));
            if !fits {
                over.insert(name.clone());
            }
        }
        (views, over)
    }

    /// A worker as the policy sees it, if it is declared, and whether it can hold
    /// what is committed on it.
    fn worker_view(&self, now: Time, name: &WorkerName) -> (Option<WorkerView>, bool) {
        let (assigned, committed) = self.tally(name);
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
            quarantined: self.book.planned.quarantined.contains(name),
            assigned,
        })
    }

    fn is_usable(&self, now: Time, name: &WorkerName) -> bool {
        let Some(link) = self.links.get(name) else {
            return false;
        };
        let leaving = link.seen.as_ref().is_none_or(|seen| seen.leaving);
        link.declared && link.is_reached(now) && !leaving
    }

    /// Attempts that run or may run on a worker, and the sum of the room counted
    /// for all of them, for those to be stopped and for unknown ones.
    fn tally(&self, name: &WorkerName) -> (Vec<AssignedTask>, Resources) {
        let link = self.links.get(name);
        let mut assigned = Vec::new();
        let mut sum = Resources::ZERO;
        let mut known = 0;
        for (task, attempt, planned) in self.book.assigned(name) {
            let key = (task.clone(), attempt);
            let report = link.and_then(|link| link.inventory.get(&key));
            let stored = self.book.stored_limit(task, attempt, name);
            let limit = stored.map_or(planned, |stored| stored.max(&planned));
            let limit = link.map_or(limit, |link| link.room_by(report, &key, limit));
            let running = report.is_some_and(|report| !report.phase.is_ended());
            sum += limit;
            known += usize::from(running);
            assigned.push(AssignedTask {
                limit,
                reported_limit: report.map(|report| report.limit),
                running,
                stopping: self.evicting.contains_key(&key) || self.is_cancelled_task(task),
                task: key.0,
                attempt,
            });
        }
        if let Some(link) = link {
            sum += self.unknown(name, link, known);
        }
        (assigned, sum)
    }

    /// Sum of the limits of running attempts in an inventory that are not
    /// assigned to the worker, given how many of the running ones are.
    fn unknown(&self, worker: &WorkerName, link: &Link, known: usize) -> Resources {
        let running = || link.inventory.values().filter(|r| !r.phase.is_ended());
        if running().count() == known {
            return Resources::ZERO;
        }
        let unknown = running().filter(|report| {
            let place = self.book.planned.assignment(&report.task);
            !place.is_some_and(|(w, _, a)| w == worker && a == report.attempt)
        });
        unknown.map(|report| report.limit).sum()
    }

    fn is_cancelled_task(&self, task: &TaskId) -> bool {
        let job = self.book.planned.jobs.get(&task.job);
        job.is_some_and(|job| job.cancelled)
    }

    /// Room counted for an attempt: the largest of the planned, stored, reported and sent limits.
    fn room(&self, worker: &WorkerName, key: &(TaskId, Attempt), planned: Resources) -> Resources {
        let stored = self.book.stored_limit(&key.0, key.1, worker);
        let limit = stored.map_or(planned, |stored| stored.max(&planned));
        let link = self.links.get(worker);
        link.map_or(limit, |link| link.room(key, limit))
    }

    /// Sum of the room counted for all attempts that run or may run on a worker,
    /// those to be stopped included.
    pub(super) fn committed(&self, worker: &WorkerName) -> Resources {
        self.tally(worker).1
    }

    /// Carries out a decision; false if it breaks a rule.
    fn apply(&mut self, now: Time, decision: Decision) -> bool {
        let Decision {
            choice,
            cause,
            facts,
            parent,
        } = decision;
        let note = |subject, action| {
            Note::new(subject, action, cause)
                .facts(facts.clone())
                .parent(parent.clone())
        };
        match choice {
            Choice::Assign {
                task,
                worker,
                limit,
            } => {
                let note = note(Subject::Task(task.clone()), Action::Start);
                self.assign(now, task, worker, limit, note)
            }
            Choice::Evict { task } => {
                let note = note(Subject::Task(task.clone()), Action::Evict);
                self.evict(now, &task, note)
            }
            Choice::Resize { task, limit } => {
                let action = match cause {
                    Cause::Interference => Action::Throttle,
                    Cause::InterferenceEnded => Action::Unthrottle,
                    _ => Action::Resize,
                };
                let note = note(Subject::Task(task.clone()), action);
                self.resize(now, task, limit, note)
            }
            Choice::HandOff { task, to } => {
                let note = note(Subject::Task(task.clone()), Action::HandOff);
                self.hand_off(now, task, to, note)
            }
            Choice::Delay { task } => {
                if self.delays.insert((task.clone(), cause)) {
                    let note = note(Subject::Task(task), Action::Delay);
                    self.record(now, note);
                }
                true
            }
            Choice::Quarantine { worker } => {
                let note = note(Subject::Worker(worker.clone()), Action::Quarantine);
                self.quarantine(now, worker, true, note)
            }
            Choice::Readmit { worker } => {
                let note = note(Subject::Worker(worker.clone()), Action::Readmit);
                self.quarantine(now, worker, false, note)
            }
            Choice::Park { job } => {
                let note = note(Subject::Job(job.clone()), Action::Park);
                self.park(now, job, cause, note)
            }
        }
    }

    fn queued_attempt(&self, task: &TaskId) -> Option<Attempt> {
        let task = self.book.planned.tasks.get(task)?;
        (task.state == TaskState::Queued).then_some(task.attempt)
    }

    /// Assigns a queued task if no hard rule forbids it.
    fn assign(
        &mut self,
        now: Time,
        task: TaskId,
        worker: WorkerName,
        limit: Resources,
        note: Note,
    ) -> bool {
        let Some(attempt) = self.queued_attempt(&task) else {
            return false;
        };
        let free = self
            .capacity(&worker)
            .saturating_sub(&self.committed(&worker));
        let waits = self.backoff.get(&task).is_some_and(|until| *until > now);
        let permitted = self.is_permitted(&task, &worker);
        let usable = self.is_usable(now, &worker) && self.is_startable(now);
        if waits || !permitted || !usable || !limit.fits(&free) {
            return false;
        }
        let attempt = attempt.next();
        let mut note = note.at(worker.as_str());
        note.facts.push(attempt_fact(attempt));
        self.delays.retain(|(delayed, _)| *delayed != task);
        let change = Change::Assigned {
            task,
            attempt,
            worker,
            limit,
        };
        self.plan(now, change, Some(note))
    }

    /// Whether the worker's domain is in service and the task may run there.
    fn is_permitted(&self, task: &TaskId, worker: &WorkerName) -> bool {
        let (Some(domain), Some(job)) = (
            self.config.domain_of(worker),
            self.book.planned.jobs.get(&task.job),
        ) else {
            return false;
        };
        let domains = &job.spec.task.domains;
        self.config.in_service(domain) && (domains.is_empty() || domains.contains(domain))
    }

    /// Has an assigned task checkpointed and stopped, or takes it back if its start was not sent.
    fn evict(&mut self, now: Time, task: &TaskId, note: Note) -> bool {
        let Some((worker, _, attempt)) = self.book.planned.assignment(task) else {
            return false;
        };
        let worker = worker.clone();
        let key = (task.clone(), attempt);
        if self.evicting.contains_key(&key) {
            return true;
        }
        if self.may_run(&worker, &key) {
            let cause = note.cause;
            let record = self.record(now, note.at(worker.as_str()));
            let since = now;
            self.evicting.insert(
                key,
                Eviction {
                    since,
                    record,
                    cause,
                },
            );
            self.wake(&worker);
        } else {
            let ending = Ending::unreported(AttemptOutcome::NotStarted, note.cause, note.parent);
            self.end(now, &worker, task, attempt, ending);
        }
        true
    }

    fn resize(&mut self, now: Time, task: TaskId, limit: Resources, note: Note) -> bool {
        let Some((worker, planned, attempt)) = self.book.planned.assignment(&task) else {
            return false;
        };
        let (worker, key) = (worker.clone(), (task.clone(), attempt));
        if planned == limit || self.evicting.contains_key(&key) {
            return planned == limit;
        }
        let room = self.room(&worker, &key, planned);
        let others = self.committed(&worker).saturating_sub(&room);
        let free = self.capacity(&worker).saturating_sub(&others);
        // A smaller limit is always permitted, also where too much is committed.
        if !limit.fits(&free) && !limit.fits(&planned) {
            return false;
        }
        let note = note.at(worker.as_str());
        self.plan(now, Change::Resized { task, limit }, Some(note))
    }

    fn hand_off(&mut self, now: Time, task: TaskId, to: ShardName, note: Note) -> bool {
        let Some(attempt) = self.queued_attempt(&task) else {
            return false;
        };
        if to == self.shard || !self.config.shards.contains_key(&to) {
            return false;
        }
        let note = note.at(to.as_str());
        self.plan(now, Change::Offered { task, attempt, to }, Some(note))
    }

    fn quarantine(&mut self, now: Time, worker: WorkerName, on: bool, note: Note) -> bool {
        if self.book.planned.quarantined.contains(&worker) == on {
            return true;
        }
        self.plan(now, Change::Quarantined { worker, on }, Some(note))
    }

    fn park(&mut self, now: Time, job: JobName, cause: Cause, note: Note) -> bool {
        let known = self.book.planned.jobs.get(&job);
        if known.is_none_or(|known| known.parked.is_some()) {
            return known.is_some();
        }
        self.plan(now, Change::Parked { job, cause }, Some(note))
    }

    /// Evicts everything from workers that may have no tasks.
    pub(super) fn clear_out(&mut self, now: Time) {
        let mut evictions = Vec::new();
        for worker in self.book.occupied() {
            let Some(cause) = self.reason_to_clear(now, worker) else {
                continue;
            };
            for (task, attempt, _) in self.book.assigned(worker) {
                if !self.evicting.contains_key(&(task.clone(), attempt)) {
                    evictions.push((task.clone(), cause));
                }
            }
        }
        for (task, cause) in evictions {
            let note = Note::new(Subject::Task(task.clone()), Action::Evict, cause);
            let parent = self.root_of(cause);
            self.evict(now, &task, note.parent(parent));
        }
    }

    fn reason_to_clear(&self, now: Time, worker: &WorkerName) -> Option<Cause> {
        let link = self.links.get(worker)?;
        if link.seen.as_ref().is_some_and(|seen| seen.leaving) {
            return Some(Cause::HostLeaving);
        }
        let domain = self.config.domain_of(worker).or_else(|| self.home());
        if domain.is_some_and(|domain| !self.config.in_service(domain)) {
            return Some(Cause::DomainOut);
        }
        // An old configuration of a new owner may lack workers that were added since.
        let confirmed = self
            .evidence
            .is_some_and(|t| now.since(t) < super::owner::MAX_EVIDENCE_AGE);
        (!link.declared && confirmed).then_some(Cause::ConfigChange)
    }

    /// The record of the change that has this effect.
    fn root_of(&self, cause: Cause) -> Option<RecordId> {
        match cause {
            Cause::DomainOut => {
                let domain = self.home()?.clone();
                self.recorder.latest(&Subject::Domain(domain))
            }
            Cause::ConfigChange => self.recorder.latest(&Subject::Config),
            _ => None,
        }
    }
}
