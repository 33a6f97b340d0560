//! The world of the stateful test, and its oracle.

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
    AttemptEnd, AttemptId, Claimed, Delivery, Dispatch, RequestInfo, Router, Step, Ticket,
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
                    w.report(f, AttemptEnd::Broken)
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
            .filter(|p| !p.router.idle())
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

    // Callers.

    fn call(&mut self, operation: usize, host: usize) {
        let info = self.operations[operation].info.clone();
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        match process.router.admit(self.now, info.clone()) {
            Ok(ticket) => {
                if process.draining {
                    self.broken.insert(Rule::Draining);
                }
                self.calls.push(CallState {
                    operation,
                    host,
                    incarnation: process.incarnation,
                    ticket,
                    open: true,
                    claimant: None,
                    deadline: self.now + info.deadline.unwrap_or(Span::from_secs(1)),
                    runs: 0,
                    denied: false,
                });
            }
            Err(refusal) => {
                let runs = self.operations[operation].runs;
                if refusal.code.may_have_run() == MayHaveRun::No && info.key.is_some() && runs > 0 {
                    // An idempotent request may have run before with its key.
                    if !info.idempotent {
                        self.broken.insert(Rule::NotRun);
                    }
                }
                self.see(format!("code {}", refusal.code.number()));
            }
        }
    }

    /// Callers repeat keyed requests within the lifetime of the key, and only idempotent ones without.
    fn retry(&mut self, call: usize, host: usize) {
        let ended: Vec<_> = self
            .calls
            .iter()
            .filter(|c| !c.open)
            .map(|c| c.operation)
            .collect();
        if ended.is_empty() {
            return;
        }
        let operation = ended[call % ended.len()];
        let known = &self.operations[operation];
        let repeatable = known.info.idempotent || known.info.key.is_some();
        if repeatable && self.now.since(known.started) < KEY_LIFETIME {
            self.see("retry of caller");
            self.call(operation, host);
        }
    }

    fn hang_up(&mut self, call: usize) {
        if !self.is_live(call) {
            return;
        }
        let (host, ticket) = (self.calls[call].host, self.calls[call].ticket);
        self.calls[call].open = false;
        self.see("hang-up");
        let release = self.hosts[host]
            .as_mut()
            .is_some_and(|p| p.router.drop_request(self.now, ticket));
        if release {
            self.release(call);
        }
    }

    /// Whether the request is open and its process lives.
    fn is_live(&self, call: usize) -> bool {
        let call = &self.calls[call];
        let process = self.hosts[call.host].as_ref();
        call.open && process.is_some_and(|p| p.incarnation == call.incarnation)
    }

    // Steps.

    fn next(&mut self, call: usize) {
        if !self.is_live(call) {
            return;
        }
        self.poll_claim(call);
        let host = self.calls[call].host;
        let ticket = self.calls[call].ticket;
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        match process.router.next(self.now, ticket, &mut self.rng) {
            Step::Claim { until } => self.ask_holders(call, until),
            Step::Send(dispatch) => self.send(call, dispatch),
            Step::Wait { .. } => {}
            Step::GiveUp(refusal) => {
                self.calls[call].open = false;
                self.see(format!("code {}", refusal.code.number()));
                self.check_code(call, refusal.code);
                if refusal.release {
                    self.release(call);
                }
            }
        }
    }

    fn check_code(&mut self, call: usize, code: Code) {
        let state = &mut self.calls[call];
        state.denied = code.may_have_run() == MayHaveRun::No;
        let operation = &self.operations[state.operation];
        let keyed_once = !operation.info.idempotent && operation.info.key.is_some();
        let ran = if keyed_once {
            operation.runs
        } else {
            state.runs
        };
        let mut flights = self
            .flights
            .iter()
            .filter(|f| f.call == call && !f.reported);
        if state.denied && (ran > 0 || flights.next().is_some()) {
            self.broken.insert(Rule::NotRun);
        }
    }

    fn send(&mut self, call: usize, dispatch: Dispatch) {
        let host = self.calls[call].host;
        if self.now >= self.calls[call].deadline {
            self.broken.insert(Rule::Deadline);
        }
        let Some(process) = &self.hosts[host] else {
            return;
        };
        let signals = [&process.declared, &process.listed, &process.said];
        if signals.iter().any(|s| s.contains(&dispatch.endpoint)) {
            self.broken.insert(Rule::Leaving);
        }
        let incarnation = process.incarnation;
        self.flights.push(Flight {
            call,
            attempt: dispatch.attempt,
            endpoint: dispatch.endpoint.clone(),
            until: dispatch.until,
            landed: false,
            running: false,
            reported: false,
        });
        let same = |f: &&Flight| {
            let call = &self.calls[f.call];
            !f.reported && f.endpoint == dispatch.endpoint && call.incarnation == incarnation
        };
        if self.flights.iter().filter(same).count() > SLOTS as usize {
            self.broken.insert(Rule::Slots);
        }
    }

    // Endpoints.

    fn arrive(&mut self, flight: usize) {
        let Flight {
            call,
            landed,
            reported,
            ..
        } = self.flights[flight];
        if std::mem::replace(&mut self.flights[flight].landed, true) || landed {
            return;
        }
        let index = self.config.services["booking"]
            .endpoints
            .get_index_of(&self.flights[flight].endpoint);
        match self.endpoints[index.unwrap_or(0)] {
            0 => {
                self.see("unconnected");
                self.report(flight, AttemptEnd::Unconnected);
            }
            2 => {
                self.see("declined");
                self.report(flight, AttemptEnd::Declined);
            }
            _ => {
                self.flights[flight].running = true;
                self.run(call);
                if reported {
                    self.see("run after report");
                }
            }
        }
    }

    fn run(&mut self, call: usize) {
        let state = &mut self.calls[call];
        state.runs += 1;
        let operation = &mut self.operations[state.operation];
        operation.runs += 1;
        if !operation.info.idempotent && operation.runs > 1 {
            self.broken.insert(Rule::AtMostOnce);
        }
        if state.denied {
            self.broken.insert(Rule::NotRun);
        }
    }

    fn answer(&mut self, flight: usize, leaving: bool) {
        if !self.flights[flight].running {
            return;
        }
        let end = match OK {
            AttemptEnd::Answered { status, bytes, .. } => AttemptEnd::Answered {
                status,
                bytes,
                leaving,
            },
            other => other,
        };
        self.report(flight, end);
    }

    /// Tells the host the end of an attempt, if the process that sent it still lives.
    fn report(&mut self, flight: usize, end: AttemptEnd) {
        if std::mem::replace(&mut self.flights[flight].reported, true) {
            return;
        }
        let Flight {
            call,
            attempt,
            ref endpoint,
            ..
        } = self.flights[flight];
        let endpoint = endpoint.clone();
        let state = &self.calls[call];
        let Some(process) = &mut self.hosts[state.host] else {
            return;
        };
        if process.incarnation != state.incarnation {
            return;
        }
        let says_leaving = matches!(
            end,
            AttemptEnd::Declined | AttemptEnd::Answered { leaving: true, .. }
        );
        if says_leaving {
            process.said.insert(endpoint);
        }
        let delivery = process.router.finished(self.now, attempt, end);
        match end {
            AttemptEnd::Broken => self.see("broken"),
            AttemptEnd::TimedOut => self.see("timeout"),
            _ => {}
        }
        match delivery {
            Delivery::Deliver(ticket) => {
                let state = &mut self.calls[call];
                let answered = matches!(end, AttemptEnd::Answered { .. });
                if !state.open || state.ticket != ticket || !answered {
                    self.broken.insert(Rule::OwnAnswer);
                }
                state.open = false;
                self.see("answer");
            }
            Delivery::Pending(ticket) if self.calls[call].ticket == ticket => {}
            Delivery::Pending(_) => {
                self.broken.insert(Rule::OwnAnswer);
            }
            Delivery::Drop => self.see("late answer"),
        }
    }

    // Claims.

    fn ask_holders(&mut self, call: usize, until: Time) {
        let state = &self.calls[call];
        let operation = &self.operations[state.operation];
        let Some(process) = &self.hosts[state.host] else {
            return;
        };
        let key = ClaimKey {
            service: operation.info.service.clone(),
            key: operation.info.key.clone().unwrap_or_default(),
        };
        let plan = process.sets.plan(self.now, &key);
        let claimant = Claimant::new(call as u128, plan, until);
        self.post(call, &claimant, &key, false);
        self.calls[call].claimant = Some((claimant, key));
    }

    fn post(&mut self, call: usize, claimant: &Claimant, key: &ClaimKey, release: bool) {
        for target in claimant.targets() {
            self.messages.push(Message {
                call,
                target,
                key: key.clone(),
                claimant: claimant.id(),
                sets: claimant.sets().to_vec(),
                release,
            });
        }
    }

    fn release(&mut self, call: usize) {
        if let Some((claimant, key)) = self.calls[call].claimant.clone() {
            self.post(call, &claimant, &key, true);
        }
    }

    fn claim(&mut self, message: usize, lost: bool, again: bool) {
        let message = if again {
            self.messages[message].clone()
        } else {
            self.messages.remove(message)
        };
        let host = (0..HOSTS).find(|h| node(*h) == message.target);
        let process = host.and_then(|h| self.hosts[h].as_mut());
        let answer = match process {
            None => None,
            Some(p) if message.release => {
                p.holder.release(self.now, &message.key, message.claimant);
                return;
            }
            Some(p) => {
                let Message { key, claimant, .. } = &message;
                let own = p.sets.plan(self.now, key).sets;
                let trusting = self.flaw == Some(Flaw::TrustClaimant);
                let sets = if trusting { &own } else { &message.sets };
                Some(p.holder.claim(self.now, key, *claimant, sets, &p.sets))
            }
        };
        if message.release || lost || !self.is_live(message.call) {
            return;
        }
        let Some((claimant, _)) = &mut self.calls[message.call].claimant else {
            return;
        };
        if let Some(result) = claimant.answered(&message.target, answer) {
            self.claimed(message.call, result);
        }
    }

    fn poll_claim(&mut self, call: usize) {
        let now = self.now;
        let claimant = &mut self.calls[call].claimant;
        if let Some(result) = claimant.as_mut().and_then(|(c, _)| c.poll(now)) {
            self.claimed(call, result);
        }
    }

    fn claimed(&mut self, call: usize, result: Claimed) {
        self.see(match result {
            Claimed::Granted => "claim granted",
            Claimed::Held => "claim held",
            Claimed::Unavailable => "claim unavailable",
        });
        let (host, ticket) = (self.calls[call].host, self.calls[call].ticket);
        if let Some(process) = &mut self.hosts[host] {
            process.router.claimed(self.now, ticket, result);
        }
    }

    // Hosts, operators and time.

    fn start(&mut self, host: usize) {
        if self.hosts[host].is_some() {
            return;
        }
        self.incarnations += 1;
        let mut router = Router::new(node(host), DOMAINS[0].0.into());
        if let Some(Flaw::Router(fault)) = self.flaw {
            router.break_rule(fault);
        }
        let mut holder = Holder::new(self.now, LIFETIME);
        if self.flaw == Some(Flaw::NoAbstention) {
            holder.abstains_until_for_test(self.now);
        }
        self.hosts[host] = Some(Process {
            incarnation: self.incarnations,
            router,
            holder,
            sets: HostSets::new(LIFETIME),
            draining: false,
            declared: IndexSet::new(),
            listed: IndexSet::new(),
            said: IndexSet::new(),
        });
        self.configure(host);
        self.warm_up(host);
    }

    /// Requests without trouble, so that there is a budget for retries and an
    /// estimate of latency.
    fn warm_up(&mut self, host: usize) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        for _ in 0..40 {
            let Ok(ticket) = process.router.admit(self.now, request()) else {
                return;
            };
            let Step::Send(dispatch) = process.router.next(self.now, ticket, &mut self.rng) else {
                process.router.drop_request(self.now, ticket);
                return;
            };
            let end = self.now + Span::from_millis(5);
            process.router.finished(end, dispatch.attempt, OK);
        }
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host] = None;
        for call in self.calls.iter_mut().filter(|c| c.host == host) {
            call.open = false;
        }
        for other in self.hosts.iter_mut().flatten() {
            other.router.peer_gone(self.now, &node(host));
        }
        self.see("host died");
    }

    fn drain(&mut self, host: usize) {
        if let Some(process) = &mut self.hosts[host] {
            process.router.drain(self.now);
            process.draining = true;
        }
    }

    fn configure(&mut self, host: usize) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        process.router.configure(self.now, &self.config);
        if self.flaw == Some(Flaw::ForgetSets) {
            process.sets = HostSets::new(LIFETIME);
        }
        process
            .sets
            .configure(self.now, self.config.hosts.keys().cloned());
        let endpoints = &self.config.services["booking"].endpoints;
        let leaving = endpoints.iter().filter(|(_, e)| e.leaving);
        let declared = leaving.map(|(name, _)| name.clone()).collect();
        let before = std::mem::replace(&mut process.declared, declared);
        // An endpoint that is declared as back is believed.
        let back = |e: &EndpointName| before.contains(e) && !process.declared.contains(e);
        process.said.retain(|e| !back(e));
    }

    /// The list names all endpoints that are leaving now.
    fn host_list(&mut self, host: usize) {
        let leaving = (0..4).filter(|e| self.endpoints[*e] == 2);
        let listed: IndexSet<_> = leaving.clone().map(address).collect();
        let names = leaving.map(|e| EndpointName::new(format!("e{e}")));
        let names: Vec<_> = names.collect();
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        process.router.host_list(self.now, listed);
        process.listed = names.into_iter().collect();
        // When the router believes that one returned is for the focused tests.
        let listed = &process.listed;
        process.said.retain(|e| listed.contains(e));
    }

    fn change(&mut self) {
        self.config.revision = Revision(self.config.revision.0 + 1);
        self.changed = self.now;
    }

    fn change_hosts(&mut self, mask: u8) {
        let all = config(HOSTS, SLOTS, &ENDPOINTS).hosts;
        let kept = all.into_iter().enumerate();
        let kept = kept
            .filter(|(i, _)| mask & (1 << i) != 0)
            .map(|(_, host)| host);
        self.config.hosts = kept.collect();
        if self.config.hosts.is_empty() {
            self.config.hosts = config(1, SLOTS, &ENDPOINTS).hosts;
        }
        self.change();
    }

    fn heartbeats(&mut self) {
        for from in 0..HOSTS {
            let Some(process) = &self.hosts[from] else {
                continue;
            };
            let loads = process.router.loads(self.now);
            for to in self.hosts.iter_mut().flatten() {
                to.router.peer_load(self.now, &node(from), &loads);
            }
        }
    }

    /// Time passes in small steps. Configurations arrive within their delay, and
    /// attempts end at their time.
    fn advance(&mut self, by: Span) {
        let end = self.now + by;
        while self.now < end {
            self.now = end.min(self.now + Span::from_millis(500));
            if self.now.since(self.changed) >= CONFIG_DELAY {
                (0..HOSTS).for_each(|host| self.configure(host));
            }
            for flight in 0..self.flights.len() {
                if self.now >= self.flights[flight].until + Span::from_millis(500) {
                    self.report(flight, AttemptEnd::TimedOut);
                }
            }
        }
    }
}

fn node(host: usize) -> NodeName {
    NodeName::new(format!("{}/entry", HostName::new(format!("h{host}"))))
}
