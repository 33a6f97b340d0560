//! The world of the stateful test, and its oracle.

mod callers;
mod claims;
mod endpoints;
mod hosts;

use std::collections::BTreeSet;

use indexmap::IndexSet;
use rand::rngs::StdRng;

use super::super::{DOMAINS, OK, address, config, request, rng};
use super::act::Act;
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
/// Domains of the endpoints.
const ENDPOINTS: [usize; 4] = [0, 0, 1, 2];
/// Scaled versions of the holding time and the lifetime of a key. Deadlines and
/// the delay of configurations are at most one second each.
const LIFETIME: Span = Span::from_secs(12);
const KEY_LIFETIME: Span = Span::from_secs(9);
const CONFIG_DELAY: Span = Span::from_millis(500);

/// A rule that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rule {
    /// A non-idempotent request ran twice.
    AtMostOnce,
    /// A request refused as not run ran, or was sent.
    NotRun,
    /// An endpoint got a request after the host knew that it leaves.
    Leaving,
    /// An answer went to another request, or to one that had ended.
    OwnAnswer,
    /// A request was sent after its deadline.
    Deadline,
    /// A host had more requests in flight at an endpoint than slots.
    Slots,
    /// A request was admitted while the host was stopping.
    Draining,
    /// A request or attempt was never finished.
    Forgotten,
}

/// What is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Flaw {
    /// A rule of the router.
    Router(Fault),
    /// Holders don't abstain after their start.
    NoAbstention,
    /// Former host sets are forgotten at once.
    ForgetSets,
    /// Holders ignore which host sets the claimant knows.
    TrustClaimant,
}

/// An entry process.
struct Process {
    incarnation: u64,
    router: Router<Adaptive>,
    holder: Holder,
    sets: HostSets,
    draining: bool,
    /// Endpoints that leave by the configuration, the host list and their own word.
    declared: IndexSet<EndpointName>,
    listed: IndexSet<EndpointName>,
    said: IndexSet<EndpointName>,
}

/// What a caller wants to be done once.
struct Operation {
    info: RequestInfo,
    started: Time,
    runs: u32,
}

/// A request at a host.
struct CallState {
    operation: usize,
    host: usize,
    incarnation: u64,
    ticket: Ticket,
    open: bool,
    claimant: Option<(Claimant, ClaimKey)>,
    deadline: Time,
    runs: u32,
    denied: bool,
}

/// An attempt on its way.
struct Flight {
    call: usize,
    attempt: AttemptId,
    endpoint: EndpointName,
    until: Time,
    /// Whether the endpoint has received it, or never will.
    landed: bool,
    /// Whether the endpoint runs it.
    running: bool,
    /// Whether the host knows its end.
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

pub(super) struct World {
    now: Time,
    rng: StdRng,
    config: Config,
    changed: Time,
    hosts: Vec<Option<Process>>,
    operations: Vec<Operation>,
    calls: Vec<CallState>,
    flights: Vec<Flight>,
    messages: Vec<Message>,
    /// State of each endpoint: 0 down, 1 up, 2 leaving.
    endpoints: [u8; 4],
    incarnations: u64,
    flaw: Option<Flaw>,
    pub(super) broken: BTreeSet<Rule>,
    /// What happened, to show that the cases reach it.
    pub(super) seen: BTreeSet<String>,
}

impl World {
    pub(super) fn new(flaw: Option<Flaw>) -> Self {
        let mut config = config(HOSTS, SLOTS, &ENDPOINTS);
        config.services["booking"].queue = 3;
        let mut world = Self {
            now: Time::ZERO,
            rng: rng(),
            config,
            changed: Time::ZERO,
            hosts: (0..HOSTS).map(|_| None).collect(),
            operations: Vec::new(),
            calls: Vec::new(),
            flights: Vec::new(),
            messages: Vec::new(),
            endpoints: [1; 4],
            incarnations: 0,
            flaw,
            broken: BTreeSet::new(),
            seen: BTreeSet::new(),
        };
        (0..HOSTS).for_each(|host| world.start(host));
        // Holders abstain for one lifetime after their start.
        world.now = Time::ZERO + LIFETIME;
        world
    }

    pub(super) fn apply(&mut self, act: Act) {
        match act {
            Act::Call {
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
            Act::Retry { call, host } => self.retry(call, host % HOSTS),
            Act::Next { call } => self.with(call, self.calls.len(), Self::next),
            Act::NextAll => (0..self.calls.len()).for_each(|call| self.next(call)),
            Act::Claim {
                message,
                lost,
                again,
            } => {
                self.with(message, self.messages.len(), |w, m| w.claim(m, lost, again));
            }
            Act::ClaimAll => {
                while !self.messages.is_empty() {
                    self.claim(0, false, false);
                }
            }
            Act::LoseClaim { message } => {
                self.with(message, self.messages.len(), |w, m| {
                    w.messages.remove(m);
                });
            }
            Act::Arrive { flight } => self.with(flight, self.flights.len(), Self::arrive),
            Act::ArriveAll => (0..self.flights.len()).for_each(|f| self.arrive(f)),
            Act::Answer { flight, leaving } => {
                self.with(flight, self.flights.len(), |w, f| w.answer(f, leaving));
            }
            Act::AnswerAll => (0..self.flights.len()).for_each(|f| self.answer(f, false)),
            Act::Break { flight } => {
                self.with(flight, self.flights.len(), |w, f| {
                    w.report(f, AttemptOutcome::Broken)
                });
            }
            Act::HangUp { call } => self.with(call, self.calls.len(), Self::hang_up),
            Act::Endpoint { endpoint, state } => self.endpoints[endpoint % 4] = state,
            Act::Endpoints { state } => self.endpoints = [state; 4],
            Act::HostList { host } => self.host_list(host % HOSTS),
            Act::Declare { endpoint, leaving } => {
                let service = &mut self.config.services["booking"];
                service.endpoints[endpoint % 4].leaving = leaving;
                self.change();
            }
            Act::Kill { host } => self.kill(host % HOSTS),
            Act::Start { host } => self.start(host % HOSTS),
            Act::Drain { host } => self.drain(host % HOSTS),
            Act::Hosts { mask } => self.change_hosts(mask),
            Act::Configure { host } => self.configure(host % HOSTS),
            Act::Heartbeats => self.heartbeats(),
            Act::Advance { by } => self.advance(Span::from_millis(by)),
        }
    }

    /// Lets everything come to its end and checks that nothing is left.
    pub(super) fn finish(&mut self) {
        for _ in 0..4 {
            self.apply(Act::NextAll);
            self.apply(Act::ClaimAll);
            self.apply(Act::ArriveAll);
            self.advance(Span::from_millis(1_100));
        }
        self.apply(Act::NextAll);
        let open = self.calls.iter().filter(|c| c.open).count();
        let busy = self
            .hosts
            .iter()
            .flatten()
            .filter(|p| !p.router.is_idle())
            .count();
        if open + busy > 0 {
            self.broken.insert(Rule::Forgotten);
        }
    }

    fn with(&mut self, index: usize, count: usize, act: impl FnOnce(&mut Self, usize)) {
        if count > 0 {
            act(self, index % count);
        }
    }

    fn see(&mut self, what: impl Into<String>) {
        self.seen.insert(what.into());
    }
}

fn node(host: usize) -> NodeName {
    NodeName::new(format!("{}/entry", HostName::new(format!("h{host}"))))
}
