//! Looks at workers: what runs there, what has ended, and the lease that each
//! look extends.

use std::net::SocketAddr;

use arcstr::ArcStr;
use derive_more::Display;

use super::Dispatcher;
use super::job::TaskState;
use super::job_spec::{Run, TaskKey};
use super::worker::{Held, Incarnation, Phase, Worker};
use crate::model::{Resources, Span, Time, WorkerName, WorkerTime};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum RunOutcome {
    /// Well.
    Done,
    /// By a fault of its own or of the worker.
    Failed,
    /// By a stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't come.
    Alone,
}

/// A run in a worker's list.
#[derive(Debug, Clone, PartialEq)]
pub struct RunStatus {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: Run,
    /// Its last checkpoint.
    pub checkpoint: Option<ArcStr>,
    /// Progress, or share at work, in percent.
    pub percent: u32,
    /// Tail of the response times in milliseconds for a serving task, else
    /// processor time in use in millicores.
    pub usage: u64,
}

/// An end in a worker's list.
#[derive(Debug, Clone, PartialEq)]
pub struct RunCompletion {
    /// Its number in the worker's incarnation, from 1.
    pub sequence: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: Run,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Its last checkpoint.
    pub checkpoint: Option<ArcStr>,
}

/// What to ask of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct PollRequest {
    /// Where.
    pub address: SocketAddr,
    /// The lease to give; `None` before the worker's clock is known.
    pub lease_deadline: Option<WorkerTime>,
    /// Highest end to forget.
    pub acknowledged: u64,
    /// How long to wait for an end.
    pub wait: Span,
    /// Whether ends have been listed that can't be acknowledged yet.
    pub pending_ack: bool,
    /// The latest deadline before this look.
    before: WorkerTime,
}

/// A worker's answer to a look.
#[derive(Debug, Clone, PartialEq)]
pub struct PollReply {
    /// Its incarnation.
    pub incarnation: Option<Incarnation>,
    /// Its clock.
    pub clock: WorkerTime,
    /// What runs.
    pub running: Vec<RunStatus>,
    /// What has ended and isn't acknowledged.
    pub finished: Vec<RunCompletion>,
}

/// Longest list of ends in one answer; a full list may lack later ends.
const MOST_ENDS: usize = 500;

/// Wait of an ordinary look. An end is answered at once, so this bounds only
/// the age of what is known of tasks that go on.
const WAIT: Span = Span::from_millis(1_500);

/// Wait of a look where tasks that fill run beside tasks that serve. Their
/// interference changes within seconds.
const WATCHFUL_WAIT: Span = Span::from_millis(350);

/// How long a run of a job that isn't known may go on before it is stopped.
const STRANGER_GRACE: Span = Span::from_secs(5);

impl Dispatcher {
    /// The next look at a worker; `None` if it needs none any more.
    pub fn poll(&mut self, name: &WorkerName, now: Time) -> Option<PollRequest> {
        let worker = self.workers.get_mut(name)?;
        let lease = self.bounds.max_lease;
        let clock = worker.clock_now(now).filter(|_| worker.reached);
        let deadline = clock.map(|c| c + lease);
        let before = worker.lease;
        if let Some(deadline) = deadline {
            worker.lease = worker.lease.max(deadline);
        }
        let mixed = worker.load.serving > 0 && worker.load.fillers > 0;
        Some(PollRequest {
            address: worker.report.address,
            lease_deadline: deadline,
            acknowledged: worker.acknowledged,
            wait: match (worker.fenced, mixed) {
                (false, _) => Span::ZERO,
                (true, true) => WATCHFUL_WAIT,
                (true, false) => WAIT,
            },
            pending_ack: worker.seen > worker.acknowledged,
            before,
        })
    }

    /// Takes note that a look was not answered; `unsent` tells that it did not
    /// reach the worker.
    pub fn poll_failed(&mut self, name: &WorkerName, request: &PollRequest, unsent: bool) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.reached = false;
        if unsent && request.lease_deadline == Some(worker.lease) {
            worker.lease = request.before;
        }
    }

    /// Takes a worker's answer to a look that was sent at `sent`.
    pub fn poll_answered(&mut self, name: &WorkerName, sent: Time, reply: &PollReply, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.clock = Some((reply.clock, now));
        worker.answered = now;
        worker.reached = true;
        worker.lease = worker.lease.max(reply.clock);
        if !worker.fenced {
            log::info!(worker:% = name, runs = reply.running.len(), token = self.term.token; "worker fenced");
            worker.fenced = true;
            // Earlier terms may have given it the longest lease just now.
            worker.lease = reply.clock + self.bounds.max_lease;
        }
        let reborn = reply.incarnation.is_some()
            && worker.report.incarnation.is_some()
            && reply.incarnation != worker.report.incarnation;
        if reply.incarnation.is_some() {
            worker.report.incarnation = reply.incarnation;
        }
        if reborn {
            self.reborn(name, reply.clock, now);
        }
        let seen = self.workers.get(name).map_or(0, |w| w.seen);
        let mut last = seen;
        for end in reply.finished.iter().filter(|e| e.sequence > seen) {
            last = last.max(end.sequence);
            self.ended(name, end, now);
        }
        for row in &reply.running {
            self.runs(name, row, now);
        }
        if reply.finished.len() < MOST_ENDS {
            self.drop_missing(name, sent, reply, now);
        }
        let clean = self.dirty.is_empty();
        let changes = self.changes;
        if let Some(worker) = self.workers.get_mut(name) {
            if last > worker.seen {
                worker.seen = last;
                worker.pending = changes;
            }
            if clean {
                worker.acknowledged = worker.seen;
            }
            worker.sum_up();
        }
        self.learn_headroom(name, now);
    }

    /// Takes note that a worker has refused a look for a higher token.
    pub fn poll_fenced(&mut self, name: &WorkerName) {
        log::warn!(worker:% = name, token = self.term.token; "worker has seen a higher token; this term is over");
        self.deposed = true;
    }

    /// A new incarnation runs nothing of the one before.
    fn reborn(&mut self, name: &WorkerName, clock: WorkerTime, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        log::warn!(worker:% = name, runs = worker.runs.len(); "worker has restarted");
        worker.acknowledged = 0;
        worker.seen = 0;
        worker.pending = 0;
        // An order that is still on its way may have given it any lease.
        worker.lease = clock + self.bounds.max_lease;
        worker.health = Default::default();
        let lost: Vec<(TaskKey, Run)> = worker
            .runs
            .iter()
            .filter(|(_, h)| h.phase == Phase::Running)
            .map(|(k, h)| (*k, h.run))
            .collect();
        for held in worker.runs.values_mut() {
            // An order that is still on its way may reach the new incarnation.
            held.stop_sent = None;
            held.stop_done = None;
            held.deadline = WorkerTime::from_micros(u64::MAX);
        }
        for (task, run) in lost {
            self.lose(name, task, run, "its worker restarted", now);
        }
    }

    /// Takes note that a run has surely ended without an end in a list.
    pub(super) fn lose(
        &mut self,
        name: &WorkerName,
        task: TaskKey,
        run: Run,
        why: &str,
        now: Time,
    ) {
        let held = self
            .workers
            .get_mut(name)
            .and_then(|w| w.runs.shift_remove(&task));
        let age = held.map_or(Span::ZERO, |h| now.since(h.since));
        log::warn!(task:% = task, run:% = run, worker:% = name, age:% = age, reason = why; "run lost");
        self.release(name, task, run);
    }

    /// Takes in a run that a worker lists.
    fn runs(&mut self, name: &WorkerName, row: &RunStatus, now: Time) {
        let known = self
            .workers
            .get(name)
            .and_then(|w| w.runs.get(&row.task))
            .map(|h| h.run);
        if known.is_none_or(|run| run < row.run) {
            self.adopt(name, row, now);
        }
        let job = self.jobs.get_mut(&row.task.step.job);
        let missing = job.is_none();
        if let Some(task) = job.and_then(|j| j.task_mut(row.task))
            && row.checkpoint.is_some()
            && task.run == row.run
        {
            task.checkpoint.clone_from(&row.checkpoint);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(held) = worker.runs.get_mut(&row.task).filter(|h| h.run == row.run) else {
            return;
        };
        if held.phase != Phase::Running {
            held.phase = Phase::Running;
            held.confirmed = now;
        }
        if missing && now.since(held.since) > STRANGER_GRACE && !held.unwanted {
            log::warn!(task:% = row.task, worker:% = name; "stopping a run of a job that the store doesn't have");
            held.unwanted = true;
        }
        if held.percent != row.percent {
            held.progressed = now;
        }
        held.percent = row.percent;
        held.usage = row.usage;
    }

    /// Takes over a run that an earlier term has started.
    fn adopt(&mut self, name: &WorkerName, row: &RunStatus, now: Time) {
        let job = self.jobs.get_mut(&row.task.step.job);
        let live = job.as_ref().is_none_or(|j| j.outcome.is_none());
        let record = job.as_ref().map(|j| j.record.clone());
        let step = record
            .as_ref()
            .and_then(|r| r.spec.steps.get(usize::from(row.task.step.step)));
        let begun = record.as_ref().is_some_and(|r| {
            r.spec.schedule.is_some() && row.task.step.occurrence < r.spec.occurrences()
        });
        let mut unwanted = !live;
        if let Some(job) = job {
            job.started = true;
            if begun {
                // An earlier leader began it; this one may not have yet.
                job.begin(row.task.step.occurrence, now, None);
            }
            match job.task_mut(row.task) {
                Some(task) => {
                    let waits = task.state == TaskState::Waiting;
                    unwanted |= !waits;
                    task.run = task.run.max(row.run);
                    if waits && live {
                        self.set_state(row.task, TaskState::Placed(name.clone()));
                    }
                }
                None => unwanted = true,
            }
        }
        log::info!(task:% = row.task, run:% = row.run, worker:% = name, unwanted = unwanted; "run adopted");
        let held = Held {
            run: row.run,
            phase: Phase::Running,
            size: step.map_or(Resources::ZERO, |s| s.size),
            best_effort: step.is_some_and(|s| s.best_effort),
            image: step.and_then(|s| s.image.clone()).unwrap_or_default(),
            target: step.and_then(|s| s.target),
            since: now,
            confirmed: now,
            deadline: WorkerTime::ZERO,
            stop_sent: None,
            stop_done: None,
            unwanted,
            percent: row.percent,
            progressed: now,
            usage: row.usage,
            pace: 100,
            earlier: 100,
            paced: Time::ZERO,
            harmed: None,
        };
        if let Some(worker) = self.workers.get_mut(name) {
            worker.runs.insert(row.task, held);
        }
    }

    /// Drops what a complete answer doesn't list and can't start any more.
    fn drop_missing(&mut self, name: &WorkerName, sent: Time, reply: &PollReply, now: Time) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let listed = |task: &TaskKey, held: &Held| {
            reply
                .running
                .iter()
                .any(|r| r.task == *task && r.run == held.run)
        };
        let mut gone = Vec::new();
        for (task, held) in worker.runs.iter().filter(|(t, h)| !listed(t, h)) {
            let why = match held.phase {
                Phase::Running if held.confirmed < sent => "the worker no longer lists it",
                Phase::Unsure if held.stop_done.is_some_and(|at| at < sent) => {
                    "it was stopped before it could start"
                }
                Phase::Unsure if reply.clock > held.deadline => "its start came too late",
                _ => continue,
            };
            gone.push((*task, held.run, why));
        }
        for (task, run, why) in gone {
            self.lose(name, task, run, why, now);
        }
    }
}

impl Worker {
    /// Whether the worker is done with and may be forgotten.
    ///
    /// Every order that may still take effect is among its runs, so without any
    /// nothing can run there. It must not stay in the roster: a new leader waits
    /// for each worker of the roster that it can't reach.
    pub(super) fn is_spent(&self, settled: bool) -> bool {
        !self.listed && self.runs.is_empty() && (self.fenced || settled)
    }
}
