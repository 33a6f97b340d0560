//! What a soak has found.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use super::check::Violation;
use super::paused::paused_jobs;
use crate::emulator::history::{Answer, Event, Record, RunEnd, What};

/// Events that are shown before and after a violation.
const SHOWN_AROUND: Duration = Duration::from_secs(3);

/// Most events that are shown for a violation.
const MAX_SHOWN: usize = 60;

/// Violations that are shown with their events; the others only with a line.
const MAX_DETAILED: usize = 5;

/// Result of a soak with one seed.
#[derive(Debug)]
pub struct Outcome {
    /// Seed of the soak.
    pub seed: u64,
    /// Folder with the logs of the processes and the history, if a rule was broken.
    pub kept: Option<PathBuf>,
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Tasks that have started.
    pub started: usize,
    /// Runs that have ended as done.
    pub done: usize,
    /// Calls whose key was refused.
    pub unauthorized: usize,
    /// Faults that were done.
    pub faults: usize,
    /// Jobs of which all runs were at pace 0 for more than 10 s at a stretch, while LOST is judged.
    pub paused: usize,
    violations: Vec<Violation>,
    /// Events around each violation that is shown in detail.
    details: Vec<String>,
}

impl Outcome {
    pub(crate) fn new(
        seed: u64,
        record: &Record,
        violations: Vec<Violation>,
        kept: Option<PathBuf>,
    ) -> Self {
        let count =
            |matches: fn(&What) -> bool| record.events.iter().filter(|e| matches(&e.what)).count();
        let details = violations.iter().take(MAX_DETAILED);
        Self {
            seed,
            kept,
            accepted: count(|w| {
                matches!(
                    w,
                    What::SubmitAnswered {
                        answer: Answer::Status(200..=299),
                        ..
                    }
                )
            }),
            started: count(|w| matches!(w, What::Started { .. })),
            done: count(|w| {
                matches!(
                    w,
                    What::Ended {
                        end: RunEnd::Done,
                        ..
                    }
                )
            }),
            faults: count(|w| matches!(w, What::FaultBegan { .. })),
            unauthorized: count(|w| matches!(w, What::KeyAnswered { status: 401, .. })),
            paused: paused_jobs(record),
            details: details.map(|v| around(record, v)).collect(),
            violations,
        }
    }

    /// Whether no rule was broken.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

/// The events near a violation: those of its job, and all that don't concern a job. Of the states
/// shown to clients, which are asked for each second, only those near it.
fn around(record: &Record, violation: &Violation) -> String {
    let from = violation.at.saturating_sub(SHOWN_AROUND);
    let near = |e: &&Event| e.at >= from && e.at <= violation.at + SHOWN_AROUND;
    let concerns = |e: &&Event| match &violation.subject {
        Some(subject) => is_fault(&e.what) || format!("{:?}", e.what).contains(&**subject),
        None => true,
    };
    let own = |e: &&Event| {
        let subject = violation.subject.as_deref();
        let is_state = matches!(e.what, What::StateShown { .. });
        !is_state && subject.is_some_and(|s| s.len() >= 16 && format!("{:?}", e.what).contains(s))
    };
    let shown = record
        .events
        .iter()
        .filter(|e| own(e) || (near(e) && concerns(e)));
    shown
        .take(MAX_SHOWN)
        .map(|e| format!("    {e}\n"))
        .collect()
}

fn is_fault(what: &What) -> bool {
    matches!(what, What::FaultBegan { .. } | What::FaultEnded { .. })
}

impl fmt::Display for Outcome {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_clean() { "clean" } else { "BROKEN" };
        writeln!(
            out,
            "seed {}: {verdict}; accepted {}, started {}, done {}, faults {}, paused jobs {}, \
             keys refused {}",
            self.seed,
            self.accepted,
            self.started,
            self.done,
            self.faults,
            self.paused,
            self.unauthorized
        )?;
        for (index, violation) in self.violations.iter().enumerate() {
            writeln!(out, "  {violation}")?;
            if let Some(detail) = self.details.get(index) {
                write!(out, "{detail}")?;
            }
        }
        if let Some(kept) = &self.kept {
            writeln!(out, "  logs and history: {}", kept.display())?;
        }
        Ok(())
    }
}
