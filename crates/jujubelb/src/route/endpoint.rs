//! Endpoints of a service: the signals that take them in and out of service.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::config;
use crate::model::{Cause, Span, Time};

use super::AttemptId;
use super::health::Health;
use super::latency::Estimate;

/// Time after an endpoint's own statement that it leaves, after which a host
/// list that does not name it as leaving is believed. The host list lags, so an
/// earlier list may stem from before the statement.
const LIST_LAG: Span = Span::from_secs(60);

/// Multiple of its share that a process may have in flight at an endpoint. The
/// shares of others are mostly not used up at the same moment, and a host with
/// more than the average of the arrivals needs more than its part while peers
/// are silent. What is too much waits at the endpoint, within its connections.
/// A process without a share may still use one: otherwise it would be starved.
const BORROWED: u32 = 3;

/// Where an endpoint is, seen from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Distance {
    Domain,
    Region,
    Remote,
}

impl Distance {
    /// Round trip, before there are measurements.
    pub(super) const fn round_trip(self) -> Span {
        match self {
            Self::Domain => Span::ZERO,
            Self::Region => Span::from_millis(2),
            Self::Remote => Span::from_millis(24),
        }
    }
}

/// An endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) spec: config::Endpoint,
    pub(super) distance: Distance,
    /// Whether the configuration no longer has it.
    pub(super) removed: bool,
    /// Whether its failure domain is out of service.
    pub(super) domain_out: bool,
    /// Whether the host list names it as leaving.
    pub(super) listed: bool,
    /// When it last said that it is leaving.
    pub(super) said: Option<Time>,
    /// Attempts that have not ended, also abandoned ones, with the times of their
    /// start. Identifiers grow, so the first is the oldest.
    pub(super) running: BTreeMap<AttemptId, Time>,
    /// This process's part of the requests that it serves at a time.
    pub(super) share: u32,
    /// This process's part of the connections.
    pub(super) connections: u32,
    /// Attempts in flight from other entry processes, as last reported.
    pub(super) peers: u32,
    /// Fixed number that spreads the rounding of shares over the entry hosts.
    pub(super) salt: u16,
    pub(super) health: Health,
    pub(super) latency: Estimate,
    pub(super) meter: Meter,
    /// When it last had an attempt in flight.
    pub(super) used: Option<Time>,
}

impl Endpoint {
    pub(super) fn new(spec: config::Endpoint, distance: Distance, salt: u16) -> Self {
        Self {
            spec,
            distance,
            removed: false,
            domain_out: false,
            listed: false,
            said: None,
            running: BTreeMap::new(),
            share: 0,
            connections: 0,
            peers: 0,
            salt,
            health: Health::default(),
            latency: Estimate::default(),
            meter: Meter::default(),
            used: None,
        }
    }

    /// Takes over a changed declaration. A new address is a new endpoint, to
    /// which nothing that was learned applies.
    pub(super) fn configure(&mut self, spec: &config::Endpoint, distance: Distance) {
        let moved = self.spec.address != spec.address;
        let back = self.spec.leaving && !spec.leaving;
        if moved || back {
            self.said = None;
        }
        if moved {
            self.listed = false;
            self.health = Health::default();
            self.latency.clear();
        }
        self.spec = spec.clone();
        self.distance = distance;
    }

    /// Takes over what the host list says.
    pub(super) fn list(&mut self, now: Time, leaving: bool) {
        let returned = self.listed && !leaving;
        let settled = self.said.is_some_and(|at| now.since(at) >= LIST_LAG);
        if returned || (!leaving && settled) {
            self.said = None;
        }
        self.listed = leaving;
    }

    /// Why it gets no new requests, or `None` if it is in service.
    pub(super) fn out_of_service(&self) -> Option<Cause> {
        if self.removed || self.spec.leaving {
            Some(Cause::ConfigChange)
        } else if self.domain_out {
            Some(Cause::DomainOut)
        } else if self.listed {
            Some(Cause::HostLeaving)
        } else if self.said.is_some() {
            Some(Cause::EndpointLeaving)
        } else {
            None
        }
    }

    /// Requests that it can serve at a time: each needs a slot and a connection.
    pub(super) fn capacity(&self) -> u32 {
        self.spec.slots.min(self.spec.connections)
    }

    /// Attempts that may be in flight from this process, with or without shares.
    pub(super) fn limit(&self, managed: bool) -> u32 {
        if managed {
            let borrowed = self.share.max(1) * BORROWED;
            borrowed.min(self.capacity()).min(self.connections.max(1))
        } else {
            self.capacity()
        }
    }

    /// An attempt starts.
    pub(super) fn begin(&mut self, now: Time, attempt: AttemptId) {
        self.meter.advance(now, self.inflight() + self.peers);
        self.running.insert(attempt, now);
        self.used = Some(now);
    }

    /// An attempt ends.
    pub(super) fn end(&mut self, now: Time, attempt: AttemptId) {
        self.meter.advance(now, self.inflight() + self.peers);
        self.running.remove(&attempt);
        self.used = Some(now);
    }

    /// Attempts that have not ended, also abandoned ones.
    pub(super) fn inflight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Expected latency in microseconds, where `typical` is that of the service.
    pub(super) fn expected(&self, now: Time, typical: f64) -> f64 {
        let round_trip = self.distance.round_trip().as_micros() as f64;
        self.latency.get(now, typical + round_trip)
    }

    /// For how long the oldest attempt has been running.
    pub(super) fn oldest(&self, now: Time) -> Span {
        let first = self.running.first_key_value();
        first.map_or(Span::ZERO, |(_, sent)| now.since(*sent))
    }
}

/// Latency and load since the last report.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Meter {
    pub(super) sum: u64,
    pub(super) count: u32,
    /// Requests in flight, integrated over time.
    area: u64,
    since: Time,
    at: Time,
}

impl Meter {
    /// Accounts for the time up to now with this number of requests in flight.
    pub(super) fn advance(&mut self, now: Time, inflight: u32) {
        self.area += u64::from(inflight) * now.since(self.at).as_micros();
        self.at = now;
    }

    /// Takes an answer into account.
    pub(super) fn answered(&mut self, latency: Span) {
        self.sum += latency.as_micros();
        self.count += 1;
    }

    /// Mean requests in flight in thousandths since the last reset, and the length of that time.
    pub(super) fn load(&self, now: Time) -> (u64, Span) {
        let length = now.since(self.since);
        (self.area * 1_000 / length.as_micros().max(1), length)
    }

    /// Starts a new interval.
    pub(super) fn reset(&mut self, now: Time) {
        *self = Self {
            since: now,
            at: now,
            ..Self::default()
        };
    }
}
