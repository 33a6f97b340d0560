//! Data-driven tests of the router. Each file in `scenarios/route` is one scenario of
//! directives with expected outputs; `REWRITE=1` rewrites the outputs.
//!
//! - `setup hosts=N slots=N queue=N endpoints=(DOMAIN, ...) [link=BYTES]`
//! - `serve n=N latency=MS`: sends requests one after the other, all answered
//! - `request name=R [n=N] [once] [batch] [deadline=MS] [bytes=N]`: `once` marks the
//!   request as not idempotent
//! - `answer name=R [leaving]`, `fail name=R how=HOW`: ends its oldest attempt
//! - `advance ms=N`: advances time, then takes the next steps of all open requests
//! - `storm n=N how=HOW`: sends requests of which all attempts fail
//! - `declare endpoint=E`, `host-list leaving=(E, ...)`, `drain`, `hang-up name=R`
//! - `slow endpoint=E ms=N n=N`: sends requests, which take `ms` at `E` and 10 ms elsewhere
//! - `print_decisions`: prints the recorded decisions; `print_state`: prints the state of the router

use std::fmt::Write;

use datadriven::{TestCase, walk};
use indexmap::IndexMap;
use jujubelb::config::{Config, Domain, Endpoint, Host, Service};
use jujubelb::model::{Bytes, HostName, Priority, Revision, Span, Time};
use jujubelb::route::{AttemptId, AttemptOutcome, Delivery, RequestInfo, Router, Step, Ticket};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Failure domains with their regions.
const DOMAINS: [(&str, &str); 3] = [
    ("tunis-a", "tunis"),
    ("tunis-b", "tunis"),
    ("sfax-a", "sfax"),
];

/// An open request with its attempts in flight and their endpoints.
struct OpenRequest {
    ticket: Ticket,
    attempts: Vec<(AttemptId, String)>,
}

struct Scenario {
    now: Time,
    rng: StdRng,
    config: Config,
    router: Router,
    open: IndexMap<String, OpenRequest>,
    /// Attempts in flight of requests that have ended.
    abandoned: IndexMap<String, Vec<AttemptId>>,
    output: String,
}

#[test]
fn route_scenarios() {
    walk(
        concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios/route"),
        |file| {
            let mut scenario = Scenario::new();
            file.run(|case| scenario.run(case));
        },
    );
}

impl Scenario {
    fn new() -> Self {
        Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(20_261_204),
            config: Config::default(),
            router: Router::new("h0/entry".into(), "tunis-a".into()),
            open: IndexMap::new(),
            abandoned: IndexMap::new(),
            output: String::new(),
        }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let name = arg(case, "name", String::new());
        let how = arg(case, "how", String::new());
        let n = arg(case, "n", 1);
        match case.directive.as_str() {
            "setup" => self.setup(case),
            "serve" => self.serve(n, arg(case, "latency", 10)),
            "request" => self.request(case, &name, n),
            "answer" => {
                let leaving = case.take_flag("leaving").expect("a flag");
                self.finish_attempt(&name, answered(leaving));
            }
            "fail" => self.finish_attempt(&name, failure(&how)),
            "advance" => {
                self.now = self.now + Span::from_millis(arg(case, "ms", 0));
                self.advance_all();
            }
            "storm" => self.send_failing(n, failure(&how)),
            "declare" => self.declare(&arg(case, "endpoint", String::new())),
            "host-list" => self.host_list(&case.take_args("leaving").expect("endpoints")),
            "drain" => self.router.drain(self.now),
            "hang-up" => self.hang_up(&name),
            "slow" => {
                let endpoint = arg(case, "endpoint", String::new());
                self.send_to_slow(&endpoint, arg(case, "ms", 0), n);
            }
            "notes" => self.print_decisions(),
            "state" => self.print_state(),
            other => panic!("unknown directive {other}"),
        }
        case.expect_empty().expect("all arguments are known");
        if self.output.is_empty() {
            self.print("ok");
        }
        std::mem::take(&mut self.output)
    }

    fn print(&mut self, line: impl std::fmt::Display) {
        writeln!(self.output, "{line}").expect("writing to a string can't fail");
    }

    fn setup(&mut self, case: &mut TestCase) {
        let domains = DOMAINS.map(|(name, region)| {
            let region = region.into();
            (name.into(), Domain { region, out: false })
        });
        let hosts = (0..arg(case, "hosts", 1)).map(|i| {
            let host = Host {
                domain: "tunis-a".into(),
                entry: ([127, 0, 0, 1], 1_000 + i).into(),
                scheduler: ([127, 0, 0, 1], 2_000 + i).into(),
            };
            (HostName::new(format!("h{i}")), host)
        });
        let slots = arg(case, "slots", 1);
        let endpoints: Vec<String> = case.take_args("endpoints").expect("domains");
        let endpoints = endpoints.iter().enumerate().map(|(i, domain)| {
            let endpoint = Endpoint {
                domain: domain.as_str().into(),
                address: ([127, 0, 0, 1], i as u16).into(),
                worker: None,
                slots,
                connections: 64,
                leaving: false,
            };
            (format!("e{i}").as_str().into(), endpoint)
        });
        let service = Service {
            deadline: Span::from_secs(1),
            body: Bytes::from_mib(1),
            queue: arg(case, "queue", 10),
            endpoints: endpoints.collect(),
        };
        self.config = Config {
            domains: domains.into(),
            hosts: hosts.collect(),
            services: [("booking".into(), service)].into(),
            ..Config::default()
        };
        self.config.limits.link = Bytes(arg(case, "link", 268_000));
        self.configure();
    }

    fn configure(&mut self) {
        self.config.revision = Revision(self.config.revision.0 + 1);
        self.router.configure(self.now, &self.config);
    }

    fn info(&self) -> RequestInfo {
        RequestInfo {
            service: "booking".into(),
            deadline: None,
            priority: Priority::Urgent,
            idempotent: true,
            key: None,
            caller: None,
            bytes: Bytes(100),
        }
    }

    fn serve(&mut self, n: usize, latency: u64) {
        for _ in 0..n {
            let ticket = self.router.admit(self.now, self.info()).expect("admitted");
            let Step::Send(dispatch) = self.router.next_step(self.now, ticket, &mut self.rng)
            else {
                panic!("a request alone does not wait");
            };
            self.now = self.now + Span::from_millis(latency);
            self.router
                .attempt_finished(self.now, dispatch.attempt, answered(false));
        }
        self.print(format!("{n} answered"));
    }

    fn request(&mut self, case: &mut TestCase, name: &str, n: usize) {
        let mut info = self.info();
        info.idempotent = !case.take_flag("once").expect("a flag");
        if case.take_flag("batch").expect("a flag") {
            info.priority = Priority::Batch;
        }
        info.bytes = Bytes(arg(case, "bytes", 100));
        let deadline: Option<u64> = case.try_take_arg("deadline").expect("a number");
        info.deadline = deadline.map(Span::from_millis);
        for i in 0..n {
            let name = match n {
                1 => name.to_owned(),
                _ => format!("{name}{i}"),
            };
            match self.router.admit(self.now, info.clone()) {
                Ok(ticket) => {
                    let attempts = Vec::new();
                    self.open
                        .insert(name.clone(), OpenRequest { ticket, attempts });
                    self.advance_request(&name);
                }
                Err(refusal) => self.print(format!("{name}: refused, {}", refusal.code)),
            }
        }
    }

    /// Takes the next steps of a request until it waits or ends.
    fn advance_request(&mut self, name: &str) {
        while let Some(open) = self.open.get_mut(name) {
            match self.router.next_step(self.now, open.ticket, &mut self.rng) {
                Step::Send(d) => {
                    open.attempts.push((d.attempt, d.endpoint.to_string()));
                    let hedge = if d.hedge { " as a hedge" } else { "" };
                    self.print(format!("{name}: sent to {}{hedge}", d.endpoint));
                }
                Step::Wait { .. } if open.attempts.is_empty() => {
                    self.print(format!("{name}: waits"));
                    return;
                }
                Step::Wait { .. } => return,
                Step::Claim { .. } => panic!("no request of a scenario has a key"),
                Step::GiveUp(refusal) => {
                    self.close(name);
                    self.print(format!("{name}: ended, {}", refusal.code));
                }
            }
        }
    }

    fn advance_all(&mut self) {
        let names: Vec<_> = self.open.keys().cloned().collect();
        names.iter().for_each(|name| self.advance_request(name));
    }

    fn close(&mut self, name: &str) {
        if let Some(open) = self.open.shift_remove(name) {
            let attempts = open.attempts.into_iter().map(|(id, _)| id);
            self.abandoned.insert(name.to_owned(), attempts.collect());
        }
    }

    /// Ends the oldest attempt of a request and takes the next steps of woken requests.
    fn finish_attempt(&mut self, name: &str, finish_attempt: AttemptOutcome) {
        let attempt = match self.open.get_mut(name) {
            Some(open) => open.attempts.remove(0).0,
            None => self.abandoned[name].remove(0),
        };
        match self
            .router
            .attempt_finished(self.now, attempt, finish_attempt)
        {
            Delivery::Deliver(ticket) => {
                assert_eq!(ticket, self.open[name].ticket);
                self.close(name);
                self.print(format!("{name}: answered"));
            }
            Delivery::Pending(_) => self.advance_request(name),
            Delivery::Discard => self.print(format!("{name}: dropped")),
        }
        let wakes = self.router.take_wakeups();
        let woken = self.open.iter().filter(|(_, o)| wakes.contains(&o.ticket));
        let woken: Vec<_> = woken.map(|(name, _)| name.clone()).collect();
        woken.iter().for_each(|name| self.advance_request(name));
    }

    fn send_failing(&mut self, n: usize, finish_attempt: AttemptOutcome) {
        let (mut first, mut more) = (0, 0);
        let mut codes: IndexMap<String, u32> = IndexMap::new();
        for _ in 0..n {
            self.now = self.now + Span::from_millis(1);
            let code = match self.router.admit(self.now, self.info()) {
                Err(refusal) => refusal.code,
                Ok(ticket) => {
                    let mut sent: u32 = 0;
                    loop {
                        match self.router.next_step(self.now, ticket, &mut self.rng) {
                            Step::Send(d) => {
                                sent += 1;
                                self.router
                                    .attempt_finished(self.now, d.attempt, finish_attempt);
                            }
                            Step::GiveUp(refusal) => {
                                first += sent.min(1);
                                more += sent.saturating_sub(1);
                                break refusal.code;
                            }
                            other => panic!("a request alone does not wait: {other:?}"),
                        }
                    }
                }
            };
            *codes.entry(code.to_string()).or_default() += 1;
        }
        let within = f64::from(first + more) <= 1.1 * f64::from(first);
        self.print(format!(
            "sent: {first} and again: {more}, at most 1.1 times: {within}"
        ));
        for (code, count) in codes {
            self.print(format!("{count} ended, {code}"));
        }
    }

    /// Sends requests one after the other, which take `ms` at `endpoint` and 10 ms elsewhere.
    fn send_to_slow(&mut self, endpoint: &str, ms: u64, n: usize) {
        let mut counts: IndexMap<String, u32> = IndexMap::new();
        for _ in 0..n {
            let ticket = self.router.admit(self.now, self.info()).expect("admitted");
            let Step::Send(d) = self.router.next_step(self.now, ticket, &mut self.rng) else {
                panic!("a request alone does not wait");
            };
            let send_to_slow = d.endpoint.as_str() == endpoint;
            let latency = Span::from_millis(if send_to_slow { ms } else { 10 });
            self.now = self.now + latency;
            self.router
                .attempt_finished(self.now, d.attempt, answered(false));
            *counts.entry(d.endpoint.to_string()).or_default() += 1;
        }
        counts.sort_keys();
        for (endpoint, count) in counts {
            self.print(format!("{endpoint}: {count} requests"));
        }
    }

    fn declare(&mut self, endpoint: &str) {
        self.config.services["booking"].endpoints[endpoint].leaving = true;
        self.configure();
        self.advance_all();
    }

    fn host_list(&mut self, leaving: &[String]) {
        let endpoints = &self.config.services["booking"].endpoints;
        let addresses = leaving.iter().map(|e| endpoints[e.as_str()].address);
        self.router.update_host_list(self.now, addresses.collect());
    }

    fn hang_up(&mut self, name: &str) {
        let ticket = self.open[name].ticket;
        self.router.cancel_request(self.now, ticket);
        self.close(name);
    }

    fn print_decisions(&mut self) {
        let after = self.now + Span::from_secs(1);
        for decision in self.router.take_decisions(after) {
            let (subject, action, cause) = (&decision.subject, decision.action, decision.cause);
            self.print(format!("{}x {subject}: {action}, {cause}", decision.count));
        }
    }

    fn print_state(&mut self) {
        let state = self.router.state(self.now);
        let service = &state.services[0];
        let queue = format!("queue {}, attempts {}", service.queue, state.attempts);
        self.print(format!("{queue}, idle {}", self.router.is_idle()));
        for e in &service.endpoints {
            let out = e
                .out
                .map_or(String::new(), |cause| format!(", out: {cause}"));
            let line = format!("{}: {} in flight{out}", e.endpoint, e.inflight);
            self.print(line);
        }
    }
}

fn arg<T>(case: &mut TestCase, name: &str, default: T) -> T
where
    T: std::str::FromStr<Err: std::error::Error + Send + Sync + 'static>,
{
    let value = case.try_take_arg(name).expect("a valid argument");
    value.unwrap_or(default)
}

fn answered(leaving: bool) -> AttemptOutcome {
    AttemptOutcome::Answered {
        status: 200,
        bytes: Bytes(100),
        leaving,
    }
}

fn failure(how: &str) -> AttemptOutcome {
    match how {
        "unconnected" => AttemptOutcome::Unconnected,
        "declined" => AttemptOutcome::Declined,
        "broken" => AttemptOutcome::Broken,
        "timeout" => AttemptOutcome::TimedOut,
        other => panic!("unknown end {other}"),
    }
}
