//! Division of each endpoint's slots and connections among the entry hosts.
//!
//! All entry hosts compute the same division from the loads in the heartbeats, so
//! the shares of an endpoint add up to its capacity. If the data of a peer is
//! stale, the division is even: no host then relies on capacity that the silent
//! peer may be using, and every host keeps its own share.

use indexmap::IndexMap;

use crate::model::{DomainName, EndpointName, NodeName, ServiceName, Span, Time};
use crate::peer::EndpointLoad;

use super::endpoint::Endpoint;

/// Age at which a peer's data is stale. Several lost heartbeats do not reach it.
pub(super) const PEER_DATA_TIMEOUT: Span = Span::from_secs(3);

/// Interval at which the shares are recomputed.
pub(super) const SHARE_REFRESH_INTERVAL: Span = Span::from_millis(100);

/// Weight of a new sample in the moving average of a host's demand. It is small
/// because requests in flight vary a lot between heartbeats.
const DEMAND_SAMPLE_WEIGHT: f64 = 0.1;

/// Range of demand, relative to the mean of the hosts, within which the division is
/// even. Even shares do not depend on samples, so all hosts compute the same ones.
const EVEN_DEMAND_RANGE: std::ops::RangeInclusive<f64> = 0.5..=1.6;

/// Steps of weight per mean demand. Weights are rounded to whole steps, so that hosts
/// with slightly different data compute the same ones.
const WEIGHT_STEPS: f64 = 4.0;

/// Minimum weight of a running host. It lets a host with little demand send requests
/// at once when its demand grows.
const MIN_WEIGHT: u64 = 1;

/// Demand of the entry hosts, from which the shares of this process are computed.
#[derive(Debug, Clone)]
pub(super) struct Shares {
    own_node: NodeName,
    /// All configured entry processes and this one, sorted by name.
    hosts: Vec<NodeName>,
    peers: IndexMap<NodeName, Peer>,
    /// Smoothed requests in flight of each host, in the order of `hosts`, at the
    /// endpoints of a service in a failure domain.
    demand: IndexMap<(ServiceName, DomainName), Vec<f64>>,
    /// Time of the last computation; `None` if the next one is due at once.
    refreshed: Option<Time>,
}

#[derive(Debug, Clone, Default)]
struct Peer {
    /// Whether the peer certainly does not run.
    stopped: bool,
    last_heard: Option<Time>,
    /// Reported requests in flight, and when they were received.
    loads: IndexMap<(ServiceName, EndpointName), (u16, Time)>,
}

impl Shares {
    pub(super) fn new(own_node: NodeName) -> Self {
        Self {
            hosts: vec![own_node.clone()],
            own_node,
            peers: IndexMap::new(),
            demand: IndexMap::new(),
            refreshed: None,
        }
    }

    /// Sets the entry processes that share the endpoints; this one is always included.
    pub(super) fn configure(&mut self, nodes: impl Iterator<Item = NodeName>) {
        let mut hosts: Vec<_> = nodes.chain([self.own_node.clone()]).collect();
        hosts.sort();
        hosts.dedup();
        if hosts != self.hosts {
            self.demand.clear();
        }
        self.hosts = hosts;
        self.refreshed = None;
        let hosts = &self.hosts;
        self.peers.retain(|node, _| hosts.contains(node));
    }

    /// Records the loads reported by a peer. Endpoints that are not listed keep their
    /// value, because a heartbeat may hold only some of them.
    pub(super) fn update_peer(&mut self, now: Time, node: &NodeName, loads: &[EndpointLoad]) {
        if *node == self.own_node || !self.hosts.contains(node) {
            return;
        }
        let peer = self.peers.entry(node.clone()).or_default();
        peer.stopped = false;
        peer.last_heard = Some(now);
        for load in loads {
            let key = (load.service.clone(), load.endpoint.clone());
            peer.loads.insert(key, (load.inflight, now));
        }
        peer.loads
            .retain(|_, (_, at)| now.since(*at) < PEER_DATA_TIMEOUT + PEER_DATA_TIMEOUT);
    }

    /// Marks a peer as certainly not running until it is heard of again.
    pub(super) fn mark_stopped(&mut self, node: &NodeName) {
        let peer = self.peers.entry(node.clone()).or_default();
        *peer = Peer {
            stopped: true,
            ..Peer::default()
        };
        self.refreshed = None;
    }

    /// Whether the shares have to be recomputed.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.refreshed
            .is_none_or(|at| now.since(at) >= SHARE_REFRESH_INTERVAL)
    }

    /// Records that the shares of all services were computed.
    pub(super) fn mark_refreshed(&mut self, now: Time) {
        self.refreshed = Some(now);
    }

    /// Sets the shares of this process at the endpoints of a service.
    pub(super) fn divide(
        &mut self,
        now: Time,
        service: &ServiceName,
        endpoints: &mut IndexMap<EndpointName, Endpoint>,
    ) {
        self.sample_demand(now, service, endpoints);
        let mut weights: IndexMap<DomainName, Vec<u64>> = IndexMap::new();
        for endpoint in endpoints.values_mut() {
            let domain = &endpoint.spec.domain;
            if !weights.contains_key(domain) {
                weights.insert(domain.clone(), self.weights(now, service, domain));
            }
            let weights = &weights[domain];
            endpoint.share = self.own_part(endpoint.salt, endpoint.capacity(), weights);
            endpoint.connection_share =
                self.own_part(endpoint.salt, endpoint.spec.connections, weights);
        }
    }

    /// Samples the requests in flight of all hosts into the smoothed demand.
    fn sample_demand(
        &mut self,
        now: Time,
        service: &ServiceName,
        endpoints: &mut IndexMap<EndpointName, Endpoint>,
    ) {
        let mut sums: IndexMap<DomainName, Vec<f64>> = IndexMap::new();
        for (name, endpoint) in endpoints.iter_mut() {
            let row = sums
                .entry(endpoint.spec.domain.clone())
                .or_insert_with(|| vec![0.0; self.hosts.len()]);
            let key = (service.clone(), name.clone());
            let mut known = 0;
            for (host, sum) in self.hosts.iter().zip(row) {
                if *host == self.own_node {
                    *sum += f64::from(endpoint.inflight());
                } else if let Some(inflight) = self.reported(now, host, &key) {
                    known += u32::from(inflight);
                    *sum += f64::from(inflight);
                }
            }
            endpoint.peer_inflight = known;
        }
        for (domain, row) in sums {
            let demand = self
                .demand
                .entry((service.clone(), domain))
                .or_insert_with(|| row.clone());
            for (old, new) in demand.iter_mut().zip(row) {
                *old += DEMAND_SAMPLE_WEIGHT * (new - *old);
            }
        }
    }

    fn reported(
        &self,
        now: Time,
        host: &NodeName,
        key: &(ServiceName, EndpointName),
    ) -> Option<u16> {
        let peer = self.peers.get(host)?;
        let (inflight, at) = peer.loads.get(key)?;
        (!peer.stopped && now.since(*at) < PEER_DATA_TIMEOUT).then_some(*inflight)
    }

    /// Weights of the hosts, in the order of `hosts`, for the endpoints of a service in
    /// a failure domain. Hosts that do not run have weight 0.
    fn weights(&self, now: Time, service: &ServiceName, domain: &DomainName) -> Vec<u64> {
        let running: Vec<bool> = self.hosts.iter().map(|h| !self.is_stopped(h)).collect();
        let even = || running.iter().map(|r| u64::from(*r)).collect();
        let stale = self.hosts.iter().any(|h| self.is_stale(now, h));
        let Some(demand) = self.demand.get(&(service.clone(), domain.clone())) else {
            return even();
        };
        let count = running.iter().filter(|r| **r).count().max(1) as f64;
        let present = || demand.iter().zip(&running).filter(|(_, r)| **r);
        let mean = present().map(|(d, _)| d).sum::<f64>() / count;
        // Below a mean of one request in flight per host the ratios are noise.
        if stale || mean < 1.0 || present().all(|(d, _)| EVEN_DEMAND_RANGE.contains(&(d / mean))) {
            return even();
        }
        let weight = |d: f64| ((d / mean * WEIGHT_STEPS).round() as u64).max(MIN_WEIGHT);
        demand
            .iter()
            .zip(&running)
            // The extra step lets a host grow whose demand is limited by its share.
            .map(|(d, r)| if *r { weight(*d) + 1 } else { 0 })
            .collect()
    }

    /// This process's part of `amount`. The parts of all hosts add up to `amount`; the
    /// salt of the endpoint determines which hosts get the remainders.
    fn own_part(&self, salt: u16, amount: u32, weights: &[u64]) -> u32 {
        const ONE: u64 = 1 << 16;
        let total = weights.iter().sum::<u64>().max(1);
        let bound = |sum: u64| (sum * u64::from(amount) * ONE / total + u64::from(salt)) / ONE;
        let mut before = 0;
        for (host, weight) in self.hosts.iter().zip(weights) {
            if *host == self.own_node {
                return (bound(before + weight) - bound(before)) as u32;
            }
            before += weight;
        }
        0
    }

    fn is_stopped(&self, host: &NodeName) -> bool {
        self.peers.get(host).is_some_and(|p| p.stopped)
    }

    fn is_stale(&self, now: Time, host: &NodeName) -> bool {
        if *host == self.own_node || self.is_stopped(host) {
            return false;
        }
        let last_heard = self.peers.get(host).and_then(|p| p.last_heard);
        last_heard.is_none_or(|at| now.since(at) >= PEER_DATA_TIMEOUT)
    }
}

/// A hash of the names that is the same in each process.
pub(super) fn salt(names: &[&str]) -> u16 {
    let mut hasher = blake3::Hasher::new();
    for name in names {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
    let hash = hasher.finalize();
    u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]])
}
