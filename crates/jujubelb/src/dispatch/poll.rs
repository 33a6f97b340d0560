//! Polls of workers. A poll lists running tasks and completions, and extends the worker's
//! lease.

use std::net::SocketAddr;

use arcstr::ArcStr;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Dispatcher;
use super::job::TaskState;
use super::job_spec::{Run, TaskKey};
use super::worker::{Admission, Incarnation, RunPhase, TrackedRun, Worker};
use crate::model::{Resources, Span, Time, WorkerName, WorkerTime};

/// How a run ended, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum RunOutcome {
    /// The task succeeded.
    Done,
    /// The run failed, by a fault of the task or of the worker.
    Failed,
    /// A stop order ended it.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunStatus {
    /// Task that the run belongs to.
    pub task: TaskKey,
    /// Number of the run.
    pub run: Run,
    /// Last checkpoint of the run.
    pub checkpoint: Option<ArcStr>,
    /// Progress in percent; for a long-running task, the share of it that is in operation.
    pub percent: u32,
    /// Tail latency in milliseconds for a serving task, otherwise processor time in use in
    /// millicores.
    pub usage: u64,
}

/// A completed run that a worker lists until the completion is acknowledged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunCompletion {
    /// Sequence number among the completions of the worker's incarnation, from 1.
    pub sequence: u64,
    /// Task that the run belongs to.
    pub task: TaskKey,
    /// Number of the run.
    pub run: Run,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Last checkpoint of the run.
    pub checkpoint: Option<ArcStr>,
}

/// Parameters of a poll.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Address of the worker.
    pub address: SocketAddr,
    /// New lease deadline on the worker's clock; `None` until the clock is known, after a poll
    /// that was not answered, and once the leader's grace period is over.
    pub lease_deadline: Option<WorkerTime>,
    /// Highest sequence number of a completion that the worker may forget.
    pub acknowledged: u64,
    /// How long the worker may delay the answer while no run completes.
    pub wait: Span,
    /// Whether the next write changes what the poll says: completions have been listed that
    /// cannot be acknowledged yet, because their effects are not durable, or the token has to
    /// be raised for the worker. The worker answers such a poll immediately.
    pub pending_ack: bool,
    /// Latest lease deadline before this poll, restored if the poll was not sent.
    pub(crate) previous_deadline: WorkerTime,
}

#[cfg(test)]
impl PollRequest {
    /// A poll that acknowledges nothing.
    pub(crate) fn new(address: SocketAddr, lease: Option<WorkerTime>, wait: Span) -> Self {
        Self {
            address,
            lease_deadline: lease,
            acknowledged: 0,
            wait,
            pending_ack: false,
            previous_deadline: WorkerTime::ZERO,
        }
    }
}

/// Answer to a poll.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PollReply {
    /// Incarnation of the worker; `None` if it does not report one.
    pub incarnation: Option<Incarnation>,
    /// Reading of the worker's clock.
    pub clock: WorkerTime,
    /// Current runs.
    pub running: Vec<RunStatus>,
    /// Completions that have not been acknowledged.
    pub finished: Vec<RunCompletion>,
}

/// Maximum number of completions in an answer. If an answer has that many, later
/// completions may be missing from it.
pub(super) const MAX_COMPLETIONS_PER_ANSWER: usize = 500;

/// Wait time of an ordinary poll. A completion is answered immediately, so this bounds only
/// the age of the status of running tasks.
const POLL_WAIT: Span = Span::from_millis(1_500);

/// Wait time of a poll of a worker with both serving and best-effort tasks, whose
/// interference changes within seconds, or with a run on probation, which ends soon.
const BRIEF_POLL_WAIT: Span = Span::from_millis(350);

/// How long a run of an unknown job may go on before it is stopped.
const UNKNOWN_RUN_GRACE: Span = Span::from_secs(5);

impl Dispatcher {
    /// Parameters of the next poll of a worker; `None` once the worker has been removed.
    pub fn poll(&mut self, name: &WorkerName, now: Time) -> Option<PollRequest> {
        let authority = self.authority;
        let worker = self.workers.get_mut(name)?;
        let lease = self.bounds.max_lease;
        let deadline = worker.clock_at(authority).map(|clock| clock + lease);
        let is_ahead = |d: &WorkerTime| worker.min_clock(now).is_some_and(|clock| *d > clock);
        let deadline = deadline.filter(|d| worker.is_answering() && is_ahead(d));
        let previous_deadline = worker.lease_deadline;
        if let Some(deadline) = deadline {
            worker.lease_deadline = worker.lease_deadline.max(deadline);
        }
        let mixed = worker.load.serving_tasks > 0 && worker.load.best_effort_tasks > 0;
        let brief = mixed || worker.load.suspects > 0;
        Some(PollRequest {
            address: worker.report.address,
            lease_deadline: deadline,
            // A worker that has restarted numbers its completions from 1 again.
            acknowledged: match worker.is_answering() && !worker.has_newer_report() {
                true => worker.acknowledged,
                false => 0,
            },
            wait: match (worker.is_answering() && worker.is_admitted(), brief) {
                // After a call without an answer this poll carries no lease, so a wait would
                // delay the next one that does. Nothing starts before a worker is admitted.
                (false, _) => Span::ZERO,
                (true, true) => BRIEF_POLL_WAIT,
                (true, false) => POLL_WAIT,
            },
            pending_ack: worker.processed > worker.acknowledged
                || (worker.fenced && worker.admission == Admission::AwaitsToken),
            previous_deadline,
        })
    }

    /// Records that a poll was not answered. `unsent` says that it certainly did not reach
    /// the worker.
    pub fn poll_failed(
        &mut self,
        name: &WorkerName,
        request: &PollRequest,
        unsent: bool,
        now: Time,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let repeated = !worker.reachable;
        worker.reachable = false;
        if !unsent && request.lease_deadline.is_some() {
            worker.unanswered = now;
        }
        if unsent && request.lease_deadline == Some(worker.lease_deadline) {
            worker.lease_deadline = request.previous_deadline.max(worker.start_deadline);
        }
        // The first poll after a crash fails with the connection, the next one is refused.
        if (unsent && repeated) || !worker.listed {
            self.assume_crash(name);
        }
    }

    /// Processes the answer to a poll that was sent at `sent`.
    pub fn poll_answered(&mut self, name: &WorkerName, sent: Time, reply: &PollReply, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.clock_reading = Some((reply.clock, now));
        worker.last_answer = now;
        worker.reachable = true;
        worker.replaced = false;
        worker.restart_suspected = worker.restart_suspected.filter(|since| sent <= *since);
        worker.keeps_completions = !reply.finished.is_empty();
        worker.lease_deadline = worker.lease_deadline.max(reply.clock);
        let first = !worker.fenced;
        if first {
            worker.fenced = true;
            self.raise_needed |= worker.admission == Admission::AwaitsToken;
            self.roster_dirty |= worker.roster_address != Some(worker.report.address);
            worker.answering_since = now;
            // What earlier terms have granted on the right clock is no longer.
            worker.count_outdated_calls(reply.clock, self.lease_cap);
            log::info!(worker:% = name, runs = reply.running.len(), token = self.token, clock:? = reply.clock, lease:% = worker.longest_lease_left(); "worker fenced");
        }
        // Compared with the last answer and not with the report, which may already be that
        // of the new incarnation.
        let restarted = reply.incarnation.is_some()
            && worker.incarnation.is_some()
            && reply.incarnation != worker.incarnation;
        if !restarted
            && let Admission::AwaitsPoll(raised) = worker.admission
            && sent > raised
        {
            worker.admission = Admission::Admitted;
            worker.count_outdated_calls(reply.clock, self.lease_cap);
            log::info!(worker:% = name, age:% = now.since(worker.answering_since), token = self.token, clock:? = reply.clock, lease:% = worker.longest_lease_left(); "worker admitted: earlier calls are ruled out");
        }
        if reply.incarnation.is_some() {
            worker.incarnation = reply.incarnation;
        }
        if sent >= worker.reported {
            worker.report_outdated = !worker.is_report_current();
        }
        if first || restarted {
            let arrival = self.next_arrival();
            if let Some(worker) = self.workers.get_mut(name) {
                worker.arrival = arrival;
            }
        }
        self.settle_assumed(name, reply);
        if restarted {
            self.count_crash(name, sent, reply);
            self.worker_restarted(name, reply.clock, sent, now);
        }
        let seen = self.workers.get(name).map_or(0, |w| w.processed);
        let mut last = seen;
        for completion in reply.finished.iter().filter(|e| e.sequence > seen) {
            last = last.max(completion.sequence);
            self.run_completed(name, completion, now);
        }
        for row in &reply.running {
            self.run_listed(name, row, now);
        }
        let is_complete = reply.finished.len() < MAX_COMPLETIONS_PER_ANSWER;
        if is_complete {
            self.drop_missing(name, sent, reply, now);
        }
        let clean = self.dirty_jobs.is_empty();
        let changes = self.change_count;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.fully_listed |= is_complete;
            worker.record_processed(last, changes);
            if clean {
                worker.acknowledge(changes);
            }
            worker.update_load();
        }
        self.learn_headroom(name, now);
    }

    /// Records that another worker has answered at a worker's address. The process that had the
    /// address has ended, with all that ran on it, and no order can reach it any more.
    pub fn worker_replaced(&mut self, name: &WorkerName, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.reachable = false;
        let first = !std::mem::replace(&mut worker.replaced, true);
        let ended = worker.runs.iter();
        // The answer to a start that is on its way tells what became of it.
        let ended = ended.filter(|(_, r)| r.phase != RunPhase::Starting);
        let ended: Vec<(TaskKey, Run)> = ended.map(|(task, r)| (*task, r.run)).collect();
        if first {
            log::warn!(worker:% = name, runs = ended.len(), fenced = worker.fenced; "another worker has the address of the worker, whose process has ended");
        }
        for (task, run) in ended {
            self.count_loss(name, task, run);
            self.run_lost(name, task, run, "another worker has the address", now);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.update_load();
        }
    }

    /// Records that a worker has refused a poll because it has seen a higher token.
    pub fn poll_fenced(&mut self, name: &WorkerName) {
        log::warn!(worker:% = name, token = self.token; "worker has seen a higher token; this term is over");
        self.deposed = true;
    }

    /// Resets the state of a restarted worker, whose earlier runs have all ended. Runs that
    /// were confirmed after the answered poll was sent may belong to the new incarnation;
    /// the next poll tells.
    fn worker_restarted(&mut self, name: &WorkerName, clock: WorkerTime, sent: Time, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.admission = Admission::AwaitsToken;
        self.raise_needed = true;
        worker.acknowledged = 0;
        worker.processed = 0;
        worker.unacknowledged.clear();
        worker.lease_deadline = clock;
        worker.start_deadline = WorkerTime::ZERO;
        worker.count_outdated_calls(clock, self.lease_cap);
        log::warn!(worker:% = name, runs = worker.runs.len(), clock:? = clock, lease:% = worker.longest_lease_left(); "worker has restarted");
        worker.answering_since = now;
        worker.health = Default::default();
        let lost: Vec<(TaskKey, Run)> = worker
            .runs
            .iter()
            .filter(|(_, r)| r.phase == RunPhase::Running && r.confirmed < sent)
            .map(|(k, r)| (*k, r.run))
            .collect();
        for tracked in worker.runs.values_mut() {
            // An order still in transit may reach the new incarnation.
            tracked.stop_sent = None;
            tracked.stop_pending = false;
            tracked.stop_confirmed = None;
            tracked.deadline = WorkerTime::from_micros(u64::MAX);
        }
        for (task, run) in lost {
            self.run_lost(name, task, run, "the worker has restarted", now);
        }
    }

    /// Gives up a run that has certainly ended, or can no longer start, without a reported
    /// completion.
    pub(super) fn run_lost(
        &mut self,
        name: &WorkerName,
        task: TaskKey,
        run: Run,
        reason: &str,
        now: Time,
    ) {
        let tracked = self
            .workers
            .get_mut(name)
            .and_then(|w| w.runs.shift_remove(&task));
        let age = tracked.map_or(Span::ZERO, |r| now.since(r.since));
        log::warn!(task:% = task, run:% = run, worker:% = name, age:% = age, reason = reason; "run lost");
        // The run was not seen to end: a newer leader may have reached the worker and know more.
        let arrival = self.next_arrival();
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.arrival = arrival;
        }
        self.release(task);
    }

    /// Processes a run that a worker lists as running.
    fn run_listed(&mut self, name: &WorkerName, row: &RunStatus, now: Time) {
        let known = self
            .workers
            .get(name)
            .and_then(|w| w.runs.get(&row.task))
            .map(|r| r.run);
        if known.is_none_or(|run| run < row.run) {
            self.adopt(name, row, now);
        }
        let job = self.jobs.get_mut(&row.task.step.job);
        let unknown = job.is_none();
        if let Some(job) = job
            && let Some(saved) = &row.checkpoint
        {
            job.record_checkpoint(row.task, row.run, saved);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(tracked) = worker.runs.get_mut(&row.task).filter(|r| r.run == row.run) else {
            return;
        };
        if tracked.phase != RunPhase::Running {
            if tracked.phase == RunPhase::Unsure {
                log::info!(task:% = row.task, run:% = row.run, worker:% = name, age:% = now.since(tracked.since); "run of an unanswered start found");
            }
            tracked.phase = RunPhase::Running;
            tracked.confirmed = now;
            if let Some(job) = self.jobs.get_mut(&row.task.step.job) {
                job.record_run(row.task);
            }
        }
        tracked.last_listed = now;
        if unknown && now.since(tracked.since) > UNKNOWN_RUN_GRACE && !tracked.must_stop {
            log::warn!(task:% = row.task, worker:% = name; "stopping a run of an unknown job");
            tracked.must_stop = true;
        }
        let progressed = tracked.percent != row.percent;
        // The first value may be the progress of the checkpoint that the run resumed from.
        let is_first_value = tracked.last_progress == tracked.since;
        if progressed {
            tracked.last_progress = now;
        }
        tracked.percent = row.percent;
        tracked.usage = row.usage;
        let (began, long_running) = (tracked.since, tracked.long_running);
        let recovered = match (progressed, long_running) {
            (false, _) => false,
            // A long-running task never succeeds; its readiness is the evidence.
            (true, true) => row.percent == 100 && worker.health.record_success(began),
            (true, false) => !is_first_value && worker.health.record_progress(began),
        };
        if recovered {
            log::info!(worker:% = name, task:% = row.task; "worker considered healthy again");
        }
        self.clear_suspect(name, row.task);
    }

    /// Starts to track a run that an earlier term has started.
    fn adopt(&mut self, name: &WorkerName, row: &RunStatus, now: Time) {
        self.begin_reported(row.task.step, now);
        let job = self.jobs.get_mut(&row.task.step.job);
        let live = job.as_ref().is_none_or(|j| j.outcome.is_none());
        let record = job.as_ref().map(|j| j.record.clone());
        let step = record
            .as_ref()
            .and_then(|r| r.spec.steps.get(usize::from(row.task.step.step)));
        let mut must_stop = !live;
        if let Some(job) = job {
            job.started = true;
            match job.task_mut(row.task) {
                Some(task) => {
                    let is_waiting = task.state == TaskState::Waiting;
                    must_stop |= !is_waiting;
                    task.shared |= !is_waiting;
                    task.run = task.run.max(row.run);
                    task.waiting_since = None;
                    if is_waiting && live {
                        self.set_state(row.task, TaskState::Placed(name.clone()));
                    }
                }
                None => must_stop = true,
            }
        }
        log::info!(task:% = row.task, run:% = row.run, worker:% = name, unwanted = must_stop; "run adopted");
        let isolation = self.isolation(row.task);
        let tracked = TrackedRun {
            run: row.run,
            phase: RunPhase::Running,
            size: step.map_or(Resources::ZERO, |s| s.size),
            best_effort: step.is_some_and(|s| s.best_effort),
            long_running: step.is_some_and(|s| s.long_running),
            image: step.and_then(|s| s.image.clone()).unwrap_or_default(),
            target: step.and_then(|s| s.target),
            since: now,
            confirmed: now,
            last_listed: now,
            isolation,
            deadline: WorkerTime::ZERO,
            order_clock: WorkerTime::ZERO,
            stop_sent: None,
            stop_pending: false,
            stop_confirmed: None,
            must_stop,
            starved: false,
            percent: row.percent,
            last_progress: now,
            usage: row.usage,
            pace: 100,
            previous_pace: 100,
            pace_changed: Time::ZERO,
            worker_pace: None,
            above_target: None,
        };
        if let Some(worker) = self.workers.get_mut(name) {
            worker.runs.insert(row.task, tracked);
        }
    }

    /// Gives up runs that a complete answer does not list and that can no longer start.
    fn drop_missing(&mut self, name: &WorkerName, sent: Time, reply: &PollReply, now: Time) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let listed = |task: &TaskKey, tracked: &TrackedRun| {
            reply
                .running
                .iter()
                .any(|r| r.task == *task && r.run == tracked.run)
        };
        let mut lost = Vec::new();
        for (task, tracked) in worker.runs.iter().filter(|(t, r)| !listed(t, r)) {
            let reason = match tracked.phase {
                RunPhase::Running if tracked.confirmed < sent => {
                    "the worker no longer lists the run"
                }
                RunPhase::Unsure if tracked.stop_confirmed.is_some_and(|at| at < sent) => {
                    "the run was stopped before it could start"
                }
                RunPhase::Unsure if reply.clock > tracked.deadline => "the start order has expired",
                _ => continue,
            };
            lost.push((*task, tracked.run, reason));
        }
        for (task, run, reason) in lost {
            self.run_lost(name, task, run, reason, now);
        }
    }
}

impl Worker {
    /// Whether the worker can be removed: it is not listed, has no runs, and keeps no
    /// completion that it could still forget.
    ///
    /// Every order that may still take effect has an entry in `runs`, so nothing can run on
    /// a worker without any. Such a worker must not stay in the roster, because a new leader
    /// waits for every roster worker that it cannot reach.
    pub(super) fn can_be_forgotten(&self, inherited_resolved: bool) -> bool {
        !self.listed
            && self.runs.is_empty()
            && !(self.reachable && self.keeps_completions)
            && (self.fully_listed || self.replaced || inherited_resolved)
    }
}
