//! Start evidence: how old the knowledge is that the configuration is in force.

use serde::{Deserialize, Serialize};

use crate::model::{Span, Time};

/// Longest age at which evidence allows a task to start (design section 8).
pub const MAX_EVIDENCE_AGE: Span = Span::from_secs(3);

/// When the newest read began that confirmed the configuration in force.
///
/// The age counts from the beginning of the read, because the store may have
/// answered at any time after it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    #[serde(rename = "began")]
    read_start: Option<Time>,
}

impl Evidence {
    /// A successful read of the head that began at this time.
    pub fn confirm(&mut self, began: Time) {
        self.read_start = self.read_start.max(Some(began));
    }

    /// A peer's evidence, `age` old when it answered a query sent at `asked`.
    ///
    /// The peer took the age after the query was sent, so the read began no
    /// earlier than `asked - age`. An age that reaches back before the start of
    /// this clock can't be expressed and is dropped; rounding it to the start
    /// would make it look younger than it is.
    pub fn confirm_from_peer(&mut self, asked: Time, age: Span) {
        if age <= asked.since(Time::ZERO) {
            self.confirm(asked - age);
        }
    }

    /// When the confirming read began.
    pub fn read_start(&self) -> Option<Time> {
        self.read_start
    }

    /// Age of the evidence, if there is any.
    pub fn age(&self, now: Time) -> Option<Span> {
        Some(now.since(self.read_start?))
    }

    /// How long the evidence still allows starts.
    pub fn remaining(&self, now: Time) -> Span {
        self.age(now)
            .map_or(Span::ZERO, |age| MAX_EVIDENCE_AGE.saturating_sub(age))
    }

    /// Whether a task may start.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.remaining(now) > Span::ZERO
    }
}
