//! The monotonic clock and the calendar time of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::model::{Time, WallTime};

/// The system's monotonic clock. It has to count the time in which the host is suspended: leases
/// at the store and on workers go on then.
#[cfg(target_os = "linux")]
const MONOTONIC: ClockId = ClockId::Boottime;

/// The system's monotonic clock. It has to count the time in which the host is suspended, as it
/// does on macOS.
#[cfg(not(target_os = "linux"))]
const MONOTONIC: ClockId = ClockId::Monotonic;

/// Reading of the system's monotonic clock.
fn uptime() -> Duration {
    let reading = clock_gettime(MONOTONIC);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(reading.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// The monotonic clock of one process instance. It starts at one second, so
/// that no reading is equal to [`Time::ZERO`].
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at one second.
    pub fn start() -> Self {
        Self { start: uptime() }
    }

    /// Time since the start, plus one second.
    pub fn now(&self) -> Time {
        Time::from_millis(1_000) + uptime().saturating_sub(self.start).into()
    }

    /// The calendar time, which is used only in records.
    pub fn wall() -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime::from_micros(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }
}
