//! Quantities as text for people.

use crate::model::{Bytes, Millicores, Resources};

/// Processor time, for example `1.5 cores`.
pub fn cores(cpu: Millicores) -> String {
    let number = format!("{:.3}", cpu.0 as f64 / 1e3);
    let number = number.trim_end_matches('0').trim_end_matches('.');
    let unit = if cpu.0 == 1_000 { "core" } else { "cores" };
    format!("{number} {unit}")
}

/// A size in the largest unit that shows it exactly, or with one digit after the point.
pub fn bytes(size: Bytes) -> String {
    const UNITS: [(&str, u64); 8] = [
        ("TiB", 1 << 40),
        ("TB", 1_000_000_000_000),
        ("GiB", 1 << 30),
        ("GB", 1_000_000_000),
        ("MiB", 1 << 20),
        ("MB", 1_000_000),
        ("KiB", 1 << 10),
        ("kB", 1_000),
    ];
    let n = size.0;
    if let Some((unit, factor)) = UNITS.iter().find(|(_, f)| n >= *f && n.is_multiple_of(*f)) {
        return format!("{} {unit}", n / factor);
    }
    match UNITS.iter().find(|(u, f)| u.contains('i') && n >= *f) {
        Some((unit, factor)) => format!("{:.1} {unit}", n as f64 / *factor as f64),
        None => format!("{n} B"),
    }
}

/// An amount of resources, for example `4 cores, 8 GiB`.
pub fn resources(size: &Resources) -> String {
    let mut text = format!("{}, {}", cores(size.cpu), bytes(size.memory));
    match size.accelerators {
        0 => {}
        1 => text += ", 1 accelerator",
        n => text += &format!(", {n} accelerators"),
    }
    text
}
