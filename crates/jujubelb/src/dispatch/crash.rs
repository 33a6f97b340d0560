//! Recognizes tasks that crash the workers that start them.
//!
//! A crash says nothing about the cause: the task that just started, another one beside it,
//! or the host. Each crash is therefore counted against every run that had not outlived its
//! probation, and the next starts of these tasks are kept apart, so that the next crash
//! concerns only one of them. They also wait for a worker that has been up for some time: a
//! worker that crashes again and again for another reason is never up for so long, so its
//! crashes don't add up against the tasks that need it.
//!
//! | crashes counted against a task | next start |
//! |---|---|
//! | none | anywhere |
//! | 1 | on a worker that has been up for [`MIN_UPTIME`], without another such task on probation |
//! | 2 or more | on a worker on which nothing else has just started, and nothing starts beside it during its probation; up for [`MIN_UPTIME`] and after a growing interval for a long-running task, up for [`STABLE_UPTIME`] for a finite one |
//! | [`MAX_CRASHES`] on several workers, or [`MAX_CRASHES_IN_ALL`] | as above for a long-running task; none for a finite one, whose job fails |
//!
//! Of the workers that qualify, one with few runs that has not restarted recently is preferred.
//! If none qualifies for some time, the task starts where the fewest such tasks are; the worker
//! still has to have been up for as long. A run that outlives [`PROBATION`] clears its task:
//! the count starts anew.
//!
//! A worker that refuses connections, or that neither answers nor is listed, is assumed to have
//! crashed. The crash counts at once and is durable with the job; it is taken back when the
//! same incarnation answers, also to a later leader and after the worker was removed. Whether
//! a task is given up is decided when it could start again: assumed crashes of workers that
//! the store still lists do not count then.

use derive_more::Display;

use super::Dispatcher;
use super::job::{Task, TaskState};
use super::job_spec::{JobKey, Run, TaskKey};
use super::poll::PollReply;
use super::progress::{Crash, CrashDetail, JobOutcome};
use super::worker::{RunPhase, TrackedRun, Worker};
use crate::model::{Span, Time, WorkerName, WorkerTime};

/// How long a worker has to list a run before its crash is not counted against the run. A
/// task that crashes its worker does so within milliseconds of its start.
const PROBATION: Span = Span::from_millis(500);

/// Crashes on more than one worker after which a finite task is given up. A coincidence of
/// three crashes, each right after a start of the same task and the last two on workers that
/// had been up for some time and without another suspect beside it, is unlikely.
const MAX_CRASHES: usize = 3;

/// Crashes after which a finite task is given up even if all were on the same worker, which
/// may crash without the task.
const MAX_CRASHES_IN_ALL: usize = 4;

/// How long a worker has to be up before a suspect starts on it: longer than the period of
/// workers that go down and up by turns, 1.4 s. A long-running task has to run again within 7 s
/// after the last worker that it may use has come back, of which up to 1 s passes until the
/// leader notices.
const MIN_UPTIME: Span = Span::from_secs(2);

/// How long a worker has to be up before a finite task with two crashes starts on it, since
/// the next crash may end its job. Far longer than [`MIN_UPTIME`], so that a worker that
/// crashes each time it has been up for a while does not crash at both starts.
const STABLE_UPTIME: Span = Span::from_secs(20);

/// A worker that first answers this long after the beginning of a term is taken for one that
/// has just come up. The others may have been up for long.
const FIRST_ANSWER_TIME: Span = Span::from_secs(2);

/// How long a task waits for a worker that qualifies. Long-running tasks have to run again
/// within 6 s.
const MAX_ISOLATION_WAIT: Span = Span::from_millis(2_500);

/// How long a finite task waits for a worker that qualifies after two crashes, 15 s longer than
/// a worker takes to be up for [`STABLE_UPTIME`]. Being late costs its caller less than being
/// given up because of another task.
const MAX_FINITE_ISOLATION_WAIT: Span = Span::from_secs(35);

/// Shortest time between two starts of a long-running task, which is never given up, after its
/// second crash; doubles with each further crash.
const MIN_START_INTERVAL: Span = Span::from_millis(1_500);

/// Upper bound for the time between two starts of a long-running task that has crashes. A sound
/// one has to run again within 6 s after its last run.
const MAX_START_INTERVAL: Span = Span::from_secs(6);

/// Cost of placing a task that may crash its worker beside others, for each full worker that
/// would be lost. Far higher than the gain of gathering serving tasks, which would otherwise
/// draw the task to the workers with most of them.
const LOSS_COST: f64 = 16.0;

/// How far a task is kept apart from others because it may crash its worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Isolation {
    /// No crash is counted against the task.
    #[default]
    None,
    /// No worker qualified in time, so the task starts where the fewest suspects are.
    Spread,
    /// The same after two crashes of a finite task.
    SpreadStable,
    /// Not beside another suspect on probation.
    Apart,
    /// Not beside any run that has just started.
    Alone,
}

/// Number of starts of a task that these crashes followed. Those of a gang's members after
/// the same start count once.
fn crashed_starts(crashes: &[Crash]) -> usize {
    let is_first = |i: usize| crashes[..i].iter().all(|c| c.run != crashes[i].run);
    (0..crashes.len()).filter(|i| is_first(*i)).count()
}

/// Whether a task with these crashes is given up.
fn is_given_up(crashes: &[Crash], details: &[&CrashDetail]) -> bool {
    let address = |crash: &Crash| Some(details.iter().find(|d| d.crash == *crash)?.address);
    let elsewhere = |crash: &Crash| match (address(crash), address(&crashes[0])) {
        (Some(one), Some(other)) => one != other,
        _ => crash.worker != crashes[0].worker,
    };
    let several = crashes.iter().any(elsewhere);
    let starts = crashed_starts(crashes);
    starts >= MAX_CRASHES_IN_ALL || (starts >= MAX_CRASHES && several)
}

/// Shortest time between two starts of a long-running task after this many crashes.
fn start_interval(crashes: usize) -> Span {
    match crashes {
        0 | 1 => Span::ZERO,
        2 => MIN_START_INTERVAL,
        3 => MIN_START_INTERVAL.scale_up(2, 1),
        _ => MAX_START_INTERVAL,
    }
}

/// What shows that a worker has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
enum Evidence {
    /// A new incarnation has answered.
    Restart,
    /// The worker does not answer.
    Silence,
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
        match crashed_starts(&self.crashes) {
            0 => Isolation::None,
            1 => Isolation::Apart,
            _ => Isolation::Alone,
        }
    }

    /// How far a start of the task is kept apart from others now.
    pub(crate) fn isolation_at(&self, long_running: bool, now: Time) -> Isolation {
        let isolation = self.isolation();
        let (wait, fallback) = match (isolation, long_running) {
            (Isolation::Alone, false) => (MAX_FINITE_ISOLATION_WAIT, Isolation::SpreadStable),
            _ => (MAX_ISOLATION_WAIT, Isolation::Spread),
        };
        match now.since(self.since) <= wait {
            true => isolation,
            false => isolation.min(fallback),
        }
    }
}

impl Isolation {
    /// Whether the task starts where the fewest suspects are, since no worker qualified in time.
    pub(crate) fn is_spread(self) -> bool {
        matches!(self, Self::Spread | Self::SpreadStable)
    }

    /// How long a worker has to be up before a task that is kept apart this far starts on it.
    fn min_uptime(self, long_running: bool) -> Span {
        match (self, long_running) {
            (Self::None, _) => Span::ZERO,
            (Self::SpreadStable | Self::Alone, false) => STABLE_UPTIME,
            _ => MIN_UPTIME,
        }
    }
}

impl Worker {
    /// Whether a task that is kept apart this far may start on the worker.
    pub(crate) fn admits_isolation(&self, isolation: Isolation) -> bool {
        match isolation {
            Isolation::None | Isolation::Spread | Isolation::SpreadStable => {
                self.load.lone_suspects == 0
            }
            Isolation::Apart => self.load.suspects == 0,
            Isolation::Alone => {
                let mut runs = self.runs.values();
                self.load.suspects == 0 && runs.all(TrackedRun::has_outlived_probation)
            }
        }
    }

    /// Cost of losing what runs on the worker, if a task crashes it.
    pub(crate) fn loss_cost(&self) -> f64 {
        let used = self.load.reserved.cpu.0.max(self.load.cpu_demand);
        LOSS_COST * self.cpu_share(used)
    }

    /// Whether the current incarnation has answered for a short time only.
    pub(crate) fn has_restarted_recently(&self, now: Time) -> bool {
        now.since(self.answering_since) < STABLE_UPTIME
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
    /// Whether a worker has been up for long enough for a task that is kept apart this far.
    /// Its clock starts with its incarnation.
    pub(super) fn is_up_long_enough(
        &self,
        worker: &Worker,
        isolation: Isolation,
        long_running: bool,
        now: Time,
    ) -> bool {
        let required = isolation.min_uptime(long_running);
        let is_new = worker.answering_since > self.began + FIRST_ANSWER_TIME;
        let clock = worker.min_clock(now).unwrap_or(WorkerTime::ZERO);
        clock >= WorkerTime::ZERO + required
            && (!is_new || now.since(worker.answering_since) >= required)
    }

    /// Counts the crash of a worker that has restarted against the runs that had just
    /// started on it.
    pub(super) fn count_crash(&mut self, name: &WorkerName, sent: Time, reply: &PollReply) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        for (task, run) in worker.suspects(sent, reply) {
            self.record_crash(name, task, run, Evidence::Restart);
        }
    }

    /// Assumes a crash of a worker that refuses connections, or that neither answers nor is
    /// listed. Counted at once, since only this leader knows what had just started on it, and
    /// its lease outlasts many a leader.
    pub(super) fn assume_crash(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let runs = worker.runs.iter().map(|(task, r)| (*task, r.run));
        for (task, run) in runs.collect::<Vec<_>>() {
            self.count_loss(name, task, run);
        }
    }

    /// Assumes a crash of a worker that does not answer, if the run had just started on it.
    pub(super) fn count_loss(&mut self, name: &WorkerName, task: TaskKey, run: Run) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let tracked = worker.runs.get(&task).filter(|r| r.run == run);
        if tracked.is_some_and(|r| r.phase != RunPhase::Starting && !r.has_outlived_probation()) {
            self.record_crash(name, task, run, Evidence::Silence);
        }
    }

    /// Settles the assumed crashes of a worker that has answered: they are taken back if it is
    /// the same incarnation or knows the run, and certain otherwise.
    pub(super) fn settle_assumed(&mut self, name: &WorkerName, reply: &PollReply) {
        for key in self.assumed.shift_remove(name).unwrap_or_default() {
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            let mut details = std::mem::take(&mut job.crash_details);
            details.retain_mut(|detail| {
                if !detail.is_assumed || detail.crash.worker != *name {
                    return true;
                }
                detail.is_assumed = false;
                let (task, run) = (detail.task(key), detail.crash.run);
                let same = reply.incarnation.is_none()
                    || detail.incarnation.is_none()
                    || detail.incarnation == reply.incarnation;
                let steps = &job.record.spec.steps;
                let spec = steps.get(usize::from(detail.step));
                let is_gang = spec.is_some_and(|s| s.gang);
                // A crash under any member of a gang is counted against the first one.
                let is_run = |(t, r): (TaskKey, Run)| {
                    r == run && t.step == task.step && (is_gang || t.index == task.index)
                };
                let mut running = reply.running.iter().map(|r| (r.task, r.run));
                let mut finished = reply.finished.iter().map(|c| (c.task, c.run));
                let taken_back = same || running.any(is_run) || finished.any(is_run);
                if taken_back && let Some(state) = job.task_mut(task) {
                    state.crashes.retain(|c| *c != detail.crash);
                    log::info!(task:% = task, run:% = run, worker:% = name, crashes = crashed_starts(&state.crashes); "assumed crash taken back: the worker has answered");
                }
                !taken_back
            });
            job.crash_details = details;
            self.mark_dirty(key);
        }
    }

    /// Makes the jobs with assumed crashes known by the workers.
    pub(super) fn index_assumed(&mut self, key: JobKey, details: &[CrashDetail]) {
        for detail in details.iter().filter(|d| d.is_assumed) {
            let jobs = self.assumed.entry(detail.crash.worker.clone());
            jobs.or_default().insert(key);
        }
    }

    /// Forgets assumed crashes of jobs that have ended, and those whose task was cleared.
    pub(super) fn drop_settled(&mut self) {
        let jobs = &self.jobs;
        self.assumed.retain(|worker, keys| {
            keys.retain(|key| {
                let live = jobs.get(key).filter(|j| j.outcome.is_none());
                live.is_some_and(|j| {
                    let mut details = j.crash_details.iter();
                    details.any(|d| d.is_assumed && d.crash.worker == *worker)
                })
            });
            !keys.is_empty()
        });
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
        if !self.is_cleared(key, run) {
            return;
        }
        let counted = self.counted_task(key);
        let Some(job) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        if let Some(task) = job.task_mut(counted)
            && task.run == run
        {
            log::info!(task:% = key, run:% = run, worker:% = name, crashes = task.crashes.len(); "task has outlived its probation");
            task.crashes.clear();
            job.crash_details
                .retain(|d| d.task(key.step.job) != counted);
            self.mark_dirty(key.step.job);
        }
    }

    /// Whether a run that has outlived its probation clears its task: a gang's does once all
    /// members of the same start have.
    fn is_cleared(&self, key: TaskKey, run: Run) -> bool {
        let job = self.jobs.get(&key.step.job);
        let Some(step) = job.and_then(|j| j.step(key.step.occurrence, key.step.step)) else {
            return false;
        };
        let outlived = |index: u32, task: &Task| {
            let TaskState::Placed(name) = &task.state else {
                return false;
            };
            let worker = self.workers.get(name);
            let tracked = worker.and_then(|w| w.runs.get(&TaskKey { index, ..key }));
            tracked.is_some_and(|r| r.run == run && r.has_outlived_probation())
        };
        !self.counts_as_gang(key) || (0u32..).zip(&step.tasks).all(|(i, t)| outlived(i, t))
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

    /// Records a crash against a task. Does not count the same crash twice.
    fn record_crash(&mut self, name: &WorkerName, key: TaskKey, run: Run, evidence: Evidence) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let (address, incarnation) = (worker.report.address, worker.incarnation);
        let tracked = worker.runs.get(&key).filter(|r| r.run == run);
        let began = tracked.map_or(Time::ZERO, |r| r.since);
        let counted = self.counted_task(key);
        let Some(job) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        let live = job.outcome.is_none();
        let long_running = job.is_long_running(key.step.step);
        let Some(task) = job.task_mut(counted) else {
            return;
        };
        let crash = Crash {
            run,
            worker: name.clone(),
        };
        if !live || task.is_done() || task.crashes.contains(&crash) {
            return;
        }
        task.crashes.push(crash.clone());
        let crashes = crashed_starts(&task.crashes);
        let mut dropped = Vec::new();
        if long_running {
            task.not_before = began + start_interval(crashes);
            // Further crashes change nothing, and would make the stored state grow without end.
            while crashed_starts(&task.crashes) > MAX_CRASHES_IN_ALL {
                dropped.push(task.crashes.remove(0));
            }
        }
        let is_dropped =
            |d: &CrashDetail| d.task(key.step.job) == counted && dropped.contains(&d.crash);
        job.crash_details.retain(|d| !is_dropped(d));
        let is_assumed = evidence == Evidence::Silence;
        job.crash_details.push(CrashDetail {
            occurrence: counted.step.occurrence,
            step: counted.step.step,
            index: counted.index,
            crash,
            address,
            incarnation,
            is_assumed,
        });
        if is_assumed {
            let jobs = self.assumed.entry(name.clone()).or_default();
            jobs.insert(key.step.job);
        }
        self.mark_dirty(key.step.job);
        log::info!(task:% = key, run:% = run, worker:% = name, crashes = crashes, evidence:% = evidence; "worker crashed or was lost shortly after it started the task");
    }

    /// Whether a finite task that could start now is given up instead. A task can start when the
    /// leases of the workers that it was on have ended, so that what the store says of them
    /// is newer than their crash.
    pub(super) fn is_faulty(&self, key: TaskKey) -> bool {
        let counted = self.counted_task(key);
        let job = self.jobs.get(&key.step.job);
        // A long-running task has to be restarted however its runs end.
        let finite = job.filter(|j| !j.is_long_running(key.step.step));
        let crashes = finite.and_then(|j| Some((j, &j.task(counted)?.crashes)));
        let Some((job, crashes)) = crashes.filter(|(_, c)| c.len() >= MAX_CRASHES) else {
            return false;
        };
        let details = job.crash_details.iter();
        let details: Vec<&CrashDetail> = details
            .filter(|d| d.task(key.step.job) == counted)
            .collect();
        let is_alive = |crash: &Crash| {
            let detail = details.iter().find(|d| d.crash == *crash);
            detail.is_some_and(|d| d.is_assumed && self.is_listed_alive(d))
        };
        let certain = crashes.iter().filter(|c| !is_alive(c)).cloned();
        is_given_up(&certain.collect::<Vec<_>>(), &details)
    }

    /// Whether the store still lists the incarnation whose crash is assumed. It lists a crashed
    /// worker for about 4.5 s, less than a lease.
    fn is_listed_alive(&self, assumed: &CrashDetail) -> bool {
        let worker = self.workers.get(&assumed.crash.worker);
        worker.filter(|w| w.listed).is_some_and(|w| {
            let reported = w.report.incarnation;
            reported.is_none() || assumed.incarnation.is_none() || reported == assumed.incarnation
        })
    }

    /// Fails the job of a task that crashes the workers that start it.
    pub(super) fn give_up(&mut self, key: TaskKey, now: Time) {
        let counted = self.counted_task(key);
        let job = self.jobs.get(&key.step.job);
        if let Some(task) = job.and_then(|j| j.task(counted)) {
            let workers: Vec<&str> = task.crashes.iter().map(|c| c.worker.as_str()).collect();
            let runs: Vec<u64> = task.crashes.iter().map(|c| c.run.0).collect();
            log::info!(job:% = key.step.job, task:% = key, workers:? = workers, runs:? = runs; "job failed: a task crashes the workers that start it");
        }
        self.finish(key.step.job, JobOutcome::Failed, now);
    }
}
