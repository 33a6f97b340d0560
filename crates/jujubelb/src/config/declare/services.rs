//! Services and their endpoints.

use super::draft::{Draft, Kind};
use super::fields::Fields;
use super::pattern::Numbers;
use super::tree::Node;
use crate::config::{Endpoint, Service};
use crate::model::{Bytes, DomainName, EndpointName, ServiceName, Span, WorkerName};

const SERVICE: [&str; 5] = ["name", "deadline", "body", "queue", "endpoints"];
const ENDPOINT: [&str; 9] = [
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

/// All fields, to compare them with the page.
#[cfg(test)]
pub(super) const FIELDS: [&[&str]; 2] = [&SERVICE, &ENDPOINT];

/// Deadline of a request if neither the caller nor the service names one.
const DEADLINE: Span = Span::from_secs(1);

/// Longest deadline; a request is not a job.
const LONGEST: Span = Span::from_secs(600);

/// Largest body if the service names none.
const BODY: Bytes = Bytes::from_mib(1);

/// Largest body at all. Bodies are held in memory on small entry hosts.
const LARGEST: Bytes = Bytes::from_mib(16);

/// Requests that may wait in one entry process if the service names no number.
const QUEUE: u64 = 256;

/// Slots and connections of an endpoint that names none.
const SLOTS: u64 = 8;
const CONNECTIONS: u64 = 64;

pub(super) fn service(draft: &mut Draft, node: &Node) {
    let Some(fields) = Fields::open(node, "service", &SERVICE, &mut draft.problems) else {
        return;
    };
    let name = draft.named(Kind::Service, &fields, Numbers::default());
    let mut service = Service {
        deadline: deadline(draft, &fields),
        body: body(draft, &fields),
        queue: fields.count("queue", 1..=100_000, QUEUE, &mut draft.problems) as u32,
        endpoints: Default::default(),
    };
    for group in fields.list("endpoints", &mut draft.problems) {
        endpoints(draft, group, &mut service);
    }
    if let Some(name) = name {
        let name = ServiceName::new(name);
        draft.config.services.insert(name, service);
    }
}

fn deadline(draft: &mut Draft, fields: &Fields<'_>) -> Span {
    let Some(span) = fields.span("deadline", &mut draft.problems) else {
        return DEADLINE;
    };
    if span > LONGEST
        && let Some(node) = fields.get("deadline")
    {
        let message = format!("a deadline of {span} is longer than {LONGEST}");
        draft.problems.push(node.at, message, "shorten it");
    }
    span
}

fn body(draft: &mut Draft, fields: &Fields<'_>) -> Bytes {
    let Some(size) = fields.size("body", &mut draft.problems) else {
        return BODY;
    };
    if !(1..=LARGEST.0).contains(&size.0)
        && let Some(node) = fields.get("body")
    {
        let message = "`body` has to be from 1 B to 16 MiB";
        draft.problems.push(node.at, message, "correct the size");
    }
    size
}

fn endpoints(draft: &mut Draft, node: &Node, service: &mut Service) {
    let Some(fields) = Fields::open(node, "endpoint", &ENDPOINT, &mut draft.problems) else {
        return;
    };
    let slots = fields.count("slots", 1..=10_000, SLOTS, &mut draft.problems);
    let connections = fields.count("connections", 1..=100_000, CONNECTIONS, &mut draft.problems);
    if connections < slots {
        let message = format!("{connections} connections can't carry {slots} slots");
        let remedy = "give at least as many connections as slots";
        draft.problems.push(fields.at, message, remedy);
    }
    let leaving = fields.flag("leaving", &mut draft.problems);
    for numbers in draft.numbers(&fields, None) {
        let name = draft.named(Kind::Endpoint, &fields, numbers);
        let domain = draft.need_reference(Kind::Domain, "domain", &fields, numbers);
        let worker = draft.reference(Kind::Worker, "worker", &fields, numbers);
        let address = fields.address("address", numbers, &mut draft.problems);
        let (Some(name), Some(domain), Some((at, address))) = (name, domain, address) else {
            continue;
        };
        draft.claim(address, format!("endpoint {name}"), at);
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
