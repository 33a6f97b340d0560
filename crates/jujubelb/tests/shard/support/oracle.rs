//! Checks the invariants against what the workers actually ran and against the log.

use indexmap::{IndexMap, IndexSet};
use jujubelb::journal::{AttemptOutcome, Change, decode_segment};
use jujubelb::model::{
    Attempt, Checkpoint, Code, JobName, MayHaveRun, Resources, Span, TaskId, Time,
};

use super::worker::{FakeWorker, StartEvent};

/// Longest time after a domain was taken out of service at which tasks may still start there.
const MAX_START_DELAY: Span = Span::from_secs(3);

/// Observations about a job.
#[derive(Debug, Default)]
pub struct JobHistory {
    /// Number of tasks, once the log contains the acceptance.
    pub tasks: Option<u32>,
    pub cancelled: bool,
    /// Number of submissions without a reply.
    pub open_submissions: u32,
    /// Whether a reply accepted the job or left open whether it runs.
    pub may_run: bool,
}

#[derive(Debug, Default)]
pub struct Oracle {
    pub violations: Vec<String>,
    pub jobs: IndexMap<JobName, JobHistory>,
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
    fn report_violation(&mut self, rule: &str, description: String) {
        self.violations.push(format!("{rule}: {description}"));
    }

    /// Records the changes of a stored segment.
    pub fn record_segment(&mut self, key: &str, value: &[u8]) {
        let segment = decode_segment(value).unwrap();
        for change in segment.changes {
            match change {
                Change::Accepted { job } => {
                    let history = self.jobs.entry(job.name.clone()).or_default();
                    if history.tasks.replace(job.tasks).is_some() {
                        self.report_violation("accepted twice", format!("{} in {key}", job.name));
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
                } => self.record_end(task, attempt, outcome),
                Change::LateSuccess { task, attempt } => {
                    self.record_end(task, attempt, AttemptOutcome::Success)
                }
                Change::Received { task, attempt, .. }
                    if !self.received.insert((task.clone(), attempt)) =>
                {
                    self.report_violation("received twice", task.to_string());
                }
                _ => {}
            }
        }
    }

    fn record_end(&mut self, task: TaskId, attempt: Attempt, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::Success && !self.completed.insert(task.clone()) {
            self.report_violation("completed twice", task.to_string());
        }
        self.ended.insert((task, attempt));
    }

    /// Records the reply to a submission.
    pub fn record_submit_code(&mut self, job: &JobName, code: Code) {
        let history = self.jobs.entry(job.clone()).or_default();
        history.open_submissions = history.open_submissions.saturating_sub(1);
        let accepted = matches!(code, Code::Accepted | Code::AlreadyAccepted);
        if accepted || code.may_have_run() != MayHaveRun::No {
            history.may_run = true;
        }
        if accepted && history.tasks.is_none() {
            self.report_violation("accepted without a stored segment", job.to_string());
        }
    }

    /// Records an actual start. `out` is the time at which the worker's domain was
    /// taken out of service, if it is out.
    pub fn record_start(&mut self, start: &StartEvent, out: Option<Time>) {
        let description = format!("{} #{} on {}", start.task, start.attempt, start.worker);
        self.starts.push((start.at, start.checkpoint.is_some()));
        if !self.started.insert((start.task.clone(), start.attempt)) {
            self.report_violation("attempt started twice", description.clone());
        }
        if self.completed.contains(&start.task) {
            self.report_violation("completed task started", description.clone());
        }
        if start.checkpoint.as_ref() != self.checkpoints.get(&start.task) {
            self.report_violation("not the newest checkpoint", description.clone());
        }
        if out.is_some_and(|out| start.at > out + MAX_START_DELAY) {
            self.report_violation("started in a domain out of service", description.clone());
        }
        let history = self.jobs.entry(start.task.job.clone()).or_default();
        if history.open_submissions == 0 && !history.may_run {
            self.report_violation("started although refused as not run", description);
        }
    }

    /// Records that a worker was told to forget a succeeded attempt. The end has to
    /// be stored, as a success, or as a loss that was assumed before the report
    /// arrived.
    pub fn record_forgotten(&mut self, key: &(TaskId, Attempt)) {
        if !self.ended.contains(key) {
            self.report_violation("forgotten before its end was stored", key.0.to_string());
        }
    }

    /// Checks the running attempts of all workers at one instant.
    pub fn check_workers(&mut self, workers: &[(FakeWorker, Resources)]) {
        let mut places = IndexMap::new();
        for (worker, available) in workers {
            if !worker.limits_in_use().fits(available) {
                self.report_violation("limits above capacity", worker.name.to_string());
            }
            for report in worker.running() {
                let other = places.insert(&report.task, &worker.name);
                if let Some(other) = other {
                    let description = format!("{} on {other} and {}", report.task, worker.name);
                    self.violations
                        .push(format!("ran in two places: {description}"));
                }
            }
        }
    }

    /// Returns the accepted tasks that have not ended and are not cancelled.
    pub fn unfinished(&self) -> Vec<TaskId> {
        let mut unfinished = Vec::new();
        for (job, history) in &self.jobs {
            for index in 0..history.tasks.filter(|_| !history.cancelled).unwrap_or(0) {
                let job = job.clone();
                let id = TaskId { job, index };
                if !self.completed.contains(&id) {
                    unfinished.push(id);
                }
            }
        }
        unfinished
    }

    /// Whether a job was cancelled.
    pub fn is_cancelled(&self, job: &JobName) -> bool {
        self.jobs.get(job).is_some_and(|history| history.cancelled)
    }
}
