//! Units of time and resources.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

/// A duration in microseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Span(u64);

impl Span {
    /// The empty duration.
    pub const ZERO: Self = Self(0);

    /// A span of `us` microseconds.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// A span of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// A span of `s` seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(s.saturating_mul(1_000_000))
    }

    /// The span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span as a standard duration.
    pub const fn to_std(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// `self - other`, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The span multiplied by `num / den`, rounded up.
    pub const fn scale_up(self, num: u64, den: u64) -> Self {
        Self(self.0.saturating_mul(num).div_ceil(den))
    }
}

impl From<Duration> for Span {
    fn from(d: Duration) -> Self {
        Self(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
    }
}

impl std::fmt::Display for Span {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            us if us < 1_000 => write!(f, "{us} µs"),
            us if us < 1_000_000 => write!(f, "{:.1} ms", us as f64 / 1e3),
            us => write!(f, "{:.1} s", us as f64 / 1e6),
        }
    }
}

macro_rules! instants {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// The zero point of the clock.
            pub const ZERO: Self = Self(0);

            /// The instant `us` microseconds after the zero point of the clock.
            pub const fn from_micros(us: u64) -> Self {
                Self(us)
            }

            /// The instant `ms` milliseconds after the zero point of the clock.
            pub const fn from_millis(ms: u64) -> Self {
                Self(ms.saturating_mul(1_000))
            }

            /// Microseconds since the zero point of the clock.
            pub const fn as_micros(self) -> u64 {
                self.0
            }

            /// The span from `earlier` to this instant, or zero if it is later.
            pub const fn since(self, earlier: Self) -> Span {
                Span::from_micros(self.0.saturating_sub(earlier.0))
            }
        }

        impl Add<Span> for $name {
            type Output = Self;

            fn add(self, span: Span) -> Self {
                Self(self.0.saturating_add(span.as_micros()))
            }
        }

        impl Sub<Span> for $name {
            type Output = Self;

            fn sub(self, span: Span) -> Self {
                Self(self.0.saturating_sub(span.as_micros()))
            }
        }
    )*};
}

instants! {
    /// An instant of this process's monotonic clock, in microseconds since its start.
    Time;
    /// An instant of one worker's monotonic clock, in microseconds. It can't be compared
    /// with `Time`, since the two clocks have different zero points.
    WorkerTime;
    /// A calendar instant in microseconds since the Unix epoch. Used in records, and in
    /// `dispatch` for the submission and due times of jobs.
    WallTime;
}

/// Processor time in thousandths of a core.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    From,
    Into,
)]
#[serde(transparent)]
pub struct Millicores(pub u64);

/// Memory in bytes.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    From,
    Into,
)]
#[serde(transparent)]
pub struct Bytes(pub u64);

impl Bytes {
    /// A size of `n` mebibytes.
    pub const fn from_mib(n: u64) -> Self {
        Self(n.saturating_mul(1 << 20))
    }

    /// A size of `n` gibibytes.
    pub const fn from_gib(n: u64) -> Self {
        Self(n.saturating_mul(1 << 30))
    }
}

/// Sums that stay at the largest value where they would overflow. Amounts come from outside,
/// and a sum that starts again from zero would fit any limit.
macro_rules! saturating_sums {
    ($($name:ident |$a:ident, $b:ident| $sum:expr;)*) => {$(
        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                let ($a, $b) = (self, other);
                $sum
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
                amounts.fold(Self::default(), Self::add)
            }
        }
    )*};
}

saturating_sums! {
    Span |a, b| Self(a.0.saturating_add(b.0));
    Millicores |a, b| Self(a.0.saturating_add(b.0));
    Bytes |a, b| Self(a.0.saturating_add(b.0));
    Resources |a, b| Self {
        cpu: a.cpu + b.cpu,
        memory: a.memory + b.memory,
        accelerators: a.accelerators.saturating_add(b.accelerators),
    };
}

/// An amount of each resource that a worker has or a task uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu: Millicores,
    /// Memory in bytes.
    pub memory: Bytes,
    /// Number of accelerators, which are not divided.
    pub accelerators: u32,
}

impl Resources {
    /// Zero of each resource.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// An amount from millicores, bytes and accelerators.
    pub const fn new(millicores: u64, bytes: u64, accelerators: u32) -> Self {
        Self {
            cpu: Millicores(millicores),
            memory: Bytes(bytes),
            accelerators,
        }
    }

    /// Whether this amount is within `limit` for every resource.
    pub const fn fits(&self, limit: &Self) -> bool {
        self.cpu.0 <= limit.cpu.0
            && self.memory.0 <= limit.memory.0
            && self.accelerators <= limit.accelerators
    }

    /// `self - other` for each resource, or zero where `other` is larger.
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self::new(
            self.cpu.0.saturating_sub(other.cpu.0),
            self.memory.0.saturating_sub(other.memory.0),
            self.accelerators.saturating_sub(other.accelerators),
        )
    }

    /// The larger amount of each resource.
    pub fn max(&self, other: &Self) -> Self {
        Self::new(
            self.cpu.0.max(other.cpu.0),
            self.memory.0.max(other.memory.0),
            self.accelerators.max(other.accelerators),
        )
    }
}
