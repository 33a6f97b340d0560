//! What the router tells others: loads, latencies, notes and its state.

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

/// State of the router, for dumps.
#[derive(Debug, Clone, Serialize)]
pub struct RouterState {
    /// Failure domain of the process.
    pub domain: DomainName,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Whether new requests are refused.
    pub draining: bool,
    /// Open requests.
    pub requests: usize,
    /// Attempts in flight, also abandoned ones.
    pub attempts: usize,
    /// Decisions for which there was no room among the notes.
    pub dropped: u64,
    link: LinkBudget,
    /// Services.
    pub services: Vec<ServiceState>,
}

/// State of one service, for dumps.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceState {
    /// Its name.
    pub service: ServiceName,
    /// Requests that wait.
    pub queue: usize,
    /// Batch requests among them.
    pub batch: usize,
    /// Requests that wait for their claim.
    pub claiming: usize,
    /// Most requests that may wait.
    pub limit: usize,
    /// Median latency.
    pub median: Option<Span>,
    /// Time after which a request is hedged.
    pub hedge: Option<Span>,
    budget: RetryBudget,
    /// Endpoints.
    pub endpoints: Vec<EndpointState>,
}

/// State of one endpoint, for dumps.
#[derive(Debug, Clone, Serialize)]
pub struct EndpointState {
    /// Its name.
    pub endpoint: EndpointName,
    distance: Distance,
    /// Why it gets no new requests, if so.
    pub out: Option<Cause>,
    /// Attempts in flight from this process.
    pub inflight: u32,
    /// Attempts that may be in flight from this process.
    pub share: u32,
    /// Attempts in flight from other processes, as last reported.
    pub peers: u32,
    /// Expected latency.
    pub latency: Span,
    health: Health,
}

impl<B: BalancePolicy> Router<B> {
    /// Load of the endpoints for the heartbeat: those with attempts in flight,
    /// and those that had some not long ago.
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

    /// Latencies since the last call, for each service and worker host.
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

    /// Takes the notes of the seconds that are over.
    pub fn take_decisions(&mut self, now: Time) -> Vec<AggregatedDecision> {
        self.decisions.take(now)
    }

    /// The whole state, for dumps.
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

/// Sums over the endpoints of a service on one worker host.
#[derive(Debug, Default)]
struct WorkerTotals {
    sum: u64,
    count: u32,
    load: u64,
    slots: u64,
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
            // The samples are spread over the interval: on average they are half of it old.
            age: Span::from_micros(self.length.as_micros() / 2),
        }
    }
}
