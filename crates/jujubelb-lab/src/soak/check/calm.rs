//! Spans of time in which nothing was disturbed.

use std::time::Duration;

use indexmap::IndexMap;

use crate::emulator::history::{Record, What};

/// The disturbances of a history.
#[derive(Debug)]
pub(super) struct Calm {
    faults: Vec<Disturbance>,
}

#[derive(Debug)]
struct Disturbance {
    began: Duration,
    ended: Duration,
    /// The only host that it concerns, if there is one.
    host: Option<usize>,
}

impl Disturbance {
    fn is_outside(&self, from: Duration, to: Duration) -> bool {
        self.ended < from || self.began > to
    }
}

impl Calm {
    pub(super) fn of(record: &Record) -> Self {
        let mut open = IndexMap::new();
        let mut faults = Vec::new();
        for event in &record.events {
            match &event.what {
                What::FaultBegan { id, host, .. } => {
                    open.insert(*id, (event.at, *host));
                }
                What::FaultEnded { id } => {
                    if let Some((began, host)) = open.shift_remove(id) {
                        let ended = event.at;
                        faults.push(Disturbance { began, ended, host });
                    }
                }
                What::Delayed { by } => faults.push(Disturbance {
                    began: event.at.saturating_sub(*by),
                    ended: event.at,
                    host: None,
                }),
                // It starts again at once.
                What::ProcessFailed { .. } => faults.push(Disturbance {
                    began: event.at,
                    ended: event.at,
                    host: None,
                }),
                _ => {}
            }
        }
        faults.extend(open.into_values().map(|(began, host)| Disturbance {
            began,
            ended: Duration::MAX,
            host,
        }));
        Self { faults }
    }

    /// Whether nothing was disturbed in a span.
    pub(super) fn holds(&self, from: Duration, to: Duration) -> bool {
        self.faults.iter().all(|f| f.is_outside(from, to))
    }

    /// Whether nothing was disturbed in a span on which a host depends to follow the store.
    pub(super) fn holds_for(&self, host: usize, from: Duration, to: Duration) -> bool {
        let concerns = |f: &&Disturbance| f.host.is_none_or(|h| h == host);
        let mut faults = self.faults.iter().filter(concerns);
        faults.all(|f| f.is_outside(from, to))
    }

    /// The first time from `first` and before `end` that a calm span of some length precedes.
    pub(super) fn first_after(
        &self,
        length: Duration,
        first: Duration,
        end: Duration,
    ) -> Option<Duration> {
        let after_faults = self.faults.iter().filter_map(|f| {
            // A moment later, since the end itself still belongs to the fault.
            f.ended.checked_add(length + Duration::from_micros(1))
        });
        after_faults
            .chain([first])
            .filter(|&t| t >= first && t < end)
            .filter(|&t| self.holds(t.saturating_sub(length), t))
            .min()
    }
}
