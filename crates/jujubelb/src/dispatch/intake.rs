//! Jobs and workers that come and go.

use std::sync::Arc;

use super::job::Job;
use super::job_spec::{JobKey, JobRecord, StepKey};
use super::progress::{JobOutcome, Progress};
use super::worker::{Worker, WorkerReport};
use super::{Dispatcher, local_time};
use crate::model::{Span, Time, WallTime, WorkerName};

/// Longest age that a job's calendar time is believed to show; clocks differ.
const OLDEST: Span = Span::from_secs(600);

impl Dispatcher {
    /// Takes a job that the store has. `inherited` tells that it was there
    /// before this term, so that an earlier leader may have started its tasks.
    pub fn accept(
        &mut self,
        key: JobKey,
        record: JobRecord,
        progress: Option<&Progress>,
        inherited: bool,
        wall: WallTime,
        now: Time,
    ) {
        if self.jobs.contains_key(&key) {
            return;
        }
        let age = wall.since(record.accepted).min(OLDEST);
        let scheduled = record.spec.schedule.is_some();
        let tasks: u32 = record.spec.steps.iter().map(|s| s.count).sum();
        log::info!(job:% = key, queue:% = record.queue.prefix, tasks = tasks, age:% = age, inherited = inherited; "job taken over from the store");
        let job = Job::new(Arc::new(record), now - age, progress, inherited, now);
        let live = job.outcome.is_none();
        self.jobs.insert(key, job);
        if !live {
            return;
        }
        if scheduled {
            self.scheduled.insert(key);
        } else if let Some(job) = self.jobs.get_mut(&key) {
            let accepted = job.accepted;
            job.begin(0, accepted, None);
        }
        self.open_steps(key);
        self.finish_if_complete(key, now);
    }

    /// Ends a job that a caller has cancelled. The cancellation is durable.
    pub fn cancel(&mut self, key: JobKey, now: Time) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.outcome.is_none() {
            log::info!(job:% = key; "job cancelled by its caller");
            self.finish(key, JobOutcome::Cancelled, now);
        }
    }

    /// Begins the occurrences that are due.
    pub(super) fn begin_due(&mut self, wall: WallTime, now: Time) {
        let scheduled: Vec<JobKey> = self.scheduled.iter().copied().collect();
        for key in scheduled {
            let Some(job) = self.jobs.get_mut(&key) else {
                self.scheduled.shift_remove(&key);
                continue;
            };
            let record = job.record.clone();
            let mut begun = false;
            while job.begun < record.spec.occurrences() {
                let Some(due) = record.spec.due(job.begun) else {
                    break;
                };
                if due > wall {
                    break;
                }
                log::info!(job:% = key, occurrence = job.begun, late:% = wall.since(due); "occurrence begun");
                let number = job.begun;
                job.begin(number, local_time(due, wall, now), None);
                begun = true;
            }
            if job.begun >= record.spec.occurrences() || job.outcome.is_some() {
                self.scheduled.shift_remove(&key);
            }
            if begun {
                self.open_steps(key);
            }
        }
    }

    /// Puts the steps that may have tasks to start among the ready ones.
    pub(super) fn open_steps(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        for occurrence in &job.occurrences {
            for (i, step) in occurrence.steps.iter().enumerate() {
                if step.waiting > 0 && job.is_step_open(occurrence, i) {
                    self.ready.insert(StepKey {
                        job: key,
                        occurrence: occurrence.number,
                        step: i as u16,
                    });
                }
            }
        }
    }

    /// Takes a worker's report from the store.
    pub fn worker_listed(&mut self, report: WorkerReport, now: Time) {
        let name = report.name.clone();
        if let Some(worker) = self.workers.get_mut(&name) {
            let (listed, leaving) = (worker.listed, worker.leaves.is_some());
            worker.refresh(report, now);
            if !listed || leaving != worker.leaves.is_some() {
                log::info!(worker:% = name, leaving:? = worker.report.drain_remaining; "worker listed");
            }
            return;
        }
        log::info!(worker:% = name, address:% = report.address, domain:% = report.domain; "worker listed");
        self.workers.insert(name, Worker::new(report, now));
        self.roster_dirty = true;
    }

    /// Takes note that the store no longer lists a worker.
    pub fn worker_unlisted(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker.listed
        {
            log::info!(worker:% = name, runs = worker.runs.len(); "worker no longer listed");
            worker.listed = false;
        }
    }

    /// Takes note of all workers that the store lists.
    pub fn workers_listed(&mut self, reports: Vec<WorkerReport>, now: Time) {
        let names: Vec<WorkerName> = reports.iter().map(|r| r.name.clone()).collect();
        for report in reports {
            self.worker_listed(report, now);
        }
        for name in self.workers() {
            if !names.contains(&name) {
                self.worker_unlisted(&name);
            }
        }
    }
}
