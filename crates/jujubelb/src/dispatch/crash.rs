//! Recognizes tasks that crash the workers that start them.
//!
//! A crash says nothing about the cause: the task that just started, another one beside it,
//! or the host. Each crash is therefore counted against every run that had not outlived its
//! probation, and the next starts of these tasks are kept apart, so that the next crash
//! concerns only one of them.
//!
//! | crashes counted against a task | next start |
//! |---|---|
//! | none | anywhere |
//! | 1 | on a worker without another such task on probation |
//! | 2 or more | on a worker on which nothing else has just started, and nothing starts beside it during its probation |
//! | [`MAX_CRASHES`] on several workers, or [`MAX_CRASHES_IN_ALL`] | none; the job fails |
//!
//! Of the workers that qualify, one with few runs that has not restarted recently is preferred.
//! If none qualifies for some time, the task starts where the fewest such tasks are. A run that
//! outlives [`PROBATION`] clears its task: the count starts anew.

use super::Dispatcher;
use super::job::Task;
use super::job_spec::{Run, TaskKey};
use super::poll::PollReply;
use super::progress::{Crash, JobOutcome};
use super::worker::{RunPhase, TrackedRun, Worker};
use crate::model::{Span, Time, WorkerName};

/// How long a worker has to list a run before its crash is not counted against the run. A
/// task that crashes its worker does so within milliseconds of its start.
const PROBATION: Span = Span::from_millis(500);

/// Crashes on more than one worker after which a task is given up. A coincidence of three
/// crashes, each right after a start of the same task and the last two without another
/// suspect beside it, is unlikely.
const MAX_CRASHES: usize = 3;

/// Crashes after which a task is given up even if all were on the same worker, which may
/// crash without the task.
const MAX_CRASHES_IN_ALL: usize = 4;

/// How long a task waits for a worker that qualifies. Long-running tasks have to run again
/// within 6 s.
const MAX_ISOLATION_WAIT: Span = Span::from_millis(2_500);

/// How long a finite task waits for a worker that qualifies after two crashes. Being late
/// costs its caller less than being given up because of another task.
const MAX_FINITE_ISOLATION_WAIT: Span = Span::from_secs(15);

/// How long after its restart a worker is avoided by tasks on probation. A worker that
/// crashes again and again must not make them look faulty.
const RECENT_RESTART: Span = Span::from_secs(20);

/// How far a task is kept apart from others because it may crash its worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Isolation {
    /// No crash is counted against the task.
    #[default]
    None,
    /// No worker qualified in time, so the task starts where the fewest suspects are.
    Spread,
    /// Not beside another suspect on probation.
    Apart,
    /// Not beside any run that has just started.
    Alone,
}

/// Whether a task with these crashes is given up.
fn is_given_up(crashes: &[Crash]) -> bool {
    let several = crashes.iter().any(|c| c.worker != crashes[0].worker);
    crashes.len() >= MAX_CRASHES_IN_ALL || (crashes.len() >= MAX_CRASHES && several)
}

impl TrackedRun {
    /// Whether its worker has listed the run for so long that a crash has another cause.
    pub(crate) fn has_outlived_probation(&self) -> bool {
        self.phase == RunPhase::Running && self.last_listed.since(self.confirmed) >= PROBATION
    }
}

impl Task {
    /// How far the task has to be kept apart from others.
    fn isolation(&self) -> Isolation {
        match self.crashes.len() {
            0 => Isolation::None,
            1 => Isolation::Apart,
            _ => Isolation::Alone,
        }
    }

    /// How far a start of the task is kept apart from others now.
    pub(crate) fn isolation_at(&self, long_running: bool, now: Time) -> Isolation {
        let isolation = self.isolation();
        let wait = match (isolation, long_running) {
            (Isolation::Alone, false) => MAX_FINITE_ISOLATION_WAIT,
            _ => MAX_ISOLATION_WAIT,
        };
        match now.since(self.since) <= wait {
            true => isolation,
            false => isolation.min(Isolation::Spread),
        }
    }
}

impl Worker {
    /// Whether a task that is kept apart this far may start on the worker.
    pub(crate) fn admits_isolation(&self, isolation: Isolation) -> bool {
        match isolation {
            Isolation::None | Isolation::Spread => self.load.lone_suspects == 0,
            Isolation::Apart => self.load.suspects == 0,
            Isolation::Alone => {
                let mut runs = self.runs.values();
                self.load.suspects == 0 && runs.all(TrackedRun::has_outlived_probation)
            }
        }
    }

    /// Whether the current incarnation has answered for a short time only.
    pub(crate) fn has_restarted_recently(&self, now: Time) -> bool {
        now.since(self.answering_since) < RECENT_RESTART
    }

    /// Runs of the previous incarnation that had not outlived their probation. `sent` is when
    /// the poll was sent that the new incarnation answered; a run confirmed later may be on
    /// the new one.
    fn suspects(&self, sent: Time, reply: &PollReply) -> Vec<(TaskKey, Run)> {
        let listed = |task: TaskKey, run: Run| {
            let is_running = reply.running.iter().any(|r| r.task == task && r.run == run);
            is_running
                || reply
                    .finished
                    .iter()
                    .any(|c| c.task == task && c.run == run)
        };
        self.runs
            .iter()
            .filter(|(task, tracked)| {
                let was_there = match tracked.phase {
                    RunPhase::Starting => false,
                    RunPhase::Running => tracked.confirmed < sent,
                    RunPhase::Unsure => tracked.since < sent,
                };
                was_there && !tracked.has_outlived_probation() && !listed(**task, tracked.run)
            })
            .map(|(task, tracked)| (*task, tracked.run))
            .collect()
    }
}

impl Dispatcher {
    /// Counts the crash of a worker that has restarted against the runs that had just
    /// started on it.
    pub(super) fn count_crash(
        &mut self,
        name: &WorkerName,
        sent: Time,
        reply: &PollReply,
        now: Time,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.lost.clear();
        for (task, run) in worker.suspects(sent, reply) {
            self.record_crash(name, task, run, now);
        }
    }

    /// Counts the loss of a worker, until it answers again, as a crash against a run that had
    /// just started on it.
    pub(super) fn count_loss(&mut self, name: &WorkerName, task: TaskKey, run: Run, now: Time) {
        let suspected = |w: &&mut Worker| {
            let tracked = w.runs.get(&task).filter(|r| r.run == run);
            tracked.is_some_and(|r| !r.has_outlived_probation())
        };
        if let Some(worker) = self.workers.get_mut(name).filter(suspected) {
            worker.lost.push((task, run));
            self.record_crash(name, task, run, now);
        }
    }

    /// Takes back the crash that was assumed when a worker was lost: the same incarnation has
    /// answered.
    pub(super) fn take_back_losses(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        for (key, run) in std::mem::take(&mut worker.lost) {
            let counted = self.counted_task(key);
            let job = self.jobs.get_mut(&key.step.job);
            if let Some(task) = job.and_then(|j| j.task_mut(counted)) {
                task.crashes.retain(|c| c.run != run);
                self.mark_dirty(key.step.job);
            }
        }
    }

    /// Clears a task whose run has outlived its probation.
    pub(super) fn clear_suspect(&mut self, name: &WorkerName, key: TaskKey) {
        let tracked = self
            .workers
            .get_mut(name)
            .and_then(|w| w.runs.get_mut(&key));
        let Some(tracked) =
            tracked.filter(|r| r.isolation > Isolation::None && r.has_outlived_probation())
        else {
            return;
        };
        tracked.isolation = Isolation::None;
        let run = tracked.run;
        if self.counts_as_gang(key) {
            // Another member may still crash its worker.
            return;
        }
        let job = self.jobs.get_mut(&key.step.job);
        if let Some(task) = job.and_then(|j| j.task_mut(key))
            && task.run == run
        {
            log::info!(task:% = key, run:% = run, worker:% = name, crashes = task.crashes.len(); "task has outlived its probation");
            task.crashes.clear();
            self.mark_dirty(key.step.job);
        }
    }

    /// How far a run of a task is kept apart from others during its probation.
    pub(super) fn isolation(&self, key: TaskKey) -> Isolation {
        let job = self.jobs.get(&key.step.job);
        let task = job.and_then(|j| j.task(self.counted_task(key)));
        task.map(Task::isolation).unwrap_or_default()
    }

    fn counts_as_gang(&self, key: TaskKey) -> bool {
        self.jobs
            .get(&key.step.job)
            .and_then(|j| j.record.spec.steps.get(usize::from(key.step.step)))
            .is_some_and(|s| s.gang)
    }

    /// The task on which crashes are recorded; the first one of a gang for all its members.
    fn counted_task(&self, key: TaskKey) -> TaskKey {
        match self.counts_as_gang(key) {
            true => TaskKey { index: 0, ..key },
            false => key,
        }
    }

    /// Records a crash against a task, and gives up its job after too many of them. Does not
    /// count a run twice.
    fn record_crash(&mut self, name: &WorkerName, key: TaskKey, run: Run, now: Time) {
        let counted = self.counted_task(key);
        let Some(job) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        let live = job.outcome.is_none();
        let Some(task) = job.task_mut(counted) else {
            return;
        };
        if !live || task.is_done() || task.crashes.iter().any(|c| c.run == run) {
            return;
        }
        task.crashes.push(Crash {
            run,
            worker: name.clone(),
        });
        let crashes = task.crashes.clone();
        self.mark_dirty(key.step.job);
        log::info!(task:% = key, run:% = run, worker:% = name, crashes = crashes.len(); "worker crashed or was lost shortly after it started the task");
        if is_given_up(&crashes) {
            let workers: Vec<&str> = crashes.iter().map(|c| c.worker.as_str()).collect();
            let runs: Vec<u64> = crashes.iter().map(|c| c.run.0).collect();
            log::info!(job:% = key.step.job, task:% = key, workers:? = workers, runs:? = runs; "job failed: a task crashes the workers that start it");
            self.finish(key.step.job, JobOutcome::Failed, now);
        }
    }
}
