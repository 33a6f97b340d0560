//! Numbers from outside, checked against ranges within which the product calculates. A number
//! out of range is an error that names it; it is never replaced by the nearest one in range.

use serde::Deserialize;

use crate::model::{Bytes, Span};

/// Longest time in milliseconds, 3,000 years. Longer than any calendar time, and short
/// enough that sums of thousands of such times can be calculated.
const MAX_MILLIS: f64 = 1e14;

/// Largest amount of processor time in millicores, a thousand million cores.
const MAX_MILLICORES: u64 = 1_000_000_000_000;

/// Largest amount of memory in mebibytes, one exbibyte.
const MAX_MEBIBYTES: u64 = 1 << 40;

/// Largest factor, count of cores or speed of a link.
const MAX_RATIO: f64 = 1e9;

/// A time in milliseconds.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(try_from = "f64")]
pub(super) struct Millis(pub(super) Span);

impl TryFrom<f64> for Millis {
    type Error = String;

    fn try_from(ms: f64) -> Result<Self, String> {
        match (0.0..=MAX_MILLIS).contains(&ms) {
            true => Ok(Self(Span::from_micros((ms * 1e3) as u64))),
            false => Err(format!(
                "{ms} is not a time in milliseconds from 0 to {MAX_MILLIS}"
            )),
        }
    }
}

/// Time that remains, in milliseconds. One that has passed is given as negative, and is zero.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(try_from = "f64")]
pub(super) struct RemainingMillis(pub(super) Span);

impl TryFrom<f64> for RemainingMillis {
    type Error = String;

    fn try_from(ms: f64) -> Result<Self, String> {
        match (-MAX_MILLIS..0.0).contains(&ms) {
            true => Ok(Self(Span::ZERO)),
            false => Millis::try_from(ms).map(|time| Self(time.0)),
        }
    }
}

/// A time in seconds.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub(super) struct Seconds(pub(super) Span);

impl TryFrom<f64> for Seconds {
    type Error = String;

    fn try_from(s: f64) -> Result<Self, String> {
        Millis::try_from(s * 1e3)
            .map(|time| Self(time.0))
            .map_err(|_| format!("{s} is not a time in seconds from 0 on"))
    }
}

/// Processor time in millicores.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(try_from = "u64")]
pub(super) struct Cpu(pub(super) u64);

impl TryFrom<u64> for Cpu {
    type Error = String;

    fn try_from(millicores: u64) -> Result<Self, String> {
        match millicores <= MAX_MILLICORES {
            true => Ok(Self(millicores)),
            false => Err(format!(
                "{millicores} is more processor time than {MAX_MILLICORES} millicores"
            )),
        }
    }
}

/// Memory in mebibytes.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(try_from = "u64")]
pub(super) struct Mebibytes(pub(super) Bytes);

impl TryFrom<u64> for Mebibytes {
    type Error = String;

    fn try_from(mib: u64) -> Result<Self, String> {
        match mib <= MAX_MEBIBYTES {
            true => Ok(Self(Bytes::from_mib(mib))),
            false => Err(format!("{mib} is more memory than {MAX_MEBIBYTES} MiB")),
        }
    }
}

/// A factor, a count of cores or a speed: a finite number that is not negative.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub(super) struct Ratio(pub(super) f64);

impl TryFrom<f64> for Ratio {
    type Error = String;

    fn try_from(value: f64) -> Result<Self, String> {
        match (0.0..=MAX_RATIO).contains(&value) {
            true => Ok(Self(value)),
            false => Err(format!("{value} is not a number from 0 to {MAX_RATIO}")),
        }
    }
}
