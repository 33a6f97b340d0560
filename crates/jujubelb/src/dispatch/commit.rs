//! Batches of state changes to be written to the store.

use std::net::SocketAddr;

use arcstr::ArcStr;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::Dispatcher;
use super::confirmation::Arrival;
use super::job_spec::JobKey;
use super::progress::Progress;
use super::worker::{Admission, Worker, WorkerReport};
use crate::model::{DomainName, Resources, ServiceName, Span, Time, WorkerName};
use crate::place::headroom::Slopes;

/// Maximum number of transaction entries for a batch. The store accepts 32 entries, of
/// which the condition on the leader's key and the write of that key take one each.
pub(crate) const MAX_ENTRIES_PER_COMMIT: usize = 30;

/// Maximum number of jobs in a batch that also contains the roster and the model. The
/// store would refuse a batch with more entries at every attempt.
const MAX_JOBS_PER_COMMIT: usize = MAX_ENTRIES_PER_COMMIT - 2;

/// Number of jobs in a full batch that are there because their changes have waited longest.
/// A quarter, so that outcomes keep most of the batch.
const OLDEST_JOBS_PER_COMMIT: usize = MAX_JOBS_PER_COMMIT / 4;

/// Number of keys deleted for a forgotten job.
#[cfg(test)]
const KEYS_PER_JOB: usize = 3;

/// Maximum number of jobs that a batch deletes, with three keys each.
const MAX_FORGOTTEN_PER_COMMIT: usize = 6;

/// Maximum number of changed jobs in a batch that also deletes jobs.
const MAX_JOBS_WITH_FORGOTTEN: usize = 10;

/// How long an ended job is kept, and the mark of one that was cancelled before it was stored.
/// Callers may ask for a job's state for two minutes, and a write or a duplicate of its submission
/// may arrive seconds late.
const RETENTION: Span = Span::from_secs(600);

/// A worker on which tasks may have been started, with what is needed to poll it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Name of the worker.
    pub name: WorkerName,
    /// Address of the worker's order interface.
    pub address: SocketAddr,
    /// Service whose pool of workers it belongs to.
    pub service: ServiceName,
    /// Failure domain that the worker is in.
    pub domain: DomainName,
}

impl RosterEntry {
    pub(super) fn report(&self) -> WorkerReport {
        WorkerReport {
            name: self.name.clone(),
            address: self.address,
            service: self.service.clone(),
            domain: self.domain.clone(),
            labels: Vec::<ArcStr>::new(),
            rack: None,
            capacity: Resources::ZERO,
            drain_remaining: None,
            incarnation: None,
        }
    }
}

/// All workers on which tasks may have been started. A new leader has to hear from each
/// of them, or outlast its lease, before it starts inherited tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Workers that have answered a poll, in the order in which they were first listed. Other
    /// writers may list any number that never answers, and a new leader would wait for each.
    pub workers: Vec<RosterEntry>,
}

/// Learned interference between images. It is stored so that the next leader does not
/// have to learn every pair of images again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct InterferenceModel(pub(super) Slopes);

/// Time between two writes of the interference model.
const MODEL_WRITE_INTERVAL: Span = Span::from_secs(3);

/// A batch of changes to write in one transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct Commit {
    /// Changed jobs with their new state.
    pub jobs: Vec<(JobKey, Progress)>,
    /// New roster; `None` if it has not changed.
    pub roster: Option<Roster>,
    /// Interference model; `None` except every few seconds.
    pub model: Option<InterferenceModel>,
    /// Jobs whose keys are to be deleted.
    pub forgotten: Vec<JobKey>,
    /// Whether the revision of the write becomes the fencing token of all calls that are sent
    /// after it.
    pub raises_token: bool,
    /// Number of the last change that the batch contains.
    last_change: u64,
    /// Last arrival before the batch. The write succeeds only for the newest leader, which
    /// confirms the term.
    last_arrival: Arrival,
}

impl Commit {
    /// Number of transaction entries that the batch needs.
    #[cfg(test)]
    pub(crate) fn entries(&self) -> usize {
        let singles = usize::from(self.roster.is_some()) + usize::from(self.model.is_some());
        self.jobs.len() + singles + KEYS_PER_JOB * self.forgotten.len()
    }
}

impl Dispatcher {
    /// Whether there are changes to write.
    pub fn has_changes(&self) -> bool {
        !self.dirty_jobs.is_empty()
            || self.roster_dirty
            || self.raise_needed
            || !self.expired_jobs.is_empty()
    }

    /// Returns the next batch to write. Only one batch may be in progress at a time.
    pub fn take_commit(&mut self, now: Time) -> Option<Commit> {
        if !self.has_changes() {
            return None;
        }
        let keys = self.next_to_write();
        let jobs: Vec<(JobKey, Progress)> = keys
            .iter()
            .filter_map(|k| self.jobs.get(k).map(|j| (*k, j.progress())))
            .collect();
        let roster = self.roster_dirty.then(|| Roster {
            workers: self
                .workers
                .values()
                .filter(|w| w.fenced || w.roster_address.is_some())
                .map(|w| RosterEntry {
                    name: w.report.name.clone(),
                    address: w.report.address,
                    service: w.report.service.clone(),
                    domain: w.report.domain.clone(),
                })
                .collect(),
        });
        self.roster_dirty = false;
        let forgotten = self
            .expired_jobs
            .iter()
            .take(MAX_FORGOTTEN_PER_COMMIT)
            .copied();
        let forgotten = match keys.len() {
            0..=MAX_JOBS_WITH_FORGOTTEN => forgotten.collect(),
            _ => Vec::new(),
        };
        let model = (now.since(self.model_written) > MODEL_WRITE_INTERVAL).then(|| {
            self.model_written = now;
            InterferenceModel(self.slopes.clone())
        });
        Some(Commit {
            jobs,
            model,
            roster,
            forgotten,
            raises_token: std::mem::take(&mut self.raise_needed),
            last_change: self.change_count,
            last_arrival: self.last_arrival,
        })
    }

    /// Jobs of the next batch. Callers wait for outcomes, so they precede progress, those of
    /// urgent queues first; progress follows in the order in which it was made. The jobs that
    /// have waited longest have a place in each batch, because workers may forget no
    /// completion that is later than the oldest change that is not durable.
    fn next_to_write(&self) -> Vec<JobKey> {
        let mut outcomes = Vec::new();
        let mut progress = Vec::new();
        let mut waiting = Vec::with_capacity(self.dirty_jobs.len());
        for key in &self.dirty_jobs {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            waiting.push((job.dirty_since, *key));
            if job.outcome != job.durable_outcome {
                outcomes.push((job.record.queue.priority, *key));
            } else if progress.len() < MAX_JOBS_PER_COMMIT {
                progress.push(*key);
            }
        }
        outcomes.sort_by_key(|(priority, _)| *priority);
        let ranked = outcomes.into_iter().map(|(_, key)| key).chain(progress);
        if waiting.len() <= MAX_JOBS_PER_COMMIT {
            return ranked.collect();
        }
        waiting.sort_unstable();
        let oldest: IndexSet<JobKey> = waiting[..OLDEST_JOBS_PER_COMMIT]
            .iter()
            .map(|(_, key)| *key)
            .collect();
        let mut keys: Vec<JobKey> = ranked
            .filter(|key| !oldest.contains(key))
            .take(MAX_JOBS_PER_COMMIT - OLDEST_JOBS_PER_COMMIT)
            .collect();
        keys.extend(oldest);
        keys
    }

    /// Records that a batch is durable. `revision` is that of its write. If the batch raises the
    /// token, all calls that are sent from now on have to carry that revision.
    pub fn committed(&mut self, commit: &Commit, revision: u64, now: Time) {
        for (key, progress) in &commit.jobs {
            let outcome = &progress.outcome;
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if outcome.is_some() && job.durable_outcome.is_none() {
                log::info!(job:% = key, outcome:? = outcome, age:% = now.since(job.accepted); "outcome durable");
            }
            job.durable_outcome = *outcome;
            if self.change_count > commit.last_change && job.progress() != *progress {
                // The job has changed again, by the first change after the batch at the earliest.
                job.dirty_since = Some(commit.last_change + 1);
                // Behind the others, so that jobs that change all the time let them pass.
                self.dirty_jobs.shift_remove(key);
                self.dirty_jobs.insert(*key);
            } else {
                job.dirty_since = None;
                self.dirty_jobs.shift_remove(key);
            }
        }
        for key in &commit.forgotten {
            self.jobs.shift_remove(key);
            self.withdrawn.swap_remove(key);
            self.expired_jobs.shift_remove(key);
        }
        for entry in commit.roster.iter().flat_map(|r| &r.workers) {
            if let Some(worker) = self.workers.get_mut(&entry.name) {
                worker.roster_address = Some(entry.address);
            }
        }
        if commit.raises_token {
            self.raise_token(revision, now);
        }
        self.term_confirmed(commit.last_arrival);
        self.update_acknowledged(commit.last_change);
    }

    /// Marks jobs that ended longer ago than the retention time for deletion, and drops
    /// the tickets of ended jobs.
    pub fn expire(&mut self, now: Time) {
        self.drop_tickets();
        let old = |j: &super::job::Job| {
            j.durable_outcome.is_some() && j.ended.is_some_and(|at| now.since(at) > RETENTION)
        };
        let expired = self.jobs.iter().filter(|(_, j)| old(j)).map(|(k, _)| *k);
        self.expired_jobs.extend(expired);
        let withdrawn = self.withdrawn.iter();
        let expired = withdrawn.filter(|(_, at)| now.since(**at) > RETENTION);
        self.expired_jobs.extend(expired.map(|(k, _)| *k));
        self.drop_settled();
    }

    /// Records that a batch was not written. Its changes are part of the next one.
    pub fn commit_failed(&mut self, commit: &Commit) {
        self.roster_dirty |= commit.roster.is_some();
        self.raise_needed |= commit.raises_token;
    }

    /// Raises the token, so that the next poll of a restarted worker rules out calls that were
    /// made to its earlier incarnations.
    fn raise_token(&mut self, token: u64, now: Time) {
        self.token = self.token.max(token);
        let waiting = |w: &&mut Worker| w.admission == Admission::AwaitsToken;
        let mut count = 0;
        for worker in self.workers.values_mut().filter(waiting) {
            worker.admission = Admission::AwaitsPoll(now);
            count += 1;
        }
        log::info!(token = self.token, workers = count; "token raised for new incarnations of workers");
    }

    /// Allows workers to forget completions whose effects are durable.
    fn update_acknowledged(&mut self, upto: u64) {
        let oldest = self
            .dirty_jobs
            .iter()
            .filter_map(|k| self.jobs.get(k)?.dirty_since)
            .min();
        let durable = oldest.map_or(upto, |d| (d - 1).min(upto));
        for worker in self.workers.values_mut() {
            worker.acknowledge(durable);
        }
    }
}
