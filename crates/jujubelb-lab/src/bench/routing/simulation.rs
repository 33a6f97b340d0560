//! Discrete-event simulation of entry hosts, with the real router, and the network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::StdRng;

use jujubelb::config::{Config, Domain, Endpoint, Host, Service};
use jujubelb::model::{Bytes, HostName, NodeName, Priority, Revision, Span, Time};
use jujubelb::route::balance::BalancePolicy;
use jujubelb::route::{AttemptId, AttemptOutcome, Delivery, RequestInfo, Router, Step, Ticket};

use super::fleet::{Fleet, QueuedAttempt, exponential, service_time, stream};
use super::scenario::{
    DEADLINE_MICROS, ENDPOINT_COUNT, HEARTBEAT_INTERVAL_MICROS, MEAN_SERVICE_MICROS,
    NETWORK_DELAY_MICROS, SLOTS, Scenario,
};

/// Latencies in microseconds and counts of one or more runs.
#[derive(Debug, Clone)]
pub(super) struct Outcome {
    latencies: Histogram<u64>,
    sent: u64,
    hedges: u64,
    unanswered: u64,
    busy_time: f64,
    hedge_time: f64,
}

impl Default for Outcome {
    fn default() -> Self {
        // Invariant: the bounds satisfy 1 <= low, 2 * low <= high and 3 digits are allowed.
        let latencies = Histogram::new_with_bounds(1, 10 * DEADLINE_MICROS, 3);
        Self {
            latencies: latencies.expect("the bounds are valid constants"),
            sent: 0,
            hedges: 0,
            unanswered: 0,
            busy_time: 0.0,
            hedge_time: 0.0,
        }
    }
}

impl Outcome {
    pub(super) fn merge(mut self, other: Self) -> Self {
        // Invariant: all histograms have the same bounds.
        self.latencies
            .add(&other.latencies)
            .expect("the histograms have the same bounds");
        self.sent += other.sent;
        self.hedges += other.hedges;
        self.unanswered += other.unanswered;
        self.busy_time += other.busy_time;
        self.hedge_time += other.hedge_time;
        self
    }

    /// Returns a latency quantile in microseconds.
    pub(super) fn quantile(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64
    }

    /// Returns the ratio of hedges to other attempts.
    pub(super) fn hedge_ratio(&self) -> f64 {
        self.hedges as f64 / (self.sent - self.hedges).max(1) as f64
    }

    /// Returns the ratio of endpoint time spent on hedges to that spent on other attempts.
    pub(super) fn hedge_time_ratio(&self) -> f64 {
        self.hedge_time / (self.busy_time - self.hedge_time).max(1.0)
    }

    /// Returns the share of requests without a response.
    pub(super) fn unanswered(&self) -> f64 {
        self.unanswered as f64 / self.latencies.len().max(1) as f64
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The request with this number arrives at an entry host.
    Arrival(usize),
    /// An attempt reaches its endpoint.
    AttemptArrival(usize),
    /// An endpoint completes an attempt.
    AttemptCompletion(usize),
    /// A response reaches the entry host.
    ResponseArrival(usize),
    /// The wait requested by the router for a request expires.
    Timer(usize),
    Heartbeats,
}

struct Request {
    host: usize,
    arrived: u64,
    ticket: Option<Ticket>,
    attempts: u64,
    timer: u64,
}

struct Attempt {
    request: usize,
    endpoint: usize,
    id: AttemptId,
    hedge: bool,
}

pub(super) struct Simulation<'a, B: BalancePolicy> {
    scenario: &'a Scenario,
    seed: u64,
    count: usize,
    rate: f64,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    arrivals: StdRng,
    routers: Vec<(Router<B>, StdRng)>,
    tickets: Vec<IndexMap<Ticket, usize>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    open: usize,
    fleet: Fleet,
    outcome: Outcome,
}

impl<'a, B: BalancePolicy> Simulation<'a, B> {
    pub(super) fn new(scenario: &'a Scenario, load: f64, seed: u64, count: usize) -> Self {
        let rate = load * scenario.capacity() / MEAN_SERVICE_MICROS;
        let config = config(scenario.hosts);
        let router = |host| {
            let mut router = Router::new(node(host), "d".into());
            router.configure(Time::ZERO, &config);
            (router, stream(seed, 100, host as u64))
        };
        Self {
            scenario,
            seed,
            count,
            rate,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            arrivals: stream(seed, 0, 0),
            routers: (0..scenario.hosts).map(router).collect(),
            tickets: vec![IndexMap::new(); scenario.hosts],
            requests: Vec::with_capacity(count),
            attempts: Vec::with_capacity(count),
            open: 0,
            fleet: Fleet::new(scenario, seed, count as f64 / rate),
            outcome: Outcome::default(),
        }
    }

    pub(super) fn run(mut self) -> Outcome {
        self.schedule(0, Event::Arrival(0));
        if self.scenario.heartbeats {
            self.schedule(HEARTBEAT_INTERVAL_MICROS, Event::Heartbeats);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival(number) => self.arrival(number),
                Event::AttemptArrival(attempt) => self.on_attempt_arrival(attempt),
                Event::AttemptCompletion(attempt) => self.on_attempt_completion(attempt),
                Event::ResponseArrival(attempt) => self.on_response(attempt),
                Event::Timer(request) => self.timer(request),
                Event::Heartbeats => self.heartbeats(),
            }
        }
        self.outcome.busy_time = self.fleet.busy_time;
        self.outcome.hedge_time = self.fleet.hedge_time;
        self.outcome
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn arrival(&mut self, number: usize) {
        if number + 1 < self.count {
            let pause = exponential(&mut self.arrivals) / self.rate;
            self.schedule(self.now + pause as u64, Event::Arrival(number + 1));
        }
        let host = if self.arrivals.random_bool(self.scenario.skew) {
            0
        } else {
            self.arrivals.random_range(0..self.scenario.hosts)
        };
        let info = RequestInfo {
            service: "s".into(),
            deadline: None,
            priority: Priority::Urgent,
            idempotent: self.scenario.idempotent,
            key: None,
            caller: None,
            bytes: Bytes(500),
        };
        let now = self.time();
        let admitted = self.routers[host].0.admit(now, info);
        self.requests.push(Request {
            host,
            arrived: self.now,
            ticket: admitted.ok(),
            attempts: 0,
            timer: 0,
        });
        match admitted {
            Ok(ticket) => {
                self.open += 1;
                self.tickets[host].insert(ticket, number);
                self.advance(number);
                self.process_wakeups(host);
            }
            Err(_) => self.record(number, None),
        }
    }

    /// Executes the router's next steps for a request until it waits or is closed.
    fn advance(&mut self, number: usize) {
        let now = self.time();
        while let Some(ticket) = self.requests[number].ticket {
            let host = self.requests[number].host;
            let (router, rng) = &mut self.routers[host];
            match router.next_step(now, ticket, rng) {
                Step::Send(dispatch) => {
                    let endpoint = usize::from(dispatch.address.port());
                    self.send(number, endpoint, dispatch.attempt, dispatch.hedge);
                }
                Step::Wait { until } => {
                    let until = until.as_micros().max(self.now + 1);
                    if self.requests[number].timer != until {
                        self.requests[number].timer = until;
                        self.schedule(until, Event::Timer(number));
                    }
                    return;
                }
                Step::GiveUp(_) | Step::Claim { .. } => {
                    self.close(number);
                    self.record(number, None);
                }
            }
        }
    }

    /// Advances the requests that the router of a host has woken up.
    fn process_wakeups(&mut self, host: usize) {
        loop {
            let wakeups = self.routers[host].0.take_wakeups();
            if wakeups.is_empty() {
                return;
            }
            for ticket in wakeups {
                if let Some(number) = self.tickets[host].get(&ticket) {
                    self.advance(*number);
                }
            }
        }
    }

    fn send(&mut self, request: usize, endpoint: usize, id: AttemptId, hedge: bool) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            endpoint,
            id,
            hedge,
        });
        self.outcome.sent += 1;
        self.outcome.hedges += u64::from(hedge);
        self.schedule(
            self.now + NETWORK_DELAY_MICROS,
            Event::AttemptArrival(attempt),
        );
    }

    fn on_attempt_arrival(&mut self, attempt: usize) {
        let Attempt {
            request,
            endpoint,
            hedge,
            ..
        } = self.attempts[attempt];
        let number = self.requests[request].attempts;
        self.requests[request].attempts += 1;
        let work = QueuedAttempt {
            attempt,
            service_micros: service_time(self.seed, request as u64, number),
            hedge,
        };
        if let Some((at, work)) = self.fleet.arrive(self.now, endpoint, work) {
            self.schedule(at, Event::AttemptCompletion(work.attempt));
        }
    }

    fn on_attempt_completion(&mut self, attempt: usize) {
        self.schedule(
            self.now + NETWORK_DELAY_MICROS,
            Event::ResponseArrival(attempt),
        );
        let endpoint = self.attempts[attempt].endpoint;
        if let Some((at, work)) = self.fleet.end(self.now, endpoint) {
            self.schedule(at, Event::AttemptCompletion(work.attempt));
        }
    }

    fn on_response(&mut self, attempt: usize) {
        let Attempt { request, id, .. } = self.attempts[attempt];
        let host = self.requests[request].host;
        let end = AttemptOutcome::Answered {
            status: 200,
            bytes: Bytes(500),
            leaving: false,
        };
        let now = self.time();
        if let Delivery::Deliver(_) = self.routers[host].0.attempt_finished(now, id, end) {
            let latency = self.now - self.requests[request].arrived;
            self.close(request);
            self.record(request, Some(latency));
        }
        self.process_wakeups(host);
    }

    fn timer(&mut self, request: usize) {
        if self.requests[request].ticket.is_some() && self.requests[request].timer == self.now {
            self.advance(request);
            self.process_wakeups(self.requests[request].host);
        }
    }

    fn heartbeats(&mut self) {
        let now = self.time();
        for from in 0..self.routers.len() {
            let loads = self.routers[from].0.endpoint_loads(now);
            for to in (0..self.routers.len()).filter(|to| *to != from) {
                self.routers[to]
                    .0
                    .update_peer_load(now, &node(from), &loads);
            }
        }
        if self.requests.len() < self.count {
            self.schedule(self.now + HEARTBEAT_INTERVAL_MICROS, Event::Heartbeats);
        }
    }

    fn close(&mut self, request: usize) {
        let Request { host, ticket, .. } = self.requests[request];
        if let Some(ticket) = ticket {
            self.tickets[host].swap_remove(&ticket);
            self.open -= 1;
        }
        self.requests[request].ticket = None;
    }

    /// Records a request unless it belongs to the warm-up, the first tenth of all requests.
    fn record(&mut self, request: usize, latency: Option<u64>) {
        if request < self.count / 10 {
            return;
        }
        self.outcome.unanswered += u64::from(latency.is_none());
        self.outcome
            .latencies
            .saturating_record(latency.unwrap_or(DEADLINE_MICROS));
    }
}

fn node(host: usize) -> NodeName {
    NodeName::new(format!("h{host}/entry"))
}

fn config(hosts: usize) -> Config {
    // The port of an endpoint is its index in the fleet.
    let address = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    let domain = Domain {
        region: "r".into(),
        out: false,
    };
    let host = |i: usize| {
        let host = Host {
            domain: "d".into(),
            entry: address(1_000 + i),
            scheduler: address(2_000 + i),
        };
        (HostName::new(format!("h{i}")), host)
    };
    let endpoint = |i: usize| {
        let endpoint = Endpoint {
            domain: "d".into(),
            address: address(i),
            worker: None,
            slots: SLOTS as u32,
            connections: 64,
            leaving: false,
        };
        (format!("e{i}").as_str().into(), endpoint)
    };
    let service = Service {
        deadline: Span::from_micros(DEADLINE_MICROS),
        body: Bytes::from_mib(1),
        queue: 10_000,
        endpoints: (0..ENDPOINT_COUNT).map(endpoint).collect(),
    };
    Config {
        revision: Revision(1),
        domains: [("d".into(), domain)].into(),
        hosts: (0..hosts).map(host).collect(),
        services: [("s".into(), service)].into(),
        ..Config::default()
    }
}
