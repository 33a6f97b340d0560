//! Distinguishes unhealthy workers from tasks that fail on any worker.

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

/// Upper bound for the pause between probes. Faults of workers last several seconds.
const MAX_PROBE_PAUSE: Span = Span::from_secs(6);

/// Health of a worker, derived from the outcomes of its runs.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Distinct jobs with a failed run since the last success.
    failed_jobs: Vec<JobKey>,
    /// Runs that stalled since the last success.
    stalls: u32,
    /// When an unhealthy worker may be probed; `None` while it is considered healthy.
    next_probe: Option<Time>,
    probe_pause: Span,
}

impl Health {
    /// Records a run that succeeded.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a run that failed by a fault of its own or of the worker. Returns whether
    /// the worker has just become unhealthy.
    pub(crate) fn record_failure(&mut self, now: Time, job: JobKey) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        self.update(now)
    }

    /// Records a run without progress. Returns whether the worker has just become unhealthy.
    pub(crate) fn record_stall(&mut self, now: Time) -> bool {
        self.stalls += 1;
        self.update(now)
    }

    fn update(&mut self, now: Time) -> bool {
        if self.failed_jobs.len() < UNHEALTHY_AFTER_FAILED_JOBS
            && self.stalls < UNHEALTHY_AFTER_STALLS
        {
            return false;
        }
        let newly_unhealthy = self.next_probe.is_none();
        self.probe_pause = match self.probe_pause {
            Span::ZERO => MIN_PROBE_PAUSE,
            pause => pause.scale_up(2, 1).min(MAX_PROBE_PAUSE),
        };
        self.next_probe = Some(now + self.probe_pause);
        newly_unhealthy
    }

    /// Whether a task may be started on the worker while it has `runs` runs.
    pub(crate) fn accepts_start(&self, now: Time, runs: usize) -> bool {
        match self.next_probe {
            None => true,
            Some(at) => now >= at && runs == 0,
        }
    }

    pub(crate) fn is_unhealthy(&self) -> bool {
        self.next_probe.is_some()
    }
}
