//! Tests of the router.

mod components;
mod requests;
mod stateful;

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::config::{Config, Domain, Endpoint, Host, Limits, Service};
use crate::model::{
    Bytes, DomainName, EndpointName, HostName, NodeName, Priority, Revision, ServiceName, Span,
    Time,
};

use super::balance::BalancePolicy;
use super::{AttemptOutcome, Dispatch, RequestInfo, Router, Step, Ticket};

/// Failure domains of the configuration below, with their regions.
const DOMAINS: [(&str, &str); 3] = [
    ("tunis-a", "tunis"),
    ("tunis-b", "tunis"),
    ("sfax-a", "sfax"),
];

fn rng() -> StdRng {
    StdRng::seed_from_u64(20_261_204)
}

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + port as u16))
}

/// A configuration with `hosts` entry hosts in the first domain and one service.
/// `endpoints` holds the domain index of each endpoint `e<i>`.
fn config(hosts: usize, slots: u32, endpoints: &[usize]) -> Config {
    let domains = DOMAINS.map(|(name, region)| {
        let domain = Domain {
            region: region.into(),
            out: false,
        };
        (DomainName::from(name), domain)
    });
    let hosts = (0..hosts).map(|i| {
        let host = Host {
            domain: DOMAINS[0].0.into(),
            entry: address(1_000 + i),
            scheduler: address(2_000 + i),
        };
        (HostName::new(format!("h{i}")), host)
    });
    let endpoints = endpoints.iter().enumerate().map(|(i, domain)| {
        let endpoint = Endpoint {
            domain: DOMAINS[*domain].0.into(),
            address: address(i),
            worker: Some(format!("w{i}").as_str().into()),
            slots,
            connections: 64,
            leaving: false,
        };
        (EndpointName::new(format!("e{i}")), endpoint)
    });
    let service = Service {
        deadline: Span::from_secs(1),
        body: Bytes::from_mib(1),
        queue: 10,
        endpoints: endpoints.collect(),
    };
    Config {
        revision: Revision(1),
        domains: IndexMap::from(domains),
        hosts: hosts.collect(),
        services: [(ServiceName::from("booking"), service)].into(),
        limits: Limits::default(),
        ..Config::default()
    }
}

/// The router of host `h0`.
fn router<B: BalancePolicy>(config: &Config) -> Router<B> {
    let mut router = Router::new(NodeName::from("h0/entry"), DOMAINS[0].0.into());
    router.configure(Time::ZERO, config);
    router
}

fn request() -> RequestInfo {
    RequestInfo {
        service: "booking".into(),
        deadline: None,
        priority: Priority::Urgent,
        idempotent: true,
        key: None,
        caller: None,
        bytes: Bytes(500),
    }
}

/// A request whose key has to be claimed.
fn keyed() -> RequestInfo {
    RequestInfo {
        idempotent: false,
        key: Some("k".into()),
        ..request()
    }
}

const OK: AttemptOutcome = AttemptOutcome::Answered {
    status: 200,
    bytes: Bytes(100),
    leaving: false,
};

#[track_caller]
fn sent(step: Step) -> Dispatch {
    match step {
        Step::Send(dispatch) => dispatch,
        other => panic!("not sent: {other:?}"),
    }
}

#[track_caller]
fn send<B: BalancePolicy>(
    router: &mut Router<B>,
    now: Time,
    info: RequestInfo,
) -> (Ticket, Dispatch) {
    let ticket = router.admit(now, info).expect("admitted");
    let step = router.next_step(now, ticket, &mut rng());
    (ticket, sent(step))
}
