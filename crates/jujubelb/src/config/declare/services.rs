//! Declarations of services and their endpoints.

use super::builder::{ConfigBuilder, Kind};
use super::fields::Fields;
use super::pattern::Numbers;
use super::yaml::Node;
use crate::config::{Endpoint, Service};
use crate::model::{Bytes, DomainName, EndpointName, ServiceName, Span, WorkerName};

const SERVICE_FIELDS: [&str; 5] = ["name", "deadline", "body", "queue", "endpoints"];
const ENDPOINT_FIELDS: [&str; 9] = [
    "name",
    "count",
    "first",
    "domain",
    "address",
    "worker",
    "slots",
    "connections",
    "leaving",
];

/// All fields, to check that the documentation lists them.
#[cfg(test)]
pub(super) const ALL_FIELDS: [&[&str]; 2] = [&SERVICE_FIELDS, &ENDPOINT_FIELDS];

/// Deadline of a request if neither the caller nor the service sets one.
const DEFAULT_DEADLINE: Span = Span::from_secs(1);

/// Maximum deadline of a service; longer work should be a job.
const MAX_DEADLINE: Span = Span::from_secs(600);

/// Maximum body size if the service sets none.
const DEFAULT_BODY: Bytes = Bytes::from_mib(1);

/// Upper bound of a service's maximum body size. Bodies are kept in memory on small
/// entry hosts.
const MAX_BODY: Bytes = Bytes::from_mib(16);

/// Maximum number of requests waiting in one entry process if the service sets none.
const DEFAULT_QUEUE: u64 = 256;

/// Concurrent requests of an endpoint that sets none.
const DEFAULT_SLOTS: u64 = 8;
/// Connections of an endpoint that sets none.
const DEFAULT_CONNECTIONS: u64 = 64;

pub(super) fn service(builder: &mut ConfigBuilder, node: &Node) {
    let Some(fields) = Fields::open(node, "service", &SERVICE_FIELDS, &mut builder.problems) else {
        return;
    };
    let name = builder.read_name(Kind::Service, &fields, Numbers::default());
    let mut service = Service {
        deadline: deadline(builder, &fields),
        body: body(builder, &fields),
        queue: fields.integer("queue", 1..=100_000, DEFAULT_QUEUE, &mut builder.problems) as u32,
        endpoints: Default::default(),
    };
    for group in fields.list("endpoints", &mut builder.problems) {
        endpoints(builder, group, &mut service);
    }
    if let Some(name) = name {
        let name = ServiceName::new(name);
        builder.config.services.insert(name, service);
    }
}

fn deadline(builder: &mut ConfigBuilder, fields: &Fields<'_>) -> Span {
    let Some(span) = fields.span("deadline", &mut builder.problems) else {
        return DEFAULT_DEADLINE;
    };
    if span > MAX_DEADLINE
        && let Some(node) = fields.get("deadline")
    {
        let message =
            format!("the deadline of {span} is longer than the maximum of {MAX_DEADLINE}");
        builder.problems.push(node.at, message, "shorten it");
    }
    span
}

fn body(builder: &mut ConfigBuilder, fields: &Fields<'_>) -> Bytes {
    let Some(size) = fields.size("body", &mut builder.problems) else {
        return DEFAULT_BODY;
    };
    if !(1..=MAX_BODY.0).contains(&size.0)
        && let Some(node) = fields.get("body")
    {
        let message = "`body` must be from 1 B to 16 MiB";
        builder.problems.push(node.at, message, "correct the size");
    }
    size
}

fn endpoints(builder: &mut ConfigBuilder, node: &Node, service: &mut Service) {
    let Some(fields) = Fields::open(node, "endpoint", &ENDPOINT_FIELDS, &mut builder.problems)
    else {
        return;
    };
    let slots = fields.integer("slots", 1..=10_000, DEFAULT_SLOTS, &mut builder.problems);
    let connections = fields.integer(
        "connections",
        1..=100_000,
        DEFAULT_CONNECTIONS,
        &mut builder.problems,
    );
    if connections < slots {
        let message = format!("{connections} connections are not enough for {slots} slots");
        let remedy = "allow at least as many connections as slots";
        builder.problems.push(fields.at, message, remedy);
    }
    let leaving = fields.flag("leaving", &mut builder.problems);
    for numbers in builder.group_numbers(&fields, None) {
        let name = builder.read_name(Kind::Endpoint, &fields, numbers);
        let domain = builder.require_reference(Kind::Domain, "domain", &fields, numbers);
        let worker = builder.optional_reference(Kind::Worker, "worker", &fields, numbers);
        let address = fields.address("address", numbers, &mut builder.problems);
        let (Some(name), Some(domain), Some((at, address))) = (name, domain, address) else {
            continue;
        };
        builder.claim_address(address, format!("endpoint {name}"), at);
        let endpoint = Endpoint {
            domain: DomainName::new(domain),
            address,
            worker: worker.map(WorkerName::new),
            slots: slots as u32,
            connections: connections as u32,
            leaving,
        };
        service.endpoints.insert(EndpointName::new(name), endpoint);
    }
}
