//! The clocks of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::model::{Time, WallTime};

/// The monotonic clock of one process instance. It starts at one second, so
/// that no instant is mistaken for the start of the clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time::from_millis(1_000) + self.start.elapsed().into()
    }

    /// The calendar time, for records only.
    pub fn wall() -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime::from_micros(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }
}
