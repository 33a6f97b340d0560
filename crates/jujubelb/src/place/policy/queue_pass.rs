//! Pass over the queue: tasks are started, handed off, delayed or parked.

use indexmap::IndexSet;

use super::PlacementPolicy;
use super::assess::PlacementContext;
use super::facts::{count, decision, need_and_free, need_and_quota, permille, span};
use super::sync::is_queued;
use crate::model::{Attempt, Cause, Fact, JobSpec, Priority, Resources, Span, TaskId, Time};
use crate::place::fair_queue::{QueuedTask, STARVATION_AGE};
use crate::place::quota;
use crate::place::selection::{PlacementRequest, SelectedWorker, SelectionError, select_worker};
use crate::shard::{Choice, Decision, ShardView};

/// Maximum number of queue heads processed in one pass, which bounds its duration
/// while the queue is long. 240 starts/s over 26 shards need one every other pass.
const MAX_TASKS_PER_PASS: usize = 256;

/// Maximum number of handoffs in one pass. Each adds two entries to the logs of
/// both shards.
pub(super) const MAX_HANDOFFS_PER_PASS: usize = 64;

/// Wait before a batch task is handed off for lack of free capacity or quota. Both
/// may become available here sooner than a handoff takes. Urgent tasks don't wait.
const CAPACITY_HANDOFF_DELAY: Span = Span::from_secs(10);
const QUOTA_HANDOFF_DELAY: Span = Span::from_secs(2);

/// Maximum number of doublings of the wait before a handoff. `CAPACITY_HANDOFF_DELAY`
/// then exceeds `STARVATION_AGE`, so the task starts in some shard.
const MAX_DELAY_DOUBLINGS: u64 = 7;

/// How long the free capacity of one worker is held for a starving batch task. The
/// hold is renewed while the task waits.
const STARVING_HOLD: Span = Span::from_secs(60);

/// A queued task to be placed.
pub(super) struct PendingTask<'a> {
    pub(super) head: &'a QueuedTask,
    pub(super) job: &'a JobSpec,
    pub(super) need: Resources,
}

impl PendingTask<'_> {
    fn is_urgent(&self) -> bool {
        self.job.task.priority == Priority::Urgent
    }

    /// Returns the wait before a handoff: `batch`, or none for an urgent task.
    fn handoff_delay(&self, batch: Span) -> Span {
        if self.is_urgent() { Span::ZERO } else { batch }
    }
}

/// Doubles the wait before a handoff with each attempt; a handoff counts as an
/// attempt. The free capacity in a shard's summary shows neither whether its
/// services tolerate the task nor whether the team's quota there is used up.
/// Without the backoff, a task that no shard starts would move between shards
/// every few seconds, and its age, which restarts in each shard, would never reach
/// `STARVATION_AGE`.
pub(super) fn handoff_backoff(handoff_delay: Span, attempt: Attempt) -> Span {
    Span::from_micros(handoff_delay.as_micros() << attempt.0.min(MAX_DELAY_DOUBLINGS))
}

/// Progress of one pass.
#[derive(Default)]
pub(super) struct PassState {
    pub(super) decisions: Vec<Decision>,
    pub(super) handoffs: usize,
    /// Urgent tasks taken out of the queue until the end of the pass.
    deferred: Vec<QueuedTask>,
    /// Reservations of batch tasks that fitted no worker in this pass.
    unplaceable: Vec<Resources>,
    /// Jobs parked in this pass.
    parked_jobs: IndexSet<crate::model::JobName>,
}

impl PlacementPolicy {
    pub(super) fn process_queue(&mut self, view: &ShardView<'_>, decisions: &mut Vec<Decision>) {
        self.queue.unblock();
        let mut pass = PassState::default();
        for _ in 0..MAX_TASKS_PER_PASS {
            let Some(head) = self.queue.peek(view.now) else {
                break;
            };
            let job = view.state.jobs.get(&head.task.job);
            let Some(job) = job.filter(|_| is_queued(view, &head.task)) else {
                self.forget_queued(&head.task);
                continue;
            };
            self.process_task(view, &mut pass, &head, &job.spec);
        }
        for head in pass.deferred {
            self.queue
                .push(head.since, &head.team, &head.task, head.priority);
        }
        decisions.append(&mut pass.decisions);
    }

    /// Decides on the task at the head of the queue. Afterwards the task is removed
    /// from the queue or its job is blocked.
    fn process_task(
        &mut self,
        view: &ShardView<'_>,
        pass: &mut PassState,
        head: &QueuedTask,
        job: &JobSpec,
    ) {
        if !job.task.size.fits(&self.largest_task) || self.exceeds_largest_worker(&head.task) {
            self.park_impossible(pass, head, job);
            return;
        }
        let need = self.required(&head.task, job);
        let pending = PendingTask { head, job, need };
        let home = view.config.shards.get(view.shard).map(|s| &s.domain);
        let out = home.is_none_or(|d| !view.config.in_service(d));
        let permitted = home.is_some_and(|d| super::handoff::permits_domain(job, d));
        if out || !permitted {
            let cause = if out {
                Cause::DomainOut
            } else {
                Cause::RoomElsewhere
            };
            let facts = need_and_free(&need, &Resources::ZERO);
            self.hand_off_or_delay(view, pass, &pending, (Span::ZERO, cause), facts);
            return;
        }
        if !view.can_start {
            // The owner records the reason.
            self.queue.block(&head.task.job);
            return;
        }
        let left = self.remaining_quota(&job.team);
        if !need.fits(&left) {
            let facts = need_and_quota(&need, &left);
            let handoff = (
                pending.handoff_delay(QUOTA_HANDOFF_DELAY),
                Cause::QuotaExhausted,
            );
            self.hand_off_or_delay(view, pass, &pending, handoff, facts);
            return;
        }
        self.place_task(view, pass, &pending);
    }

    fn place_task(
        &mut self,
        view: &ShardView<'_>,
        pass: &mut PassState,
        pending: &PendingTask<'_>,
    ) {
        let PendingTask { head, job, need } = *pending;
        let known_unplaceable =
            !pending.is_urgent() && pass.unplaceable.iter().any(|f| f.fits(&need));
        let found = if known_unplaceable {
            Err(SelectionError::NoCapacity)
        } else {
            let tie_break = self.next_random();
            let context =
                PlacementContext::new(self, view.now, (&head.task, job), head.since, need);
            select_worker(&self.index, &PlacementRequest { need, tie_break }, |w| {
                self.assess(&context, w)
            })
        };
        match found {
            Ok(selected) => self.assign(view, pass, pending, selected),
            Err(reason) => self.no_room(view, pass, pending, reason),
        }
    }

    fn assign(
        &mut self,
        view: &ShardView<'_>,
        pass: &mut PassState,
        pending: &PendingTask<'_>,
        selected: SelectedWorker,
    ) {
        let PendingTask { head, job, need } = *pending;
        let Some(worker) = self
            .workers
            .get_index(selected.worker)
            .map(|(n, _)| n.clone())
        else {
            return;
        };
        let mut facts = need_and_free(&need, &self.index.free(selected.worker));
        facts.push(count("workers-compared", selected.compared));
        facts.push(permille("expected-slowdown", selected.slowdown));
        facts.push(span("waited", view.now.since(head.since)));
        let context = PlacementContext::new(self, view.now, (&head.task, job), head.since, need);
        self.index.reserve(selected.worker, &need);
        self.record_start(view, &context, selected.worker);
        self.queue.record_start(view.now, head);
        self.forget_queued(&head.task);
        let choice = Choice::Assign {
            task: head.task.clone(),
            worker,
            limit: need,
        };
        pass.decisions
            .push(decision(choice, Cause::Scheduled, facts));
    }

    fn no_room(
        &mut self,
        view: &ShardView<'_>,
        pass: &mut PassState,
        pending: &PendingTask<'_>,
        reason: SelectionError,
    ) {
        let PendingTask { head, job, need } = *pending;
        if pending.is_urgent() && self.has_pending_evictions(view.now, &head.task) {
            self.defer(pass, head);
            return;
        }
        let cause = match reason {
            SelectionError::NoCapacity => Cause::NoCapacity,
            SelectionError::AllExcluded => Cause::InterferenceExpected,
        };
        let mut facts = need_and_free(&need, &self.index.largest_free());
        facts.push(count("queued-of-job", self.queue.job_len(&job.name)));
        if pending.is_urgent() {
            if !self.hand_off(view, pass, pending, cause, &facts)
                && !self.preempt(view, pass, pending)
            {
                self.record_delay(pass, head, cause, facts);
            }
            self.defer(pass, head);
            return;
        }
        if reason == SelectionError::NoCapacity {
            pass.unplaceable.push(need);
        }
        if view.now.since(head.since) >= STARVATION_AGE {
            self.hold_for_starving(view.now, head, &need);
        }
        let handoff = (pending.handoff_delay(CAPACITY_HANDOFF_DELAY), cause);
        self.hand_off_or_delay(view, pass, pending, handoff, facts);
    }

    /// Hands a task off once it has waited long enough, and otherwise delays its job.
    fn hand_off_or_delay(
        &mut self,
        view: &ShardView<'_>,
        pass: &mut PassState,
        pending: &PendingTask<'_>,
        (handoff_delay, cause): (Span, Cause),
        facts: Vec<Fact>,
    ) {
        let waited = view.now.since(pending.head.since);
        let task = view.state.tasks.get(&pending.head.task);
        let attempt = task.map_or(Attempt(0), |task| task.attempt);
        let handoff_delay = handoff_backoff(handoff_delay, attempt);
        if waited >= handoff_delay && self.hand_off(view, pass, pending, cause, &facts) {
            return;
        }
        self.record_delay(pass, pending.head, cause, facts);
        self.queue.block(&pending.head.task.job);
    }

    /// Takes an urgent task out of the queue until the end of the pass, so that
    /// other tasks of its job are processed as well.
    fn defer(&mut self, pass: &mut PassState, head: &QueuedTask) {
        if self.queue.remove(&head.task) {
            pass.deferred.push(head.clone());
        }
    }

    /// Records a delay, unless the last one recorded for the task has the same cause.
    fn record_delay(
        &mut self,
        pass: &mut PassState,
        head: &QueuedTask,
        cause: Cause,
        facts: Vec<Fact>,
    ) {
        if self.delay_causes.insert(head.task.clone(), cause) == Some(cause) {
            return;
        }
        let choice = Choice::Delay {
            task: head.task.clone(),
        };
        pass.decisions.push(decision(choice, cause, facts));
    }

    /// Resources to reserve for a task: the reservation of its class, with at least
    /// twice the memory limit that it exceeded, but no more than the largest worker
    /// has.
    fn required(&self, task: &TaskId, job: &JobSpec) -> Resources {
        let reserved = self.sizes.reservation(&job.task);
        let doubled = self.doubled_limits.get(task).copied().unwrap_or_default();
        let wanted = reserved.max(&Resources {
            memory: doubled.memory,
            ..Resources::ZERO
        });
        quota::component_min(&wanted, &self.largest_task)
    }

    /// Whether the task exceeded a memory limit that can't be raised any more,
    /// because no worker has more.
    fn exceeds_largest_worker(&self, task: &TaskId) -> bool {
        self.doubled_limits
            .get(task)
            .is_some_and(|d| d.memory.0 / 2 >= self.largest_task.memory.0)
    }

    fn park_impossible(&mut self, pass: &mut PassState, head: &QueuedTask, job: &JobSpec) {
        self.queue.block(&head.task.job);
        if !pass.parked_jobs.insert(job.name.clone()) {
            return;
        }
        let (need, cause) = match self.doubled_limits.get(&head.task) {
            Some(doubled) => (*doubled, Cause::LimitExceeded),
            None => (job.task.size, Cause::Impossible),
        };
        let names = [
            "need-cpu",
            "largest-cpu",
            "need-memory",
            "largest-memory",
            "need-accelerators",
            "largest-accelerators",
        ];
        let facts = super::facts::comparison(names, &need, &self.largest_task);
        let choice = Choice::Park {
            job: job.name.clone(),
        };
        pass.decisions.push(decision(choice, cause, facts));
    }

    /// Holds the worker with the most free memory for a starving task. Otherwise
    /// smaller tasks would always take the capacity that becomes free. Only one
    /// worker is held at a time.
    fn hold_for_starving(&mut self, now: Time, head: &QueuedTask, need: &Resources) {
        self.holds.retain(|_, (_, until)| now < *until);
        if !self.holds.is_empty() {
            return;
        }
        let fits = |w: &usize| self.index.is_schedulable(*w) && need.fits(&self.index.usable(*w));
        let freest = (0..self.index.len())
            .filter(fits)
            .max_by_key(|w| self.index.free(*w).memory);
        if let Some(worker) = freest {
            self.hold(worker, &head.task, now + STARVING_HOLD);
        }
    }
}
