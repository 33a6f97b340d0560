//! Human-readable formatting of quantities.

use crate::model::{Bytes, Millicores, Resources};

/// Formats processor time, for example `1.5 cores`.
pub fn cores(cpu: Millicores) -> String {
    let number = format!("{:.3}", cpu.0 as f64 / 1e3);
    let number = number.trim_end_matches('0').trim_end_matches('.');
    let unit = if cpu.0 == 1_000 { "core" } else { "cores" };
    format!("{number} {unit}")
}

/// Formats a size in the largest unit that divides it evenly, otherwise in the
/// largest fitting binary unit with one decimal digit.
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

/// Formats resources, for example `4 cores, 8 GiB, 1 accelerator`.
pub fn resources(size: &Resources) -> String {
    let mut text = format!("{}, {}", cores(size.cpu), bytes(size.memory));
    match size.accelerators {
        0 => {}
        1 => text += ", 1 accelerator",
        n => text += &format!(", {n} accelerators"),
    }
    text
}
