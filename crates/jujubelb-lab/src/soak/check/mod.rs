//! Checks of a history against the published rules. A bound on time counts only in calm
//! spans, as the rules say; the others always count.

mod acks;
mod calm;
mod config;
mod harm;
mod idle;
mod jobs;
mod keys;
mod limits;
mod orders;
mod runs;
#[cfg(test)]
mod tests;

use std::fmt;
use std::time::Duration;

use arcstr::ArcStr;

use crate::emulator::history::{Record, What};
use calm::Calm;
pub(crate) use idle::FINISH as JUDGED_AFTER;

/// Time after a disturbance in which no bound on time holds.
const CONTACT: Duration = Duration::from_secs(4);

/// How late the emulator itself may record an end or carry out a call. A longer delay
/// counts as a fault.
const RESOLUTION: Duration = Duration::from_millis(300);

/// Time from the end of the traffic until each accepted job has to be over: 14 s until the
/// rules ask for it, 3 s in which it may have nothing running, and the work of the longest
/// job with all its attempts, 3 steps of 3 runs of 2.2 s.
pub(crate) const FINISH: Duration = Duration::from_secs(37);

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Violation {
    /// Name of the rule, as the published rules have it.
    pub(crate) rule: &'static str,
    pub(crate) at: Duration,
    /// Job or worker that it concerns.
    pub(crate) subject: Option<ArcStr>,
    pub(crate) text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} at {:.3} s: {}",
            self.rule,
            self.at.as_secs_f64(),
            self.text
        )
    }
}

/// Checks a whole history. The violations are in the order of their times.
pub(crate) fn check(record: &Record) -> Vec<Violation> {
    let calm = Calm::of(record);
    let mut found = Vec::new();
    runs::check(record, &mut found);
    orders::check(record, &calm, &mut found);
    jobs::check(record, &calm, &mut found);
    idle::check(record, &calm, &mut found);
    harm::check(record, &calm, &mut found);
    acks::check(record, &calm, &mut found);
    config::check(record, &calm, &mut found);
    keys::check(record, &calm, &mut found);
    limits::check(record, &calm, &mut found);
    check_processes(record, &mut found);
    found.sort_by_key(|v| v.at);
    found
}

/// A process must not end by itself, and no part of it by a panic.
fn check_processes(record: &Record, found: &mut Vec<Violation>) {
    for event in &record.events {
        if let What::ProcessFailed { host, text } = &event.what {
            found.push(Violation {
                rule: "FAULT",
                at: event.at,
                subject: None,
                text: format!("host {host}: {text}"),
            });
        }
    }
}
