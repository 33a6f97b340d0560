//! State of an endpoint: whether it is in service, its load, latency and health.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::config;
use crate::model::{Cause, Span, Time};

use super::AttemptId;
use super::health::Health;
use super::latency::LatencyEstimate;

/// Upper bound of the lag of the host list. For this time after an endpoint announced
/// that it is leaving, a host list that does not list it as leaving is ignored,
/// because the list may be older than the announcement.
const HOST_LIST_LAG: Span = Span::from_secs(60);

/// Multiple of its share that a process may have in flight at an endpoint. Other
/// processes rarely use up their shares at the same time, and while peers are silent
/// the division is even, so that a host with more than the mean arrivals needs more
/// than its share. Requests above the endpoint's slots wait there, within its
/// connections. A share of 0 counts as 1, so that no process is starved.
const MAX_BORROW_FACTOR: u32 = 3;

/// Location of an endpoint relative to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Distance {
    /// In the same failure domain.
    Domain,
    /// In another failure domain of the same region.
    Region,
    /// In another region.
    Remote,
}

impl Distance {
    /// Round-trip time that is assumed while there are no latency samples.
    pub(super) const fn round_trip(self) -> Span {
        match self {
            Self::Domain => Span::ZERO,
            Self::Region => Span::from_millis(2),
            Self::Remote => Span::from_millis(24),
        }
    }
}

/// State of one endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) spec: config::Endpoint,
    pub(super) distance: Distance,
    /// Whether it is no longer in the configuration.
    pub(super) removed: bool,
    /// Whether its failure domain is out of service.
    pub(super) domain_out: bool,
    /// Whether the host list lists it as leaving.
    pub(super) listed_leaving: bool,
    /// When it last announced that it is leaving, unless it returned since.
    pub(super) announced_leaving: Option<Time>,
    /// Start times of the attempts in flight, including abandoned ones. Identifiers
    /// grow, so the first is the oldest.
    pub(super) attempts: BTreeMap<AttemptId, Time>,
    /// This process's share of its capacity.
    pub(super) share: u32,
    /// This process's share of its connections.
    pub(super) connection_share: u32,
    /// Attempts in flight from other entry processes, as last reported by them.
    pub(super) peer_inflight: u32,
    /// Hash that distributes the remainders of the shares over the entry hosts.
    pub(super) salt: u16,
    pub(super) health: Health,
    pub(super) latency: LatencyEstimate,
    pub(super) load_meter: LoadMeter,
    /// When an attempt last started or ended.
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

    /// Applies a declaration. An endpoint with a new address is a new endpoint, so
    /// its health, latency and leaving state are reset.
    pub(super) fn configure(&mut self, spec: &config::Endpoint, distance: Distance) {
        let address_changed = self.spec.address != spec.address;
        let returned = self.spec.leaving && !spec.leaving;
        if address_changed || returned {
            self.announced_leaving = None;
        }
        if address_changed {
            self.listed_leaving = false;
            self.health = Health::default();
            self.latency.clear();
        }
        self.spec = spec.clone();
        self.distance = distance;
    }

    /// Applies a host list that lists it as leaving or not.
    pub(super) fn apply_host_list(&mut self, now: Time, leaving: bool) {
        let returned = self.listed_leaving && !leaving;
        let lag_passed = self
            .announced_leaving
            .is_some_and(|at| now.since(at) >= HOST_LIST_LAG);
        if returned || (!leaving && lag_passed) {
            self.announced_leaving = None;
        }
        self.listed_leaving = leaving;
    }

    /// Why it gets no new requests; `None` if it is in service.
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

    /// Number of requests that it can serve at a time: each needs a slot and a connection.
    pub(super) fn capacity(&self) -> u32 {
        self.spec.slots.min(self.spec.connections)
    }

    /// Maximum number of attempts in flight from this process.
    pub(super) fn limit(&self, use_shares: bool) -> u32 {
        if use_shares {
            let borrowed = self.share.max(1) * MAX_BORROW_FACTOR;
            borrowed
                .min(self.capacity())
                .min(self.connection_share.max(1))
        } else {
            self.capacity()
        }
    }

    /// Records the start of an attempt.
    pub(super) fn begin_attempt(&mut self, now: Time, attempt: AttemptId) {
        self.load_meter
            .advance(now, self.inflight() + self.peer_inflight);
        self.attempts.insert(attempt, now);
        self.last_used = Some(now);
    }

    /// Records the end of an attempt.
    pub(super) fn end_attempt(&mut self, now: Time, attempt: AttemptId) {
        self.load_meter
            .advance(now, self.inflight() + self.peer_inflight);
        self.attempts.remove(&attempt);
        self.last_used = Some(now);
    }

    /// Number of attempts in flight, including abandoned ones.
    pub(super) fn inflight(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Expected latency in microseconds; `typical` is the median of the service.
    pub(super) fn expected_latency(&self, now: Time, typical: f64) -> f64 {
        let round_trip = self.distance.round_trip().as_micros() as f64;
        self.latency.get(now, typical + round_trip)
    }

    /// Age of the oldest attempt in flight; zero without attempts.
    pub(super) fn oldest_age(&self, now: Time) -> Span {
        let first = self.attempts.first_key_value();
        first.map_or(Span::ZERO, |(_, sent)| now.since(*sent))
    }
}

/// Sums of latency and load since the last report.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadMeter {
    /// Sum of the latencies in microseconds.
    pub(super) sum: u64,
    /// Number of responses.
    pub(super) count: u32,
    /// Requests in flight integrated over time, in microseconds.
    inflight_us: u64,
    /// Start of the interval.
    since: Time,
    /// Time up to which `inflight_us` is integrated.
    at: Time,
}

impl LoadMeter {
    /// Integrates up to now, with this number of requests in flight since the last call.
    pub(super) fn advance(&mut self, now: Time, inflight: u32) {
        self.inflight_us += u64::from(inflight) * now.since(self.at).as_micros();
        self.at = now;
    }

    /// Records a response.
    pub(super) fn answered(&mut self, latency: Span) {
        self.sum += latency.as_micros();
        self.count += 1;
    }

    /// Mean requests in flight since the last reset in thousandths, and the time since then.
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
