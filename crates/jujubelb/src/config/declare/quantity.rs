//! Texts with units: cores, sizes, rates and spans of time.

use crate::model::{Bytes, Millicores, Span};

/// Units of size, with their factors.
const UNITS: [(&str, u64); 9] = [
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

/// Units of rate in bytes a second, with numerator and denominator.
const RATES: [(&str, u64, u64); 7] = [
    ("B/s", 1, 1),
    ("kB/s", 1_000, 1),
    ("MB/s", 1_000_000, 1),
    ("KiB/s", 1 << 10, 1),
    ("MiB/s", 1 << 20, 1),
    ("kbit/s", 1_000, 8),
    ("Mbit/s", 1_000_000, 8),
];

/// Largest number of cores of one amount; keeps sums far from overflow.
const CORES: f64 = 1e9;

/// Largest size of one amount; keeps sums far from overflow.
const SIZE: f64 = 1e18;

/// Largest span of time: a year.
const SPAN: Span = Span::from_secs(366 * 86_400);

/// Cores from a number.
pub(super) fn cores(number: f64) -> Option<Millicores> {
    let milli = number * 1e3;
    let whole = (milli - milli.round()).abs() < 1e-6;
    ((0.0..=CORES).contains(&number) && whole).then(|| Millicores(milli.round() as u64))
}

/// Cores from a text such as `1500m` or `1.5`.
pub(super) fn cores_text(text: &str) -> Option<Millicores> {
    match text.strip_suffix('m') {
        Some(milli) => {
            let milli: u64 = milli.trim().parse().ok()?;
            (milli as f64 <= CORES * 1e3).then_some(Millicores(milli))
        }
        None => cores(text.parse().ok()?),
    }
}

/// Splits a number from its unit.
fn split(text: &str) -> Option<(f64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.' && c != '_')
        .unwrap_or(text.len());
    let number: f64 = text[..end].replace('_', "").parse().ok()?;
    Some((number, text[end..].trim()))
}

/// A size from a text such as `250 GB` or `1.5 GiB`.
pub(super) fn size(text: &str) -> Option<Bytes> {
    let (number, unit) = split(text.trim())?;
    let (_, factor) = UNITS.iter().find(|(name, _)| *name == unit)?;
    let bytes = number * *factor as f64;
    (bytes <= SIZE).then(|| Bytes(bytes.round() as u64))
}

/// Bytes a second from a text such as `2 Mbit/s`.
pub(super) fn rate(text: &str) -> Option<Bytes> {
    let (number, unit) = split(text.trim())?;
    let (_, num, den) = RATES.iter().find(|(name, ..)| *name == unit)?;
    let bytes = number * *num as f64 / *den as f64;
    (bytes <= SIZE).then(|| Bytes(bytes.round() as u64))
}

/// A span of time such as `300ms` or `1h 30m`.
pub(super) fn span(text: &str) -> Option<Span> {
    let span = Span::from(humantime::parse_duration(text).ok()?);
    (span > Span::ZERO && span <= SPAN).then_some(span)
}
