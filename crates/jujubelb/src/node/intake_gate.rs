//! Keeps new jobs from a leader whose lease may have ended. Pure; the present time is an
//! argument.

use indexmap::IndexMap;

use crate::dispatch::{JobKey, JobRecord};
use crate::model::{Span, Time};

/// Decides whether a leader may start to dispatch a job that was just stored.
///
/// A new leader starts jobs at once that were stored after it had loaded the state: it relies
/// on no earlier leader knowing them. So an earlier leader must take no job in after its lease
/// has ended. Jobs that it knew before are inherited, and wait until all workers are fenced.
#[derive(Debug)]
pub(crate) struct IntakeGate {
    /// A time before the lease was last renewed.
    renewed: Time,
    /// Length of the lease.
    length: Span,
    /// Jobs that wait for a renewal.
    waiting: IndexMap<JobKey, AdmittedJob>,
}

/// A job that may be dispatched.
#[derive(Debug)]
pub(crate) struct AdmittedJob {
    pub(crate) record: JobRecord,
    /// Whether it was cancelled while it waited.
    pub(crate) cancelled: bool,
}

impl IntakeGate {
    /// A gate for a lease of this length that was granted after `renewed`.
    pub(crate) fn new(renewed: Time, length: Span) -> Self {
        let waiting = IndexMap::new();
        Self {
            renewed,
            length,
            waiting,
        }
    }

    /// Time since the last renewal.
    pub(crate) fn age(&self, now: Time) -> Span {
        now.since(self.renewed)
    }

    /// Adds a job that is in the store. Returns the jobs that may be dispatched now.
    pub(crate) fn admit(
        &mut self,
        key: JobKey,
        record: JobRecord,
        now: Time,
    ) -> IndexMap<JobKey, AdmittedJob> {
        let cancelled = false;
        let job = AdmittedJob { record, cancelled };
        self.waiting.entry(key).or_insert(job);
        self.release(now)
    }

    /// Records the cancellation of a job if the job waits.
    pub(crate) fn cancel(&mut self, key: JobKey) {
        if let Some(job) = self.waiting.get_mut(&key) {
            job.cancelled = true;
        }
    }

    /// Records a renewal that was sent at `sent`. Returns the jobs that may be dispatched now.
    pub(crate) fn renewed(&mut self, sent: Time, now: Time) -> IndexMap<JobKey, AdmittedJob> {
        self.renewed = sent;
        self.release(now)
    }

    fn release(&mut self, now: Time) -> IndexMap<JobKey, AdmittedJob> {
        match self.age(now) < self.length {
            true => std::mem::take(&mut self.waiting),
            false => IndexMap::new(),
        }
    }
}
