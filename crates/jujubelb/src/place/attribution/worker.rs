//! Failures and successes on one worker.

use std::collections::VecDeque;

use super::FAILURE_WINDOW;
use crate::model::{JobName, Span, Time};

/// Duration of the first quarantine. It doubles with each relapse.
const INITIAL_QUARANTINE: Span = Span::from_secs(300);

/// Maximum duration of a quarantine.
const MAX_QUARANTINE: Span = Span::from_secs(4 * 3600);

/// Number of successes after which probation ends.
const PROBATION_SUCCESSES: u32 = 3;

/// Maximum number of tasks on a worker on probation.
pub(crate) const MAX_PROBATION_TASKS: usize = 2;

/// Maximum number of failures kept for one worker; more don't change the outcome.
const MAX_RETAINED_FAILURES: usize = 32;

/// Quarantine status of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Status {
    #[default]
    Normal,
    /// In quarantine, since this time.
    Quarantined(Time),
    /// Back from quarantine, with this many successes still required.
    Probation(u32),
}

/// Failures and successes on one worker.
#[derive(Debug, Default)]
pub(super) struct WorkerHistory {
    /// Failures since the last success.
    failures: VecDeque<(Time, JobName)>,
    /// Last success.
    last_success: Option<(Time, JobName)>,
    /// Last success of another job than that of `last_success`.
    other_success: Option<(Time, JobName)>,
    status: Status,
    /// Number of quarantines that ended.
    relapses: u32,
}

impl WorkerHistory {
    pub(super) fn record_success(&mut self, now: Time, job: &JobName) {
        self.failures.clear();
        if self
            .last_success
            .as_ref()
            .is_some_and(|(_, last_success)| last_success != job)
        {
            self.other_success = self.last_success.take();
        }
        self.last_success = Some((now, job.clone()));
        if let Status::Probation(left) = self.status {
            self.status = match left {
                0 | 1 => Status::Normal,
                _ => Status::Probation(left - 1),
            };
        }
    }

    pub(super) fn record_failure(&mut self, now: Time, job: &JobName) {
        self.failures.push_back((now, job.clone()));
        if self.failures.len() > MAX_RETAINED_FAILURES {
            self.failures.pop_front();
        }
    }

    /// Whether a job other than `job` succeeded on this worker recently.
    pub(super) fn other_jobs_succeed(&self, now: Time, job: &JobName) -> bool {
        let recent = |entry: &Option<(Time, JobName)>| {
            entry
                .as_ref()
                .is_some_and(|(at, name)| name != job && now.since(*at) < FAILURE_WINDOW)
        };
        recent(&self.last_success) || recent(&self.other_success)
    }

    pub(super) fn failures(&self) -> usize {
        self.failures.len()
    }

    pub(super) fn has_failed_since(&self, since: Time) -> bool {
        self.failures.back().is_some_and(|(at, _)| *at >= since)
    }

    pub(super) fn failed_jobs_since(&self, since: Time) -> impl Iterator<Item = &JobName> {
        let recent = self.failures.iter().filter(move |(at, _)| *at >= since);
        recent.map(|(_, job)| job)
    }

    /// Time since the oldest failure kept.
    pub(super) fn time_since_first_failure(&self, now: Time) -> Span {
        self.failures
            .front()
            .map_or(Span::ZERO, |(at, _)| now.since(*at))
    }

    /// Whether the worker failed again on probation.
    pub(super) fn has_relapsed(&self) -> bool {
        matches!(self.status, Status::Probation(_)) && !self.failures.is_empty()
    }

    pub(super) fn is_on_probation(&self) -> bool {
        matches!(self.status, Status::Probation(_))
    }

    pub(super) fn quarantine(&mut self, now: Time) {
        self.status = Status::Quarantined(now);
        self.failures.clear();
    }

    /// Ends the quarantine if its time is over and returns how long it lasted. The time
    /// of a quarantine by a former owner counts from this owner's first call.
    pub(super) fn readmit(&mut self, now: Time) -> Option<Span> {
        let Status::Quarantined(since) = self.status else {
            self.quarantine(now);
            return None;
        };
        let factor = 1u64 << self.relapses.min(16);
        let period = Span::from_micros(INITIAL_QUARANTINE.as_micros() * factor);
        let after = now.since(since);
        if after < period.min(MAX_QUARANTINE) {
            return None;
        }
        self.relapses += 1;
        self.status = Status::Probation(PROBATION_SUCCESSES);
        self.failures.clear();
        Some(after)
    }

    /// Discards failures that are attributed to the failure domain.
    pub(super) fn discard_since(&mut self, since: Time) {
        self.failures.retain(|(at, _)| *at < since);
    }

    pub(super) fn prune(&mut self, since: Time) {
        while self.failures.front().is_some_and(|(at, _)| *at < since) {
            self.failures.pop_front();
        }
    }

    /// Whether the history can be dropped. That of a worker that was in quarantine is
    /// kept.
    pub(super) fn is_idle(&self, since: Time) -> bool {
        self.failures.is_empty()
            && self.relapses == 0
            && self.status == Status::Normal
            && self.last_success.as_ref().is_none_or(|(at, _)| *at < since)
    }
}
