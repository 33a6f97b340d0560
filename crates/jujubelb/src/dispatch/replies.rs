//! Workers' answers to orders.

use serde::{Deserialize, Serialize};

use super::Dispatcher;
use super::job_spec::{Run, TaskKey};
use super::worker::{CLOCK_MARGIN, RunPhase};
use crate::model::{Span, Time, WorkerName, WorkerTime};

/// Reason why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fence,
    /// This run or a later one of the task has been stopped or has ended already.
    Old,
    /// The order arrived after its deadline.
    Late,
    /// The worker has too little free capacity.
    Room,
    /// The ticket of the policy service is missing or not valid.
    Ticket,
    /// A reason that this version does not know.
    Unknown,
}

/// Result of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartReply {
    /// The run has started.
    Started,
    /// The worker refused the order; nothing was started.
    Refused(Refusal),
    /// The worker is unhealthy or has restarted; nothing was started.
    Unhealthy,
    /// The worker could not parse the order; nothing was started.
    Malformed,
    /// The order was not sent; nothing was started.
    NotSent,
    /// No answer. The order may have been executed or may still be.
    NoAnswer,
}

/// Answer to a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAnswer {
    /// Result of the order.
    pub reply: StartReply,
    /// Reading of the worker's clock; `None` if there is no answer or it does not tell.
    pub clock: Option<WorkerTime>,
}

impl From<StartReply> for StartAnswer {
    fn from(reply: StartReply) -> Self {
        let clock = None;
        Self { reply, clock }
    }
}

/// Result of a stop order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReply {
    /// The run is being stopped, or will never start.
    Stopped,
    /// The worker has seen a higher fencing token, and ignored the order.
    Fenced,
    /// No answer; the order has to be repeated.
    NoAnswer,
}

/// Pause before the next start on a worker that refused one for lack of capacity. By then
/// a poll has shown what it runs.
const NO_CAPACITY_PAUSE: Span = Span::from_millis(150);

/// Pause before the next start on a worker that cannot execute orders.
const UNHEALTHY_PAUSE: Span = Span::from_millis(700);

impl Dispatcher {
    /// Processes the answer to a start order.
    pub fn start_answered(
        &mut self,
        name: &WorkerName,
        task: TaskKey,
        run: Run,
        answer: StartAnswer,
        now: Time,
    ) {
        let StartAnswer { reply, clock } = answer;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(tracked) = worker.runs.get_mut(&task).filter(|r| r.run == run) else {
            // The run has completed or was given up before this answer arrived.
            return;
        };
        // The clock of a new incarnation is unrelated to the former one.
        let is_other = clock.is_some_and(|c| c + CLOCK_MARGIN < tracked.order_clock);
        if is_other {
            log::warn!(task:% = task, run:% = run, worker:% = name, reply:? = reply, clock:? = clock, expected:? = tracked.order_clock; "worker has restarted: its clock is behind");
            worker.restart_suspected = Some(now);
        }
        // The incarnation that has started the run may be one that no poll has shown. It may have
        // other labels and capacity, and its lease has nothing to do with that of the former one.
        let is_misplaced = is_other || tracked.since < worker.answering_since;
        let pause = match reply {
            StartReply::Started if is_misplaced && tracked.phase == RunPhase::Starting => {
                log::warn!(task:% = task, run:% = run, worker:% = name; "run started by an incarnation that no poll has shown; stopping it");
                tracked.phase = RunPhase::Unsure;
                worker.unanswered = now;
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.started = true;
                }
                return;
            }
            StartReply::Started => {
                if tracked.phase == RunPhase::Starting {
                    tracked.phase = RunPhase::Running;
                    tracked.confirmed = now;
                }
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.started = true;
                    job.record_run(task);
                }
                return;
            }
            StartReply::NoAnswer => {
                if tracked.phase == RunPhase::Starting {
                    log::warn!(task:% = task, run:% = run, worker:% = name, age:% = now.since(tracked.since); "start order not answered; the run may exist");
                    tracked.phase = RunPhase::Unsure;
                }
                worker.restart_suspected = Some(now);
                worker.unanswered = now;
                worker.paused_until = now + UNHEALTHY_PAUSE;
                return;
            }
            StartReply::Refused(Refusal::Fence) => {
                log::warn!(worker:% = name, token = self.token; "worker has seen a higher token; this term is over");
                self.deposed = true;
                return;
            }
            StartReply::Refused(Refusal::Room) => NO_CAPACITY_PAUSE,
            StartReply::Refused(_) => Span::ZERO,
            StartReply::Unhealthy | StartReply::Malformed | StartReply::NotSent => UNHEALTHY_PAUSE,
        };
        log::info!(task:% = task, run:% = run, worker:% = name, reply:? = reply; "start order not executed");
        if reply == StartReply::Refused(Refusal::Ticket)
            && let Some(step_tickets) = self.step_tickets.get_mut(&task.step)
        {
            step_tickets.remove(name);
        }
        if tracked.phase != RunPhase::Starting {
            return;
        }
        worker.paused_until = worker.paused_until.max(now + pause);
        worker.runs.shift_remove(&task);
        worker.update_load();
        self.release(task);
        if let Some(task) = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|j| j.task_mut(task))
            && reply == StartReply::Malformed
        {
            task.not_before = now + UNHEALTHY_PAUSE;
        }
    }

    /// Processes the result of a stop order that was planned at `planned`.
    pub fn stop_answered(
        &mut self,
        name: &WorkerName,
        task: TaskKey,
        run: Run,
        reply: StopReply,
        planned: Time,
        now: Time,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(tracked) = worker.runs.get_mut(&task).filter(|r| r.run == run) {
            tracked.stop_pending = false;
            // An earlier answer may be of an earlier incarnation, and then does not bind this one.
            if reply == StopReply::Stopped && planned >= worker.answering_since {
                if tracked.phase == RunPhase::Unsure && tracked.stop_confirmed.is_none() {
                    log::info!(task:% = task, run:% = run, worker:% = name, age:% = now.since(tracked.since); "stop of an unanswered start confirmed");
                }
                // The worker refuses the run from the first confirmation on. Were each repeated
                // stop to replace its time, a poll that waits for longer than the stop is
                // repeated would never have been sent after it.
                tracked.stop_confirmed.get_or_insert(now);
            }
        }
        match reply {
            StopReply::Stopped => {}
            StopReply::Fenced => {
                log::warn!(worker:% = name, token = self.token; "worker has seen a higher token; this term is over");
                self.deposed = true;
            }
            StopReply::NoAnswer => {
                log::warn!(task:% = task, run:% = run, worker:% = name; "stop order not answered; it will be repeated");
            }
        }
    }

    /// Processes the answer to a pace order. One without an answer, or that the worker has not
    /// accepted, is repeated, as is the present one if an earlier one was answered after it.
    pub fn pace_answered(
        &mut self,
        name: &WorkerName,
        task: TaskKey,
        run: Run,
        percent: u32,
        accepted: bool,
    ) {
        let worker = self.workers.get_mut(name);
        let tracked = worker.and_then(|w| w.runs.get_mut(&task));
        if let Some(tracked) = tracked.filter(|r| r.run == run) {
            tracked.worker_pace = accepted.then_some(percent);
        }
    }

    /// Whether a start order that has waited may still be sent: nothing shows that its worker
    /// has restarted since the order was planned, neither a call without an answer nor the entry
    /// in the store. A new incarnation may have other labels and capacity, and the deadline of the
    /// order means nothing on its clock.
    pub fn may_send_start(&self, name: &WorkerName, task: TaskKey, run: Run) -> bool {
        self.workers.get(name).is_some_and(|worker| {
            let tracked = worker.runs.get(&task).filter(|r| r.run == run);
            worker.is_answering()
                && worker.is_report_current()
                && worker.is_admitted()
                && tracked.is_some_and(|r| r.since >= worker.answering_since)
        })
    }

    /// Deadline of a start order that is sent now, on the worker's clock. `clock` is the present
    /// reading, and `last` that at which the term was last known to be the newest.
    pub(super) fn start_deadline(&self, clock: WorkerTime, last: WorkerTime) -> WorkerTime {
        let lease = self.bounds.max_lease;
        (clock + START_VALIDITY.min(lease)).min(last + lease)
    }
}

/// Whether a start order that was planned at `planned` must not be sent any more, since the
/// process was paused or the worker was busy for too long. The deadline in the order has the
/// same effect, except on a worker that has restarted in the meantime: its clock is
/// another one and it has seen no token.
pub fn is_start_overdue(planned: Time, now: Time) -> bool {
    now.since(planned) > START_VALIDITY
}

/// How long a start order stays valid. Short, because a task whose start got no answer
/// cannot start elsewhere before. Polls extend the lease of the run well before it ends.
const START_VALIDITY: Span = Span::from_millis(2_500);
