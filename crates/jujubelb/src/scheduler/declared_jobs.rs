//! The thread that submits the jobs that the configuration declares to their home
//! shards, and cancels them when it no longer declares them.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Scheduler;
use crate::model::{Code, JobName, JobSpec, Revision, Span, Time};
use crate::peer::{Call, Reply};
use crate::process::Running;
use crate::process::jobs::{self, JobClaim};
use crate::shard::{Cancellation, Submission, home_shard, job_digest};

/// Interval of checking for declared jobs to submit.
const STEP_INTERVAL: Span = Span::from_millis(500);

/// Interval of checking for jobs that are no longer declared.
const WITHDRAWAL_INTERVAL: Span = Span::from_millis(1_000);

/// Jobs handled in one step, each of which costs up to two store calls.
const MAX_JOBS_PER_STEP: usize = 4;

/// Longest wait for a reply of the home shard's owner.
const OWNER_CALL_TIMEOUT: Span = Span::from_millis(5_000);

/// Delay before a failed submission is retried.
const RETRY_DELAY: Span = Span::from_secs(2);

/// Outcome of submitting a declared job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SubmitOutcome {
    /// The declaration with this digest was accepted or can never be accepted.
    Final([u8; 32]),
    /// The submission failed and is due again at this time.
    RetryAt(Time),
}

/// State of the thread for declared jobs.
pub(super) struct DeclaredJobs {
    scheduler: Arc<Scheduler>,
    outcomes: IndexMap<JobName, SubmitOutcome>,
    revision: Revision,
    /// Claims of the live jobs of the owned shards that the configuration does not
    /// declare; a claim tells whether the job ever was declared.
    undeclared: IndexMap<JobName, JobClaim>,
    last_check: Time,
}

impl DeclaredJobs {
    /// The state before the first submission.
    pub(super) fn new(scheduler: Arc<Scheduler>) -> Self {
        Self {
            scheduler,
            outcomes: IndexMap::new(),
            revision: Revision::default(),
            undeclared: IndexMap::new(),
            last_check: Time::ZERO,
        }
    }

    /// Runs until the process ends.
    pub(super) fn run(mut self, running: &Running) {
        while running.wait(STEP_INTERVAL) {
            if !self.scheduler.process.is_draining() {
                self.submit_due();
                self.cancel_withdrawn();
            }
        }
    }

    fn submit_due(&mut self) {
        let (process, config) = (
            &self.scheduler.process,
            self.scheduler.process.active_config.config(),
        );
        if config.revision != self.revision {
            self.revision = config.revision;
            self.outcomes
                .retain(|name, _| config.jobs.contains_key(name));
        }
        let now = process.clock.now();
        let is_due = |job: &&JobSpec| match self.outcomes.get(&job.name) {
            Some(SubmitOutcome::Final(known)) => *known != job_digest(job),
            Some(SubmitOutcome::RetryAt(at)) => now >= *at,
            None => true,
        };
        let is_local = |job: &&JobSpec| {
            home_shard(&config, &job.name).is_some_and(|shard| self.scheduler.owns(shard))
        };
        let due: Vec<_> = config
            .jobs
            .values()
            .filter(is_local)
            .filter(is_due)
            .collect();
        for job in due.into_iter().take(MAX_JOBS_PER_STEP) {
            let outcome = match self.claim_and_submit(&config, job) {
                true => SubmitOutcome::Final(job_digest(job)),
                false => SubmitOutcome::RetryAt(now + RETRY_DELAY),
            };
            self.outcomes.insert(job.name.clone(), outcome);
        }
    }

    /// Cancels live jobs that are no longer declared. Requires fresh evidence,
    /// because an outdated configuration may lack a new declaration.
    fn cancel_withdrawn(&mut self) {
        let process = &self.scheduler.process;
        let (now, active) = (process.clock.now(), process.active_config.get());
        if now.since(self.last_check) < WITHDRAWAL_INTERVAL || !active.evidence.is_fresh(now) {
            return;
        }
        self.last_check = now;
        let mut live = self.scheduler.live_jobs();
        live.retain(|job| !active.config.jobs.contains_key(job));
        self.undeclared.retain(|job, _| live.contains(job));
        let unclassified: Vec<_> = live
            .iter()
            .filter(|job| !self.undeclared.contains_key(*job))
            .take(MAX_JOBS_PER_STEP)
            .cloned()
            .collect();
        for job in unclassified {
            if let Ok(Some(claim)) = jobs::find(&self.scheduler.process.store, &job) {
                self.undeclared.insert(job, claim);
            }
        }
        let withdrawn = self.undeclared.iter().filter(|(_, claim)| claim.declared);
        for (job, claim) in withdrawn.take(MAX_JOBS_PER_STEP) {
            let cancel = Cancellation {
                shard: claim.shard.clone(),
                job: job.clone(),
            };
            let call = Call::Cancel(cancel);
            if let Some(Reply::Code(Code::Done, _)) =
                self.scheduler
                    .call_owner_blocking(&claim.shard, call, OWNER_CALL_TIMEOUT)
            {
                log::info!(job:% = job; "cancelled a job that is no longer declared");
            }
        }
    }

    /// Claims the name of the job and submits the job to the shard that the claim
    /// names. Returns whether the outcome is final.
    fn claim_and_submit(&self, config: &crate::config::Config, job: &JobSpec) -> bool {
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
        match self.scheduler.call_owner_blocking(
            &shard,
            Call::Submit(submission),
            OWNER_CALL_TIMEOUT,
        ) {
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
