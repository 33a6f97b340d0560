//! Rules on acknowledgements: cancellations to clients, and ends to workers.

use std::time::Duration;

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::{Calm, RESOLUTION, Violation};
use crate::emulator::history::{Life, Record, What};

/// Calm time in which an acknowledgement has to come.
const ACK: Duration = Duration::from_secs(5);

/// Least number of cancellations of which a share is taken.
const MIN_CANCELS: usize = 3;

/// Of the cancellations, one in this number may be late; of the ends, one in the next.
const CANCELS_PER_LATE: usize = 10;
const ENDS_PER_LATE: usize = 5;

pub(super) fn check(record: &Record, calm: &Calm, found: &mut Vec<Violation>) {
    let waits = cancel_waits(record);
    if waits.len() >= MIN_CANCELS {
        check_share("cancellations", CANCELS_PER_LATE, &waits, calm, found);
    }
    check_share("ends", ENDS_PER_LATE, &end_waits(record), calm, found);
}

/// Checks that at most one in `per_late` waits is longer than the bound in calm times.
fn check_share(
    what: &str,
    per_late: usize,
    waits: &[(Duration, Duration)],
    calm: &Calm,
    found: &mut Vec<Violation>,
) {
    let late: Vec<Duration> = waits
        .iter()
        .filter_map(|&(from, to)| calm.first_after(ACK, from + ACK + RESOLUTION, to))
        .collect();
    if late.len() * per_late > waits.len()
        && let Some(&at) = late.first()
    {
        found.push(Violation {
            rule: "Acks",
            at,
            subject: None,
            text: format!(
                "{} of {} {what} were acknowledged late",
                late.len(),
                waits.len()
            ),
        });
    }
}

/// How long clients waited until the cancellation of an accepted job was acknowledged, or
/// until they gave up.
fn cancel_waits(record: &Record) -> Vec<(Duration, Duration)> {
    let mut accepted: IndexMap<&ArcStr, Option<(Duration, Duration)>> = IndexMap::new();
    for event in &record.events {
        match &event.what {
            What::SubmitAnswered { job, answer } if answer.is_accepted() => {
                accepted.entry(job).or_default();
            }
            What::CancelSent { job, .. } => {
                if let Some(wait) = accepted.get_mut(job) {
                    wait.get_or_insert((event.at, event.at));
                }
            }
            What::CancelAnswered { job, .. } => {
                if let Some(Some((_, to))) = accepted.get_mut(job) {
                    *to = event.at;
                }
            }
            _ => {}
        }
    }
    accepted.into_values().flatten().collect()
}

/// How long ends were listed until they were acknowledged, or could not be any more.
fn end_waits(record: &Record) -> Vec<(Duration, Duration)> {
    let mut open: IndexMap<(&Life, u64), Duration> = IndexMap::new();
    let mut waits = Vec::new();
    for event in &record.events {
        let mut close = |matches: &dyn Fn(&Life, u64) -> bool| {
            open.retain(|(life, number), from| {
                let closes = matches(life, *number);
                if closes {
                    waits.push((*from, event.at));
                }
                !closes
            });
        };
        match &event.what {
            What::Acknowledged { worker, number } => {
                close(&|life, n| life == worker && n <= *number)
            }
            What::Died { worker } => close(&|life, _| life == worker),
            What::Ended { worker, number, .. } => {
                open.insert((worker, *number), event.at);
            }
            _ => {}
        }
    }
    let end = record.events.last().map_or(Duration::ZERO, |e| e.at);
    waits.extend(open.into_values().map(|from| (from, end)));
    waits
}
