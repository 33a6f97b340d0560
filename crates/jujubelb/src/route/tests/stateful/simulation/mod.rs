//! Simulation for the stateful test, and its oracle.

mod claims;
mod endpoints;
mod hosts;
mod requests;

use std::collections::BTreeSet;

use indexmap::IndexSet;
use rand::rngs::StdRng;

use super::super::{DOMAINS, OK, address, config, request, rng};
use super::event::Event;
use crate::claim::{Claimant, Holder, HostSets};
use crate::config::Config;
use crate::model::{
    Code, EndpointName, HostName, MayHaveRun, NodeName, Priority, Revision, Span, Time,
};
use crate::peer::ClaimKey;
use crate::route::balance::Adaptive;
use crate::route::router::Fault;
use crate::route::{
    AttemptId, AttemptOutcome, ClaimResult, Delivery, Dispatch, RequestInfo, Router, Step, Ticket,
};

const HOSTS: usize = 5;
const SLOTS: u32 = 4;
/// Domain index of each endpoint.
const ENDPOINTS: [usize; 4] = [0, 0, 1, 2];
/// Retention of claims, scaled down together with [`MAX_RETRY_AGE`]. The difference
/// allows for deadlines and configuration delays of at most one second each.
const LIFETIME: Span = Span::from_secs(12);
/// Lifetime of a key: time after the first try within which callers retry with it.
const MAX_RETRY_AGE: Span = Span::from_secs(9);
/// Time after which every host has a changed configuration.
const CONFIG_DELAY: Span = Span::from_millis(500);

/// An invariant that the oracle checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Invariant {
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A request that is reported as not run has not run and does not run later.
    NotRun,
    /// A host sends no request to an endpoint that it knows to be leaving.
    Leaving,
    /// A response goes to the request that it belongs to, while that is open.
    OwnAnswer,
    /// No request is sent after its deadline.
    Deadline,
    /// A host has no more requests in flight at an endpoint than slots.
    Slots,
    /// A stopping host admits no request.
    Draining,
    /// Every request and attempt is finished.
    Forgotten,
}

/// A fault that is injected to check the oracle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SimulationFault {
    /// A fault of the router.
    Router(Fault),
    /// Holders do not abstain after their start.
    NoAbstention,
    /// Former host sets are dropped at once.
    ForgetSets,
    /// Holders do not check which host sets the claimant knows.
    TrustClaimant,
}

/// An entry process.
struct EntryProcess {
    incarnation: u64,
    router: Router<Adaptive>,
    holder: Holder,
    sets: HostSets,
    draining: bool,
    /// Endpoints that are leaving by the configuration, the host list and their own
    /// announcement.
    declared: IndexSet<EndpointName>,
    listed: IndexSet<EndpointName>,
    announced: IndexSet<EndpointName>,
}

/// An operation of a caller, which may send several requests for it.
struct Operation {
    info: RequestInfo,
    started: Time,
    runs: u32,
}

/// A caller's request to a host.
struct CallerRequest {
    operation: usize,
    host: usize,
    incarnation: u64,
    ticket: Ticket,
    open: bool,
    claimant: Option<(Claimant, ClaimKey)>,
    deadline: Time,
    runs: u32,
    reported_not_run: bool,
}

/// An attempt to send a request to an endpoint.
struct AttemptState {
    call: usize,
    attempt: AttemptId,
    endpoint: EndpointName,
    deadline: Time,
    /// Whether it reached the endpoint.
    delivered: bool,
    /// Whether the endpoint runs it.
    running: bool,
    /// Whether its outcome was reported to the host.
    reported: bool,
}

/// A message to a holder.
#[derive(Clone)]
struct Message {
    call: usize,
    target: NodeName,
    key: ClaimKey,
    claimant: u128,
    sets: Vec<u64>,
    release: bool,
}

pub(super) struct Simulation {
    now: Time,
    rng: StdRng,
    config: Config,
    changed: Time,
    hosts: Vec<Option<EntryProcess>>,
    operations: Vec<Operation>,
    calls: Vec<CallerRequest>,
    attempts: Vec<AttemptState>,
    messages: Vec<Message>,
    /// State of each endpoint: 0 down, 1 up, 2 leaving.
    endpoints: [u8; 4],
    incarnations: u64,
    fault: Option<SimulationFault>,
    pub(super) violations: BTreeSet<Invariant>,
    /// Outcomes that occurred, to check that the cases reach them.
    pub(super) observed: BTreeSet<String>,
}

impl Simulation {
    pub(super) fn new(fault: Option<SimulationFault>) -> Self {
        let mut config = config(HOSTS, SLOTS, &ENDPOINTS);
        config.services["booking"].queue = 3;
        let mut simulation = Self {
            now: Time::ZERO,
            rng: rng(),
            config,
            changed: Time::ZERO,
            hosts: (0..HOSTS).map(|_| None).collect(),
            operations: Vec::new(),
            calls: Vec::new(),
            attempts: Vec::new(),
            messages: Vec::new(),
            endpoints: [1; 4],
            incarnations: 0,
            fault,
            violations: BTreeSet::new(),
            observed: BTreeSet::new(),
        };
        (0..HOSTS).for_each(|host| simulation.start(host));
        // Holders abstain for one lifetime after their start.
        simulation.now = Time::ZERO + LIFETIME;
        simulation
    }

    pub(super) fn apply(&mut self, event: Event) {
        match event {
            Event::Call {
                host,
                idempotent,
                keyed,
                batch,
                deadline,
            } => {
                let key = keyed.then(|| format!("k{}", self.operations.len()).into());
                let priority = if batch {
                    Priority::Batch
                } else {
                    Priority::Urgent
                };
                let deadline = Some(Span::from_millis(deadline));
                let info = RequestInfo {
                    idempotent,
                    key,
                    priority,
                    deadline,
                    ..request()
                };
                let started = self.now;
                self.operations.push(Operation {
                    info,
                    started,
                    runs: 0,
                });
                self.call(self.operations.len() - 1, host % HOSTS);
            }
            Event::Retry { call, host } => self.retry(call, host % HOSTS),
            Event::Next { call } => self.with_index(call, self.calls.len(), Self::next),
            Event::NextAll => (0..self.calls.len()).for_each(|call| self.next(call)),
            Event::Claim {
                message,
                lost,
                duplicate,
            } => {
                self.with_index(message, self.messages.len(), |s, m| {
                    s.claim(m, lost, duplicate)
                });
            }
            Event::ClaimAll => {
                while !self.messages.is_empty() {
                    self.claim(0, false, false);
                }
            }
            Event::LoseClaim { message } => {
                self.with_index(message, self.messages.len(), |s, m| {
                    s.messages.remove(m);
                });
            }
            Event::Arrive { attempt } => {
                self.with_index(attempt, self.attempts.len(), Self::arrive)
            }
            Event::ArriveAll => (0..self.attempts.len()).for_each(|a| self.arrive(a)),
            Event::Respond { attempt, leaving } => {
                self.with_index(attempt, self.attempts.len(), |s, a| s.respond(a, leaving));
            }
            Event::RespondAll => (0..self.attempts.len()).for_each(|a| self.respond(a, false)),
            Event::Break { attempt } => {
                self.with_index(attempt, self.attempts.len(), |s, a| {
                    s.report(a, AttemptOutcome::Broken)
                });
            }
            Event::HangUp { call } => self.with_index(call, self.calls.len(), Self::hang_up),
            Event::SetEndpoint { endpoint, state } => self.endpoints[endpoint % 4] = state,
            Event::SetAllEndpoints { state } => self.endpoints = [state; 4],
            Event::HostList { host } => self.host_list(host % HOSTS),
            Event::DeclareLeaving { endpoint, leaving } => {
                let service = &mut self.config.services["booking"];
                service.endpoints[endpoint % 4].leaving = leaving;
                self.config_changed();
            }
            Event::Kill { host } => self.kill(host % HOSTS),
            Event::Start { host } => self.start(host % HOSTS),
            Event::Drain { host } => self.drain(host % HOSTS),
            Event::SetEntryHosts { mask } => self.change_entry_hosts(mask),
            Event::Configure { host } => self.configure(host % HOSTS),
            Event::Heartbeats => self.heartbeats(),
            Event::Advance { by } => self.advance(Span::from_millis(by)),
        }
    }

    /// Lets all requests and attempts end and checks that none is left.
    pub(super) fn finish(&mut self) {
        for _ in 0..4 {
            self.apply(Event::NextAll);
            self.apply(Event::ClaimAll);
            self.apply(Event::ArriveAll);
            self.advance(Span::from_millis(1_100));
        }
        self.apply(Event::NextAll);
        let open = self.calls.iter().filter(|c| c.open).count();
        let busy = self
            .hosts
            .iter()
            .flatten()
            .filter(|p| !p.router.is_idle())
            .count();
        if open + busy > 0 {
            self.violations.insert(Invariant::Forgotten);
        }
    }

    fn with_index(&mut self, index: usize, count: usize, action: impl FnOnce(&mut Self, usize)) {
        if count > 0 {
            action(self, index % count);
        }
    }

    fn observe(&mut self, what: impl Into<String>) {
        self.observed.insert(what.into());
    }
}

fn node(host: usize) -> NodeName {
    NodeName::new(format!("{}/entry", HostName::new(format!("h{host}"))))
}
