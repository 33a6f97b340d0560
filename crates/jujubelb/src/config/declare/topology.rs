//! Declarations of regions, failure domains, entry hosts, racks and workers.

use super::builder::{ConfigBuilder, Kind};
use super::fields::Fields;
use super::pattern::Numbers;
use super::yaml::{Node, Value};
use crate::config::{Domain, Host, Rack, Worker};
use crate::model::{HostName, RackName, RegionName, Resources, ShardName, WorkerName};

const DOMAIN_FIELDS: [&str; 2] = ["name", "region"];
const HOST_FIELDS: [&str; 6] = ["name", "count", "first", "domain", "entry", "scheduler"];
const RACK_FIELDS: [&str; 7] = [
    "name", "count", "first", "domain", "shard", "drained", "workers",
];
const WORKER_FIELDS: [&str; 10] = [
    "name",
    "count",
    "first",
    "address",
    "cpu",
    "memory",
    "accelerators",
    "reserved",
    "protection",
    "drained",
];
const RESERVED_FIELDS: [&str; 3] = ["cpu", "memory", "accelerators"];

/// All fields, to check that the documentation lists them.
#[cfg(test)]
pub(super) const ALL_FIELDS: [&[&str]; 5] = [
    &DOMAIN_FIELDS,
    &HOST_FIELDS,
    &RACK_FIELDS,
    &WORKER_FIELDS,
    &RESERVED_FIELDS,
];

/// Reads a region, which has only a name.
pub(super) fn region(builder: &mut ConfigBuilder, node: &Node) {
    let Value::Text(name) = &node.value else {
        let message = format!("a region must be a name, not {}", node.value.type_name());
        let remedy = "use for example `regions: [north, south]`";
        builder.problems.push(node.at, message, remedy);
        return;
    };
    if builder.declare_name(Kind::Region, name, node.at) {
        let name = RegionName::from(name.as_str());
        builder.config.regions.insert(name);
    }
}

pub(super) fn domain(builder: &mut ConfigBuilder, node: &Node) {
    let Some(fields) = Fields::open(node, "domain", &DOMAIN_FIELDS, &mut builder.problems) else {
        return;
    };
    let none = Numbers::default();
    let name = builder.read_name(Kind::Domain, &fields, none);
    let region = builder.require_reference(Kind::Region, "region", &fields, none);
    if let (Some(name), Some(region)) = (name, region) {
        let region = RegionName::new(region);
        let domain = Domain { region, out: false };
        builder.config.domains.insert(name.as_str().into(), domain);
    }
}

pub(super) fn host(builder: &mut ConfigBuilder, node: &Node) {
    let Some(fields) = Fields::open(node, "host", &HOST_FIELDS, &mut builder.problems) else {
        return;
    };
    for numbers in builder.group_numbers(&fields, None) {
        let name = builder.read_name(Kind::Host, &fields, numbers);
        let domain = builder.require_reference(Kind::Domain, "domain", &fields, numbers);
        let entry = fields.address("entry", numbers, &mut builder.problems);
        let scheduler = fields.address("scheduler", numbers, &mut builder.problems);
        let (Some(name), Some(domain), Some((a, entry)), Some((b, scheduler))) =
            (name, domain, entry, scheduler)
        else {
            continue;
        };
        builder.claim_address(entry, format!("the entry process of host {name}"), a);
        builder.claim_address(
            scheduler,
            format!("the scheduler process of host {name}"),
            b,
        );
        let host = Host {
            domain: domain.as_str().into(),
            entry,
            scheduler,
        };
        builder.config.hosts.insert(HostName::new(name), host);
    }
}

pub(super) fn rack(builder: &mut ConfigBuilder, node: &Node) {
    let Some(fields) = Fields::open(node, "rack", &RACK_FIELDS, &mut builder.problems) else {
        return;
    };
    let drained = fields.flag("drained", &mut builder.problems);
    for numbers in builder.group_numbers(&fields, None) {
        let name = builder.read_name(Kind::Rack, &fields, numbers);
        let domain = builder.require_reference(Kind::Domain, "domain", &fields, numbers);
        let shard = shard(builder, &fields);
        let rack = RackName::new(name.clone().unwrap_or_default());
        for group in fields.list("workers", &mut builder.problems) {
            workers(builder, group, &rack, numbers.item, drained);
        }
        if let (Some(_), Some(domain), Some(shard)) = (name, domain, shard) {
            if drained {
                builder.config.drained.racks.insert(rack.clone());
            }
            let value = Rack {
                domain: domain.as_str().into(),
                shard,
            };
            builder.config.racks.insert(rack, value);
        }
    }
}

/// Reads the shard of a rack. It is declared instead of derived from the order of the
/// racks, so that adding a rack never moves another one to a different shard.
fn shard(builder: &mut ConfigBuilder, fields: &Fields<'_>) -> Option<ShardName> {
    let (at, name) = fields.require_text("shard", &mut builder.problems)?;
    builder
        .check_name(Kind::Shard, name, at)
        .then(|| ShardName::from(name))
}

fn workers(
    builder: &mut ConfigBuilder,
    node: &Node,
    rack: &RackName,
    rack_number: Option<u64>,
    drained: bool,
) {
    let Some(fields) = Fields::open(node, "worker", &WORKER_FIELDS, &mut builder.problems) else {
        return;
    };
    let capacity = fields.resources(true, &mut builder.problems);
    let reserved = reserved(builder, &fields, &capacity);
    let protection = fields.flag("protection", &mut builder.problems);
    let drained = fields.flag("drained", &mut builder.problems) || drained;
    for numbers in builder.group_numbers(&fields, rack_number) {
        let name = builder.read_name(Kind::Worker, &fields, numbers);
        let address = fields.address("address", numbers, &mut builder.problems);
        let (Some(name), Some((at, address))) = (name, address) else {
            continue;
        };
        builder.claim_address(address, format!("worker {name}"), at);
        let name = WorkerName::new(name);
        if drained {
            builder.config.drained.workers.insert(name.clone());
        }
        let worker = Worker {
            rack: rack.clone(),
            address,
            capacity,
            reserved,
            protection,
        };
        builder.config.workers.insert(name, worker);
    }
}

fn reserved(builder: &mut ConfigBuilder, fields: &Fields<'_>, capacity: &Resources) -> Resources {
    let Some(node) = fields.get("reserved") else {
        return Resources::ZERO;
    };
    let known = &RESERVED_FIELDS[..];
    let Some(inner) = Fields::open(node, "reservation", known, &mut builder.problems) else {
        return Resources::ZERO;
    };
    let reserved = inner.resources(false, &mut builder.problems);
    // A quantity that could not be parsed is zero and has been reported.
    let readable = capacity.cpu.0 > 0 && capacity.memory.0 > 0;
    if readable && !reserved.fits(capacity) {
        let message = "the reservation for services exceeds the resources of the worker";
        let remedy = "reduce `reserved` or correct the resources of the worker";
        builder.problems.push(node.at, message, remedy);
    }
    reserved
}
