//! Totals of a dispatcher for the log, the metrics and the state dump.

use indexmap::IndexSet;

use super::Dispatcher;
use super::job::Job;
use super::job_spec::JobKey;
use super::worker::{RunPhase, TrackedRun, Worker};

/// Totals of a dispatcher. The field names appear in the log and in the state dump.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Summary {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Jobs that have not ended and of which no run is assigned to a worker.
    pub idle_jobs: usize,
    /// Tasks that wait for a worker.
    pub waiting: usize,
    /// Longest time for which a task of a ready step has waited for a worker, in milliseconds.
    pub longest_wait_ms: u64,
    /// Runs assigned to workers, whether or not the worker has confirmed them.
    pub running: usize,
    /// Runs that are paused beside serving tasks.
    pub paused: usize,
    /// Runs that started because their step was starved.
    pub starved: usize,
    /// Workers that have seen this term's token.
    pub workers: usize,
    /// Workers that are considered unhealthy.
    pub sick: usize,
    /// Jobs with changes that are not durable yet.
    pub undurable: usize,
    /// Completions that have been processed and not yet acknowledged to their workers.
    pub unacknowledged: u64,
    /// Runs whose start order got no answer, and of which nothing is known yet.
    pub unanswered: usize,
    /// Runs that have to be stopped and have not ended.
    pub stopping: usize,
    /// Capacity of the workers in use, in cores.
    pub room: u64,
    /// Cores reserved by the declared sizes of runs.
    pub counted: u64,
    /// Cores that runs use or are expected to use at full pace.
    pub demand: u64,
    /// The same, with each run at its present pace.
    pub paced: u64,
}

impl Dispatcher {
    /// Current totals for the log, the metrics and the state dump.
    pub fn summary(&self) -> Summary {
        let live = |j: &&Job| j.outcome.is_none();
        let runs = || self.workers.values().flat_map(|w| w.runs.values());
        let count = |matches: fn(&TrackedRun) -> bool| runs().filter(|r| matches(r)).count();
        Summary {
            jobs: self.jobs.values().filter(live).count(),
            idle_jobs: self.idle_jobs(),
            waiting: self
                .jobs
                .values()
                .filter(live)
                .flat_map(|j| &j.occurrences)
                .flat_map(|o| &o.steps)
                .map(|s| s.waiting as usize)
                .sum(),
            longest_wait_ms: self.longest_ready_wait(self.last_pass).as_millis(),
            running: runs().count(),
            paused: count(|r| r.pace == 0),
            starved: count(|r| r.starved),
            workers: self.workers.values().filter(|w| w.fenced).count(),
            sick: self
                .workers
                .values()
                .filter(|w| w.health.is_unhealthy())
                .count(),
            undurable: self.dirty_jobs.len(),
            unacknowledged: self
                .workers
                .values()
                .map(|w| w.processed - w.acknowledged)
                .sum(),
            unanswered: count(|r| r.phase == RunPhase::Unsure),
            stopping: count(|r| r.must_stop),
            room: self.total_cores(|w| w.report.capacity.cpu.0),
            counted: self.total_cores(|w| w.load.reserved.cpu.0),
            demand: self.total_cores(|w| w.load.cpu_demand),
            paced: self.total_cores(Worker::paced_demand),
        }
    }

    /// Number of jobs with a task that waits in a ready step, and without any run.
    fn idle_jobs(&self) -> usize {
        let workers = self.workers.values();
        let with_runs: IndexSet<JobKey> = workers
            .flat_map(|w| w.runs.keys())
            .map(|t| t.step.job)
            .collect();
        let ready = self.ready.iter().filter(|k| self.ready_step(**k).is_some());
        let idle: IndexSet<JobKey> = ready
            .map(|k| k.job)
            .filter(|j| !with_runs.contains(j))
            .collect();
        idle.len()
    }

    /// Sum of a figure in millicores over the workers in use, in whole cores.
    fn total_cores(&self, millicores: impl Fn(&Worker) -> u64) -> u64 {
        let in_use = self.workers.values().filter(|w| w.fenced && w.listed);
        in_use.map(millicores).sum::<u64>() / 1_000
    }
}

impl Worker {
    /// Expected processor time of its runs at their present paces, in millicores.
    fn paced_demand(&self) -> u64 {
        let paced = |r: &TrackedRun| r.cpu_demand().saturating_mul(u64::from(r.pace)) / 100;
        self.runs.values().map(paced).sum()
    }
}
