//! One pass over the queue: start, hand off, delay or park.

use indexmap::IndexSet;

use super::PlacementPolicy;
use super::facts::{count, decision, need_and_free, need_and_quota, permille, span};
use super::outlook::Placing;
use super::sync::is_queued;
use crate::model::{Attempt, Cause, Fact, JobSpec, Priority, Resources, Span, TaskId, Time};
use crate::place::choose::{NoPick, Pick, Request, pick};
use crate::place::fair::{Head, STARVING};
use crate::place::quota;
use crate::shard::{Choice, Decision, ShardView};

/// Jobs and tasks looked at in one pass. Bounds the time of a pass while a long
/// queue waits; 240 starts/s over 26 shards need one for each two passes. To be tuned.
const LOOKS: usize = 256;

/// Tasks handed off in one pass. Each costs two entries in the logs of both shards.
pub(super) const HANDOFFS: usize = 64;

/// Wait before batch work is handed off. Room may appear here sooner than the
/// handoff takes. Urgent work does not wait.
const PATIENCE_ROOM: Span = Span::from_secs(10);
const PATIENCE_QUOTA: Span = Span::from_secs(2);

/// Doublings of the wait before a handoff. The longest wait is above the time
/// after which a task counts as starving, so some shard lets it start.
const MOST_DOUBLINGS: u64 = 7;

/// How long the room of one worker is kept for a batch task that starves. It is
/// renewed while the task waits.
const STARVING_HOLD: Span = Span::from_secs(60);

/// A queued task that is to be placed.
pub(super) struct Want<'a> {
    pub(super) head: &'a Head,
    pub(super) job: &'a JobSpec,
    pub(super) need: Resources,
}

impl Want<'_> {
    fn is_urgent(&self) -> bool {
        self.job.task.priority == Priority::Urgent
    }

    /// How long the task waits before it is handed off.
    fn patience(&self, batch: Span) -> Span {
        if self.is_urgent() { Span::ZERO } else { batch }
    }
}

/// Doubles the wait before a handoff with each attempt, and a handoff counts as
/// one. The free room of a shard shows neither whether its services are calm nor
/// whether the team's quota there is used up. Otherwise a task that no shard
/// starts would go to and fro every few seconds, and its age, which counts anew
/// in each shard, would never put it in front.
pub(super) fn lengthened(patience: Span, attempt: Attempt) -> Span {
    Span::from_micros(patience.as_micros() << attempt.0.min(MOST_DOUBLINGS))
}

/// What one pass has done so far.
#[derive(Default)]
pub(super) struct Pass {
    pub(super) decisions: Vec<Decision>,
    pub(super) handoffs: usize,
    /// Urgent tasks set aside until the end of the pass.
    aside: Vec<Head>,
    /// Batch reservations that found no room in this pass.
    full: Vec<Resources>,
    /// Jobs seen in this pass, for which `Park` was decided.
    parked: IndexSet<crate::model::JobName>,
}

impl PlacementPolicy {
    pub(super) fn start(&mut self, view: &ShardView<'_>, decisions: &mut Vec<Decision>) {
        self.queue.unblock();
        let mut pass = Pass::default();
        for _ in 0..LOOKS {
            let Some(head) = self.queue.next(view.now) else {
                break;
            };
            let job = view.state.jobs.get(&head.task.job);
            let Some(job) = job.filter(|_| is_queued(view, &head.task)) else {
                self.forget_queued(&head.task);
                continue;
            };
            self.consider(view, &mut pass, &head, &job.spec);
        }
        for head in pass.aside {
            self.queue
                .push(head.since, &head.team, &head.task, head.priority);
        }
        decisions.append(&mut pass.decisions);
    }

    /// Decides on the task that is next in order. Afterwards it is out of the
    /// order, or its job is blocked.
    fn consider(&mut self, view: &ShardView<'_>, pass: &mut Pass, head: &Head, job: &JobSpec) {
        if !job.task.size.fits(&self.largest) || self.is_outgrown(&head.task) {
            self.park_impossible(pass, head, job);
            return;
        }
        let need = self.need(&head.task, job);
        let want = Want { head, job, need };
        let home = view.config.shards.get(view.shard).map(|s| &s.domain);
        let out = home.is_none_or(|d| !view.config.in_service(d));
        let permitted = home.is_some_and(|d| super::handoff::permits(job, d));
        if out || !permitted {
            let cause = if out {
                Cause::DomainOut
            } else {
                Cause::RoomElsewhere
            };
            let facts = need_and_free(&need, &Resources::ZERO);
            self.elsewhere(view, pass, &want, (Span::ZERO, cause), facts);
            return;
        }
        if !view.can_start {
            // The owner knows why and records it.
            self.queue.block(&head.task.job);
            return;
        }
        let left = self.quota_left(&job.team);
        if !need.fits(&left) {
            let facts = need_and_quota(&need, &left);
            let why = (want.patience(PATIENCE_QUOTA), Cause::QuotaExhausted);
            self.elsewhere(view, pass, &want, why, facts);
            return;
        }
        self.place(view, pass, &want);
    }

    fn place(&mut self, view: &ShardView<'_>, pass: &mut Pass, want: &Want<'_>) {
        let Want { head, job, need } = *want;
        let known_full = !want.is_urgent() && pass.full.iter().any(|f| f.fits(&need));
        let found = if known_full {
            Err(NoPick::NoRoom)
        } else {
            let salt = self.salt();
            let placing = Placing::new(self, view.now, (&head.task, job), head.since, need);
            pick(&self.index, &Request { need, salt }, |w| {
                self.outlook(&placing, w)
            })
        };
        match found {
            Ok(picked) => self.assign(view, pass, want, picked),
            Err(reason) => self.no_room(view, pass, want, reason),
        }
    }

    fn assign(&mut self, view: &ShardView<'_>, pass: &mut Pass, want: &Want<'_>, picked: Pick) {
        let Want { head, job, need } = *want;
        let Some(worker) = self
            .workers
            .get_index(picked.worker)
            .map(|(n, _)| n.clone())
        else {
            return;
        };
        let mut facts = need_and_free(&need, &self.index.free(picked.worker));
        facts.push(count("workers-compared", picked.compared));
        facts.push(permille("expected-slowdown", picked.slowdown));
        facts.push(span("waited", view.now.since(head.since)));
        let placing = Placing::new(self, view.now, (&head.task, job), head.since, need);
        self.index.take(picked.worker, &need);
        self.remember(view, &placing, picked.worker);
        self.queue.started(view.now, head);
        self.forget_queued(&head.task);
        let choice = Choice::Assign {
            task: head.task.clone(),
            worker,
            limit: need,
        };
        pass.decisions
            .push(decision(choice, Cause::Scheduled, facts));
    }

    fn no_room(&mut self, view: &ShardView<'_>, pass: &mut Pass, want: &Want<'_>, reason: NoPick) {
        let Want { head, job, need } = *want;
        if want.is_urgent() && self.waits_for_room(view.now, &head.task) {
            self.set_aside(pass, head);
            return;
        }
        let cause = match reason {
            NoPick::NoRoom => Cause::NoCapacity,
            NoPick::RuledOut => Cause::InterferenceExpected,
        };
        let mut facts = need_and_free(&need, &self.index.largest());
        facts.push(count("queued-of-job", self.queue.waiting(&job.name)));
        if want.is_urgent() {
            if !self.hand_off(view, pass, want, cause, &facts) && !self.preempt(view, pass, want) {
                self.delay(pass, head, cause, facts);
            }
            self.set_aside(pass, head);
            return;
        }
        if reason == NoPick::NoRoom {
            pass.full.push(need);
        }
        if view.now.since(head.since) >= STARVING {
            self.hold_for_starving(view.now, head, &need);
        }
        let why = (want.patience(PATIENCE_ROOM), cause);
        self.elsewhere(view, pass, want, why, facts);
    }

    /// Hands a task off after some patience, or delays its job.
    fn elsewhere(
        &mut self,
        view: &ShardView<'_>,
        pass: &mut Pass,
        want: &Want<'_>,
        (patience, cause): (Span, Cause),
        facts: Vec<Fact>,
    ) {
        let waited = view.now.since(want.head.since);
        let task = view.state.tasks.get(&want.head.task);
        let attempt = task.map_or(Attempt(0), |task| task.attempt);
        let patience = lengthened(patience, attempt);
        if waited >= patience && self.hand_off(view, pass, want, cause, &facts) {
            return;
        }
        self.delay(pass, want.head, cause, facts);
        self.queue.block(&want.head.task.job);
    }

    /// Takes an urgent task out of the order until the end of the pass, so that
    /// others of its job are looked at too.
    fn set_aside(&mut self, pass: &mut Pass, head: &Head) {
        if self.queue.remove(&head.task) {
            pass.aside.push(head.clone());
        }
    }

    /// Records a delay once for each task and cause.
    fn delay(&mut self, pass: &mut Pass, head: &Head, cause: Cause, facts: Vec<Fact>) {
        if self.delayed.insert(head.task.clone(), cause) == Some(cause) {
            return;
        }
        let choice = Choice::Delay {
            task: head.task.clone(),
        };
        pass.decisions.push(decision(choice, cause, facts));
    }

    /// What to reserve for a task: its class's reservation, or twice the limit
    /// that it exceeded, but no more than any worker has.
    fn need(&self, task: &TaskId, job: &JobSpec) -> Resources {
        let reserved = self.sizes.reservation(&job.task);
        let doubled = self.doubled.get(task).copied().unwrap_or_default();
        let wanted = reserved.max(&Resources {
            memory: doubled.memory,
            ..Resources::ZERO
        });
        quota::min(&wanted, &self.largest)
    }

    /// Whether a task exceeded a limit that can't be doubled any more.
    fn is_outgrown(&self, task: &TaskId) -> bool {
        self.doubled
            .get(task)
            .is_some_and(|d| d.memory.0 / 2 >= self.largest.memory.0)
    }

    fn park_impossible(&mut self, pass: &mut Pass, head: &Head, job: &JobSpec) {
        self.queue.block(&head.task.job);
        if !pass.parked.insert(job.name.clone()) {
            return;
        }
        let (need, cause) = match self.doubled.get(&head.task) {
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
        let facts = super::facts::against(names, &need, &self.largest);
        let choice = Choice::Park {
            job: job.name.clone(),
        };
        pass.decisions.push(decision(choice, cause, facts));
    }

    /// Keeps the room of the worker with the most of it for a starving task, one
    /// at a time: otherwise small tasks would always take what becomes free.
    fn hold_for_starving(&mut self, now: Time, head: &Head, need: &Resources) {
        self.holds.retain(|_, (_, until)| now < *until);
        if !self.holds.is_empty() {
            return;
        }
        let fits = |w: &usize| self.index.is_open(*w) && need.fits(&self.index.usable(*w));
        let most = (0..self.index.len())
            .filter(fits)
            .max_by_key(|w| self.index.free(*w).memory);
        if let Some(worker) = most {
            self.hold(worker, &head.task, now + STARVING_HOLD);
        }
    }
}
