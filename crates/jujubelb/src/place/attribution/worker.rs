//! Failures and successes on one worker.

use std::collections::VecDeque;

use super::WINDOW;
use crate::model::{JobName, Span, Time};

/// First time in quarantine. It doubles with each relapse.
const QUARANTINE: Span = Span::from_secs(300);

/// Longest time in quarantine.
const QUARANTINE_MOST: Span = Span::from_secs(4 * 3600);

/// Successes after which probation ends.
const PROBATION_SUCCESSES: u32 = 3;

/// Tasks that a worker on probation may have at a time.
pub(crate) const PROBATION_TASKS: usize = 2;

/// Failures kept of one worker; more change no verdict.
const KEPT: usize = 32;

/// How far a worker is trusted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Trust {
    #[default]
    Full,
    /// In quarantine since this time.
    Quarantine(Time),
    /// Successes still needed.
    Probation(u32),
}

/// Failures and successes on one worker.
#[derive(Debug, Default)]
pub(super) struct WorkerHistory {
    /// Failures since the last success.
    failures: VecDeque<(Time, JobName)>,
    /// The last success, and the last one of another job than that.
    last: Option<(Time, JobName)>,
    other: Option<(Time, JobName)>,
    trust: Trust,
    relapses: u32,
}

impl WorkerHistory {
    pub(super) fn succeeded(&mut self, now: Time, job: &JobName) {
        self.failures.clear();
        if self.last.as_ref().is_some_and(|(_, last)| last != job) {
            self.other = self.last.take();
        }
        self.last = Some((now, job.clone()));
        if let Trust::Probation(left) = self.trust {
            self.trust = match left {
                0 | 1 => Trust::Full,
                _ => Trust::Probation(left - 1),
            };
        }
    }

    pub(super) fn failed(&mut self, now: Time, job: &JobName) {
        self.failures.push_back((now, job.clone()));
        if self.failures.len() > KEPT {
            self.failures.pop_front();
        }
    }

    /// Whether another job than `job` succeeded here recently.
    pub(super) fn serves_others(&self, now: Time, job: &JobName) -> bool {
        let recent = |entry: &Option<(Time, JobName)>| {
            entry
                .as_ref()
                .is_some_and(|(at, name)| name != job && now.since(*at) < WINDOW)
        };
        recent(&self.last) || recent(&self.other)
    }

    pub(super) fn failures(&self) -> usize {
        self.failures.len()
    }

    pub(super) fn fails_since(&self, since: Time) -> bool {
        self.failures.back().is_some_and(|(at, _)| *at >= since)
    }

    pub(super) fn jobs_since(&self, since: Time) -> impl Iterator<Item = &JobName> {
        let recent = self.failures.iter().filter(move |(at, _)| *at >= since);
        recent.map(|(_, job)| job)
    }

    /// Time since the oldest failure that counts.
    pub(super) fn since_first(&self, now: Time) -> Span {
        self.failures
            .front()
            .map_or(Span::ZERO, |(at, _)| now.since(*at))
    }

    /// Whether it failed again on probation.
    pub(super) fn is_relapsed(&self) -> bool {
        matches!(self.trust, Trust::Probation(_)) && !self.failures.is_empty()
    }

    pub(super) fn is_on_probation(&self) -> bool {
        matches!(self.trust, Trust::Probation(_))
    }

    pub(super) fn quarantine(&mut self, now: Time) {
        self.trust = Trust::Quarantine(now);
        self.failures.clear();
    }

    /// Ends the quarantine if its time is over. A quarantine of a former owner
    /// counts from when this owner first sees it.
    pub(super) fn readmit(&mut self, now: Time) -> Option<Span> {
        let Trust::Quarantine(since) = self.trust else {
            self.quarantine(now);
            return None;
        };
        let factor = 1u64 << self.relapses.min(16);
        let period = Span::from_micros(QUARANTINE.as_micros() * factor);
        let after = now.since(since);
        if after < period.min(QUARANTINE_MOST) {
            return None;
        }
        self.relapses += 1;
        self.trust = Trust::Probation(PROBATION_SUCCESSES);
        self.failures.clear();
        Some(after)
    }

    /// Drops failures that are put down to the domain.
    pub(super) fn forgive(&mut self, since: Time) {
        self.failures.retain(|(at, _)| *at < since);
    }

    pub(super) fn prune(&mut self, since: Time) {
        while self.failures.front().is_some_and(|(at, _)| *at < since) {
            self.failures.pop_front();
        }
    }

    /// Whether nothing is left to remember. A worker that was in quarantine stays.
    pub(super) fn is_idle(&self, since: Time) -> bool {
        self.failures.is_empty()
            && self.relapses == 0
            && self.trust == Trust::Full
            && self.last.as_ref().is_none_or(|(at, _)| *at < since)
    }
}
