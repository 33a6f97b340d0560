//! What must never happen, judged by what the workers really ran and by the log.

use indexmap::{IndexMap, IndexSet};
use jujubelb::journal::{AttemptOutcome, Change, decode_segment};
use jujubelb::model::{
    Attempt, Checkpoint, Code, JobName, MayHaveRun, Resources, Span, TaskId, Time,
};

use super::worker::{FakeWorker, Started};

/// A start this long after a domain was taken out is too late.
const START_WINDOW: Span = Span::from_secs(3);

/// What is known of a job.
#[derive(Debug, Default)]
pub struct Fate {
    /// Tasks, once the log has the acceptance.
    pub tasks: Option<u32>,
    pub cancelled: bool,
    /// Submissions without an answer.
    pub open: u32,
    /// Whether some answer left open that the job may run.
    pub may_run: bool,
}

#[derive(Debug, Default)]
pub struct Oracle {
    pub violations: Vec<String>,
    pub jobs: IndexMap<JobName, Fate>,
    pub completed: IndexSet<TaskId>,
    checkpoints: IndexMap<TaskId, Checkpoint>,
    started: IndexSet<(TaskId, Attempt)>,
    /// Time of each start and whether it resumed from a checkpoint.
    pub starts: Vec<(Time, bool)>,
    received: IndexSet<(TaskId, Attempt)>,
    /// Attempts whose end is stored.
    ended: IndexSet<(TaskId, Attempt)>,
}

impl Oracle {
    fn violate(&mut self, rule: &str, what: String) {
        self.violations.push(format!("{rule}: {what}"));
    }

    /// Takes in a stored segment.
    pub fn log(&mut self, key: &str, value: &[u8]) {
        let segment = decode_segment(value).unwrap();
        for change in segment.changes {
            match change {
                Change::Accepted { job } => {
                    let fate = self.jobs.entry(job.name.clone()).or_default();
                    if fate.tasks.replace(job.tasks).is_some() {
                        self.violate("accepted twice", format!("{} in {key}", job.name));
                    }
                }
                Change::Cancelled { job } => {
                    self.jobs.entry(job).or_default().cancelled = true;
                }
                Change::Checkpointed {
                    task, checkpoint, ..
                } => {
                    self.checkpoints.insert(task, checkpoint);
                }
                Change::Ended {
                    task,
                    attempt,
                    outcome,
                } => self.end(task, attempt, outcome),
                Change::LateSuccess { task, attempt } => {
                    self.end(task, attempt, AttemptOutcome::Success)
                }
                Change::Received { task, attempt, .. }
                    if !self.received.insert((task.clone(), attempt)) =>
                {
                    self.violate("received twice", task.to_string());
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, task: TaskId, attempt: Attempt, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::Success && !self.completed.insert(task.clone()) {
            self.violate("completed twice", task.to_string());
        }
        self.ended.insert((task, attempt));
    }

    /// Takes in the answer to a submission.
    pub fn answered(&mut self, job: &JobName, code: Code) {
        let fate = self.jobs.entry(job.clone()).or_default();
        fate.open = fate.open.saturating_sub(1);
        let accepted = matches!(code, Code::Accepted | Code::AlreadyAccepted);
        if accepted || code.may_have_run() != MayHaveRun::No {
            fate.may_run = true;
        }
        if accepted && fate.tasks.is_none() {
            self.violate("accepted without a stored segment", job.to_string());
        }
    }

    /// Takes in a start that happened; `out` is when the worker's domain was taken out, if it is.
    pub fn start(&mut self, start: &Started, out: Option<Time>) {
        let what = format!("{} #{} on {}", start.task, start.attempt, start.worker);
        self.starts.push((start.at, start.checkpoint.is_some()));
        if !self.started.insert((start.task.clone(), start.attempt)) {
            self.violate("attempt started twice", what.clone());
        }
        if self.completed.contains(&start.task) {
            self.violate("completed task started", what.clone());
        }
        if start.checkpoint.as_ref() != self.checkpoints.get(&start.task) {
            self.violate("not the newest checkpoint", what.clone());
        }
        if out.is_some_and(|out| start.at > out + START_WINDOW) {
            self.violate("started in a domain out of service", what.clone());
        }
        let fate = self.jobs.entry(start.task.job.clone()).or_default();
        if fate.open == 0 && !fate.may_run {
            self.violate("started although refused as not run", what);
        }
    }

    /// A worker was told to forget an attempt that succeeded. Its end has to be
    /// stored, as a success or as a loss that was assumed before the report came.
    pub fn forgotten(&mut self, key: &(TaskId, Attempt)) {
        if !self.ended.contains(key) {
            self.violate("forgotten before its end was stored", key.0.to_string());
        }
    }

    /// Looks at all workers at one instant.
    pub fn look(&mut self, workers: &[(FakeWorker, Resources)]) {
        let mut places = IndexMap::new();
        for (worker, room) in workers {
            if !worker.used().fits(room) {
                self.violate("limits above capacity", worker.name.to_string());
            }
            for report in worker.running() {
                let other = places.insert(&report.task, &worker.name);
                if let Some(other) = other {
                    let what = format!("{} on {other} and {}", report.task, worker.name);
                    self.violations.push(format!("ran in two places: {what}"));
                }
            }
        }
    }

    /// Accepted tasks that have not ended.
    pub fn unfinished(&self) -> Vec<TaskId> {
        let mut left = Vec::new();
        for (job, fate) in &self.jobs {
            for index in 0..fate.tasks.filter(|_| !fate.cancelled).unwrap_or(0) {
                let job = job.clone();
                let id = TaskId { job, index };
                if !self.completed.contains(&id) {
                    left.push(id);
                }
            }
        }
        left
    }

    /// Whether a job was cancelled.
    pub fn is_cancelled(&self, job: &JobName) -> bool {
        self.jobs.get(job).is_some_and(|fate| fate.cancelled)
    }
}
