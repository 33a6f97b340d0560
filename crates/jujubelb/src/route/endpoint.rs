//! Endpoints of a service: the signals that take them in and out of service.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::config;
use crate::model::{Cause, Span, Time};

use super::AttemptId;
use super::health::Health;
use super::latency::LatencyEstimate;

/// Time after an endpoint's own statement that it leaves, after which a host
/// list that does not name it as leaving is believed. The host list lags, so an
/// earlier list may stem from before the statement.
const HOST_LIST_LAG: Span = Span::from_secs(60);

/// Multiple of its share that a process may have in flight at an endpoint. The
/// shares of others are mostly not used up at the same moment, and a host with
/// more than the average of the arrivals needs more than its part while peers
/// are silent. What is too much waits at the endpoint, within its connections.
/// A process without a share may still use one: otherwise it would be starved.
const MAX_BORROW_FACTOR: u32 = 3;

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
    pub(super) listed_leaving: bool,
    /// When it last said that it is leaving.
    pub(super) announced_leaving: Option<Time>,
    /// Attempts that have not ended, also abandoned ones, with the times of their
    /// start. Identifiers grow, so the first is the oldest.
    pub(super) attempts: BTreeMap<AttemptId, Time>,
    /// This process's part of the requests that it serves at a time.
    pub(super) share: u32,
    /// This process's part of the connections.
    pub(super) connection_share: u32,
    /// Attempts in flight from other entry processes, as last reported.
    pub(super) peer_inflight: u32,
    /// Fixed number that spreads the rounding of shares over the entry hosts.
    pub(super) salt: u16,
    pub(super) health: Health,
    pub(super) latency: LatencyEstimate,
    pub(super) load_meter: LoadMeter,
    /// When it last had an attempt in flight.
    pub(super) last_used: Option<Time>,
}

impl Endpoint {
    pub(super) fn new(spec: config::Endpoint, distance: Distance, salt: u16) -> Self {
        Self {
            spec,
            distance,
            removed: false,
            domain_out: false,
            listed_leaving: false,
            announced_leaving: None,
            attempts: BTreeMap::new(),
            share: 0,
            connection_share: 0,
            peer_inflight: 0,
            salt,
            health: Health::default(),
            latency: LatencyEstimate::default(),
            load_meter: LoadMeter::default(),
            last_used: None,
        }
    }

    /// Takes over a changed declaration. A new address is a new endpoint, to
    /// which nothing that was learned applies.
    pub(super) fn configure(&mut self, spec: &config::Endpoint, distance: Distance) {
        let moved = self.spec.address != spec.address;
        let back = self.spec.leaving && !spec.leaving;
        if moved || back {
            self.announced_leaving = None;
        }
        if moved {
            self.listed_leaving = false;
            self.health = Health::default();
            self.latency.clear();
        }
        self.spec = spec.clone();
        self.distance = distance;
    }

    /// Takes over what the host list says.
    pub(super) fn apply_host_list(&mut self, now: Time, leaving: bool) {
        let returned = self.listed_leaving && !leaving;
        let settled = self
            .announced_leaving
            .is_some_and(|at| now.since(at) >= HOST_LIST_LAG);
        if returned || (!leaving && settled) {
            self.announced_leaving = None;
        }
        self.listed_leaving = leaving;
    }

    /// Why it gets no new requests, or `None` if it is in service.
    pub(super) fn out_of_service_cause(&self) -> Option<Cause> {
        if self.removed || self.spec.leaving {
            Some(Cause::ConfigChange)
        } else if self.domain_out {
            Some(Cause::DomainOut)
        } else if self.listed_leaving {
            Some(Cause::HostLeaving)
        } else if self.announced_leaving.is_some() {
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
            let borrowed = self.share.max(1) * MAX_BORROW_FACTOR;
            borrowed
                .min(self.capacity())
                .min(self.connection_share.max(1))
        } else {
            self.capacity()
        }
    }

    /// An attempt starts.
    pub(super) fn begin_attempt(&mut self, now: Time, attempt: AttemptId) {
        self.load_meter
            .advance(now, self.inflight() + self.peer_inflight);
        self.attempts.insert(attempt, now);
        self.last_used = Some(now);
    }

    /// An attempt ends.
    pub(super) fn end_attempt(&mut self, now: Time, attempt: AttemptId) {
        self.load_meter
            .advance(now, self.inflight() + self.peer_inflight);
        self.attempts.remove(&attempt);
        self.last_used = Some(now);
    }

    /// Attempts that have not ended, also abandoned ones.
    pub(super) fn inflight(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Expected latency in microseconds, where `typical` is that of the service.
    pub(super) fn expected_latency(&self, now: Time, typical: f64) -> f64 {
        let round_trip = self.distance.round_trip().as_micros() as f64;
        self.latency.get(now, typical + round_trip)
    }

    /// For how long the oldest attempt has been running.
    pub(super) fn oldest_age(&self, now: Time) -> Span {
        let first = self.attempts.first_key_value();
        first.map_or(Span::ZERO, |(_, sent)| now.since(*sent))
    }
}

/// Latency and load since the last report.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadMeter {
    pub(super) sum: u64,
    pub(super) count: u32,
    /// Requests in flight, integrated over time.
    inflight_us: u64,
    since: Time,
    at: Time,
}

impl LoadMeter {
    /// Accounts for the time up to now with this number of requests in flight.
    pub(super) fn advance(&mut self, now: Time, inflight: u32) {
        self.inflight_us += u64::from(inflight) * now.since(self.at).as_micros();
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
        (self.inflight_us * 1_000 / length.as_micros().max(1), length)
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
