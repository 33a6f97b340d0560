//! Parsing of quantities with units: cores, sizes, data rates and durations.

use crate::model::{Bytes, Millicores, Span};

/// Units of size and their factors in bytes.
const SIZE_UNITS: [(&str, u64); 9] = [
    ("B", 1),
    ("kB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("TB", 1_000_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
];

/// Units of data rate: numerator and denominator of the factor in bytes a second.
const RATE_UNITS: [(&str, u64, u64); 7] = [
    ("B/s", 1, 1),
    ("kB/s", 1_000, 1),
    ("MB/s", 1_000_000, 1),
    ("KiB/s", 1 << 10, 1),
    ("MiB/s", 1 << 20, 1),
    ("kbit/s", 1_000, 8),
    ("Mbit/s", 1_000_000, 8),
];

/// Maximum number of cores of one quantity; keeps sums far from overflow.
const MAX_CORES: f64 = 1e9;

/// Maximum of one size, or rate in bytes a second; keeps sums far from overflow.
const MAX_SIZE_BYTES: f64 = 1e18;

/// Maximum duration: 366 days.
const MAX_SPAN: Span = Span::from_secs(366 * 86_400);

/// Converts a number of cores; `None` if it is out of range or not a multiple of 0.001.
pub(super) fn cores(number: f64) -> Option<Millicores> {
    let milli = number * 1e3;
    let exact = (milli - milli.round()).abs() < 1e-6;
    ((0.0..=MAX_CORES).contains(&number) && exact).then(|| Millicores(milli.round() as u64))
}

/// Parses a number of cores such as `1500m` or `1.5`.
pub(super) fn cores_text(text: &str) -> Option<Millicores> {
    match text.strip_suffix('m') {
        Some(milli) => {
            let milli: u64 = milli.trim().parse().ok()?;
            (milli as f64 <= MAX_CORES * 1e3).then_some(Millicores(milli))
        }
        None => cores(text.parse().ok()?),
    }
}

/// Splits a quantity into its number, which may contain `_`, and its unit.
fn split(text: &str) -> Option<(f64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.' && c != '_')
        .unwrap_or(text.len());
    let number: f64 = text[..end].replace('_', "").parse().ok()?;
    Some((number, text[end..].trim()))
}

/// Parses a size such as `250 GB` or `1.5 GiB`.
pub(super) fn size(text: &str) -> Option<Bytes> {
    let (number, unit) = split(text.trim())?;
    let (_, factor) = SIZE_UNITS.iter().find(|(name, _)| *name == unit)?;
    let bytes = number * *factor as f64;
    (bytes <= MAX_SIZE_BYTES).then(|| Bytes(bytes.round() as u64))
}

/// Parses a data rate such as `2 Mbit/s` into bytes a second.
pub(super) fn rate(text: &str) -> Option<Bytes> {
    let (number, unit) = split(text.trim())?;
    let (_, num, den) = RATE_UNITS.iter().find(|(name, ..)| *name == unit)?;
    let bytes = number * *num as f64 / *den as f64;
    (bytes <= MAX_SIZE_BYTES).then(|| Bytes(bytes.round() as u64))
}

/// Parses a positive duration such as `300ms` or `1h 30m`.
pub(super) fn span(text: &str) -> Option<Span> {
    let span = Span::from(humantime::parse_duration(text).ok()?);
    (span > Span::ZERO && span <= MAX_SPAN).then_some(span)
}
