//! Ejection of failing endpoints, and their return after a successful probe.

use serde::Serialize;

use crate::model::{Span, Time};

/// Consecutive failures after which an endpoint is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Length of the first ejection. It doubles with each failed probe, up to [`MAX_EJECTION`].
const FIRST_EJECTION: Span = Span::from_secs(1);

/// Upper bound of the length of an ejection.
const MAX_EJECTION: Span = Span::from_secs(30);

/// Time after the end of an ejection from which a non-idempotent request may
/// serve as the probe, so that services without idempotent requests recover too.
const NON_IDEMPOTENT_PROBE_DELAY: Span = Span::from_secs(10);

/// Health of an endpoint, derived from the outcomes of its attempts.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Health {
    /// Consecutive failures.
    failures: u32,
    ejected: Option<Ejection>,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Ejection {
    /// Earliest time of the next probe.
    until: Time,
    length: Span,
    /// Whether a probe is in flight.
    probing: bool,
    /// Whether connections failed. A probe that fails in the same way does not run
    /// its request, so that a non-idempotent one is safe.
    unconnected: bool,
}

/// Change of an endpoint's health caused by the outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HealthChange {
    None,
    Ejected,
    Recovered,
}

impl Health {
    /// Records a successful attempt, which ends an ejection.
    pub(super) fn succeeded(&mut self) -> HealthChange {
        self.failures = 0;
        match self.ejected.take() {
            Some(_) => HealthChange::Recovered,
            None => HealthChange::None,
        }
    }

    /// Records a failed attempt. `may_eject` tells whether the service can spare
    /// one more endpoint; after a failed probe the ejection is extended in any case.
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

    /// Allows another probe after one whose outcome says nothing about the health.
    pub(super) fn probe_lost(&mut self) {
        if let Some(ejection) = &mut self.ejected {
            ejection.probing = false;
        }
    }

    /// Records that a request is sent, which is a probe if the endpoint is ejected.
    pub(super) fn probe_sent(&mut self) {
        if let Some(ejection) = &mut self.ejected {
            ejection.probing = true;
        }
    }

    /// Whether the endpoint is ejected.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Whether a probe is due for which a request with this property may be used.
    pub(super) fn wants_probe(&self, now: Time, idempotent: bool) -> bool {
        self.ejected.is_some_and(|e| {
            let safe = idempotent || e.unconnected || now >= e.until + NON_IDEMPOTENT_PROBE_DELAY;
            !e.probing && now >= e.until && safe
        })
    }

    /// When the next probe is due; `None` if not ejected or while a probe is in flight.
    pub(super) fn probe_due(&self) -> Option<Time> {
        self.ejected.filter(|e| !e.probing).map(|e| e.until)
    }

    /// Consecutive failures.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }
}
