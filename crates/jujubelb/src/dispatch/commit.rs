//! What has to become durable, in batches.

use std::net::SocketAddr;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use super::Dispatcher;
use super::job_spec::JobKey;
use super::progress::Progress;
use super::worker::WorkerReport;
use crate::model::{DomainName, Resources, ServiceName, Span, Time, WorkerName};
use crate::place::headroom::Slopes;

/// Entries that a batch may need; the store takes 32 in a transaction, of which
/// the leader's condition and its key take one each.
pub(crate) const MOST_ENTRIES: usize = 30;

/// Jobs in one batch, which may also hold the roster and the model. A batch with
/// one entry too many would be refused for ever.
const JOBS_PER_COMMIT: usize = MOST_ENTRIES - 2;

/// Keys of a job that is forgotten.
#[cfg(test)]
const KEYS_PER_JOB: usize = 3;

/// Jobs that one batch forgets, at three keys each, beside a small batch.
const FORGOTTEN_PER_COMMIT: usize = 6;

/// Jobs that leave room in a transaction for forgetting others.
const SMALL_COMMIT: usize = 10;

/// How long an ended job stays known. Callers may ask for two minutes, and a
/// copy of a submission may arrive seconds after the job was accepted.
const RETENTION: Span = Span::from_secs(600);

/// A worker on which tasks may have been started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Its name.
    pub name: WorkerName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its service.
    pub service: ServiceName,
    /// Its domain.
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

/// All workers on which tasks may have been started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// In order of their first use.
    pub workers: Vec<RosterEntry>,
}

/// What a leader has learned of the interference between tasks. The next leader
/// goes on from it instead of trying all pairs again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct InterferenceModel(pub(super) Slopes);

/// Time between two writes of what was learned.
const MODEL_EVERY: Span = Span::from_secs(3);

/// A batch of changes to write in one transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct Commit {
    /// Jobs with their state.
    pub jobs: Vec<(JobKey, Progress)>,
    /// The roster, if it has changed.
    pub roster: Option<Roster>,
    /// What was learned, now and then.
    pub model: Option<InterferenceModel>,
    /// Jobs to forget with all their keys.
    pub forgotten: Vec<JobKey>,
    /// The last change that the batch contains.
    upto: u64,
}

impl Commit {
    /// Entries that the batch needs in a transaction.
    #[cfg(test)]
    pub(crate) fn entries(&self) -> usize {
        let singles = usize::from(self.roster.is_some()) + usize::from(self.model.is_some());
        self.jobs.len() + singles + KEYS_PER_JOB * self.forgotten.len()
    }
}

impl Dispatcher {
    /// Whether there is something to write.
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty() || self.roster_dirty || !self.expired.is_empty()
    }

    /// The next batch to write; one at a time.
    pub fn take_commit(&mut self, now: Time) -> Option<Commit> {
        if !self.has_changes() {
            return None;
        }
        let keys: Vec<JobKey> = self.dirty.iter().take(JOBS_PER_COMMIT).copied().collect();
        let jobs: Vec<(JobKey, Progress)> = keys
            .iter()
            .filter_map(|k| self.jobs.get(k).map(|j| (*k, j.progress())))
            .collect();
        let roster = self.roster_dirty.then(|| Roster {
            workers: self
                .workers
                .values()
                .filter(|w| w.listed || w.rostered)
                .map(|w| RosterEntry {
                    name: w.report.name.clone(),
                    address: w.report.address,
                    service: w.report.service.clone(),
                    domain: w.report.domain.clone(),
                })
                .collect(),
        });
        self.roster_dirty = false;
        let forgotten = self.expired.iter().take(FORGOTTEN_PER_COMMIT).copied();
        let forgotten = match keys.len() {
            0..=SMALL_COMMIT => forgotten.collect(),
            _ => Vec::new(),
        };
        let model = (now.since(self.modelled) > MODEL_EVERY).then(|| {
            self.modelled = now;
            InterferenceModel(self.slopes.clone())
        });
        Some(Commit {
            jobs,
            model,
            roster,
            forgotten,
            upto: self.changes,
        })
    }

    /// Takes note that a batch is durable.
    pub fn committed(&mut self, commit: &Commit, now: Time) {
        for (key, progress) in &commit.jobs {
            let outcome = &progress.outcome;
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if outcome.is_some() && job.durable.is_none() {
                log::info!(job:% = key, outcome:? = outcome, age:% = now.since(job.accepted); "outcome durable");
            }
            job.durable = *outcome;
            if self.changes > commit.upto && job.progress() != *progress {
                // It has changed since the batch was taken, right after it at the earliest.
                job.dirty = Some(commit.upto + 1);
            } else {
                job.dirty = None;
                self.dirty.shift_remove(key);
            }
        }
        for key in &commit.forgotten {
            self.jobs.shift_remove(key);
            self.expired.shift_remove(key);
        }
        for entry in commit.roster.iter().flat_map(|r| &r.workers) {
            if let Some(worker) = self.workers.get_mut(&entry.name) {
                worker.rostered = true;
            }
        }
        self.acknowledge(commit.upto);
    }

    /// Finds the jobs that ended long ago, and forgets what was asked for the
    /// steps of ended ones.
    pub fn expire(&mut self, now: Time) {
        self.drop_permits();
        let old = |j: &super::job::Job| {
            j.durable.is_some() && j.ended.is_some_and(|at| now.since(at) > RETENTION)
        };
        let expired = self.jobs.iter().filter(|(_, j)| old(j)).map(|(k, _)| *k);
        self.expired.extend(expired);
    }

    /// Takes note that a batch was not written; it is part of the next one.
    pub fn commit_failed(&mut self, commit: &Commit) {
        self.roster_dirty |= commit.roster.is_some();
    }

    /// Lets workers forget the ends whose effects are durable.
    fn acknowledge(&mut self, upto: u64) {
        let oldest = self
            .dirty
            .iter()
            .filter_map(|k| self.jobs.get(k)?.dirty)
            .min();
        let durable = oldest.map_or(upto, |d| (d - 1).min(upto));
        for worker in self.workers.values_mut() {
            if worker.pending <= durable {
                worker.acknowledged = worker.seen;
            }
        }
    }
}
