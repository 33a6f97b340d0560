//! Decides which worker runs each task of the accepted jobs.
//!
//! One process, the leader, holds a [`Dispatcher`]. It learns of jobs, workers
//! and the ends of runs through method calls, each with the present time, and
//! answers with orders for workers and writes for the store. It does no I/O.
//! `docs/platform.md` explains how runs stay unique when leaders change and
//! calls are lost.

mod commit;
mod completion;
mod health;
mod intake;
mod job;
mod job_spec;
mod pace;
mod placement;
mod plan;
mod poll;
mod progress;
mod rank;
mod replies;
#[cfg(test)]
mod tests;
mod tickets;
mod worker;

use std::sync::Arc;

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};

use crate::model::{DomainName, Span, Time, WallTime, WorkerName, WorkerTime};
use crate::place::headroom::Slopes;
use job::{Job, TaskState};
use pace::Headrooms;
use tickets::Permits;
use worker::Worker;

pub use commit::{Commit, InterferenceModel, Roster, RosterEntry};
pub use job_spec::{
    JobKey, JobRecord, JobSpec, JobSpecError, MAX_PAYLOAD_BYTES, MAX_TASKS_PER_STEP, QueueSettings,
    Run, Schedule, Step, StepKey, TaskKey,
};
pub use poll::{PollReply, PollRequest, RunCompletion, RunOutcome, RunStatus};
pub use progress::{JobOutcome, OccurrenceProgress, Progress, StepProgress, TaskProgress};
pub use replies::{Refusal, StartReply, StopReply};
pub use tickets::{TicketGrant, TicketRequest};
pub use worker::{Incarnation, WorkerReport};

/// Bounds of the deployment that the dispatcher works within.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest lease of what runs on a worker.
    pub max_lease: Span,
    /// Longest time that a stop takes.
    pub max_stop: Span,
    /// How early an occurrence may start.
    pub max_early_start: Span,
    /// How many times as long a task takes away from its data.
    pub remote_factor: f64,
}

/// The leader's term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Fencing token of all orders. Each later term has a higher one.
    pub token: u64,
    /// Number of terms before this one.
    pub number: u64,
    /// Whether the leader before has stopped for certain, so that it extends no
    /// leases any more.
    pub predecessor_stopped: bool,
}

/// Runs that one term may give to a task. Each term numbers from its own
/// multiple on, so that a new leader needs no record of the runs before.
const RUNS_PER_TERM: u64 = 10_000;

/// An order for a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Start a run.
    Start {
        /// The task.
        task: TaskKey,
        /// The run.
        run: Run,
        /// The job's payload.
        payload: ArcStr,
        /// The start has no effect after this time of the worker's clock.
        deadline: WorkerTime,
        /// Checkpoint to resume from.
        checkpoint: Option<ArcStr>,
        /// Ticket of the queue's policy service.
        ticket: Option<ArcStr>,
    },
    /// Stop a run, or make sure that it never starts.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: Run,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// The task.
        task: TaskKey,
        /// The run.
        run: Run,
        /// Share in percent.
        percent: u32,
    },
}

/// An order and the worker that it is for.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerOrder {
    /// The worker.
    pub worker: WorkerName,
    /// Where it takes orders.
    pub address: std::net::SocketAddr,
    /// The order.
    pub order: Order,
}

/// What callers are told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum JobStatus {
    /// Accepted; nothing has started.
    Queued,
    /// Something has started.
    Running,
    /// All tasks have ended well.
    Completed,
    /// A task has failed too often.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl From<JobOutcome> for JobStatus {
    fn from(outcome: JobOutcome) -> Self {
        match outcome {
            JobOutcome::Completed => Self::Completed,
            JobOutcome::Failed => Self::Failed,
            JobOutcome::Cancelled => Self::Cancelled,
        }
    }
}

/// Longest lease that is asked for. It bounds the time until the tasks of a lost
/// worker start elsewhere, and has to outlast a change of the leader, which
/// takes about 3 s.
const MAX_LEASE: Span = Span::from_secs(6);

/// How long an old leader may extend leases after its last renewal at the store.
pub const LEADER_GRACE: Span = Span::from_secs(12);

/// How long a new leader waits for workers of the roster that it can't reach,
/// on top of the lease: the old leader's grace, and a pause of its host, in
/// which its clock stands still.
const UNREACHABLE_WORKER_WAIT: Span = Span::from_secs(LEADER_GRACE.as_micros() / 1_000_000 + 4);

/// All decisions on jobs and workers of one leader's term.
#[derive(Debug)]
pub struct Dispatcher {
    term: Term,
    bounds: Bounds,
    /// When the leader before had certainly stopped, or else when this term began.
    started: Time,
    /// Earlier terms may have started tasks on workers of the roster.
    settled: bool,
    jobs: IndexMap<JobKey, Job>,
    workers: IndexMap<WorkerName, Worker>,
    /// Steps that may have tasks to start. A step that has none is dropped
    /// when it is next looked at.
    ready: IndexSet<StepKey>,
    /// Jobs with occurrences that haven't begun.
    scheduled: IndexSet<JobKey>,
    /// How much filling tasks take from serving ones, by their images.
    slopes: Slopes,
    /// What the users of serving jobs leave them.
    headrooms: Headrooms,
    /// When that last faded.
    faded: Time,
    /// When the last pass was made.
    latest: Time,
    /// When that was last written.
    modelled: Time,
    /// What policy services have said of steps.
    permits: IndexMap<StepKey, Permits>,
    /// Domains in which nothing may start.
    evacuated: IndexSet<DomainName>,
    /// Count of changes that have to become durable.
    changes: u64,
    /// Jobs with changes that are not durable, oldest first.
    dirty: IndexSet<JobKey>,
    /// Jobs that ended long ago.
    expired: IndexSet<JobKey>,
    /// Whether the durable roster differs from the workers in use.
    roster_dirty: bool,
    /// Set when an order was refused for a higher token.
    deposed: bool,
}

impl Dispatcher {
    /// A dispatcher for a new term. `roster` names the workers on which earlier
    /// terms may have started tasks, and `model` is what these have learned.
    pub fn new(
        term: Term,
        bounds: Bounds,
        roster: &Roster,
        model: InterferenceModel,
        now: Time,
    ) -> Self {
        let mut dispatcher = Self {
            term,
            bounds: Bounds {
                max_lease: bounds.max_lease.min(MAX_LEASE),
                ..bounds
            },
            started: now,
            settled: roster.workers.is_empty(),
            jobs: IndexMap::new(),
            workers: IndexMap::new(),
            ready: IndexSet::new(),
            scheduled: IndexSet::new(),
            slopes: model.0,
            headrooms: Headrooms::new(),
            modelled: now,
            latest: now,
            faded: now,
            permits: IndexMap::new(),
            evacuated: IndexSet::new(),
            changes: 0,
            dirty: IndexSet::new(),
            expired: IndexSet::new(),
            roster_dirty: false,
            deposed: false,
        };
        for entry in &roster.workers {
            let mut worker = Worker::new(entry.report(), now);
            worker.listed = false;
            worker.rostered = true;
            dispatcher.workers.insert(entry.name.clone(), worker);
        }
        dispatcher
    }

    /// The term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Takes note that the leader before has stopped for certain, so that it
    /// extends no leases any more.
    pub fn predecessor_stopped(&mut self, now: Time) {
        if !self.term.predecessor_stopped {
            log::info!(term = self.term.number, age:% = now.since(self.started); "the leader before has stopped");
            self.term.predecessor_stopped = true;
            self.started = now;
        }
    }

    /// Whether a worker has seen a higher token, so that this term is over.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Names of the workers to look at.
    pub fn workers(&self) -> Vec<WorkerName> {
        self.workers.keys().cloned().collect()
    }

    /// Sets the domains in which nothing may start.
    pub fn set_evacuated(&mut self, domains: IndexSet<DomainName>) {
        if domains != self.evacuated {
            log::info!(domains:? = domains; "evacuated domains changed");
            self.evacuated = domains;
        }
    }

    /// State of a job; `None` if it is not known here.
    pub fn job_status(&self, key: JobKey) -> Option<JobStatus> {
        let job = self.jobs.get(&key)?;
        Some(match (job.durable, job.started) {
            (Some(outcome), _) => outcome.into(),
            (None, _) if job.outcome == Some(JobOutcome::Cancelled) => JobStatus::Cancelled,
            (None, true) => JobStatus::Running,
            (None, false) => JobStatus::Queued,
        })
    }

    /// Accepted jobs of a queue for which no task has started.
    pub fn pending_jobs(&self, host: &str, prefix: &str) -> usize {
        let waits = |j: &&Job| {
            let queue = &j.record.queue;
            !j.started && j.outcome.is_none() && queue.host == host && queue.prefix == prefix
        };
        self.jobs.values().filter(waits).count()
    }

    /// Figures for metrics and the state dump.
    pub fn summary(&self) -> Summary {
        let live = |j: &&Job| j.outcome.is_none();
        Summary {
            jobs: self.jobs.values().filter(live).count(),
            waiting: self
                .jobs
                .values()
                .filter(live)
                .flat_map(|j| &j.occurrences)
                .flat_map(|o| &o.steps)
                .map(|s| s.waiting as usize)
                .sum(),
            running: self.workers.values().map(|w| w.runs.len()).sum(),
            workers: self.workers.values().filter(|w| w.fenced).count(),
            sick: self.workers.values().filter(|w| w.health.is_sick()).count(),
            undurable: self.dirty.len(),
            room: self.total(|w| w.report.capacity.cpu.0),
            counted: self.total(|w| w.load.counted.cpu.0),
            demand: self.total(|w| w.load.demand),
        }
    }

    /// Whole cores over the workers that are in use.
    fn total(&self, cores: impl Fn(&Worker) -> u64) -> u64 {
        let used = self.workers.values().filter(|w| w.fenced && w.listed);
        used.map(cores).sum::<u64>() / 1_000
    }

    /// Sets a task's state and keeps the counts of its step.
    fn set_state(&mut self, key: TaskKey, state: TaskState) {
        let now = self.latest;
        let Some(job) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        let live = job.outcome.is_none();
        let Some(step) = job.step_mut(key.step.occurrence, key.step.step) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(key.index as usize) else {
            return;
        };
        match task.state {
            TaskState::Waiting => step.waiting -= 1,
            TaskState::Done => step.done -= 1,
            TaskState::Placed(_) => {}
        }
        match state {
            TaskState::Waiting => step.waiting += 1,
            TaskState::Done => step.done += 1,
            TaskState::Placed(_) => {}
        }
        let waits = state == TaskState::Waiting;
        task.state = state;
        task.since = now;
        if waits && live {
            self.ready.insert(key.step);
        }
    }

    /// Notes that a job has a change that is not durable.
    fn mark_dirty(&mut self, key: JobKey) {
        self.changes += 1;
        let change = self.changes;
        if let Some(job) = self.jobs.get_mut(&key) {
            job.dirty.get_or_insert(change);
            self.dirty.insert(key);
        }
    }

    fn job_record(&self, key: JobKey) -> Option<Arc<JobRecord>> {
        self.jobs.get(&key).map(|j| j.record.clone())
    }

    /// The lowest run number that this term may use.
    fn first_run(&self) -> Run {
        Run(self.term.number * RUNS_PER_TERM + 1)
    }
}

/// Figures of a dispatcher.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Summary {
    /// Jobs that haven't ended.
    pub jobs: usize,
    /// Tasks that wait.
    pub waiting: usize,
    /// Runs on workers, confirmed or not.
    pub running: usize,
    /// Workers that have seen this term's token.
    pub workers: usize,
    /// Workers taken for sick.
    pub sick: usize,
    /// Jobs with changes that are not durable.
    pub undurable: usize,
    /// Cores of all workers in use.
    pub room: u64,
    /// Cores that tasks were given by what they ask for.
    pub counted: u64,
    /// Cores that tasks use or will use.
    pub demand: u64,
}

/// Time on this process's clock for a calendar time in the past or future.
fn local_time(at: WallTime, wall: WallTime, now: Time) -> Time {
    if at >= wall {
        now + at.since(wall)
    } else {
        now - wall.since(at)
    }
}
