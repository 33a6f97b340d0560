//! Tests of differences between configurations and of refused changes.

use super::declare::{Files, check};
use super::diff::{UnsafeChange, diff, unsafe_changes};
use super::{Config, format};
use crate::model::{Bytes, DomainName, Millicores};

fn config(text: &str) -> Config {
    let files = Files::from([("site.yaml".to_owned(), text.to_owned())]);
    check(&files).expect("valid")
}

const BASE: &str = "regions: [north]
domains: [{ name: a, region: north }, { name: b, region: north }]
racks:
  - name: r-{}
    count: 2
    domain: a
    shard: a-1
    workers: [{ name: 'w-{rack}-{}', count: 2, address: '127.0.{rack}.{}:9000', cpu: 8, memory: 32 GB }]
  - { name: empty, domain: b, shard: b-1 }
services:
  - { name: web, endpoints: [{ name: e, domain: a, address: '127.0.0.1:80' }] }
teams: [{ name: t, quota: { cpu: 8, memory: 32 GB } }]
jobs: [{ name: j, team: t, cpu: 1, memory: 1 GB, duration: 1min }]
";

/// Guards against changes that are missing from the list and against numbers without units.
#[test]
fn differences_name_fields_with_units() {
    let new = BASE
        .replace(
            "cpu: 8, memory: 32 GB }]\n",
            "cpu: 8, memory: 64 GB, protection: true }]\n",
        )
        .replace("quota: { cpu: 8", "quota: { cpu: 2500m")
        .replace("name: e,", "name: e2,")
        .replace("name: web,", "name: web, deadline: 300ms, body: 64 KiB,")
        + "limits: { link: 2 Mbit/s }\n";
    let lines: Vec<String> = diff(&config(BASE), &config(&new))
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert!(diff(&config(BASE), &config(BASE)).is_empty());
}

fn unsafe_changes_between(old: &str, new: &str) -> String {
    let list: Vec<String> = unsafe_changes(&config(old), &config(new))
        .iter()
        .map(UnsafeChange::to_string)
        .collect();
    list.join("\n")
}

/// Guards against changes after which a task could run twice or be lost.
#[test]
fn unsafe_changes_are_refused() {
    let first = "  - name: r-{}\n    count: 2\n    domain: a\n    shard: a-1\n";
    let cases = [
        (
            "a rack changes its shard",
            BASE.replace("shard: a-1", "shard: a-2"),
        ),
        (
            "a shard changes its domain",
            BASE.replace(first, &first.replace("domain: a", "domain: b")),
        ),
        (
            "a worker is removed",
            BASE.replace("'w-{rack}-{}', count: 2", "'w-{rack}-{}', count: 1"),
        ),
        ("an address changes", BASE.replace(":9000", ":9001")),
        (
            "a host changes its shard",
            BASE.replace("'w-{rack}-{}'", "'v-{rack}-{}'")
                .replace("a-1", "a-2"),
        ),
        (
            "a shard is removed",
            BASE.replace("  - { name: empty, domain: b, shard: b-1 }\n", ""),
        ),
        (
            "a job changes",
            BASE.replace("duration: 1min", "duration: 2min"),
        ),
    ];
    let shown: Vec<String> = cases
        .iter()
        .map(|(name, new)| format!("{name}:\n{}", unsafe_changes_between(BASE, new)))
        .collect();
    insta::assert_snapshot!(shown.join("\n\n"));
}

/// Guards against refusing to remove a worker on which nothing can run, and against
/// accepting a change of shard because the worker is drained.
#[test]
fn drained_workers_may_be_removed_but_not_change_shards() {
    let drained = BASE.replace("shard: a-1\n", "shard: a-1\n    drained: true\n");
    assert!(!config(&drained).may_start_on(&"w-1-1".into()));
    assert_eq!(unsafe_changes_between(BASE, &drained), "");
    let gone = drained.replace("'w-{rack}-{}', count: 2", "'w-{rack}-{}', count: 1");
    assert_eq!(unsafe_changes_between(&drained, &gone), "");
    let moved = drained.replace("shard: a-1", "shard: a-2");
    assert_ne!(unsafe_changes_between(&drained, &moved), "");
    let mut out = config(BASE);
    out.domains[&DomainName::from("a")].out = true;
    let new = config(&BASE.replace("'w-{rack}-{}', count: 2", "'w-{rack}-{}', count: 1"));
    assert!(
        unsafe_changes(&out, &new).is_empty(),
        "the domain is out of service"
    );
}

/// Guards against formatted quantities that differ from the declared ones.
#[test]
fn quantities_are_formatted_as_declared() {
    assert_eq!(format::cores(Millicores(1_500)), "1.5 cores");
    assert_eq!(format::cores(Millicores(1_000)), "1 core");
    assert_eq!(format::bytes(Bytes(250_000_000_000)), "250 GB");
    assert_eq!(format::bytes(Bytes(64 << 30)), "64 GiB");
    assert_eq!(format::bytes(Bytes(3 << 29)), "1536 MiB");
    assert_eq!(format::bytes(Bytes(1_234_567)), "1.2 MiB");
    assert_eq!(format::bytes(Bytes(0)), "0 B");
}
