//! The thread that has declared jobs accepted by their home shards, and
//! cancelled when the configuration no longer declares them.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Scheduler;
use crate::model::{Code, JobName, JobSpec, Revision, Span, Time};
use crate::peer::{Call, Reply};
use crate::process::Running;
use crate::process::jobs::{self, JobClaim};
use crate::shard::{Cancellation, Submission, home_shard, job_digest};

/// Interval of looking for declared jobs.
const STEP: Span = Span::from_millis(500);

/// Interval of looking for jobs that are no longer declared.
const LOOK_EVERY: Span = Span::from_millis(1_000);

/// Jobs handled in one step. Each costs up to two store calls.
const BATCH: usize = 4;

/// Time for the answer of the home shard's owner.
const PATIENCE: Span = Span::from_millis(5_000);

/// Time until a job is tried again after a failure.
const RETRY: Span = Span::from_secs(2);

/// What became of a declared job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The home shard accepted the declaration with this digest, or never will.
    Settled([u8; 32]),
    /// To be tried again at this time.
    Again(Time),
}

/// State of the thread.
pub(super) struct Declared {
    scheduler: Arc<Scheduler>,
    outcomes: IndexMap<JobName, Outcome>,
    revision: Revision,
    /// Live jobs of the owned shards that are not declared now, and whether they once were.
    origins: IndexMap<JobName, JobClaim>,
    looked: Time,
}

impl Declared {
    /// The state at the start.
    pub(super) fn new(scheduler: Arc<Scheduler>) -> Self {
        Self {
            scheduler,
            outcomes: IndexMap::new(),
            revision: Revision::default(),
            origins: IndexMap::new(),
            looked: Time::ZERO,
        }
    }

    /// Runs until the process ends.
    pub(super) fn run(mut self, running: &Running) {
        while running.wait(STEP) {
            if !self.scheduler.process.is_draining() {
                self.step();
                self.withdraw();
            }
        }
    }

    fn step(&mut self) {
        let (process, config) = (
            &self.scheduler.process,
            self.scheduler.process.board.config(),
        );
        if config.revision != self.revision {
            self.revision = config.revision;
            self.outcomes
                .retain(|name, _| config.jobs.contains_key(name));
        }
        let now = process.clock.now();
        let open = |job: &&JobSpec| match self.outcomes.get(&job.name) {
            Some(Outcome::Settled(known)) => *known != job_digest(job),
            Some(Outcome::Again(at)) => now >= *at,
            None => true,
        };
        let own = |job: &&JobSpec| {
            home_shard(&config, &job.name).is_some_and(|shard| self.scheduler.owns(shard))
        };
        let due: Vec<_> = config.jobs.values().filter(own).filter(open).collect();
        for job in due.into_iter().take(BATCH) {
            let outcome = match self.submit(&config, job) {
                true => Outcome::Settled(job_digest(job)),
                false => Outcome::Again(now + RETRY),
            };
            self.outcomes.insert(job.name.clone(), outcome);
        }
    }

    /// Cancels live jobs that were declared and are not any more. The evidence
    /// has to be fresh: an old configuration may lack a new declaration.
    fn withdraw(&mut self) {
        let process = &self.scheduler.process;
        let (now, present) = (process.clock.now(), process.board.present());
        if now.since(self.looked) < LOOK_EVERY || !present.evidence.is_fresh(now) {
            return;
        }
        self.looked = now;
        let mut live = self.scheduler.live_jobs();
        live.retain(|job| !present.config.jobs.contains_key(job));
        self.origins.retain(|job, _| live.contains(job));
        let unknown: Vec<_> = live
            .iter()
            .filter(|job| !self.origins.contains_key(*job))
            .take(BATCH)
            .cloned()
            .collect();
        for job in unknown {
            if let Ok(Some(claim)) = jobs::find(&self.scheduler.process.store, &job) {
                self.origins.insert(job, claim);
            }
        }
        let withdrawn = self.origins.iter().filter(|(_, claim)| claim.declared);
        for (job, claim) in withdrawn.take(BATCH) {
            let cancel = Cancellation {
                shard: claim.shard.clone(),
                job: job.clone(),
            };
            let call = Call::Cancel(cancel);
            if let Some(Reply::Code(Code::Done, _)) =
                self.scheduler
                    .call_owner_blocking(&claim.shard, call, PATIENCE)
            {
                log::info!(job:% = job; "a job that is no longer declared is cancelled");
            }
        }
    }

    /// Claims the name and submits the job to the shard that the claim names.
    /// Returns whether nothing is left to do.
    fn submit(&self, config: &crate::config::Config, job: &JobSpec) -> bool {
        let shard = match jobs::claim(&self.scheduler.process.store, config, job, true) {
            Ok(shard) => shard,
            Err(failure) => {
                log::warn!(job:% = job.name, code = failure.code.number(), message = failure.message.as_str(); "a declared job has no home shard");
                return failure.code == Code::JobConflict;
            }
        };
        let submission = Submission {
            shard: shard.clone(),
            job: job.clone(),
        };
        match self
            .scheduler
            .call_owner_blocking(&shard, Call::Submit(submission), PATIENCE)
        {
            Some(Reply::Code(code @ (Code::Accepted | Code::AlreadyAccepted), _)) => {
                log::info!(job:% = job.name, shard:% = shard, code = code.number(); "a declared job is accepted");
                true
            }
            Some(Reply::Code(code, text)) => {
                log::warn!(job:% = job.name, shard:% = shard, code = code.number(), message = text.as_str(); "a declared job is not accepted yet");
                matches!(code, Code::JobConflict | Code::Impossible)
            }
            _ => false,
        }
    }
}
