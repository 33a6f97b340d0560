//! State of a service: its endpoints, its queue and its latency estimates.

use indexmap::IndexMap;

use crate::model::{EndpointName, Priority, Span, Time};

use super::balance::{BalancePolicy, Candidate};
use super::budget::RetryBudget;
use super::endpoint::{Distance, Endpoint};
use super::latency::LatencyDistribution;
use super::queue::RequestQueue;

/// Quantile of latency after which a request is hedged. Slightly fewer requests take
/// longer than the budget of hedges allows for.
const HEDGE_QUANTILE: f64 = 0.97;

/// Latency that is assumed before the first response, in microseconds.
const DEFAULT_LATENCY_US: f64 = 10_000.0;

/// Utilisation above which no request is hedged: close to full capacity a hedge
/// delays the other requests by more than it gains. Requests on the network count as
/// in flight, which adds about a tenth to the slots in use.
const MAX_HEDGE_UTILISATION: f64 = 0.95;

/// Weight of a new sample in the moving average of the utilisation.
const UTILISATION_WEIGHT: f64 = 0.3;

/// State of one service.
#[derive(Debug)]
pub(super) struct Service<B> {
    /// Default deadline of requests.
    pub(super) deadline: Span,
    /// Maximum number of waiting requests, including those that wait for their claim.
    pub(super) queue_limit: usize,
    /// Whether it is no longer in the configuration.
    pub(super) removed: bool,
    pub(super) endpoints: IndexMap<EndpointName, Endpoint>,
    pub(super) queue: RequestQueue,
    /// Number of admitted requests that wait for their claim.
    pub(super) claiming: usize,
    pub(super) budget: RetryBudget,
    pub(super) latency: LatencyDistribution,
    pub(super) balance: B,
    /// Smoothed requests in flight relative to the capacity in the own region.
    utilisation: f64,
}

/// Which endpoints a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RegionScope {
    /// Endpoints in the own region.
    Local,
    /// Endpoints in other regions.
    Remote,
}

impl RegionScope {
    pub(super) fn includes(self, distance: Distance) -> bool {
        (self == Self::Remote) == (distance == Distance::Remote)
    }
}

impl<B: BalancePolicy> Service<B> {
    pub(super) fn new() -> Self {
        Self {
            deadline: Span::ZERO,
            queue_limit: 0,
            removed: false,
            endpoints: IndexMap::new(),
            queue: RequestQueue::default(),
            claiming: 0,
            budget: RetryBudget::default(),
            latency: LatencyDistribution::new(HEDGE_QUANTILE),
            balance: B::default(),
            utilisation: 0.0,
        }
    }

    /// Median latency in microseconds; a default before the first response.
    pub(super) fn typical_latency(&self, now: Time) -> f64 {
        self.latency.median(now).unwrap_or(DEFAULT_LATENCY_US)
    }

    /// Lowest expected latency of the usable endpoints in scope, in microseconds;
    /// infinite if there are none.
    pub(super) fn min_latency(&self, now: Time, scope: RegionScope, idempotent: bool) -> f64 {
        let typical = self.typical_latency(now);
        self.endpoints
            .values()
            .filter(|e| scope.includes(e.distance) && self.is_usable(now, e, idempotent))
            .map(|e| e.expected_latency(now, typical))
            .fold(f64::INFINITY, f64::min)
    }

    /// Whether an endpoint is in service and either not ejected or due for a probe.
    pub(super) fn is_usable(&self, now: Time, endpoint: &Endpoint, idempotent: bool) -> bool {
        let healthy = !endpoint.health.is_ejected() || endpoint.health.wants_probe(now, idempotent);
        endpoint.out_of_service_cause().is_none() && healthy
    }

    /// Whether any endpoint in scope is usable.
    pub(super) fn has_usable(&self, now: Time, scope: RegionScope, idempotent: bool) -> bool {
        self.endpoints
            .values()
            .any(|e| scope.includes(e.distance) && self.is_usable(now, e, idempotent))
    }

    /// Index of an ejected endpoint that is due for a probe.
    pub(super) fn endpoint_to_probe(
        &self,
        now: Time,
        scope: RegionScope,
        idempotent: bool,
    ) -> Option<usize> {
        self.endpoints.values().position(|e| {
            scope.includes(e.distance)
                && e.out_of_service_cause().is_none()
                && e.health.wants_probe(now, idempotent)
                && e.inflight() < e.limit(B::USES_SHARES).max(1)
        })
    }

    /// Endpoints in scope with free capacity. Those in `tried` are included only if
    /// there are no others.
    pub(super) fn candidates(
        &self,
        now: Time,
        scope: RegionScope,
        tried: &[EndpointName],
    ) -> Vec<Candidate> {
        let typical = self.typical_latency(now);
        let free = |e: &Endpoint| {
            scope.includes(e.distance)
                && e.out_of_service_cause().is_none()
                && !e.health.is_ejected()
                && e.inflight() < e.limit(B::USES_SHARES)
        };
        let candidate = |(index, e): (usize, &Endpoint)| Candidate {
            index,
            inflight: e.inflight(),
            share: e.share,
            oldest_age: e.oldest_age(now).as_micros() as f64,
            latency: e.expected_latency(now, typical),
        };
        let all = self.endpoints.values().enumerate().filter(|(_, e)| free(e));
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

    /// Time in microseconds that a new request would wait for an endpoint; infinite if
    /// no endpoint in scope is usable.
    pub(super) fn expected_wait(&self, now: Time, scope: RegionScope, priority: Priority) -> f64 {
        let (mut capacity, mut free) = (0, 0);
        for endpoint in self.endpoints.values() {
            if scope.includes(endpoint.distance) && self.is_usable(now, endpoint, true) {
                let limit = endpoint.limit(B::USES_SHARES);
                capacity += limit;
                free += limit.saturating_sub(endpoint.inflight());
            }
        }
        if capacity == 0 {
            return f64::INFINITY;
        }
        // Queued requests are served in the own region if it has a usable endpoint.
        let bypasses_queue =
            scope == RegionScope::Remote && self.has_usable(now, RegionScope::Local, true);
        let ahead = if bypasses_queue {
            0
        } else {
            self.queue.requests_ahead(priority)
        };
        let ahead = (ahead + 1) as f64 - f64::from(free);
        let mean = self.latency.mean(now).unwrap_or(0.0);
        ahead.max(0.0) * mean / f64::from(capacity)
    }

    /// Samples the utilisation of the endpoints in service in the own region. Without
    /// loads of peers, the requests of this process are compared with its shares.
    pub(super) fn sample_utilisation(&mut self) {
        let (mut own, mut known, mut share, mut slots) = (0, 0, 0, 0);
        for endpoint in self.endpoints.values() {
            if RegionScope::Local.includes(endpoint.distance)
                && endpoint.out_of_service_cause().is_none()
            {
                own += endpoint.inflight();
                known += endpoint.inflight() + endpoint.peer_inflight;
                share += endpoint.share;
                slots += endpoint.capacity();
            }
        }
        let (used, free) = if known > own {
            (known, slots)
        } else {
            (own, share)
        };
        let sample = f64::from(used) / f64::from(free.max(1));
        self.utilisation += UTILISATION_WEIGHT * (sample - self.utilisation);
    }

    /// Whether hedging is allowed: nothing is queued, the utilisation is low enough and
    /// there is budget.
    pub(super) fn may_hedge(&self) -> bool {
        let busy = self.queue.len() > 0 || self.utilisation > MAX_HEDGE_UTILISATION;
        !busy && self.budget.has_hedge()
    }

    /// When the next probe of an ejected endpoint is due; `None` if none is scheduled.
    pub(super) fn next_probe(&self) -> Option<Time> {
        let in_service = self
            .endpoints
            .values()
            .filter(|e| e.out_of_service_cause().is_none());
        in_service.filter_map(|e| e.health.probe_due()).min()
    }

    /// Whether one more endpoint may be ejected for failures that overload could
    /// also explain: at most half of those in service.
    pub(super) fn may_eject(&self) -> bool {
        let in_service = || {
            self.endpoints
                .values()
                .filter(|e| e.out_of_service_cause().is_none())
        };
        let ejected = in_service().filter(|e| e.health.is_ejected()).count();
        (ejected + 1) * 2 <= in_service().count()
    }
}
