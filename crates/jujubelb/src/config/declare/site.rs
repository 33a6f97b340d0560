//! Regions, failure domains, entry hosts, racks and workers.

use super::draft::{Draft, Kind};
use super::fields::Fields;
use super::pattern::Numbers;
use super::tree::{Node, Tree};
use crate::config::{Domain, Host, Rack, Worker};
use crate::model::{HostName, RackName, RegionName, Resources, ShardName, WorkerName};

const DOMAIN: [&str; 2] = ["name", "region"];
const HOST: [&str; 6] = ["name", "count", "first", "domain", "entry", "scheduler"];
const RACK: [&str; 7] = [
    "name", "count", "first", "domain", "shard", "drained", "workers",
];
const WORKER: [&str; 10] = [
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
const RESERVED: [&str; 3] = ["cpu", "memory", "accelerators"];

/// All fields, to compare them with the page.
#[cfg(test)]
pub(super) const FIELDS: [&[&str]; 5] = [&DOMAIN, &HOST, &RACK, &WORKER, &RESERVED];

/// A region is only a name.
pub(super) fn region(draft: &mut Draft, node: &Node) {
    let Tree::Text(name) = &node.tree else {
        let message = format!("a region has to be a name, not {}", node.tree.sort());
        let remedy = "write `regions: [north, south]`";
        draft.problems.push(node.at, message, remedy);
        return;
    };
    if draft.declare(Kind::Region, name, node.at) {
        let name = RegionName::from(name.as_str());
        draft.config.regions.insert(name);
    }
}

pub(super) fn domain(draft: &mut Draft, node: &Node) {
    let Some(fields) = Fields::open(node, "domain", &DOMAIN, &mut draft.problems) else {
        return;
    };
    let none = Numbers::default();
    let name = draft.named(Kind::Domain, &fields, none);
    let region = draft.need_reference(Kind::Region, "region", &fields, none);
    if let (Some(name), Some(region)) = (name, region) {
        let region = RegionName::new(region);
        let domain = Domain { region, out: false };
        draft.config.domains.insert(name.as_str().into(), domain);
    }
}

pub(super) fn host(draft: &mut Draft, node: &Node) {
    let Some(fields) = Fields::open(node, "host", &HOST, &mut draft.problems) else {
        return;
    };
    for numbers in draft.numbers(&fields, None) {
        let name = draft.named(Kind::Host, &fields, numbers);
        let domain = draft.need_reference(Kind::Domain, "domain", &fields, numbers);
        let entry = fields.address("entry", numbers, &mut draft.problems);
        let scheduler = fields.address("scheduler", numbers, &mut draft.problems);
        let (Some(name), Some(domain), Some((a, entry)), Some((b, scheduler))) =
            (name, domain, entry, scheduler)
        else {
            continue;
        };
        draft.claim(entry, format!("the entry process of host {name}"), a);
        draft.claim(
            scheduler,
            format!("the scheduler process of host {name}"),
            b,
        );
        let host = Host {
            domain: domain.as_str().into(),
            entry,
            scheduler,
        };
        draft.config.hosts.insert(HostName::new(name), host);
    }
}

pub(super) fn rack(draft: &mut Draft, node: &Node) {
    let Some(fields) = Fields::open(node, "rack", &RACK, &mut draft.problems) else {
        return;
    };
    let drained = fields.flag("drained", &mut draft.problems);
    for numbers in draft.numbers(&fields, None) {
        let name = draft.named(Kind::Rack, &fields, numbers);
        let domain = draft.need_reference(Kind::Domain, "domain", &fields, numbers);
        let shard = shard(draft, &fields);
        let rack = RackName::new(name.clone().unwrap_or_default());
        for group in fields.list("workers", &mut draft.problems) {
            workers(draft, group, &rack, numbers.own, drained);
        }
        if let (Some(_), Some(domain), Some(shard)) = (name, domain, shard) {
            if drained {
                draft.config.drained.racks.insert(rack.clone());
            }
            let value = Rack {
                domain: domain.as_str().into(),
                shard,
            };
            draft.config.racks.insert(rack, value);
        }
    }
}

/// The shard of a rack. It is written out, not derived from the order of the
/// racks, so that adding a rack never moves another one to a different shard.
fn shard(draft: &mut Draft, fields: &Fields<'_>) -> Option<ShardName> {
    let (at, name) = fields.need_text("shard", &mut draft.problems)?;
    draft
        .is_name(Kind::Shard, name, at)
        .then(|| ShardName::from(name))
}

fn workers(draft: &mut Draft, node: &Node, rack: &RackName, own: Option<u64>, drained: bool) {
    let Some(fields) = Fields::open(node, "worker", &WORKER, &mut draft.problems) else {
        return;
    };
    let capacity = fields.resources(true, &mut draft.problems);
    let reserved = reserved(draft, &fields, &capacity);
    let protection = fields.flag("protection", &mut draft.problems);
    let drained = fields.flag("drained", &mut draft.problems) || drained;
    for numbers in draft.numbers(&fields, own) {
        let name = draft.named(Kind::Worker, &fields, numbers);
        let address = fields.address("address", numbers, &mut draft.problems);
        let (Some(name), Some((at, address))) = (name, address) else {
            continue;
        };
        draft.claim(address, format!("worker {name}"), at);
        let name = WorkerName::new(name);
        if drained {
            draft.config.drained.workers.insert(name.clone());
        }
        let worker = Worker {
            rack: rack.clone(),
            address,
            capacity,
            reserved,
            protection,
        };
        draft.config.workers.insert(name, worker);
    }
}

fn reserved(draft: &mut Draft, fields: &Fields<'_>, capacity: &Resources) -> Resources {
    let Some(node) = fields.get("reserved") else {
        return Resources::ZERO;
    };
    let known = &RESERVED[..];
    let Some(inner) = Fields::open(node, "reservation", known, &mut draft.problems) else {
        return Resources::ZERO;
    };
    let reserved = inner.resources(false, &mut draft.problems);
    // A size that could not be read counts as zero and has its own error.
    let readable = capacity.cpu.0 > 0 && capacity.memory.0 > 0;
    if readable && !reserved.fits(capacity) {
        let message = "more is reserved for services than the worker has";
        let remedy = "reduce `reserved` or correct the size of the worker";
        draft.problems.push(node.at, message, remedy);
    }
    reserved
}
