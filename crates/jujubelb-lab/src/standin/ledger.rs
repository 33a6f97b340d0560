//! Records what workers and endpoints executed and checks it against the product's invariants.

use std::fmt;

use indexmap::{IndexMap, IndexSet};
use jujubelb::model::{DomainName, Resources, Span, TaskId, Time, WorkerName};
use serde::Serialize;

/// Longest time after a domain is taken out of service in which a task may still start there.
pub const MAX_START_DELAY: Span = Span::from_secs(3);

/// Longest time after an endpoint starts leaving in which it may still receive new requests.
pub const LEAVE_BOUND: Span = Span::from_secs(3);

/// An invariant of the product, by its number in `docs/design.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Invariant {
    /// The limits and the usage of the tasks on a host never exceed its capacity.
    P1,
    /// A task runs on at most one worker at a time.
    P2,
    /// An evicted task resumes exactly once, from its checkpoint.
    P3,
    /// No task starts in a domain that is out of service.
    P4,
    /// Each caller receives the complete response to its own request.
    P5,
    /// A request that was refused as not run did not run.
    P6,
    /// A non-idempotent request runs at most once.
    P7,
    /// A leaving endpoint receives no new requests.
    P8,
    /// A planned stop interrupts no request.
    P9,
    /// An accepted configuration becomes active everywhere and is never reverted.
    P10,
}

impl Invariant {
    /// All invariants in order.
    pub const ALL: [Self; 10] = [
        Self::P1,
        Self::P2,
        Self::P3,
        Self::P4,
        Self::P5,
        Self::P6,
        Self::P7,
        Self::P8,
        Self::P9,
        Self::P10,
    ];

    /// Short description, as printed in reports.
    pub const fn title(self) -> &'static str {
        match self {
            Self::P1 => "no host over its capacity",
            Self::P2 => "no task in two places at once",
            Self::P3 => "evicted work resumes exactly once",
            Self::P4 => "no start in a domain that is out",
            Self::P5 => "whole answer to its own caller",
            Self::P6 => "refused as not run did not run",
            Self::P7 => "non-idempotent request runs at most once",
            Self::P8 => "leaving endpoint gets no new work",
            Self::P9 => "planned stop cuts off no request",
            Self::P10 => "configuration in force, never reverted",
        }
    }
}

/// Checks made and violations found for one invariant.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Tally {
    /// Number of checks.
    pub checks: u64,
    /// One description per violation.
    pub violations: Vec<String>,
}

/// The attempt of a task that is running, and its worker.
#[derive(Debug, Clone)]
struct ActiveAttempt {
    worker: WorkerName,
    attempt: u64,
}

/// Attempts, evictions and completion of one task.
#[derive(Debug, Clone, Default)]
struct TaskHistory {
    active: Option<ActiveAttempt>,
    last: u64,
    done: bool,
    evicted: bool,
    evictions: u32,
    checkpointed: Span,
}

/// Attempts and checks recorded by all stand-ins.
#[derive(Debug, Default)]
pub struct Ledger {
    tallies: IndexMap<Invariant, Tally>,
    tasks: IndexMap<TaskId, TaskHistory>,
    out: IndexMap<DomainName, Time>,
    started: u64,
    completed: u64,
    evictions: u64,
    resumed: u64,
    lost: u64,
    workers: IndexSet<WorkerName>,
}

/// Totals for reports.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counts {
    /// Attempts started.
    pub started: u64,
    /// Tasks completed.
    pub completed: u64,
    /// Attempts stopped after a checkpoint on command.
    pub evictions: u64,
    /// Evicted tasks that ran again.
    pub resumed: u64,
    /// Attempts that ended because the worker's lease ended or the worker died.
    pub lost: u64,
}

impl Ledger {
    /// Counts a check and, if it failed, records a violation.
    pub fn check(&mut self, invariant: Invariant, ok: bool, text: impl FnOnce() -> String) {
        let tally = self.tallies.entry(invariant).or_default();
        tally.checks += 1;
        if !ok {
            tally.violations.push(text());
        }
    }

    /// Records that operators took a domain out of service, at the time when the change was accepted.
    pub fn domain_out(&mut self, domain: DomainName, now: Time) {
        self.out.insert(domain, now);
    }

    /// Records that operators are about to return a domain to service.
    pub fn domain_in(&mut self, domain: &DomainName) {
        self.out.shift_remove(domain);
    }

    /// Records and checks the start of an attempt on a worker that resumes at progress `from`.
    pub fn start(
        &mut self,
        now: Time,
        task: &TaskId,
        attempt: u64,
        worker: &WorkerName,
        domain: &DomainName,
        from: Span,
    ) {
        self.started += 1;
        self.workers.insert(worker.clone());
        let late = self.out.get(domain).map(|t| now.since(*t));
        self.check(
            Invariant::P4,
            late.is_none_or(|d| d <= MAX_START_DELAY),
            || {
                format!(
                    "{task} started on {worker} {} after {domain} was taken out",
                    late.unwrap_or_default()
                )
            },
        );
        let history = self.tasks.entry(task.clone()).or_default();
        let other = history.active.replace(ActiveAttempt {
            worker: worker.clone(),
            attempt,
        });
        let (last, done, evicted, checkpointed) = (
            history.last,
            history.done,
            history.evicted,
            history.checkpointed,
        );
        history.last = last.max(attempt);
        history.evicted = false;
        if evicted {
            self.resumed += 1;
        }
        self.check(Invariant::P2, other.is_none(), || {
            format!(
                "{task} started on {worker} while it ran on {}",
                other.map_or_else(String::new, |a| a.worker.to_string())
            )
        });
        self.check(Invariant::P3, !done, || {
            format!("{task} started again on {worker} after it was done")
        });
        self.check(Invariant::P3, attempt > last, || {
            format!("{task} started attempt {attempt} on {worker} after attempt {last}")
        });
        if evicted {
            self.check(Invariant::P3, from >= checkpointed, || {
                format!(
                    "{task} resumed from {from} although {checkpointed} were checkpointed at its eviction"
                )
            });
        }
    }

    /// Records that an attempt no longer runs; `checkpointed` is the progress in its checkpoint.
    pub fn end(
        &mut self,
        task: &TaskId,
        attempt: u64,
        outcome: AttemptOutcome,
        checkpointed: Span,
    ) {
        let history = self.tasks.entry(task.clone()).or_default();
        if history
            .active
            .as_ref()
            .is_some_and(|a| a.attempt == attempt)
        {
            history.active = None;
        }
        match outcome {
            AttemptOutcome::Succeeded => {
                let twice = std::mem::replace(&mut history.done, true);
                self.completed += 1;
                self.check(Invariant::P3, !twice, || {
                    format!("{task} was completed twice")
                });
            }
            AttemptOutcome::Evicted => {
                history.evicted = true;
                history.evictions += 1;
                history.checkpointed = checkpointed;
                self.evictions += 1;
            }
            AttemptOutcome::Lost => self.lost += 1,
            AttemptOutcome::Failed | AttemptOutcome::Stopped => {}
        }
    }

    /// Records that a task's result was lost with its host before it was reported, so it may run again.
    pub fn result_lost(&mut self, task: &TaskId) {
        if let Some(history) = self.tasks.get_mut(task)
            && std::mem::replace(&mut history.done, false)
        {
            self.completed -= 1;
            self.lost += 1;
        }
    }

    /// Checks the sums of the limits and of the usage on a worker against its capacity.
    pub fn load(
        &mut self,
        worker: &WorkerName,
        limits: Resources,
        used: Resources,
        capacity: Resources,
    ) {
        self.check(
            Invariant::P1,
            limits.fits(&capacity) && used.fits(&capacity),
            || format!("{worker} holds limits {limits:?} and uses {used:?} of {capacity:?}"),
        );
    }

    /// Whether a task runs now.
    pub fn is_active(&self, task: &TaskId) -> bool {
        self.tasks.get(task).is_some_and(|h| h.active.is_some())
    }

    /// Whether a task was completed.
    pub fn is_done(&self, task: &TaskId) -> bool {
        self.tasks.get(task).is_some_and(|h| h.done)
    }

    /// Tasks that were evicted and did not run again yet.
    pub fn waiting(&self) -> impl Iterator<Item = &TaskId> {
        let waits = |h: &TaskHistory| h.evicted && !h.done;
        self.tasks
            .iter()
            .filter(move |(_, h)| waits(h))
            .map(|(t, _)| t)
    }

    /// Tasks that were evicted at least once.
    pub fn evicted(&self) -> impl Iterator<Item = &TaskId> {
        self.tasks
            .iter()
            .filter(|(_, h)| h.evictions > 0)
            .map(|(t, _)| t)
    }

    /// Totals for reports.
    pub fn counts(&self) -> Counts {
        Counts {
            started: self.started,
            completed: self.completed,
            evictions: self.evictions,
            resumed: self.resumed,
            lost: self.lost,
        }
    }

    /// Checks and violations of one invariant.
    pub fn tally(&self, invariant: Invariant) -> Tally {
        self.tallies.get(&invariant).cloned().unwrap_or_default()
    }

    /// Number of violations of all invariants.
    pub fn violations(&self) -> usize {
        self.tallies.values().map(|t| t.violations.len()).sum()
    }
}

/// How an attempt ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It ran to completion.
    Succeeded,
    /// It failed or exceeded its memory limit.
    Failed,
    /// It was checkpointed and stopped on command.
    Evicted,
    /// It was stopped on command.
    Stopped,
    /// The lease ended or the worker died.
    Lost,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?} {}", self.title())
    }
}
