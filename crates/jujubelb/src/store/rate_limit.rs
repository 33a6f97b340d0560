//! Rate limiter and backoff for store calls. It keeps the total rate of all processes
//! within the store's capacity, also when all of them reconnect after an outage.

use crate::model::{Span, Time};

/// Total writes a second that the store sustains, for shard logs and everything else.
/// The platform specifies "several hundred".
pub(crate) const STORE_WRITES_PER_SECOND: f64 = 300.0;

/// Writes a second of one shard log: one append per 150 ms.
pub(crate) const SHARD_WRITES_PER_SECOND: f64 = 1.0 / 0.15;

/// Writes a second reserved for the logs of the 26 shards at target scale.
const RESERVED_LOG_WRITES_PER_SECOND: f64 = 26.0 * SHARD_WRITES_PER_SECOND;

/// Reads a second that the store sustains, less a tenth for the operators' own calls.
pub(crate) const STORE_READS_PER_SECOND: f64 = 1_800.0;

/// Maximum number of calls in a burst, unless a call has failed within `RECOVERY_PERIOD`.
const MAX_BURST_CALLS: f64 = 50.0;

/// Time after the last failure during which bursts are not allowed.
const RECOVERY_PERIOD: Span = Span::from_secs(10);

/// Upper bound of the delay after the first failed call.
const INITIAL_BACKOFF: Span = Span::from_millis(100);

/// Maximum delay after failed calls. Start evidence is valid for 3 s, so a longer delay
/// would hold up task starts after an outage.
const MAX_BACKOFF: Span = Span::from_millis(1_500);

/// Kind of a call, each with its own rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Reads and watches.
    Read,
    /// All other calls.
    Write,
}

/// Token bucket; `rate` is in tokens a second, `at` the time of the last refill.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    rate: f64,
    at: Time,
}

impl Bucket {
    fn refill(&mut self, now: Time, burst: f64) {
        self.tokens = (self.tokens + self.rate * now.since(self.at).as_secs_f64()).min(burst);
        self.at = now;
    }
}

/// Token buckets for reads and writes, with an exponential backoff after failures.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    read: Bucket,
    write: Bucket,
    /// Number of processes that share the store's rates.
    processes: usize,
    /// Number of shards that this process owns.
    shards: usize,
    /// Number of failures since the last success.
    failures: u32,
    last_failure: Option<Time>,
    /// Time before which no call is admitted.
    blocked_until: Time,
}

impl RateLimiter {
    /// Creates the limiter of one of `processes` processes.
    pub(crate) fn new(now: Time, processes: usize) -> Self {
        let bucket = Bucket {
            tokens: MAX_BURST_CALLS,
            rate: 1.0,
            at: now,
        };
        let mut limiter = Self {
            read: bucket,
            write: bucket,
            processes,
            shards: 0,
            failures: 0,
            last_failure: None,
            blocked_until: now,
        };
        limiter.update_rates();
        limiter
    }

    /// Sets the number of processes that share the store's rates.
    pub(crate) fn set_processes(&mut self, processes: usize) {
        self.processes = processes;
        self.update_rates();
    }

    /// Sets the number of shards that the process owns.
    pub(crate) fn set_shards(&mut self, shards: usize) {
        self.shards = shards;
        self.update_rates();
    }

    fn update_rates(&mut self) {
        let processes = self.processes.max(1) as f64;
        let logs = self.shards as f64 * SHARD_WRITES_PER_SECOND;
        self.read.rate = STORE_READS_PER_SECOND / processes;
        self.write.rate =
            (STORE_WRITES_PER_SECOND - RESERVED_LOG_WRITES_PER_SECOND) / processes + logs;
    }

    /// Admits a call, or returns the time to wait before the next attempt.
    pub(crate) fn admit(&mut self, now: Time, kind: CallKind) -> Result<(), Span> {
        if now < self.blocked_until {
            return Err(self.blocked_until.since(now));
        }
        let recovering = self
            .last_failure
            .is_some_and(|at| now.since(at) < RECOVERY_PERIOD);
        let bucket = match kind {
            CallKind::Read => &mut self.read,
            CallKind::Write => &mut self.write,
        };
        bucket.refill(now, if recovering { 1.0 } else { MAX_BURST_CALLS });
        if bucket.tokens < 1.0 {
            let wait = (1.0 - bucket.tokens) / bucket.rate;
            return Err(Span::from_micros((wait * 1e6).ceil() as u64));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Records that the store replied.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records that the store did not reply or refused the call. `random` in 0..1 spreads
    /// the next calls of the processes over the second half of the delay.
    pub(crate) fn failed(&mut self, now: Time, random: f64) {
        let delay = Span::from_micros(INITIAL_BACKOFF.as_micros() << self.failures.min(8));
        let delay = delay.min(MAX_BACKOFF).as_micros() as f64;
        self.failures += 1;
        self.last_failure = Some(now);
        self.blocked_until = now + Span::from_micros((delay * (0.5 + 0.5 * random)) as u64);
    }
}
