//! Confirmation that a term is the newest one, before it acts on what it has newly learned.
//!
//! A leader may go on for a while after the next one was elected, and both then learn of the
//! same new jobs. A job is started only by a leader that was still the newest at the store
//! after it had learned of the job: every later leader then reads the job when its term
//! begins, and treats it as inherited. The same holds for the incarnations of workers,
//! since a new incarnation has not seen the token of a newer leader.

use super::Dispatcher;

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

    /// Numbers a job or an incarnation that the dispatcher has just learned of.
    pub(super) fn next_arrival(&mut self) -> Arrival {
        self.last_arrival.0 += 1;
        self.last_arrival
    }
}
