//! Confirmation that a term is the newest one, before it acts on what it has newly learned.
//!
//! A leader may go on for a while after the next one was elected, and both then learn of the
//! same new jobs. A job is started only by a leader that was still the newest at the store
//! after it had learned of the job: every later leader then reads the job when its term
//! begins, and treats it as inherited. A job that was stored under the condition that this
//! term is the newest needs no further proof, see [`JobRecord::term_token`]. The same
//! confirmation is needed for the incarnations of workers, since a new incarnation has not
//! seen the token of a newer leader, and for runs that are given up.

use super::Dispatcher;
use super::job_spec::JobRecord;

/// Number of a job or an incarnation of a worker in the order in which a dispatcher learned
/// of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arrival(u64);

impl Dispatcher {
    /// Number of the last arrival. To be read before a call is sent to the store whose
    /// success is passed to [`term_confirmed`](Self::term_confirmed).
    pub fn last_arrival(&self) -> Arrival {
        self.last_arrival
    }

    /// Whether anything has arrived that the term may act on only when it is confirmed.
    pub fn needs_confirmation(&self) -> bool {
        self.confirmed < self.last_arrival
    }

    /// Records that the store has executed a call that only the newest leader can make, and
    /// that was sent when `upto` was the last arrival.
    pub fn term_confirmed(&mut self, upto: Arrival) {
        self.confirmed = self.confirmed.max(upto);
    }

    /// Number of a job that the dispatcher has just learned of. A job that was stored under
    /// this term's token gets one that is confirmed already.
    pub(super) fn job_arrival(&mut self, record: &JobRecord) -> Arrival {
        match record.term_token == Some(self.term.token) {
            true => Arrival::default(),
            false => self.next_arrival(),
        }
    }

    /// Numbers a job or an incarnation that the dispatcher has just learned of.
    pub(super) fn next_arrival(&mut self) -> Arrival {
        self.last_arrival.0 += 1;
        self.last_arrival
    }
}
