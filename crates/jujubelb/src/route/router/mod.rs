//! The router's state and the updates of its view. Admission, steps, outcomes of
//! attempts and reports are in submodules.

mod admit;
mod fault;
mod outcome;
mod report;
mod step;

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::config::{self, Config};
use crate::model::{
    Action, Bytes, Cause, DomainName, EndpointName, Fact, NodeName, Priority, Revision,
    ServiceName, Subject, Time, Unit,
};
use crate::peer::EndpointLoad;

use super::balance::{Adaptive, BalancePolicy};
use super::decision::DecisionLog;
use super::endpoint::{Distance, Endpoint};
use super::link::LinkBudget;
use super::rate::CallerRates;
use super::service::Service;
use super::share::{Shares, salt};
use super::{AttemptId, Ticket};

pub use fault::Fault;
pub use report::{EndpointState, RouterState, ServiceState};

/// Admits requests, chooses their endpoints, and decides on retries and hedges. See
/// the module documentation for how it is called.
#[derive(Debug)]
pub struct Router<B: BalancePolicy = Adaptive> {
    domain: DomainName,
    revision: Revision,
    draining: bool,
    next_id: u64,
    services: IndexMap<ServiceName, Service<B>>,
    /// Admitted requests that are not finished.
    requests: IndexMap<Ticket, Request>,
    /// Attempts in flight, including those of finished requests.
    attempts: IndexMap<AttemptId, Attempt>,
    shares: Shares,
    link: LinkBudget,
    rates: CallerRates,
    /// Addresses that the host list lists as leaving.
    leaving: IndexSet<SocketAddr>,
    /// Requests whose `next_step` has to be called at once.
    wakeups: IndexSet<Ticket>,
    decisions: DecisionLog,
    /// Faults injected by tests.
    faults: Vec<Fault>,
}

/// An admitted request.
#[derive(Debug)]
struct Request {
    service: ServiceName,
    priority: Priority,
    idempotent: bool,
    bytes: Bytes,
    deadline: Time,
    claim: ClaimState,
    /// Whether it is in the queue of its service.
    queued: bool,
    /// Whether it may bypass the queue to another region, because the own region can't
    /// meet its deadline.
    crosses_region: bool,
    /// Attempts in flight.
    attempts: Vec<AttemptId>,
    /// Whether an attempt that ended without a response may have run.
    maybe_ran: bool,
    /// Whether it was counted in the budgets, which the first attempt does.
    sent: bool,
    hedged: bool,
    /// Whether a delay by the link budget was recorded.
    delay_recorded: bool,
    /// Endpoints where an attempt failed.
    failed_endpoints: Vec<EndpointName>,
    /// The result code once no more attempts are made.
    final_code: Option<crate::model::Code>,
}

impl Request {
    /// Whether it may have run or be running.
    fn may_have_run(&self) -> bool {
        self.maybe_ran || !self.attempts.is_empty()
    }
}

/// State of the claim of a request's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimState {
    /// The request needs no claim.
    NotNeeded,
    /// The claim was not started yet.
    Needed,
    /// The claim is in progress, until this time.
    Pending(Time),
    /// Granted, or the request has failed. Has to be released if the request does not run.
    Decided,
}

/// An attempt in flight.
#[derive(Debug)]
struct Attempt {
    ticket: Ticket,
    service: ServiceName,
    endpoint: EndpointName,
    sent: Time,
    request_size: Bytes,
    /// Bytes reserved in the link budget; `None` within the region.
    reserved: Option<u64>,
}

impl<B: BalancePolicy> Router<B> {
    /// Creates the router of the entry process `node` in `domain`, without configuration.
    pub fn new(node: NodeName, domain: DomainName) -> Self {
        Self {
            domain,
            revision: Revision::default(),
            draining: false,
            next_id: 0,
            services: IndexMap::new(),
            requests: IndexMap::new(),
            attempts: IndexMap::new(),
            shares: Shares::new(node),
            link: LinkBudget::default(),
            rates: CallerRates::default(),
            leaving: IndexSet::new(),
            wakeups: IndexSet::new(),
            decisions: DecisionLog::default(),
            faults: Vec::new(),
        }
    }

    /// Applies a configuration. One that is older than the active one is ignored.
    pub fn configure(&mut self, now: Time, config: &Config) {
        if config.revision < self.revision {
            return;
        }
        self.revision = config.revision;
        self.link.configure(now, config.limits.link.0);
        self.rates.configure(config.limits.rate);
        let nodes = config.hosts.keys();
        self.shares
            .configure(nodes.map(|h| NodeName::new(format!("{h}/entry"))));
        for (name, spec) in &config.services {
            let service = self
                .services
                .entry(name.clone())
                .or_insert_with(Service::new);
            service.removed = false;
            service.deadline = spec.deadline;
            service.queue_limit = spec.queue as usize;
            self.configure_endpoints(now, name, spec, config);
        }
        let known = self.services.keys();
        let removed: Vec<_> = known
            .filter(|s| !config.services.contains_key(*s))
            .cloned()
            .collect();
        for name in removed {
            self.remove_service(now, &name);
        }
        self.drop_removed();
        self.refresh_shares(now);
        self.wake_all();
    }

    fn configure_endpoints(
        &mut self,
        now: Time,
        name: &ServiceName,
        spec: &config::Service,
        config: &Config,
    ) {
        let region = config.domains.get(&self.domain).map(|d| &d.region);
        for (endpoint, declared) in &spec.endpoints {
            let domain = config.domains.get(&declared.domain);
            let distance = match domain.map(|d| &d.region) {
                _ if declared.domain == self.domain => Distance::Domain,
                Some(other) if region.is_some_and(|own| own != other) => Distance::Remote,
                _ => Distance::Region,
            };
            let out = domain.is_some_and(|d| d.out);
            let listed = self.leaving.contains(&declared.address);
            let new = || {
                let salt = salt(&[name.as_str(), endpoint.as_str()]);
                Endpoint::new(declared.clone(), distance, salt)
            };
            let service = &mut self.services[name];
            service
                .endpoints
                .entry(endpoint.clone())
                .or_insert_with(new);
            self.update_endpoint(now, name, endpoint, |e| {
                e.configure(declared, distance);
                e.removed = false;
                e.domain_out = out;
                e.listed_leaving = listed;
            });
        }
        let known = self.services[name].endpoints.keys();
        let removed: Vec<_> = known
            .filter(|e| !spec.endpoints.contains_key(*e))
            .cloned()
            .collect();
        for endpoint in removed {
            self.update_endpoint(now, name, &endpoint, |e| e.removed = true);
        }
    }

    fn remove_service(&mut self, now: Time, name: &ServiceName) {
        let service = &mut self.services[name];
        service.removed = true;
        let endpoints: Vec<_> = service.endpoints.keys().cloned().collect();
        for endpoint in endpoints {
            self.update_endpoint(now, name, &endpoint, |e| e.removed = true);
        }
    }

    /// Drops removed endpoints without attempts in flight, and removed services without
    /// endpoints and open requests.
    fn drop_removed(&mut self) {
        let requests = &self.requests;
        for service in self.services.values_mut() {
            service
                .endpoints
                .retain(|_, e| !e.removed || e.inflight() > 0);
        }
        self.services.retain(|name, s| {
            !s.removed || !s.endpoints.is_empty() || requests.values().any(|r| r.service == *name)
        });
    }

    /// Applies a host list, given as the addresses of endpoints on leaving hosts.
    pub fn update_host_list(&mut self, now: Time, leaving: IndexSet<SocketAddr>) {
        self.leaving = leaving;
        let all: Vec<_> = self
            .services
            .iter()
            .flat_map(|(s, service)| service.endpoints.keys().map(|e| (s.clone(), e.clone())))
            .collect();
        for (service, endpoint) in all {
            let address = self.services[&service].endpoints[&endpoint].spec.address;
            let listed = self.leaving.contains(&address);
            self.update_endpoint(now, &service, &endpoint, |e| e.apply_host_list(now, listed));
        }
        self.refresh_shares(now);
        self.wake_all();
    }

    /// Records the loads that another entry process reports in its heartbeat.
    pub fn update_peer_load(&mut self, now: Time, node: &NodeName, loads: &[EndpointLoad]) {
        self.shares.update_peer(now, node, loads);
    }

    /// Frees the shares of an entry process that certainly does not run any more.
    pub fn peer_stopped(&mut self, now: Time, node: &NodeName) {
        self.shares.mark_stopped(node);
        self.refresh_shares(now);
        self.wake_all();
    }

    /// Refuses new requests from now on. Admitted requests are finished.
    pub fn drain(&mut self, now: Time) {
        if !self.draining {
            for name in self.services.keys() {
                let open = self.requests.values().filter(|r| r.service == *name);
                let open = open.count() as i64;
                let facts = || vec![Fact::new("open-requests", open, Unit::Count)];
                let subject = Subject::Service(name.clone());
                self.decisions
                    .record(now, subject, Action::Stop, Cause::PlannedStop, facts);
            }
        }
        self.draining = true;
    }

    /// Whether no request is open and no attempt is in flight.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.attempts.is_empty()
    }

    /// Removes and returns the tickets whose `next_step` has to be called at once.
    pub fn take_wakeups(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.wakeups).into_iter().collect()
    }

    /// Injects a fault to show that a test detects it.
    #[cfg(test)]
    pub(crate) fn inject_fault(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    #[cfg(test)]
    pub(in crate::route) fn service_for_test(&mut self, name: &str) -> &mut Service<B> {
        &mut self.services[name]
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Changes an endpoint, and records the decision if it left or returned to service.
    fn update_endpoint(
        &mut self,
        now: Time,
        service: &ServiceName,
        name: &EndpointName,
        change: impl FnOnce(&mut Endpoint),
    ) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        let Some(endpoint) = service.endpoints.get_mut(name) else {
            return;
        };
        let before = endpoint.out_of_service_cause();
        change(endpoint);
        let after = endpoint.out_of_service_cause();
        let (action, cause) = match (before, after) {
            (None, Some(cause)) => (Action::Remove, cause),
            (Some(cause), None) => (Action::Restore, cause),
            _ => return,
        };
        let inflight = i64::from(endpoint.inflight());
        let facts = || vec![Fact::new("inflight", inflight, Unit::Count)];
        let subject = Subject::Endpoint(name.clone());
        self.decisions.record(now, subject, action, cause, facts);
    }

    /// Recomputes the shares and samples the utilisation of all services.
    fn refresh_shares(&mut self, now: Time) {
        for (name, service) in &mut self.services {
            self.shares.divide(now, name, &mut service.endpoints);
            service.sample_utilisation();
        }
        self.shares.mark_refreshed(now);
    }

    /// Recomputes the shares if the refresh interval has passed.
    fn refresh_shares_if_due(&mut self, now: Time) {
        if self.shares.is_due(now) {
            self.refresh_shares(now);
            self.wake_all();
        }
    }

    /// Wakes the first request in the queue of a service.
    fn wake_head(&mut self, service: &ServiceName) {
        if let Some(head) = self.services.get(service).and_then(|s| s.queue.head()) {
            self.wakeups.insert(head);
        }
    }

    fn wake_all(&mut self) {
        let heads = self.services.values().filter_map(|s| s.queue.head());
        self.wakeups.extend(heads);
    }
}
