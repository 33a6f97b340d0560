//! Arrival of jobs, cancellations, due occurrences and worker reports.

use std::sync::Arc;

use indexmap::IndexSet;

use super::job::Job;
use super::job_spec::{JobKey, JobRecord, StepKey};
use super::progress::{JobOutcome, Progress};
use super::worker::{Worker, WorkerReport};
use super::{Dispatcher, local_time};
use crate::model::{Span, Time, WallTime, WorkerName};

/// Upper bound for the age of a job computed from calendar times, because the clocks of
/// hosts differ.
const MAX_JOB_AGE: Span = Span::from_secs(600);

/// Largest number of cancellations that are kept for jobs that have not arrived yet. Beyond
/// it the oldest is dropped; the watch of the store repeats it after its job.
const MAX_EARLY_CANCELS: usize = 1_000;

impl Dispatcher {
    /// Adds a stored job. `inherited` says that the store held it before this term, so that
    /// an earlier leader may have started its tasks. Returns whether the job is new and
    /// confirmed: it was stored under this term's token. No task of any other job starts before
    /// the term has been confirmed, see [`term_confirmed`](Self::term_confirmed).
    pub fn accept(
        &mut self,
        key: JobKey,
        record: JobRecord,
        progress: Option<&Progress>,
        inherited: bool,
        wall: WallTime,
        now: Time,
    ) -> bool {
        if self.jobs.contains_key(&key) {
            return false;
        }
        let cancelled = self.early_cancels.shift_remove(&key);
        let age = wall.since(record.accepted).min(MAX_JOB_AGE);
        let scheduled = record.spec.schedule.is_some();
        let tasks = record.spec.tasks();
        let arrival = self.job_arrival(&record);
        let confirmed = arrival <= self.confirmed;
        log::info!(job:% = key, queue:% = record.queue.prefix, tasks = tasks, age:% = age, inherited = inherited, confirmed = confirmed; "job accepted from the store");
        let customer = record.customer.as_ref().map(|c| self.customers.index(c));
        let mut job = Job::new(
            Arc::new(record),
            now - age,
            progress,
            inherited,
            arrival,
            now,
        );
        job.customer = customer;
        let live = job.outcome.is_none();
        self.index_assumed(key, &job.crash_details);
        self.jobs.insert(key, job);
        if !live {
            return false;
        }
        if let Some(job) = self.jobs.get(&key) {
            let record = &job.record;
            self.admission.job_accepted(&record.queue, &record.spec);
        }
        if scheduled {
            self.scheduled.insert(key);
        } else if let Some(job) = self.jobs.get_mut(&key) {
            let accepted = job.accepted;
            job.begin(0, accepted, None);
        }
        self.queue_ready_steps(key);
        self.finish_if_complete(key, now);
        if cancelled {
            self.cancel(key, now);
        }
        confirmed
    }

    /// Ends a job that its caller has cancelled. The cancellation is durable already.
    pub fn cancel(&mut self, key: JobKey, now: Time) {
        let Some(job) = self.jobs.get(&key) else {
            if self.early_cancels.insert(key) && self.early_cancels.len() > MAX_EARLY_CANCELS {
                self.early_cancels.shift_remove_index(0);
            }
            return;
        };
        if job.outcome.is_none() {
            log::info!(job:% = key; "job cancelled by its caller");
            self.finish(key, JobOutcome::Cancelled, now);
        }
    }

    /// Records that the store holds a mark that a job was cancelled before it was stored. The mark
    /// is deleted after the retention time.
    pub fn job_withdrawn(&mut self, key: JobKey, now: Time) {
        if !self.withdrawn.contains_key(&key) {
            log::info!(job:% = key; "job cancelled before it was stored");
            self.withdrawn.insert(key, now);
        }
    }

    /// Begins all occurrences that are due.
    pub(super) fn begin_due_occurrences(&mut self, wall: WallTime, now: Time) {
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
                if !job.has_room_for_occurrence() {
                    log::debug!(job:% = key, occurrence = job.begun, late:% = wall.since(due); "occurrence waits: too many have not ended");
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
                self.queue_ready_steps(key);
            }
        }
    }

    /// Begins the occurrence of a run that a worker reports, unless it has begun: an earlier leader
    /// has begun it, and the store does not have its state.
    pub(super) fn begin_reported(&mut self, run: StepKey, now: Time) {
        let Some(job) = self.jobs.get_mut(&run.job) else {
            return;
        };
        let spec = &job.record.spec;
        let is_possible = spec.schedule.is_some() && run.occurrence < spec.occurrences();
        if job.outcome.is_some() || !is_possible || !job.begin(run.occurrence, now, None) {
            return;
        }
        log::info!(job:% = run.job, occurrence = run.occurrence; "occurrence begun by an earlier leader");
        if let Some(job) = self.jobs.get(&run.job)
            && let Some(occurrence) = job.occurrence(run.occurrence)
        {
            self.ready.extend(job.ready_steps(run.job, occurrence));
        }
    }

    /// Adds the job's steps with waiting tasks and no open dependencies to `ready`.
    pub(super) fn queue_ready_steps(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get(&key) {
            let occurrences = job.occurrences.iter();
            self.ready
                .extend(occurrences.flat_map(|o| job.ready_steps(key, o)));
        }
    }

    /// Adds or updates a worker from its report in the store.
    pub fn worker_listed(&mut self, report: WorkerReport, now: Time) {
        let name = report.name.clone();
        if let Some(worker) = self.workers.get_mut(&name) {
            let (listed, leaving) = (worker.listed, worker.drain_deadline.is_some());
            let moved = worker.report.address != report.address;
            worker.update_report(report, now);
            self.roster_dirty |= moved && worker.fenced;
            if !listed || leaving != worker.drain_deadline.is_some() {
                log::info!(worker:% = name, leaving:? = worker.report.drain_remaining; "worker listed");
            }
            return;
        }
        log::info!(worker:% = name, address:% = report.address, domain:% = report.domain; "worker listed");
        self.workers.insert(name, Worker::new(report, now));
        self.membership += 1;
    }

    /// Records that a change of workers' entries was read from the store, of any worker. The
    /// changes are read in order, so all that were made before the last read are known now.
    pub fn entries_read(&mut self, now: Time) {
        self.listed_until = self.last_listed;
        self.last_listed = now;
    }

    /// Records that the store no longer lists a worker.
    pub fn worker_unlisted(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker.listed
        {
            log::info!(worker:% = name, runs = worker.runs.len(); "worker no longer listed");
            worker.listed = false;
            if !worker.reachable {
                self.assume_crash(name);
            }
        }
    }

    /// Replaces the set of listed workers by `reports`, a full list from the store.
    pub fn workers_listed(&mut self, reports: Vec<WorkerReport>, now: Time) {
        let names: IndexSet<WorkerName> = reports.iter().map(|r| r.name.clone()).collect();
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
