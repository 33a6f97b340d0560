//! Distinguishes unhealthy workers from tasks that fail on any worker.
//!
//! A worker is in one of three states:
//!
//! | state | meaning | next state |
//! |---|---|---|
//! | healthy | gets any task | unhealthy after failures of several jobs or several stalls without a success in between |
//! | unhealthy | gets no task before `next_probe` | probing once a task has started on it after that |
//! | probing | runs one task that it got as a probe | healthy if the probe succeeds; unhealthy for longer if it fails or stalls; unhealthy, and open to the next probe, if it ends in another way or goes on for long |
//!
//! Probing is not stored: a worker is probing while a run that has just started, after it became
//! unhealthy, is on it, so that a probe cannot be forgotten.

use super::job_spec::JobKey;
use crate::model::{Span, Time};

/// Number of distinct jobs that have to fail on a worker without a success in between
/// before the worker is considered unhealthy. A single job may be faulty itself.
const UNHEALTHY_AFTER_FAILED_JOBS: usize = 3;

/// Number of stalled runs without a success in between after which a worker is considered
/// unhealthy.
const UNHEALTHY_AFTER_STALLS: u32 = 2;

/// Pause before an unhealthy worker is probed with a single task; doubles after each
/// probe that fails.
const MIN_PROBE_PAUSE: Span = Span::from_millis(1_500);

/// Upper bound for the pause between probes. A lasting task has to start within 7 s after
/// the fault of the only worker with capacity for it has ended, and the probe before it
/// takes up to 2.5 s.
const MAX_PROBE_PAUSE: Span = Span::from_secs(4);

/// How long a probe keeps other tasks from its worker. One that has not failed or stalled by then
/// may go on for any time, and the worker may get another probe beside it.
const MAX_PROBE_DURATION: Span = Span::from_secs(4);

/// How long the probe of a worker has to be due before a task's last attempt may be one. A probe
/// must not use up the attempts of a task, but if no other task comes for so long, nothing else
/// would ever show that the worker is sound again.
pub(crate) const LAST_ATTEMPT_DELAY: Span = Span::from_secs(4);

/// Largest share of the workers that are considered unhealthy at a time. If more fail, the
/// cause is likely not a worker, and taking all of them out of use would stop everything.
const MAX_UNHEALTHY_PERCENT: usize = 75;

/// Largest share of the workers that are probed at a time. Each probe may cost a task one
/// of its attempts.
const MAX_PROBING_PERCENT: usize = 10;

/// Number of workers that may be probed at a time in any case, so that a small fleet
/// recovers as fast as a large one.
const MIN_PROBES: usize = 8;

/// How many more workers may be considered unhealthy, of `workers` in use of which
/// `unhealthy` are.
pub(crate) fn ejection_slots(workers: usize, unhealthy: usize) -> usize {
    (workers * MAX_UNHEALTHY_PERCENT / 100).saturating_sub(unhealthy)
}

/// How many more workers may be probed, of `workers` in use of which `probing` are.
pub(crate) fn probe_slots(workers: usize, probing: usize) -> usize {
    (workers * MAX_PROBING_PERCENT / 100)
        .max(MIN_PROBES)
        .saturating_sub(probing)
}

/// Health of a worker, derived from the outcomes of its runs.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Distinct jobs with a failed run since the last success.
    failed_jobs: Vec<JobKey>,
    /// Runs that stalled since the last success.
    stalls: u32,
    /// `None` while the worker is considered healthy.
    ejection: Option<Ejection>,
}

/// State of a worker that is considered unhealthy.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    /// Time of the last failure or stall. Only runs that began later say anything about
    /// the worker's current health.
    last_evidence: Time,
    /// Earliest time of the next probe.
    next_probe: Time,
    /// Pause before `next_probe`.
    pause: Span,
}

impl Health {
    /// Records that a run succeeded, or that a long-running one has become ready. `began` is
    /// when its start was ordered. Returns whether the worker has just become healthy.
    pub(crate) fn record_success(&mut self, began: Time) -> bool {
        match self.ejection {
            // The run began before the fault did.
            Some(ejection) if began <= ejection.last_evidence => false,
            known => {
                *self = Self::default();
                known.is_some()
            }
        }
    }

    /// Records progress of a finite run that began at `began`. A worker on which runs
    /// stalled is healthy once one progresses; one on which they failed is not, because they
    /// may progress until they fail. Returns whether the worker has just become healthy.
    pub(crate) fn record_progress(&mut self, began: Time) -> bool {
        let failing = self.failed_jobs.len() >= UNHEALTHY_AFTER_FAILED_JOBS;
        self.ejection.is_some() && !failing && self.record_success(began)
    }

    /// Records a run that failed by a fault of its own or of the worker. The worker becomes
    /// unhealthy only if `may_eject`. Returns whether it has just become unhealthy.
    pub(crate) fn record_failure(&mut self, now: Time, job: JobKey, may_eject: bool) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        self.update(now, may_eject)
    }

    /// Records a run without progress. The worker becomes unhealthy only if `may_eject`.
    /// Returns whether it has just become unhealthy.
    pub(crate) fn record_stall(&mut self, now: Time, may_eject: bool) -> bool {
        self.stalls += 1;
        self.update(now, may_eject)
    }

    fn update(&mut self, now: Time, may_eject: bool) -> bool {
        let enough_evidence = self.failed_jobs.len() >= UNHEALTHY_AFTER_FAILED_JOBS
            || self.stalls >= UNHEALTHY_AFTER_STALLS;
        let known = self.ejection;
        if !enough_evidence || (known.is_none() && !may_eject) {
            return false;
        }
        let pause = known.map_or(MIN_PROBE_PAUSE, |e| match now < e.next_probe {
            // A run from before the next probe adds no evidence about it.
            true => e.pause,
            false => e.pause.scale_up(2, 1).min(MAX_PROBE_PAUSE),
        });
        self.ejection = Some(Ejection {
            last_evidence: now,
            next_probe: now + pause,
            pause,
        });
        known.is_none()
    }

    /// Whether a worker in this state that is not being probed may get a probe.
    pub(crate) fn is_probe_due(&self, now: Time) -> bool {
        self.ejection.is_some_and(|e| now >= e.next_probe)
    }

    /// Whether a run that began at `began` is a probe of the worker whose end is awaited.
    pub(crate) fn is_probe(&self, began: Time, now: Time) -> bool {
        let is_recent = now.since(began) < MAX_PROBE_DURATION;
        is_recent && self.ejection.is_some_and(|e| began > e.last_evidence)
    }

    pub(crate) fn is_unhealthy(&self) -> bool {
        self.ejection.is_some()
    }
}
