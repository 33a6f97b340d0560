//! Ejection of failing endpoints, and their return.

use serde::Serialize;

use crate::model::{Span, Time};

/// Failures in a row after which an endpoint is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Length of the first ejection. It doubles with each failed probe.
const FIRST_EJECTION: Span = Span::from_secs(1);

/// Longest ejection.
const MAX_EJECTION: Span = Span::from_secs(30);

/// Time after which a probe may also be a request that can't be repeated, for
/// services without idempotent requests.
const NON_IDEMPOTENT_PROBE_DELAY: Span = Span::from_secs(10);

/// State of an endpoint as seen in the ends of its attempts.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Health {
    failures: u32,
    ejected: Option<Ejection>,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Ejection {
    until: Time,
    length: Span,
    probing: bool,
    /// Whether connections failed, so that a probe can't run a request twice.
    unconnected: bool,
}

/// What an end of an attempt changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HealthChange {
    None,
    Ejected,
    Recovered,
}

impl Health {
    /// An attempt was answered properly.
    pub(super) fn succeeded(&mut self) -> HealthChange {
        self.failures = 0;
        match self.ejected.take() {
            Some(_) => HealthChange::Recovered,
            None => HealthChange::None,
        }
    }

    /// An attempt failed. `may_eject` tells whether the service may lose one more
    /// endpoint; a running ejection is prolonged in any case.
    pub(super) fn failed(&mut self, now: Time, unconnected: bool, may_eject: bool) -> HealthChange {
        self.failures = self.failures.saturating_add(1);
        if let Some(ejection) = &mut self.ejected {
            if ejection.probing {
                ejection.length = (ejection.length + ejection.length).min(MAX_EJECTION);
                ejection.until = now + ejection.length;
                ejection.probing = false;
                ejection.unconnected = unconnected;
            }
            return HealthChange::None;
        }
        if self.failures < EJECTION_FAILURES || !may_eject {
            return HealthChange::None;
        }
        self.ejected = Some(Ejection {
            until: now + FIRST_EJECTION,
            length: FIRST_EJECTION,
            probing: false,
            unconnected,
        });
        HealthChange::Ejected
    }

    /// The probe's outcome is of no use; another one may be sent.
    pub(super) fn probe_lost(&mut self) {
        if let Some(ejection) = &mut self.ejected {
            ejection.probing = false;
        }
    }

    /// A probe is sent.
    pub(super) fn probe_sent(&mut self) {
        if let Some(ejection) = &mut self.ejected {
            ejection.probing = true;
        }
    }

    /// Whether the endpoint is ejected.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Whether a request may be sent as a probe.
    pub(super) fn wants_probe(&self, now: Time, idempotent: bool) -> bool {
        self.ejected.is_some_and(|e| {
            let harmless =
                idempotent || e.unconnected || now >= e.until + NON_IDEMPOTENT_PROBE_DELAY;
            !e.probing && now >= e.until && harmless
        })
    }

    /// When the next probe is due, if one is waited for.
    pub(super) fn probe_due(&self) -> Option<Time> {
        self.ejected.filter(|e| !e.probing).map(|e| e.until)
    }

    /// Failures in a row.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }
}
