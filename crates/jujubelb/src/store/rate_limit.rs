//! Pacing of store calls, so that the calls of all processes together stay
//! within what the store sustains, also when every process returns to it at
//! the end of an outage.

use crate::model::{Span, Time};

/// Writes a second that the store sustains for shard logs and all else together.
/// The platform states "several hundred".
pub(crate) const STORE_WRITES: f64 = 300.0;

/// Writes a second that one shard log needs: one append per 150 ms.
pub(crate) const SHARD_WRITES: f64 = 1.0 / 0.15;

/// Writes a second kept for the logs of the 26 shards at target scale.
const LOG_WRITES: f64 = 26.0 * SHARD_WRITES;

/// Reads a second that the store sustains, less a tenth for operators' own calls.
pub(crate) const STORE_READS: f64 = 1_800.0;

/// Calls that may follow each other at once when the store has been well for a while.
const BURST: f64 = 50.0;

/// Time after the last failure during which no burst is allowed.
const RECOVERY: Span = Span::from_secs(10);

/// First delay after a failed call. To be tuned.
const FIRST_DELAY: Span = Span::from_millis(100);

/// Longest delay after failed calls. Start evidence is valid for 3 s, so a
/// longer delay would hold up starts after an outage.
const LONGEST_DELAY: Span = Span::from_millis(1_500);

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Reads and watches.
    Read,
    /// All others.
    Write,
}

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

/// Decides when a call to the store may start.
#[derive(Debug)]
pub(crate) struct Pace {
    read: Bucket,
    write: Bucket,
    processes: usize,
    shards: usize,
    failures: u32,
    failed: Option<Time>,
    closed: Time,
}

impl Pace {
    /// The pace of one of `processes` processes.
    pub(crate) fn new(now: Time, processes: usize) -> Self {
        let bucket = Bucket {
            tokens: BURST,
            rate: 1.0,
            at: now,
        };
        let mut pace = Self {
            read: bucket,
            write: bucket,
            processes,
            shards: 0,
            failures: 0,
            failed: None,
            closed: now,
        };
        pace.share();
        pace
    }

    /// Sets the number of processes that share the store's rates.
    pub(crate) fn set_processes(&mut self, processes: usize) {
        self.processes = processes;
        self.share();
    }

    /// Sets the number of shards that the process owns.
    pub(crate) fn set_shards(&mut self, shards: usize) {
        self.shards = shards;
        self.share();
    }

    fn share(&mut self) {
        let processes = self.processes.max(1) as f64;
        let logs = self.shards as f64 * SHARD_WRITES;
        self.read.rate = STORE_READS / processes;
        self.write.rate = (STORE_WRITES - LOG_WRITES) / processes + logs;
    }

    /// Takes a call's permission. The error is how long to wait before asking again.
    pub(crate) fn admit(&mut self, now: Time, kind: Kind) -> Result<(), Span> {
        if now < self.closed {
            return Err(self.closed.since(now));
        }
        let recovering = self.failed.is_some_and(|at| now.since(at) < RECOVERY);
        let bucket = match kind {
            Kind::Read => &mut self.read,
            Kind::Write => &mut self.write,
        };
        bucket.refill(now, if recovering { 1.0 } else { BURST });
        if bucket.tokens < 1.0 {
            let wait = (1.0 - bucket.tokens) / bucket.rate;
            return Err(Span::from_micros((wait * 1e6).ceil() as u64));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// The store answered.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// The store did not answer or refused. `random` in 0..1 spreads the
    /// processes' next calls over the whole delay.
    pub(crate) fn failed(&mut self, now: Time, random: f64) {
        let delay = Span::from_micros(FIRST_DELAY.as_micros() << self.failures.min(8));
        let delay = delay.min(LONGEST_DELAY).as_micros() as f64;
        self.failures += 1;
        self.failed = Some(now);
        self.closed = now + Span::from_micros((delay * (0.5 + 0.5 * random)) as u64);
    }
}
