//! The router: state and news. Admission, steps, ends of attempts and reports
//! are in files of their own.

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

/// Decides about requests. See the module for how it is called.
#[derive(Debug)]
pub struct Router<B: BalancePolicy = Adaptive> {
    domain: DomainName,
    revision: Revision,
    draining: bool,
    next_id: u64,
    services: IndexMap<ServiceName, Service<B>>,
    /// Admitted requests that have not ended.
    requests: IndexMap<Ticket, Request>,
    /// Attempts that have not ended, also those of requests that have.
    attempts: IndexMap<AttemptId, Attempt>,
    shares: Shares,
    link: LinkBudget,
    rates: CallerRates,
    /// Addresses that the host list names as leaving.
    leaving: IndexSet<SocketAddr>,
    wakeups: IndexSet<Ticket>,
    decisions: DecisionLog,
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
    /// Whether it waits in the queue of its service.
    queued: bool,
    /// Whether it goes to another region, because its own can't meet the deadline.
    crosses_region: bool,
    /// Its attempts in flight.
    attempts: Vec<AttemptId>,
    /// Whether an ended attempt may have run.
    maybe_ran: bool,
    /// Whether it was sent at all, for the budgets.
    sent: bool,
    hedged: bool,
    /// Whether it was noted as delayed.
    delay_recorded: bool,
    /// Endpoints at which an attempt failed.
    failed_endpoints: Vec<EndpointName>,
    /// The result, if no more attempts are made.
    final_code: Option<crate::model::Code>,
}

impl Request {
    /// Whether it may have run or may be running.
    fn may_have_run(&self) -> bool {
        self.maybe_ran || !self.attempts.is_empty()
    }
}

/// State of the claim of a request's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimState {
    /// The request needs none.
    NotNeeded,
    /// Not asked for yet.
    Needed,
    /// The process wiring asks the holders, until this time.
    Pending(Time),
    /// Granted, or the request has failed. To be released if it is not sent.
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
    /// Bytes reserved on the link between regions.
    reserved: Option<u64>,
}

impl<B: BalancePolicy> Router<B> {
    /// A router of the entry process `node` in `domain`, without configuration.
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

    /// Takes over a configuration. An older one than that in force is ignored.
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
        let gone: Vec<_> = known
            .filter(|s| !config.services.contains_key(*s))
            .cloned()
            .collect();
        for name in gone {
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
        let gone: Vec<_> = known
            .filter(|e| !spec.endpoints.contains_key(*e))
            .cloned()
            .collect();
        for endpoint in gone {
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

    /// Drops what the configuration no longer has and nothing uses any more.
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

    /// Takes over a host list: the addresses of endpoints that it names as leaving.
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

    /// Takes over the load that an entry process reports in its heartbeat.
    pub fn update_peer_load(&mut self, now: Time, node: &NodeName, loads: &[EndpointLoad]) {
        self.shares.update_peer(now, node, loads);
    }

    /// An entry process is certainly not running any more; its shares are free.
    pub fn peer_stopped(&mut self, now: Time, node: &NodeName) {
        self.shares.mark_stopped(node);
        self.refresh_shares(now);
        self.wake_all();
    }

    /// Refuses new requests from now on. Admitted ones are finished.
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

    /// Whether no request is open and no attempt in flight.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.attempts.is_empty()
    }

    /// Takes the tickets whose `next_step` has to be asked before their time.
    pub fn take_wakeups(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.wakeups).into_iter().collect()
    }

    /// Breaks a rule on purpose, to show that a test notices it.
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

    /// Changes an endpoint and notes whether it left or returned to service.
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

    /// Computes the shares again.
    fn refresh_shares(&mut self, now: Time) {
        for (name, service) in &mut self.services {
            self.shares.divide(now, name, &mut service.endpoints);
            service.sample_utilisation();
        }
        self.shares.mark_refreshed(now);
    }

    /// Computes the shares again if the last time is long ago.
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
