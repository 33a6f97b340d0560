//! Spans of time in which nothing was disturbed.

use std::time::Duration;

use indexmap::IndexMap;

use crate::emulator::history::{Record, What};

/// The disturbances of a history.
#[derive(Debug)]
pub(super) struct Calm {
    /// Beginning and end of each disturbance.
    faults: Vec<(Duration, Duration)>,
}

impl Calm {
    pub(super) fn of(record: &Record) -> Self {
        let mut open = IndexMap::new();
        let mut faults = Vec::new();
        for event in &record.events {
            match &event.what {
                What::FaultBegan { id, .. } => {
                    open.insert(*id, event.at);
                }
                What::FaultEnded { id } => {
                    if let Some(began) = open.shift_remove(id) {
                        faults.push((began, event.at));
                    }
                }
                What::Delayed { by } => faults.push((event.at.saturating_sub(*by), event.at)),
                // It starts again at once.
                What::ProcessFailed { .. } => faults.push((event.at, event.at)),
                _ => {}
            }
        }
        faults.extend(open.into_values().map(|began| (began, Duration::MAX)));
        Self { faults }
    }

    /// Whether nothing was disturbed in a span.
    pub(super) fn holds(&self, from: Duration, to: Duration) -> bool {
        self.faults
            .iter()
            .all(|&(began, ended)| ended < from || began > to)
    }

    /// The first time from `first` and before `end` that a calm span of some length precedes.
    pub(super) fn first_after(
        &self,
        length: Duration,
        first: Duration,
        end: Duration,
    ) -> Option<Duration> {
        let after_faults = self.faults.iter().filter_map(|&(_, ended)| {
            // A moment later, since the end itself still belongs to the fault.
            ended.checked_add(length + Duration::from_micros(1))
        });
        after_faults
            .chain([first])
            .filter(|&t| t >= first && t < end)
            .filter(|&t| self.holds(t.saturating_sub(length), t))
            .min()
    }
}
