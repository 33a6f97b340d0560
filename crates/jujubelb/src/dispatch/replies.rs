//! Answers to orders.

use super::Dispatcher;
use super::job_spec::{Run, TaskKey};
use super::worker::Phase;
use crate::model::{Span, Time, WorkerName, WorkerTime};

/// Why a worker refused a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Refusal {
    /// It has seen a higher token.
    Fence,
    /// It has stopped or ended this run or a later one.
    Old,
    /// The deadline had passed.
    Late,
    /// The task doesn't fit.
    Room,
    /// The policy's ticket is missing or doesn't hold.
    Ticket,
    /// A reason that this program doesn't know.
    Unknown,
}

/// Answer to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// It runs.
    Started,
    /// Refused; nothing was done.
    Refused(Refusal),
    /// The worker is unhealthy or another incarnation; nothing was done.
    Unhealthy,
    /// The worker can't read the order; nothing was done.
    Malformed,
    /// The order was not sent.
    NotSent,
    /// The order may have been executed or may still be.
    NoAnswer,
}

/// Answer to a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReply {
    /// The run is being stopped, or will never start.
    Stopped,
    /// The worker has seen a higher token.
    Fenced,
    /// Not known; to be repeated.
    NoAnswer,
}

/// Pause for a worker that refuses for want of room, until a look has told
/// what it holds.
const ROOM_PAUSE: Span = Span::from_millis(150);

/// Pause for a worker that can't take orders.
const UNHEALTHY_PAUSE: Span = Span::from_millis(700);

impl Dispatcher {
    /// Takes the answer to a start.
    pub fn start_answered(
        &mut self,
        name: &WorkerName,
        task: TaskKey,
        run: Run,
        reply: StartReply,
        now: Time,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(held) = worker.runs.get_mut(&task).filter(|h| h.run == run) else {
            // Its end was listed before this answer came, or it was given up.
            return;
        };
        let pause = match reply {
            StartReply::Started => {
                if held.phase == Phase::Starting {
                    held.phase = Phase::Running;
                    held.confirmed = now;
                }
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.started = true;
                }
                return;
            }
            StartReply::NoAnswer => {
                if held.phase == Phase::Starting {
                    log::warn!(task:% = task, run:% = run, worker:% = name, age:% = now.since(held.since); "start not answered; the run may exist");
                    held.phase = Phase::Unsure;
                }
                worker.paused = now + UNHEALTHY_PAUSE;
                return;
            }
            StartReply::Refused(Refusal::Fence) => {
                log::warn!(worker:% = name, token = self.term.token; "worker has seen a higher token; this term is over");
                self.deposed = true;
                return;
            }
            StartReply::Refused(Refusal::Room) => ROOM_PAUSE,
            StartReply::Refused(_) => Span::ZERO,
            StartReply::Unhealthy | StartReply::Malformed | StartReply::NotSent => UNHEALTHY_PAUSE,
        };
        log::info!(task:% = task, run:% = run, worker:% = name, reply:? = reply; "start refused");
        if reply == StartReply::Refused(Refusal::Ticket)
            && let Some(permits) = self.permits.get_mut(&task.step)
        {
            permits.refused(name);
        }
        if held.phase != Phase::Starting {
            return;
        }
        worker.paused = worker.paused.max(now + pause);
        worker.runs.shift_remove(&task);
        worker.sum_up();
        self.release(name, task, run);
        if let Some(task) = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|j| j.task_mut(task))
            && reply == StartReply::Malformed
        {
            task.after = now + UNHEALTHY_PAUSE;
        }
    }

    /// Takes the answer to a stop that was sent at `sent`.
    pub fn stop_answered(
        &mut self,
        name: &WorkerName,
        task: TaskKey,
        run: Run,
        reply: StopReply,
        now: Time,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        match reply {
            StopReply::Stopped => {
                if let Some(held) = worker.runs.get_mut(&task).filter(|h| h.run == run) {
                    held.stop_done = Some(now);
                }
            }
            StopReply::Fenced => {
                log::warn!(worker:% = name, token = self.term.token; "worker has seen a higher token; this term is over");
                self.deposed = true;
            }
            StopReply::NoAnswer => {
                log::warn!(task:% = task, run:% = run, worker:% = name; "stop not answered; it is repeated");
            }
        }
    }

    /// The deadline of a start that is sent now.
    pub(super) fn start_deadline(&self, clock: WorkerTime) -> WorkerTime {
        clock + START_LIFE.min(self.bounds.max_lease)
    }
}

/// How long a start may be on its way. Short, because until then the task
/// can't start elsewhere if no answer comes; looks extend the lease of what
/// runs well before.
const START_LIFE: Span = Span::from_millis(2_500);
