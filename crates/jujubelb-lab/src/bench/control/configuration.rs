//! Declarations of three fleets: their size, the time to check and to apply a
//! change, and the size of a pull by a peer.

use std::fmt::Write;
use std::sync::Arc;

use indexmap::IndexMap;
use jujubelb::config::declare::{Files, check};
use jujubelb::config::head::{Change, ContentCache, Edit, apply};
use jujubelb::model::{Revision, Span, WallTime};
use jujubelb::peer::Reply;

use super::super::{Column, Table};
use super::median;
use crate::standin::store::MemoryStore;

/// Teams and workers of each fleet.
const FLEET_SIZES: [(usize, usize); 3] = [(100, 650), (200, 1_300), (390, 2_600)];

const DOMAIN_COUNT: usize = 13;
const WORKERS_PER_RACK: usize = 8;
const RACKS_PER_SHARD: usize = 13;

struct Row {
    teams: usize,
    workers: usize,
    text: usize,
    pull: usize,
    check: f64,
    apply: f64,
}

const COLUMNS: [Column<Row>; 6] = [
    ("teams", |r| r.teams.into()),
    ("workers", |r| r.workers.into()),
    ("text bytes", |r| r.text.into()),
    ("pull bytes", |r| r.pull.into()),
    ("check ms", |r| (r.check / 1_000.0).into()),
    ("apply ms", |r| (r.apply / 1_000.0).into()),
];

/// Declarations of a fleet; `weight` varies one team.
pub(super) fn files(teams: usize, workers: usize, weight: usize) -> Files {
    let mut site = "regions: [r1, r2, r3, r4, r5]\ndomains:\n".to_owned();
    let mut racks = "racks:\n".to_owned();
    let mut teams_file = "limits:\n  task: { cpu: 32, memory: 128 GB }\nteams:\n".to_owned();
    // Writing to a `String` cannot fail.
    for i in 0..DOMAIN_COUNT {
        let _ = writeln!(site, "  - name: d{i}\n    region: r{}", i % 5 + 1);
    }
    for i in 0..workers.div_ceil(WORKERS_PER_RACK) {
        let domain = i / RACKS_PER_SHARD % DOMAIN_COUNT;
        let shard = i / RACKS_PER_SHARD;
        let _ = writeln!(
            racks,
            "  - name: rack-{i}\n    domain: d{domain}\n    shard: s{shard}\n    workers:\n      \
             - name: w{i}-{{}}\n        count: {WORKERS_PER_RACK}\n        \
             address: 10.{}.{}.{{}}:9100\n        cpu: 64\n        memory: 250 GB\n        \
             protection: true",
            i / 250,
            i % 250,
        );
    }
    for i in 0..teams {
        let weight = if i == 0 { weight } else { 1 };
        let _ = writeln!(
            teams_file,
            "  - name: team-{i}\n    quota: {{ cpu: 300, memory: 1 TB }}\n    weight: {weight}"
        );
    }
    [
        ("site.yaml", site),
        ("racks.yaml", racks),
        ("teams.yaml", teams_file),
    ]
    .map(|(name, text)| (name.to_owned(), text))
    .into_iter()
    .collect()
}

fn row(teams: usize, workers: usize, repeats: usize) -> Row {
    let first = files(teams, workers, 1);
    // A test checks that the declarations are valid, and the store in memory
    // fails only on request.
    let config = check(&first).expect("valid declarations");
    let reply = Reply::Config {
        config: Some(Arc::new(config)),
        revision: Revision(2_200),
        evidence: Some(Span::from_millis(500)),
    };
    let pull = postcard::to_allocvec(&reply).expect("plain data").len();
    let store = MemoryStore::default();
    let mut contents = ContentCache::default();
    let mut revision = Revision::default();
    let mut change = |number: usize, files: IndexMap<String, Option<String>>| {
        let change = Change {
            id: format!("change-{number}"),
            author: "operator".to_owned(),
            edit: Edit::Files {
                expected: revision,
                files,
            },
        };
        let outcome = apply(&store, &mut contents, &change, WallTime::ZERO);
        let applied = outcome.expect("valid change").applied;
        revision = applied.map_or(revision, |a| a.revision);
    };
    change(
        0,
        first
            .iter()
            .map(|(n, t)| (n.clone(), Some(t.clone())))
            .collect(),
    );
    let mut number = 0;
    let apply = median(repeats, || {
        number += 1;
        let text = files(teams, workers, 2 + number % 2)["teams.yaml"].clone();
        change(
            number,
            [("teams.yaml".to_owned(), Some(text))]
                .into_iter()
                .collect(),
        );
    });
    Row {
        teams,
        workers,
        text: first.values().map(String::len).sum(),
        pull,
        check: median(repeats, || check(&first)),
        apply,
    }
}

pub(super) fn table(repeats: usize) -> Table {
    let rows = FLEET_SIZES.map(|(teams, workers)| row(teams, workers, repeats));
    Table::of("Configuration, and a change of one team", &COLUMNS, &rows)
}
