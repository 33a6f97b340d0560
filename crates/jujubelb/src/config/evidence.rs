//! Start evidence: how long ago a read of the store confirmed the active configuration.

use serde::{Deserialize, Serialize};

use crate::model::{Span, Time};

/// Maximum age of evidence at which tasks may still start (design section 8).
pub const MAX_EVIDENCE_AGE: Span = Span::from_secs(3);

/// Start time of the newest read that confirmed the active configuration.
///
/// The age counts from the start of the read, because the returned state may be
/// that of any instant between the start and the reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    #[serde(rename = "began")]
    read_start: Option<Time>,
}

impl Evidence {
    /// Records a successful read of the head that began at `began`.
    pub fn confirm(&mut self, began: Time) {
        self.read_start = self.read_start.max(Some(began));
    }

    /// Records a peer's evidence that was `age` old when the peer replied to a query
    /// sent at `asked`, by the local clock.
    ///
    /// The peer computed the age after the query was sent, so its read began no
    /// earlier than `asked - age`. An age that reaches back before the start of
    /// the local clock cannot be represented and is discarded; rounding it to the
    /// start would make the evidence look younger than it is.
    pub fn confirm_from_peer(&mut self, asked: Time, age: Span) {
        if age <= asked.since(Time::ZERO) {
            self.confirm(asked - age);
        }
    }

    /// Start time of the confirming read, or `None` before the first one.
    pub fn read_start(&self) -> Option<Time> {
        self.read_start
    }

    /// Age of the evidence, or `None` before the first confirmation.
    pub fn age(&self, now: Time) -> Option<Span> {
        Some(now.since(self.read_start?))
    }

    /// Time for which the evidence still permits task starts; zero if there is none.
    pub fn remaining(&self, now: Time) -> Span {
        self.age(now)
            .map_or(Span::ZERO, |age| MAX_EVIDENCE_AGE.saturating_sub(age))
    }

    /// Whether the evidence permits a task start at `now`.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.remaining(now) > Span::ZERO
    }
}
