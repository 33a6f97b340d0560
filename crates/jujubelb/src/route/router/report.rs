//! What the router tells others: loads, latencies, notes and its state.

use serde::Serialize;

use crate::model::{
    Cause, DomainName, EndpointName, Revision, ServiceName, Span, Time, WorkerName,
};
use crate::peer::EndpointLoad;
use crate::place::LatencyReport;

use super::super::balance::BalancePolicy;
use super::super::budget::Budget;
use super::super::endpoint::Distance;
use super::super::health::Health;
use super::super::link::Link;
use super::super::note::Note;
use super::super::share::STALE;
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
    link: Link,
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
    budget: Budget,
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
        all.filter(|(_, _, e)| e.inflight() > 0 || e.used.is_some_and(|at| now.since(at) < STALE))
            .map(|(service, name, e)| EndpointLoad {
                service: service.clone(),
                endpoint: name.clone(),
                inflight: u16::try_from(e.inflight()).unwrap_or(u16::MAX),
            })
            .collect()
    }

    /// Latencies since the last call, for each service and worker host.
    pub fn latency_reports(&mut self, now: Time) -> Vec<LatencyReport> {
        let mut reports = Vec::new();
        for (name, service) in &mut self.services {
            let mut rows: indexmap::IndexMap<WorkerName, Row> = indexmap::IndexMap::new();
            for endpoint in service.endpoints.values_mut() {
                endpoint
                    .meter
                    .advance(now, endpoint.inflight() + endpoint.peers);
                if let Some(worker) = &endpoint.spec.worker {
                    let row = rows.entry(worker.clone()).or_default();
                    let (load, length) = endpoint.meter.load(now);
                    row.sum += endpoint.meter.sum;
                    row.count += endpoint.meter.count;
                    row.load += load;
                    row.slots += u64::from(endpoint.capacity());
                    row.length = length;
                }
                endpoint.meter.reset(now);
            }
            let rows = rows.into_iter().filter(|(_, row)| row.count > 0);
            reports.extend(rows.map(|(worker, row)| row.report(name.clone(), worker)));
        }
        reports
    }

    /// Takes the notes of the seconds that are over.
    pub fn notes(&mut self, now: Time) -> Vec<Note> {
        self.notes.take(now)
    }

    /// The whole state, for dumps.
    pub fn state(&self, now: Time) -> RouterState {
        RouterState {
            domain: self.domain.clone(),
            revision: self.revision,
            draining: self.draining,
            requests: self.requests.len(),
            attempts: self.attempts.len(),
            dropped: self.notes.dropped(),
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
        let typical = service.typical(now);
        let endpoints = service.endpoints.iter().map(|(name, e)| EndpointState {
            endpoint: name.clone(),
            distance: e.distance,
            out: e.out_of_service(),
            inflight: e.inflight(),
            share: e.share,
            peers: e.peers,
            latency: Span::from_micros(e.expected(now, typical) as u64),
            health: e.health.clone(),
        });
        ServiceState {
            service: name.clone(),
            queue: service.queue.len(),
            batch: service.queue.batch(),
            claiming: service.claiming,
            limit: service.limit,
            median: service
                .latency
                .median(now)
                .map(|m| Span::from_micros(m as u64)),
            hedge: service.latency.late(),
            budget: service.budget.clone(),
            endpoints: endpoints.collect(),
        }
    }
}

/// Sums over the endpoints of a service on one worker host.
#[derive(Debug, Default)]
struct Row {
    sum: u64,
    count: u32,
    load: u64,
    slots: u64,
    length: Span,
}

impl Row {
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
