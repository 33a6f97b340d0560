//! Tests of applying and reading changes: conflicts, lost replies, stale reads, sweeps.

mod cases;
mod fake_store;
mod racing;

use indexmap::IndexMap;

use super::{Change, Edit};
use crate::model::Revision;

const SITE: &str = "regions: [north]
domains: [{ name: a, region: north }, { name: b, region: north }]
";

fn files_change(id: &str, expected: u64, list: &[(&str, Option<&str>)]) -> Change {
    let own = |(n, t): &(&str, Option<&str>)| ((*n).to_owned(), t.map(str::to_owned));
    Change {
        id: id.into(),
        author: format!("author-{id}"),
        edit: Edit::Files {
            expected: Revision(expected),
            files: list.iter().map(own).collect::<IndexMap<_, _>>(),
        },
    }
}

fn domain_change(id: &str, name: &str, out: bool) -> Change {
    Change {
        id: id.into(),
        author: format!("author-{id}"),
        edit: Edit::Domain {
            name: name.into(),
            out,
        },
    }
}

/// Text of a team file; the quota distinguishes its versions.
fn team_file(name: &str, cores: u32) -> String {
    format!("teams: [{{ name: {name}, quota: {{ cpu: {cores}, memory: 1 GiB }} }}]\n")
}
