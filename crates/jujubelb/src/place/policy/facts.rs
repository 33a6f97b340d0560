//! Facts recorded with a decision: the numbers it compared.

use crate::model::{Cause, Fact, Resources, Span, Unit};
use crate::shard::{Choice, Decision};

pub(super) fn saturating_i64(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

pub(super) fn count(name: &'static str, n: usize) -> Fact {
    Fact::new(name, i64::try_from(n).unwrap_or(i64::MAX), Unit::Count)
}

pub(super) fn span(name: &'static str, span: Span) -> Fact {
    Fact::new(name, saturating_i64(span.as_micros()), Unit::Micros)
}

pub(super) fn permille(name: &'static str, share: f64) -> Fact {
    Fact::new(name, (share * 1_000.0) as i64, Unit::Permille)
}

/// Needed and available amount of each resource. Accelerators are omitted if
/// both amounts are zero.
pub(super) fn comparison(
    names: [&'static str; 6],
    need: &Resources,
    have: &Resources,
) -> Vec<Fact> {
    let [
        need_cpu,
        have_cpu,
        need_memory,
        have_memory,
        need_acc,
        have_acc,
    ] = names;
    let mut facts = vec![
        Fact::new(need_cpu, saturating_i64(need.cpu.0), Unit::Millicores),
        Fact::new(have_cpu, saturating_i64(have.cpu.0), Unit::Millicores),
        Fact::new(need_memory, saturating_i64(need.memory.0), Unit::Bytes),
        Fact::new(have_memory, saturating_i64(have.memory.0), Unit::Bytes),
    ];
    if need.accelerators > 0 || have.accelerators > 0 {
        facts.push(count(need_acc, need.accelerators as usize));
        facts.push(count(have_acc, have.accelerators as usize));
    }
    facts
}

/// Facts that compare a reservation with free capacity.
pub(super) fn need_and_free(need: &Resources, free: &Resources) -> Vec<Fact> {
    let names = [
        "need-cpu",
        "free-cpu",
        "need-memory",
        "free-memory",
        "need-accelerators",
        "free-accelerators",
    ];
    comparison(names, need, free)
}

/// Facts that compare a reservation with the unused part of a team's quota.
pub(super) fn need_and_quota(need: &Resources, left: &Resources) -> Vec<Fact> {
    let names = [
        "need-cpu",
        "quota-left-cpu",
        "need-memory",
        "quota-left-memory",
        "need-accelerators",
        "quota-left-accelerators",
    ];
    comparison(names, need, left)
}

/// Facts that compare a new limit with the old one.
pub(super) fn new_and_old(new: &Resources, old: &Resources) -> Vec<Fact> {
    let names = [
        "new-cpu",
        "old-cpu",
        "new-memory",
        "old-memory",
        "new-accelerators",
        "old-accelerators",
    ];
    comparison(names, new, old)
}

pub(super) fn decision(choice: Choice, cause: Cause, facts: Vec<Fact>) -> Decision {
    Decision {
        choice,
        cause,
        facts,
        parent: None,
    }
}
