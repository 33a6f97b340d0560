//! Reports of the router: endpoint loads, latencies, decisions and its state.

use serde::Serialize;

use crate::model::{
    Cause, DomainName, EndpointName, Revision, ServiceName, Span, Time, WorkerName,
};
use crate::peer::EndpointLoad;
use crate::place::LatencyReport;

use super::super::balance::BalancePolicy;
use super::super::budget::RetryBudget;
use super::super::decision::AggregatedDecision;
use super::super::endpoint::Distance;
use super::super::health::Health;
use super::super::link::LinkBudget;
use super::super::share::PEER_DATA_TIMEOUT;
use super::Router;

/// State of the router for diagnostic dumps.
#[derive(Debug, Clone, Serialize)]
pub struct RouterState {
    /// Failure domain of the process.
    pub domain: DomainName,
    /// Revision of the active configuration.
    pub revision: Revision,
    /// Whether new requests are refused because the process is stopping.
    pub draining: bool,
    /// Number of open requests.
    pub requests: usize,
    /// Number of attempts in flight, including abandoned ones.
    pub attempts: usize,
    /// Number of decisions that were not recorded because the decision log was full.
    pub dropped: u64,
    link: LinkBudget,
    /// State of each service, in the order in which the services were first configured.
    pub services: Vec<ServiceState>,
}

/// State of one service for diagnostic dumps.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceState {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of queued requests.
    pub queue: usize,
    /// Number of queued batch requests.
    pub batch: usize,
    /// Number of admitted requests that wait for their claim.
    pub claiming: usize,
    /// Maximum of `queue` and `claiming` together.
    pub limit: usize,
    /// Median latency; `None` before the first response.
    pub median: Option<Span>,
    /// Time after which a request is hedged; `None` while there are too few samples.
    pub hedge: Option<Span>,
    budget: RetryBudget,
    /// State of each endpoint of the service.
    pub endpoints: Vec<EndpointState>,
}

/// State of one endpoint for diagnostic dumps.
#[derive(Debug, Clone, Serialize)]
pub struct EndpointState {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    distance: Distance,
    /// Why it gets no new requests; `None` if it is in service.
    pub out: Option<Cause>,
    /// Attempts in flight from this process.
    pub inflight: u32,
    /// This process's share of the endpoint's capacity.
    pub share: u32,
    /// Attempts in flight from other entry processes, as last reported by them.
    pub peers: u32,
    /// Expected latency of a request sent now.
    pub latency: Span,
    health: Health,
}

impl<B: BalancePolicy> Router<B> {
    /// Loads for the heartbeat, of endpoints that have attempts in flight or had some
    /// within [`PEER_DATA_TIMEOUT`].
    pub fn endpoint_loads(&self, now: Time) -> Vec<EndpointLoad> {
        let all = self.services.iter().flat_map(|(service, state)| {
            state
                .endpoints
                .iter()
                .map(move |(name, e)| (service, name, e))
        });
        all.filter(|(_, _, e)| {
            e.inflight() > 0
                || e.last_used
                    .is_some_and(|at| now.since(at) < PEER_DATA_TIMEOUT)
        })
        .map(|(service, name, e)| EndpointLoad {
            service: service.clone(),
            endpoint: name.clone(),
            inflight: u16::try_from(e.inflight()).unwrap_or(u16::MAX),
        })
        .collect()
    }

    /// Returns the latencies since the last call, for each service and worker.
    pub fn take_latency_reports(&mut self, now: Time) -> Vec<LatencyReport> {
        let mut reports = Vec::new();
        for (name, service) in &mut self.services {
            let mut totals: indexmap::IndexMap<WorkerName, WorkerTotals> =
                indexmap::IndexMap::new();
            for endpoint in service.endpoints.values_mut() {
                endpoint
                    .load_meter
                    .advance(now, endpoint.inflight() + endpoint.peer_inflight);
                if let Some(worker) = &endpoint.spec.worker {
                    let total = totals.entry(worker.clone()).or_default();
                    let (load, length) = endpoint.load_meter.load(now);
                    total.sum += endpoint.load_meter.sum;
                    total.count += endpoint.load_meter.count;
                    total.load += load;
                    total.slots += u64::from(endpoint.capacity());
                    total.length = length;
                }
                endpoint.load_meter.reset(now);
            }
            let totals = totals.into_iter().filter(|(_, total)| total.count > 0);
            reports.extend(totals.map(|(worker, total)| total.report(name.clone(), worker)));
        }
        reports
    }

    /// Removes and returns the decisions of all seconds before the current one.
    pub fn take_decisions(&mut self, now: Time) -> Vec<AggregatedDecision> {
        self.decisions.take(now)
    }

    /// State of all services for diagnostic dumps.
    pub fn state(&self, now: Time) -> RouterState {
        RouterState {
            domain: self.domain.clone(),
            revision: self.revision,
            draining: self.draining,
            requests: self.requests.len(),
            attempts: self.attempts.len(),
            dropped: self.decisions.dropped(),
            link: self.link.clone(),
            services: self
                .services
                .keys()
                .map(|name| self.service_state(now, name))
                .collect(),
        }
    }

    fn service_state(&self, now: Time, name: &ServiceName) -> ServiceState {
        let service = &self.services[name];
        let typical = service.typical_latency(now);
        let endpoints = service.endpoints.iter().map(|(name, e)| EndpointState {
            endpoint: name.clone(),
            distance: e.distance,
            out: e.out_of_service_cause(),
            inflight: e.inflight(),
            share: e.share,
            peers: e.peer_inflight,
            latency: Span::from_micros(e.expected_latency(now, typical) as u64),
            health: e.health.clone(),
        });
        ServiceState {
            service: name.clone(),
            queue: service.queue.len(),
            batch: service.queue.batch_len(),
            claiming: service.claiming,
            limit: service.queue_limit,
            median: service
                .latency
                .median(now)
                .map(|m| Span::from_micros(m as u64)),
            hedge: service.latency.tail(),
            budget: service.budget.clone(),
            endpoints: endpoints.collect(),
        }
    }
}

/// Sums over the endpoints of a service on one worker.
#[derive(Debug, Default)]
struct WorkerTotals {
    /// Latencies in microseconds.
    sum: u64,
    count: u32,
    /// Mean requests in flight in thousandths.
    load: u64,
    slots: u64,
    /// Length of the reported interval.
    length: Span,
}

impl WorkerTotals {
    fn report(self, service: ServiceName, worker: WorkerName) -> LatencyReport {
        LatencyReport {
            service,
            worker,
            mean: Span::from_micros(self.sum / u64::from(self.count.max(1))),
            count: self.count,
            load: u32::try_from(self.load / self.slots.max(1)).unwrap_or(u32::MAX),
            // The samples are spread over the interval, so their mean age is half of it.
            age: Span::from_micros(self.length.as_micros() / 2),
        }
    }
}
