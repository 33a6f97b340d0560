//! Assigns the tasks of accepted jobs to workers.
//!
//! The elected leader owns one [`Dispatcher`], a state machine without I/O: method
//! calls report jobs, workers and completed runs, each with the current time, and
//! the dispatcher returns orders for workers and batches to write to the store.
//! `docs/platform.md` explains how at most one run per task is guaranteed when the
//! leader changes or messages are lost.

mod admission;
mod commit;
mod completion;
mod confirmation;
mod crash;
mod customers;
mod delay_cost;
mod evidence;
mod gangs;
mod health;
mod intake;
mod job;
mod job_spec;
mod launch;
mod leases;
mod pace;
mod placement;
mod plan;
mod poll;
mod progress;
mod rank;
mod replies;
mod search;
mod starts;
mod starvation;
mod stops;
mod succession;
mod summary;
#[cfg(test)]
mod tests;
mod tickets;
mod unplaced;
mod voters;
mod waits;
mod worker;

use std::sync::Arc;

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::model::{DomainName, FastMap, Span, Time, WallTime, WorkerName, WorkerTime};
use crate::place::headroom::Slopes;
use admission::Admission as JobAdmission;
use customers::Customers;
use evidence::StartEvidence;
use job::{Job, TaskState};
use pace::Headrooms;
use starvation::TimelyDemand;
use tickets::StepTickets;
use worker::{Admission, Worker};

pub use admission::{FullPool, LoadEstimate, PoolLoad, SizeLimit};
pub use commit::{Commit, InterferenceModel, Roster, RosterEntry};
pub use confirmation::Arrival;
pub use customers::{CustomerLoad, CustomerPolicy};
pub use evidence::MissingEvidence;
pub use job_spec::{
    JobKey, JobRecord, JobSpec, JobSpecError, MAX_PAYLOAD_BYTES, MAX_STEPS, MAX_TASKS_PER_JOB,
    MAX_TASKS_PER_STEP, QueueSettings, Run, Schedule, Step, StepKey, TaskKey,
};
pub use poll::{PollReply, PollRequest, RunCompletion, RunOutcome, RunStatus};
pub use progress::{
    Crash, CrashDetail, JobOutcome, OccurrenceProgress, Progress, StepProgress, TaskCrashes,
    TaskProgress,
};
pub use replies::{Refusal, StartAnswer, StartReply, StopReply, is_start_overdue};
pub use succession::{EarlierLeader, EarlierLeaders, LeaderTerm, MAX_EARLIER_LEADERS, Succession};
pub use summary::Summary;
pub use tickets::{TicketGrant, TicketRequest};
pub use voters::{VoterRecord, VoterSet};
pub use worker::{Incarnation, WorkerReport};

/// Limits of the deployment, from the host's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest lease that a worker accepts for its runs.
    pub max_lease: Span,
    /// Longest time from a stop order to the end of the run.
    pub max_stop: Span,
    /// How long before its due time an occurrence may start.
    pub max_early_start: Span,
    /// Factor by which a task takes longer away from its data.
    pub remote_factor: f64,
    /// Time after its acknowledgement from which nothing may start in an evacuated domain.
    pub evacuation: Span,
    /// Time after its acknowledgement from which nothing may start on a draining worker.
    pub drain: Span,
}

/// A leader's term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Lowest fencing token of the calls in this term; increases with each term.
    pub token: u64,
    /// Number of terms before this one.
    pub number: u64,
}

/// Run numbers reserved for each task in one term. Term `n` starts numbering at
/// `n * RUNS_PER_TERM + 1`, so a new leader needs no record of earlier runs.
const RUNS_PER_TERM: u64 = 10_000;

/// An order for a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Start a run.
    Start {
        /// Task to start.
        task: TaskKey,
        /// Number of the run.
        run: Run,
        /// Payload of the job, passed on unchanged.
        payload: ArcStr,
        /// Time on the worker's clock after which it must ignore the order.
        deadline: WorkerTime,
        /// Checkpoint to resume from; `None` to start from the beginning.
        checkpoint: Option<ArcStr>,
        /// Ticket issued by the queue's policy service; `None` for a queue without one.
        ticket: Option<ArcStr>,
    },
    /// Stop a run, or make sure that it never starts.
    Stop {
        /// Task to stop.
        task: TaskKey,
        /// Number of the run.
        run: Run,
    },
    /// Limit the speed of a run.
    Pace {
        /// Task to slow down or speed up.
        task: TaskKey,
        /// Number of the run.
        run: Run,
        /// Share of full speed, from 0 (paused) to 100.
        percent: u32,
    },
}

/// An order addressed to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerOrder {
    /// Worker that executes the order.
    pub worker: WorkerName,
    /// Address of the worker's order interface.
    pub address: std::net::SocketAddr,
    /// Order to execute.
    pub order: Order,
}

/// State of a job as reported to callers. Final states are reported only once durable,
/// except for a cancellation, which is durable before the dispatcher learns of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum JobStatus {
    /// Accepted; no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task has used up its attempts, or crashes the workers that start it.
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

/// Upper bound for requested leases. A lost worker's tasks can restart elsewhere only
/// after its lease has expired, so the lease has to be short; it also has to outlast a
/// change of the leader, which takes about 3 s.
const MAX_LEASE: Span = Span::from_secs(6);

/// How long a term goes on after the leader last renewed its own lease at the store. Work lives
/// through an absence of the store for as long, if a majority of the term's voters confirm it.
pub const LEADER_GRACE: Span = Span::from_secs(12);

/// How long a leader of whose voters nothing is known may act after its successor was elected:
/// [`LEADER_GRACE`], plus 4 s for a pause of its host during which its clock does not advance. A
/// new leader waits for this time, and then for the lease, for roster workers that it can't reach.
const UNREACHABLE_WORKER_WAIT: Span = Span::from_secs(LEADER_GRACE.as_micros() / 1_000_000 + 4);

/// Scheduling state of one leader's term.
#[derive(Debug)]
pub struct Dispatcher {
    term: Term,
    /// Fencing token of the calls that are made now: that of the term, or the revision of a
    /// later write of this term, which is lower than the token of any later term.
    token: u64,
    /// Whether the token has to be raised for workers that have restarted.
    raise_needed: bool,
    bounds: Bounds,
    /// Longest lease that a worker grants, however late the deadline of a call is on its clock.
    /// Calls ask for at most `bounds.max_lease`, on the clock of the incarnation that they are
    /// meant for. On another one they may grant this lease, until it has seen a higher token.
    lease_cap: Span,
    /// When this term began to act.
    began: Time,
    /// Earlier leaders that may still extend leases.
    earlier: EarlierLeaders,
    /// When the term was last known to be the newest one. The deadline of a call is at most
    /// `bounds.max_lease` after it, however late the call is sent, since the next leader counts on
    /// that for workers that it can't reach.
    authority: Time,
    /// Whether all workers on which earlier terms may have started tasks have answered,
    /// or their leases have expired. Until then inherited tasks are not started.
    inherited_resolved: bool,
    jobs: FastMap<JobKey, Job>,
    workers: FastMap<WorkerName, Worker>,
    /// Number of the last job or incarnation of a worker that this term has learned of.
    last_arrival: Arrival,
    /// The term was the newest at the store after this and all earlier arrivals, so every
    /// later leader knows of them when its term begins.
    confirmed: Arrival,
    /// Jobs with assumed crashes, by the worker that does not answer. It may be unlisted and
    /// removed before it answers again.
    assumed: IndexMap<WorkerName, IndexSet<JobKey>>,
    /// When workers' entries were last read from the store.
    last_listed: Time,
    /// All entries that workers had written before this are known.
    listed_until: Time,
    /// Number of times that a worker was added or removed.
    membership: u64,
    /// Steps that may have tasks to start. The next pass removes a step without any.
    ready: IndexSet<StepKey>,
    /// Jobs with occurrences that have not begun.
    scheduled: IndexSet<JobKey>,
    /// Jobs that were cancelled before they arrived.
    early_cancels: IndexSet<JobKey>,
    /// Interference of best-effort images with serving images.
    slopes: Slopes,
    headrooms: Headrooms,
    /// When the slopes last decayed towards their prior.
    last_decay: Time,
    /// When the last scheduling pass was made.
    last_pass: Time,
    /// When the interference model was last written to the store.
    model_written: Time,
    /// Decisions of policy services, by step.
    step_tickets: IndexMap<StepKey, StepTickets>,
    /// Failure domains in which no task may start.
    evacuated: IndexSet<DomainName>,
    /// Terms of the customers, and what they use as of the last pass.
    customers: Customers,
    /// How old the knowledge of evacuated domains and draining workers is.
    evidence: StartEvidence,
    /// Number of changes in this term that had to become durable.
    change_count: u64,
    /// Jobs with changes that are not durable yet, in the order in which they were last
    /// written or, if they were durable then, changed.
    dirty_jobs: IndexSet<JobKey>,
    /// Jobs that were cancelled before they were stored, with the time at which this term learned
    /// of it. The store keeps a mark of each, which rules out a late write of the job.
    withdrawn: IndexMap<JobKey, Time>,
    /// Jobs that ended, or were withdrawn, longer ago than the retention time and are to be
    /// deleted.
    expired_jobs: IndexSet<JobKey>,
    /// Whether the durable roster differs from the workers in use.
    roster_dirty: bool,
    /// Tasks that passes have left waiting although they can be in time.
    timely_demand: TimelyDemand,
    /// Index of the first worker of the next search that does not visit all.
    search_start: usize,
    /// When it was last reported why a step waits.
    waits_reported: Time,
    /// How many more unhealthy workers may be probed in this pass.
    probe_slots: usize,
    /// Bound on the best-effort jobs that are accepted.
    admission: JobAdmission,
    /// Set when a worker has refused an order or a poll because of a higher token.
    deposed: bool,
}

impl Dispatcher {
    /// Creates the dispatcher of a new term. `earlier` are the leaders that may still act
    /// besides it, `roster` names the workers on which earlier
    /// terms may have started tasks, and `model` is the interference model that they learned.
    pub fn new(
        term: Term,
        bounds: Bounds,
        mut earlier: EarlierLeaders,
        roster: &Roster,
        model: InterferenceModel,
        now: Time,
    ) -> Self {
        earlier.extended_until(now);
        if roster.workers.is_empty() {
            earlier.clear();
        }
        let mut dispatcher = Self {
            term,
            token: term.token,
            raise_needed: false,
            bounds: Bounds {
                max_lease: bounds.max_lease.min(MAX_LEASE),
                ..bounds
            },
            lease_cap: bounds.max_lease,
            began: now,
            earlier,
            authority: now,
            inherited_resolved: roster.workers.is_empty(),
            jobs: FastMap::default(),
            workers: FastMap::default(),
            last_arrival: Arrival::default(),
            confirmed: Arrival::default(),
            assumed: IndexMap::new(),
            last_listed: Time::ZERO,
            listed_until: Time::ZERO,
            membership: 0,
            ready: IndexSet::new(),
            scheduled: IndexSet::new(),
            early_cancels: IndexSet::new(),
            slopes: model.0,
            headrooms: Headrooms::default(),
            model_written: now,
            last_pass: now,
            last_decay: now,
            step_tickets: IndexMap::new(),
            evacuated: IndexSet::new(),
            customers: Customers::new(now),
            evidence: StartEvidence::default(),
            change_count: 0,
            dirty_jobs: IndexSet::new(),
            withdrawn: IndexMap::new(),
            expired_jobs: IndexSet::new(),
            roster_dirty: false,
            timely_demand: TimelyDemand::new(now),
            search_start: 0,
            waits_reported: now,
            probe_slots: 0,
            admission: JobAdmission::default(),
            deposed: false,
        };
        for entry in &roster.workers {
            let mut worker = Worker::new(entry.report(), now);
            worker.listed = false;
            worker.roster_address = Some(entry.address);
            // The token of a new term is higher than those of all calls before it.
            worker.admission = Admission::Admitted;
            dispatcher.workers.insert(entry.name.clone(), worker);
        }
        dispatcher
    }

    /// Term that this dispatcher was created for.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Fencing token of the calls that are made now.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Records that the earlier leader of the term with this nonce is known to have stopped,
    /// so that it no longer extends leases.
    pub fn leader_stopped(&mut self, nonce: u64, now: Time) {
        if let Some(age) = self.earlier.stopped(nonce, now) {
            let left = self.earlier.at(now).len();
            log::info!(term = self.term.number, nonce = nonce, age:% = age, left = left; "earlier leader has stopped");
        }
    }

    /// Sets when the term was last known to be the newest one: when a call was sent that only the
    /// newest leader can make, or whose answers confirm it.
    pub fn set_authority(&mut self, at: Time) {
        self.authority = at;
    }

    /// Whether the term may still start runs. Later than half a lease after the last proof that
    /// it is the newest, another leader is likely, and the run would not last.
    fn may_start(&self, now: Time) -> bool {
        now.since(self.authority).scale_up(2, 1) <= self.bounds.max_lease
    }

    /// Earlier leaders that can still act. There are none once all are known to have stopped
    /// or had to, or every worker on which they may have started tasks has seen this term's
    /// token.
    pub fn earlier_leaders(&self, now: Time) -> Vec<EarlierLeader> {
        self.earlier.at(now)
    }

    /// Whether a worker has seen a higher token, which means that this term is over.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Number that changes whenever a worker is added or removed.
    pub fn membership(&self) -> u64 {
        self.membership
    }

    /// Names of the workers to poll.
    pub fn workers(&self) -> IndexSet<WorkerName> {
        self.workers.keys().cloned().collect()
    }

    /// Failure domain of each worker to poll.
    pub fn worker_domains(&self) -> IndexMap<WorkerName, DomainName> {
        let domain =
            |(name, worker): (&WorkerName, &Worker)| (name.clone(), worker.report.domain.clone());
        self.workers.iter().map(domain).collect()
    }

    /// Sets the failure domains in which no task may start.
    pub fn set_evacuated(&mut self, domains: IndexSet<DomainName>) {
        if domains != self.evacuated {
            log::info!(domains:? = domains; "evacuated domains changed");
            self.evacuated = domains;
        }
    }

    /// State of a job; `None` if the dispatcher does not know it.
    pub fn job_status(&self, key: JobKey) -> Option<JobStatus> {
        let job = self.jobs.get(&key)?;
        Some(match (job.durable_outcome, job.started) {
            (Some(outcome), _) => outcome.into(),
            (None, _) if job.outcome == Some(JobOutcome::Cancelled) => JobStatus::Cancelled,
            (None, true) => JobStatus::Running,
            (None, false) => JobStatus::Queued,
        })
    }

    /// Number of accepted jobs of a queue of which no task has started.
    pub fn pending_jobs(&self, host: &str, prefix: &str) -> usize {
        let is_waiting = |j: &&Job| {
            let queue = &j.record.queue;
            !j.started && j.outcome.is_none() && queue.host == host && queue.prefix == prefix
        };
        self.jobs.values().filter(is_waiting).count()
    }

    /// Sets a task's state and updates the counters of its step.
    fn set_state(&mut self, key: TaskKey, state: TaskState) {
        let now = self.last_pass;
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
            TaskState::Waiting => {
                step.waiting -= 1;
                if step.waiting == 0 {
                    step.wait_reported = Span::ZERO;
                }
            }
            TaskState::Done => step.done -= 1,
            TaskState::Placed(_) => {}
        }
        match state {
            TaskState::Waiting => step.waiting += 1,
            TaskState::Done => step.done += 1,
            TaskState::Placed(_) => {}
        }
        let is_waiting = state == TaskState::Waiting;
        task.state = state;
        task.shared &= !is_waiting;
        task.since = now;
        if is_waiting && live {
            self.ready.insert(key.step);
        }
    }

    /// Records that a job has a change that has to become durable.
    fn mark_dirty(&mut self, key: JobKey) {
        self.change_count += 1;
        let change = self.change_count;
        if let Some(job) = self.jobs.get_mut(&key) {
            job.dirty_since.get_or_insert(change);
            self.dirty_jobs.insert(key);
        }
    }

    fn job_record(&self, key: JobKey) -> Option<Arc<JobRecord>> {
        self.jobs.get(&key).map(|j| j.record.clone())
    }

    /// Lowest run number of this term.
    fn first_run(&self) -> Run {
        Run(self.term.number * RUNS_PER_TERM + 1)
    }
}

/// Converts a calendar time, past or future, to this process's clock.
fn local_time(at: WallTime, wall: WallTime, now: Time) -> Time {
    if at >= wall {
        now + at.since(wall)
    } else {
        now - wall.since(at)
    }
}
