//! Budget of this process for bytes on the link between regions.

use serde::Serialize;

use crate::model::{Priority, Span, Time};

/// Capacity of the bucket, in seconds of the configured rate.
const BURST_SECONDS: f64 = 1.0;

/// Fraction of the bucket that is reserved for urgent requests. It also bounds what
/// one request needs, see `LinkBudget::required_bytes`.
const URGENT_RESERVE: f64 = 0.5;

/// Weight of a new sample in the moving average of response sizes.
const RESPONSE_SIZE_WEIGHT: f64 = 0.1;

/// Token bucket of bytes. The size of the response is not known when a request is
/// sent, so the mean size is reserved and corrected after the response.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct LinkBudget {
    /// Bytes per second; 0 before the first configuration.
    rate: f64,
    /// Bytes in the bucket; negative after responses larger than reserved.
    bytes: f64,
    /// Moving average of response sizes in bytes.
    #[serde(rename = "answer")]
    mean_response: f64,
    /// Time of the last refill.
    at: Time,
}

impl LinkBudget {
    /// Sets the rate in bytes per second. The first call fills the bucket.
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

    /// Whether a request of `size` bytes and this priority may be sent to another region.
    pub(super) fn allows(&mut self, now: Time, size: u64, priority: Priority) -> bool {
        self.refill(now);
        let reserve = match priority {
            Priority::Urgent => 0.0,
            Priority::Batch => self.capacity() * URGENT_RESERVE,
        };
        self.bytes - reserve >= self.required_bytes(size)
    }

    /// Reserves the expected bytes of a request and its response, and returns them.
    pub(super) fn reserve(&mut self, now: Time, size: u64) -> u64 {
        self.refill(now);
        let required_bytes = self.required_bytes(size);
        self.bytes -= required_bytes;
        required_bytes as u64
    }

    /// Replaces a reservation by the bytes that were transferred.
    pub(super) fn reconcile(&mut self, reserved: u64, request: u64, response: u64) {
        self.mean_response += RESPONSE_SIZE_WEIGHT * (response as f64 - self.mean_response);
        self.bytes =
            (self.bytes + reserved as f64 - (request + response) as f64).min(self.capacity());
    }

    /// Time until a request of `size` bytes may be sent; `None` if the rate is 0.
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
        // The bound lets a request of any size pass once the bucket is full, also a
        // batch request, for which `URGENT_RESERVE` is kept back.
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
