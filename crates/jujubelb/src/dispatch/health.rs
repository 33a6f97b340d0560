//! Tells sick workers from tasks that fail anywhere.

use super::job_spec::JobKey;
use crate::model::{Span, Time};

/// Different jobs that have to fail in a row on a worker before it is taken
/// for sick. One job alone may be hopeless by itself.
const SICK_AFTER: usize = 3;

/// Overdue runs in a row after which a worker is taken for sick.
const SLOW_AFTER: u32 = 2;

/// Pause before a sick worker is tried with one task; doubles with each try.
const FIRST_PAUSE: Span = Span::from_millis(1_500);

/// Longest pause. Faults of workers last several seconds.
const LONGEST_PAUSE: Span = Span::from_secs(6);

/// What a worker's ends say of it.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Different jobs that have failed since the last good end.
    failed: Vec<JobKey>,
    /// Runs that took far too long since the last good end.
    overdue: u32,
    /// `Some` while it is taken for sick: when it may be tried.
    retry: Option<Time>,
    pause: Span,
}

impl Health {
    /// A run has ended well.
    pub(crate) fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// A run has failed by a fault of its own or of the worker. Returns whether
    /// the worker is newly taken for sick.
    pub(crate) fn failed(&mut self, now: Time, job: JobKey) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        self.judge(now)
    }

    /// A run takes far longer than expected.
    pub(crate) fn overdue(&mut self, now: Time) -> bool {
        self.overdue += 1;
        self.judge(now)
    }

    fn judge(&mut self, now: Time) -> bool {
        if self.failed.len() < SICK_AFTER && self.overdue < SLOW_AFTER {
            return false;
        }
        let fresh = self.retry.is_none();
        self.pause = match self.pause {
            Span::ZERO => FIRST_PAUSE,
            pause => pause.scale_up(2, 1).min(LONGEST_PAUSE),
        };
        self.retry = Some(now + self.pause);
        fresh
    }

    /// Whether the worker may be given a task while it holds `runs`.
    pub(crate) fn is_open(&self, now: Time, runs: usize) -> bool {
        match self.retry {
            None => true,
            Some(at) => now >= at && runs == 0,
        }
    }

    /// Whether it is taken for sick.
    pub(crate) fn is_sick(&self) -> bool {
        self.retry.is_some()
    }
}
