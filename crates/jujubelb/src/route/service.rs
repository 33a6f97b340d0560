//! A service: its endpoints, its queue and its estimates.

use indexmap::IndexMap;

use crate::model::{EndpointName, Priority, Span, Time};

use super::balance::{BalancePolicy, Candidate};
use super::budget::Budget;
use super::endpoint::{Distance, Endpoint};
use super::latency::Distribution;
use super::queue::Queue;

/// Quantile of latency after which a request is hedged. Slightly fewer requests
/// take longer than the budget of hedges allows.
const HEDGE_QUANTILE: f64 = 0.97;

/// Latency assumed before the first answer, in microseconds.
const UNKNOWN: f64 = 10_000.0;

/// Utilisation above which nothing is hedged: close to the full capacity each
/// added request delays all others by more than it gains. Requests on the
/// network count as in flight, which adds about a tenth to the use of the slots.
const HEDGE_UTILISATION: f64 = 0.95;

/// Weight of a new sample of the utilisation.
const UTILISATION_WEIGHT: f64 = 0.3;

/// State of one service.
#[derive(Debug)]
pub(super) struct Service<B> {
    pub(super) deadline: Span,
    /// Most requests that may wait.
    pub(super) limit: usize,
    /// Whether the configuration no longer has it.
    pub(super) removed: bool,
    pub(super) endpoints: IndexMap<EndpointName, Endpoint>,
    pub(super) queue: Queue,
    /// Admitted requests that wait for their claim.
    pub(super) claiming: usize,
    pub(super) budget: Budget,
    pub(super) latency: Distribution,
    pub(super) balance: B,
    /// Smoothed requests in flight as a part of the slots at home.
    utilisation: f64,
}

/// Endpoints that a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reach {
    /// Those in the own region.
    Home,
    /// Those in other regions.
    Remote,
}

impl Reach {
    pub(super) fn includes(self, distance: Distance) -> bool {
        (self == Self::Remote) == (distance == Distance::Remote)
    }
}

impl<B: BalancePolicy> Service<B> {
    pub(super) fn new() -> Self {
        Self {
            deadline: Span::ZERO,
            limit: 0,
            removed: false,
            endpoints: IndexMap::new(),
            queue: Queue::default(),
            claiming: 0,
            budget: Budget::default(),
            latency: Distribution::new(HEDGE_QUANTILE),
            balance: B::default(),
            utilisation: 0.0,
        }
    }

    /// Median latency in microseconds.
    pub(super) fn typical(&self, now: Time) -> f64 {
        self.latency.median(now).unwrap_or(UNKNOWN)
    }

    /// Shortest expected latency of the usable endpoints within reach, in
    /// microseconds; infinite if there are none.
    pub(super) fn fastest(&self, now: Time, reach: Reach, idempotent: bool) -> f64 {
        let typical = self.typical(now);
        self.endpoints
            .values()
            .filter(|e| reach.includes(e.distance) && self.is_usable(now, e, idempotent))
            .map(|e| e.expected(now, typical))
            .fold(f64::INFINITY, f64::min)
    }

    /// Whether an endpoint is in service and not ejected, or ready for a probe.
    pub(super) fn is_usable(&self, now: Time, endpoint: &Endpoint, idempotent: bool) -> bool {
        let well = !endpoint.health.is_ejected() || endpoint.health.wants_probe(now, idempotent);
        endpoint.out_of_service().is_none() && well
    }

    /// Whether a request has any endpoint within reach.
    pub(super) fn has_usable(&self, now: Time, reach: Reach, idempotent: bool) -> bool {
        self.endpoints
            .values()
            .any(|e| reach.includes(e.distance) && self.is_usable(now, e, idempotent))
    }

    /// An ejected endpoint that is due for a probe.
    pub(super) fn probe(&self, now: Time, reach: Reach, idempotent: bool) -> Option<usize> {
        self.endpoints.values().position(|e| {
            reach.includes(e.distance)
                && e.out_of_service().is_none()
                && e.health.wants_probe(now, idempotent)
                && e.inflight() < e.limit(B::MANAGED).max(1)
        })
    }

    /// Endpoints that may get a request now. Those in `tried` only if there are no others.
    pub(super) fn candidates(
        &self,
        now: Time,
        reach: Reach,
        tried: &[EndpointName],
    ) -> Vec<Candidate> {
        let typical = self.typical(now);
        let room = |e: &Endpoint| {
            reach.includes(e.distance)
                && e.out_of_service().is_none()
                && !e.health.is_ejected()
                && e.inflight() < e.limit(B::MANAGED)
        };
        let candidate = |(index, e): (usize, &Endpoint)| Candidate {
            index,
            own: e.inflight(),
            share: e.share,
            oldest: e.oldest(now).as_micros() as f64,
            latency: e.expected(now, typical),
        };
        let all = self.endpoints.values().enumerate().filter(|(_, e)| room(e));
        let all: Vec<_> = all.map(candidate).collect();
        if tried.is_empty() {
            return all;
        }
        let is_tried = |c: &Candidate| {
            let name = self.endpoints.get_index(c.index).map(|(name, _)| name);
            name.is_some_and(|n| tried.contains(n))
        };
        let fresh: Vec<_> = all.iter().filter(|c| !is_tried(c)).copied().collect();
        if fresh.is_empty() { all } else { fresh }
    }

    /// Time in microseconds that a new request would wait for an endpoint.
    pub(super) fn wait(&self, now: Time, reach: Reach, priority: Priority) -> f64 {
        let (mut capacity, mut room) = (0, 0);
        for endpoint in self.endpoints.values() {
            if reach.includes(endpoint.distance) && self.is_usable(now, endpoint, true) {
                let limit = endpoint.limit(B::MANAGED);
                capacity += limit;
                room += limit.saturating_sub(endpoint.inflight());
            }
        }
        if capacity == 0 {
            return f64::INFINITY;
        }
        // What waits is served at home, unless there is nothing at home.
        let elsewhere = reach == Reach::Remote && self.has_usable(now, Reach::Home, true);
        let ahead = if elsewhere {
            0
        } else {
            self.queue.ahead(priority)
        };
        let ahead = (ahead + 1) as f64 - f64::from(room);
        let mean = self.latency.mean(now).unwrap_or(0.0);
        ahead.max(0.0) * mean / f64::from(capacity)
    }

    /// Takes a sample of the requests in flight as a part of the slots at home.
    /// While no peer is heard of, this process's part is taken for the whole.
    pub(super) fn sample_utilisation(&mut self) {
        let (mut own, mut known, mut share, mut slots) = (0, 0, 0, 0);
        for endpoint in self.endpoints.values() {
            if Reach::Home.includes(endpoint.distance) && endpoint.out_of_service().is_none() {
                own += endpoint.inflight();
                known += endpoint.inflight() + endpoint.peers;
                share += endpoint.share;
                slots += endpoint.capacity();
            }
        }
        let (used, room) = if known > own {
            (known, slots)
        } else {
            (own, share)
        };
        let sample = f64::from(used) / f64::from(room.max(1));
        self.utilisation += UTILISATION_WEIGHT * (sample - self.utilisation);
    }

    /// Whether there is room for hedges.
    pub(super) fn may_hedge(&self) -> bool {
        let busy = self.queue.len() > 0 || self.utilisation > HEDGE_UTILISATION;
        !busy && self.budget.has_hedge()
    }

    /// When the first probe of an ejected endpoint is due.
    pub(super) fn probe_due(&self) -> Option<Time> {
        let in_service = self
            .endpoints
            .values()
            .filter(|e| e.out_of_service().is_none());
        in_service.filter_map(|e| e.health.probe_due()).min()
    }

    /// Whether one more endpoint may be ejected for failures that overload could
    /// also explain: at most half of those in service.
    pub(super) fn may_eject(&self) -> bool {
        let in_service = || {
            self.endpoints
                .values()
                .filter(|e| e.out_of_service().is_none())
        };
        let ejected = in_service().filter(|e| e.health.is_ejected()).count();
        (ejected + 1) * 2 <= in_service().count()
    }
}
