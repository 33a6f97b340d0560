//! A job in the leader's memory.

use std::collections::BTreeSet;
use std::sync::Arc;

use arcstr::ArcStr;

use super::confirmation::Arrival;
use super::customers::CustomerIndex;
use super::delay_cost;
use super::job_spec::{JobKey, JobRecord, MAX_TASKS_PER_JOB, Run, Step, StepKey, TaskKey};
use super::progress::{
    Crash, CrashDetail, JobOutcome, OccurrenceProgress, Progress, StepProgress, TaskCrashes,
    TaskProgress,
};
use crate::model::{Span, Time, WorkerName};

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Not assigned to a worker. No worker tracks a run of it while its job has not ended.
    Waiting,
    /// Assigned to this worker, which tracks a run of it that may or may not have started.
    Placed(WorkerName),
    /// Has succeeded.
    Done,
}

#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Highest run number that was ordered or seen on a worker.
    pub(crate) run: Run,
    /// Whether a run was found on a worker while the task was assigned already. Several workers
    /// may then track runs of it, until it waits again.
    pub(crate) shared: bool,
    /// Failed runs, without duplicates.
    pub(crate) failed: Vec<Run>,
    pub(crate) checkpoint: Option<ArcStr>,
    /// Crashes of workers shortly after they had started the task, one per run, since a run
    /// last outlived its probation.
    pub(crate) crashes: Vec<Crash>,
    /// Whether an earlier leader may have started it on a worker that has not answered yet.
    pub(crate) inherited: bool,
    /// Earliest time of the next start; set after a failure.
    pub(crate) not_before: Time,
    /// When the state last changed.
    pub(crate) since: Time,
    /// Since when it waits for a run, by the clock of this term: since its step became ready or
    /// its last run ended. A start that was refused or not answered does not change it. `None`
    /// until a pass finds it, and once a worker has shown a run. Kept for long-running tasks.
    pub(crate) waiting_since: Option<Time>,
}

impl Task {
    pub(crate) fn is_done(&self) -> bool {
        self.state == TaskState::Done
    }
}

/// Tasks of one step of an occurrence.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    pub(crate) waiting: u32,
    /// Wait of its oldest task when it was last reported what the step waits for.
    pub(crate) wait_reported: Span,
    /// When the step was last tried as a starved one, if no worker was found.
    pub(crate) refused: Option<Time>,
    /// When the limit of its customer last held back a task of it. Only the time since then says
    /// anything about the workers.
    pub(crate) limited: Option<Time>,
}

impl StepState {
    fn new(step: &Step, inherited: bool, progress: Option<&StepProgress>, now: Time) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            run: Run(0),
            shared: false,
            failed: Vec::new(),
            checkpoint: None,
            crashes: Vec::new(),
            inherited,
            not_before: Time::ZERO,
            since: now,
            waiting_since: None,
        };
        let mut tasks = vec![task; step.count as usize];
        for (i, task) in (0u32..).zip(&mut tasks) {
            if progress.is_some_and(|p| p.is_done(i)) {
                task.state = TaskState::Done;
            }
        }
        for known in progress.iter().flat_map(|p| &p.tasks) {
            if let Some(task) = tasks.get_mut(known.index as usize) {
                task.failed.clone_from(&known.failed);
                task.checkpoint.clone_from(&known.checkpoint);
            }
        }
        let done = tasks.iter().filter(|t| t.state == TaskState::Done).count() as u32;
        let waiting = step.count - done;
        Self {
            tasks,
            done,
            waiting,
            wait_reported: Span::ZERO,
            refused: None,
            limited: None,
        }
    }

    /// Time since the oldest waiting task began to wait; `None` if no task waits.
    pub(crate) fn longest_wait(&self, now: Time) -> Option<Span> {
        let waiting = |t: &&Task| t.state == TaskState::Waiting;
        let waits = self.tasks.iter().filter(waiting);
        waits.map(|t| now.since(t.since)).max()
    }

    /// Begins the waits of tasks that a pass has found without a run.
    pub(crate) fn begin_waits(&mut self, now: Time) {
        for task in &mut self.tasks {
            if task.state == TaskState::Waiting {
                task.waiting_since.get_or_insert(now);
            }
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    fn progress(&self) -> StepProgress {
        let mut progress = StepProgress::default();
        for (index, task) in (0u32..).zip(&self.tasks) {
            if task.state == TaskState::Done {
                progress.set_done(index);
            } else if !task.failed.is_empty() || task.checkpoint.is_some() {
                progress.tasks.push(TaskProgress {
                    index,
                    failed: task.failed.clone(),
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
        progress
    }
}

/// Least work of an unfinished task, in core-milliseconds. Estimates and sizes need not be declared,
/// and a task without them would precede all others at any priority.
const MIN_TASK_WORK: u64 = 1_000;

/// Maximum number of occurrences of a job that have begun and not ended. Without a limit, a
/// schedule whose occurrences are all due would take any amount of memory at once.
const MAX_OPEN_OCCURRENCES: usize = 1_000;

#[derive(Debug)]
pub(crate) struct Occurrence {
    pub(crate) number: u32,
    /// When it was due; for a job without a schedule, when the job was accepted.
    pub(crate) since: Time,
    /// One entry per step; empty if all were done when the job was loaded.
    pub(crate) steps: Vec<StepState>,
}

/// Estimated duration of the longest chain of dependent steps from each step on.
fn critical_paths(steps: &[Step]) -> Vec<Span> {
    let mut longest = vec![Span::ZERO; steps.len()];
    for i in (0..steps.len()).rev() {
        let later = (i + 1..steps.len())
            .filter(|&j| steps[j].after.contains(&(i as u16)))
            .map(|j| longest[j])
            .max()
            .unwrap_or_default();
        longest[i] = steps[i].estimate + later;
    }
    longest
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) record: Arc<JobRecord>,
    /// Index of the customer in `record`; saves a search by name for each run in each pass.
    pub(crate) customer: Option<CustomerIndex>,
    /// When the job was accepted, on this process's clock.
    pub(crate) accepted: Time,
    pub(crate) occurrences: Vec<Occurrence>,
    /// The first occurrence that has not begun. All before it have.
    pub(crate) begun: u32,
    /// Occurrences after `begun` that have begun: an earlier leader began those between as well,
    /// but their state was not stored.
    begun_ahead: BTreeSet<u32>,
    /// Whether any task has ever started.
    pub(crate) started: bool,
    pub(crate) outcome: Option<JobOutcome>,
    /// Outcome that the store holds. Callers are told of an outcome only when it is durable,
    /// except for a cancellation.
    pub(crate) durable_outcome: Option<JobOutcome>,
    /// Number of the first change that is not durable; `None` if all are.
    pub(crate) dirty_since: Option<u64>,
    pub(crate) ended: Option<Time>,
    /// Whether the store held the job before this term began.
    pub(crate) inherited: bool,
    /// When this term learned of the job or last gave up a run of it, in the order of arrivals;
    /// the default if the job was stored under this term's token and no run was given up.
    pub(crate) arrival: Arrival,
    /// Details of the crashes in [`Task::crashes`], except for those that earlier versions
    /// have counted.
    pub(crate) crash_details: Vec<CrashDetail>,
    /// For each step, the estimated duration of the longest chain of dependent steps that
    /// begins with it. Derived from `record`, which does not change.
    critical_paths: Vec<Span>,
}

impl Job {
    pub(crate) fn new(
        record: Arc<JobRecord>,
        accepted: Time,
        progress: Option<&Progress>,
        inherited: bool,
        arrival: Arrival,
        now: Time,
    ) -> Self {
        let mut job = Self {
            critical_paths: critical_paths(&record.spec.steps),
            record,
            customer: None,
            accepted,
            occurrences: Vec::new(),
            begun: 0,
            begun_ahead: BTreeSet::new(),
            started: progress.is_some(),
            outcome: progress.and_then(|p| p.outcome),
            durable_outcome: progress.and_then(|p| p.outcome),
            dirty_since: None,
            ended: progress.and_then(|p| p.outcome).map(|_| now),
            inherited,
            arrival,
            crash_details: progress
                .map(|p| p.crash_details.clone())
                .unwrap_or_default(),
        };
        for begun in progress.iter().flat_map(|p| &p.occurrences) {
            job.begin(begun.number, accepted, Some(begun));
        }
        for known in progress.iter().flat_map(|p| &p.crashes) {
            let step = job.step_mut(known.occurrence, known.step);
            if let Some(task) = step.and_then(|s| s.tasks.get_mut(known.index as usize)) {
                task.crashes.clone_from(&known.crashes);
                // The wait for a worker apart from others begins with the term.
                task.since = now;
            }
        }
        job
    }

    /// Begins an occurrence unless it has begun already. `progress` is its durable state. Returns
    /// whether it has begun now.
    pub(crate) fn begin(
        &mut self,
        number: u32,
        since: Time,
        progress: Option<&OccurrenceProgress>,
    ) -> bool {
        if number < self.begun || !self.begun_ahead.insert(number) {
            return false;
        }
        while self.begun_ahead.remove(&self.begun) {
            self.begun = self.begun.saturating_add(1);
        }
        let steps = match progress {
            Some(known) if known.steps.is_empty() => Vec::new(),
            _ => (0..)
                .zip(&self.record.spec.steps)
                .map(|(i, s)| {
                    let progress = progress.and_then(|o| o.steps.get(i));
                    StepState::new(s, self.inherited, progress, since)
                })
                .collect(),
        };
        self.occurrences.push(Occurrence {
            number,
            since,
            steps,
        });
        true
    }

    pub(crate) fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.iter().find(|o| o.number == number)
    }

    pub(crate) fn is_long_running(&self, step: u16) -> bool {
        let spec = self.record.spec.steps.get(usize::from(step));
        spec.is_some_and(|s| s.long_running)
    }

    pub(crate) fn step(&self, occurrence: u32, step: u16) -> Option<&StepState> {
        self.occurrence(occurrence)?.steps.get(usize::from(step))
    }

    pub(crate) fn step_mut(&mut self, occurrence: u32, step: u16) -> Option<&mut StepState> {
        self.occurrences
            .iter_mut()
            .find(|o| o.number == occurrence)?
            .steps
            .get_mut(usize::from(step))
    }

    pub(crate) fn task(&self, key: TaskKey) -> Option<&Task> {
        self.step(key.step.occurrence, key.step.step)?
            .tasks
            .get(key.index as usize)
    }

    pub(crate) fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.step_mut(key.step.occurrence, key.step.step)?
            .tasks
            .get_mut(key.index as usize)
    }

    /// Records that a worker has shown a run of a task, which ends its wait for one.
    pub(crate) fn record_run(&mut self, key: TaskKey) {
        if let Some(task) = self.task_mut(key) {
            task.waiting_since = None;
        }
    }

    /// Records a checkpoint of a run, unless one of a later run is known. The value of any member
    /// of a gang is valid for all, so that of a gang is kept once, with its first task.
    pub(crate) fn record_checkpoint(&mut self, key: TaskKey, run: Run, saved: &ArcStr) {
        if let Some(task) = self.task_mut(self.checkpoint_holder(key))
            && (run >= task.run || task.checkpoint.is_none())
        {
            task.checkpoint = Some(saved.clone());
        }
    }

    /// The checkpoint from which a task resumes. That of all members of a gang is the same.
    pub(crate) fn checkpoint(&self, key: TaskKey) -> Option<ArcStr> {
        self.task(self.checkpoint_holder(key))?.checkpoint.clone()
    }

    fn checkpoint_holder(&self, key: TaskKey) -> TaskKey {
        let steps = &self.record.spec.steps;
        let is_gang = steps
            .get(usize::from(key.step.step))
            .is_some_and(|s| s.gang);
        match is_gang {
            true => TaskKey { index: 0, ..key },
            false => key,
        }
    }

    /// Whether all steps that a step depends on are done.
    pub(crate) fn is_step_ready(&self, occurrence: &Occurrence, step: usize) -> bool {
        let Some(spec) = self.record.spec.steps.get(step) else {
            return false;
        };
        spec.after.iter().all(|&a| {
            occurrence
                .steps
                .get(usize::from(a))
                .is_some_and(StepState::is_done)
        })
    }

    /// Steps of an occurrence with waiting tasks and no open dependencies. `key` is that of the job.
    pub(crate) fn ready_steps(
        &self,
        key: JobKey,
        occurrence: &Occurrence,
    ) -> impl Iterator<Item = StepKey> {
        let steps = (0u16..).zip(&occurrence.steps);
        let ready = steps.filter(|(i, step)| {
            step.waiting > 0 && self.is_step_ready(occurrence, usize::from(*i))
        });
        ready.map(move |(step, _)| StepKey {
            job: key,
            occurrence: occurrence.number,
            step,
        })
    }

    /// Whether one more occurrence may begin beside those that have not ended.
    pub(crate) fn has_room_for_occurrence(&self) -> bool {
        let open = self.occurrences.iter();
        let open = open.filter(|o| !o.steps.iter().all(StepState::is_done));
        let open = open.take(MAX_OPEN_OCCURRENCES).count();
        let tasks = self.record.spec.tasks().saturating_mul(open as u64 + 1);
        open == 0 || (open < MAX_OPEN_OCCURRENCES && tasks <= MAX_TASKS_PER_JOB)
    }

    /// Whether every occurrence has begun and all its tasks have succeeded.
    pub(crate) fn is_complete(&self) -> bool {
        self.begun >= self.record.spec.occurrences()
            && self
                .occurrences
                .iter()
                .all(|o| o.steps.iter().all(StepState::is_done))
    }

    /// Estimated duration of the longest chain of dependent steps that begins with `step`.
    pub(crate) fn critical_path_from(&self, step: usize) -> Span {
        self.critical_paths.get(step).copied().unwrap_or_default()
    }

    /// Estimated processor time of an occurrence's unfinished tasks, in core-milliseconds. Each
    /// counts at least [`MIN_TASK_WORK`].
    pub(crate) fn remaining_work(&self, occurrence: &Occurrence) -> u64 {
        let left = |(spec, state): (&Step, &StepState)| {
            let tasks = u64::from(spec.count - state.done);
            let work = delay_cost::work(spec.size, spec.estimate).max(MIN_TASK_WORK);
            tasks.saturating_mul(work)
        };
        let steps = self.record.spec.steps.iter().zip(&occurrence.steps);
        steps.map(left).fold(0, u64::saturating_add)
    }

    /// Estimated duration of the longest chain of dependent steps of the job.
    pub(crate) fn critical_path(&self) -> Span {
        self.critical_paths
            .iter()
            .copied()
            .max()
            .unwrap_or_default()
    }

    /// State to store, from which the next leader resumes the job.
    pub(crate) fn progress(&self) -> Progress {
        let occurrences = match self.outcome {
            Some(_) => Vec::new(),
            None => self
                .occurrences
                .iter()
                .map(|o| OccurrenceProgress {
                    number: o.number,
                    steps: match o.steps.iter().all(StepState::is_done) {
                        true => Vec::new(),
                        false => o.steps.iter().map(StepState::progress).collect(),
                    },
                })
                .collect(),
        };
        Progress {
            outcome: self.outcome,
            occurrences,
            crashes: match self.outcome {
                Some(_) => Vec::new(),
                None => self.crashes(),
            },
            crash_details: match self.outcome {
                Some(_) => Vec::new(),
                None => self.crash_details.clone(),
            },
        }
    }

    /// Crashes that are counted against unfinished tasks.
    fn crashes(&self) -> Vec<TaskCrashes> {
        let mut crashes = Vec::new();
        for occurrence in &self.occurrences {
            for (step, state) in (0u16..).zip(&occurrence.steps) {
                for (index, task) in (0u32..).zip(&state.tasks) {
                    if !task.crashes.is_empty() && !task.is_done() {
                        crashes.push(TaskCrashes {
                            occurrence: occurrence.number,
                            step,
                            index,
                            crashes: task.crashes.clone(),
                        });
                    }
                }
            }
        }
        crashes
    }
}
