//! The monotonic clock and the calendar time of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::model::{Time, WallTime};

/// The monotonic clock of one process instance. It starts at one second, so
/// that no reading is equal to [`Time::ZERO`].
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at one second.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start, plus one second.
    pub fn now(&self) -> Time {
        Time::from_millis(1_000) + self.start.elapsed().into()
    }

    /// The calendar time, which is used only in records.
    pub fn wall() -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime::from_micros(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }
}
