//! Byte budget of this process for the link between regions.

use serde::Serialize;

use crate::model::{Priority, Span, Time};

/// Seconds of budget that may be saved.
const BURST_SECONDS: f64 = 1.0;

/// Part of the saved budget that batch requests leave to urgent ones.
const URGENT_RESERVE: f64 = 0.5;

/// Weight of a new answer in the mean size of answers.
const RESPONSE_SIZE_WEIGHT: f64 = 0.1;

/// A token bucket of bytes. The size of an answer is not known when a request is
/// sent, so a mean is reserved and corrected when the answer is there.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct LinkBudget {
    rate: f64,
    bytes: f64,
    #[serde(rename = "answer")]
    mean_response: f64,
    at: Time,
}

impl LinkBudget {
    /// Sets the rate in bytes per second.
    pub(super) fn configure(&mut self, now: Time, rate: u64) {
        self.refill(now);
        let first = self.rate == 0.0;
        self.rate = rate as f64;
        self.bytes = if first {
            self.capacity()
        } else {
            self.bytes.min(self.capacity())
        };
    }

    /// Whether a request of this size and priority may cross.
    pub(super) fn allows(&mut self, now: Time, size: u64, priority: Priority) -> bool {
        self.refill(now);
        let reserve = match priority {
            Priority::Urgent => 0.0,
            Priority::Batch => self.capacity() * URGENT_RESERVE,
        };
        self.bytes - reserve >= self.required_bytes(size)
    }

    /// Reserves what a request and its answer will need, and returns it.
    pub(super) fn reserve(&mut self, now: Time, size: u64) -> u64 {
        self.refill(now);
        let required_bytes = self.required_bytes(size);
        self.bytes -= required_bytes;
        required_bytes as u64
    }

    /// Replaces a reservation by what was transferred.
    pub(super) fn reconcile(&mut self, reserved: u64, request: u64, answer: u64) {
        self.mean_response += RESPONSE_SIZE_WEIGHT * (answer as f64 - self.mean_response);
        self.bytes =
            (self.bytes + reserved as f64 - (request + answer) as f64).min(self.capacity());
    }

    /// Time until a request of this size may cross, if it ever may.
    pub(super) fn wait(&self, size: u64, priority: Priority) -> Option<Span> {
        let reserve = match priority {
            Priority::Urgent => 0.0,
            Priority::Batch => self.capacity() * URGENT_RESERVE,
        };
        let missing = self.required_bytes(size) + reserve - self.bytes;
        (self.rate > 0.0)
            .then(|| Span::from_micros((missing.max(0.0) / self.rate * 1e6) as u64 + 1))
    }

    fn required_bytes(&self, size: u64) -> f64 {
        // A request larger than the whole bucket passes when the bucket is full.
        (size as f64 + self.mean_response).min(self.capacity() * URGENT_RESERVE)
    }

    fn capacity(&self) -> f64 {
        self.rate * BURST_SECONDS
    }

    fn refill(&mut self, now: Time) {
        let earned = now.since(self.at).as_secs_f64() * self.rate;
        self.bytes = (self.bytes + earned).min(self.capacity());
        self.at = now;
    }
}
