//! The configuration while it is read: what is declared, where, and what refers to it.

use std::net::SocketAddr;

use arcstr::ArcStr;
use derive_more::Display;
use indexmap::IndexMap;

use super::fields::{Fields, printable};
use super::operations::Operations;
use super::pattern::{Numbers, expand, is_numbered};
use super::problem::{At, Problems};
use crate::config::Config;

/// Sorts of named things.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub(super) enum Kind {
    Region,
    Domain,
    Host,
    Rack,
    Worker,
    Shard,
    Service,
    Endpoint,
    Team,
    Job,
}

impl Kind {
    /// Where things of this sort are declared.
    fn section(self) -> &'static str {
        match self {
            Self::Region => "regions",
            Self::Domain => "domains",
            Self::Host => "hosts",
            Self::Rack => "racks",
            Self::Worker => "racks[].workers",
            Self::Shard => "racks[].shard",
            Self::Service => "services",
            Self::Endpoint => "services[].endpoints",
            Self::Team => "teams",
            Self::Job => "jobs",
        }
    }
}

/// Longest name. Names become parts of store keys and of URL paths.
const NAME: usize = 63;

/// Most things in one group; target scale needs 2,600 workers in all.
const GROUP: u64 = 10_000;

/// Most things of one kind in the whole set.
const THINGS: usize = 50_000;

/// The configuration while it is read.
pub(super) struct Draft {
    pub(super) config: Config,
    pub(super) problems: Problems,
    names: IndexMap<(Kind, ArcStr), At>,
    addresses: IndexMap<SocketAddr, (At, String)>,
    references: Vec<(At, Kind, String)>,
    /// Where `limits` stands.
    pub(super) limits: Option<At>,
    /// What operators took out of service.
    pub(super) operations: Operations,
}

impl Draft {
    pub(super) fn new(problems: Problems) -> Self {
        Self {
            config: Config::default(),
            problems,
            names: IndexMap::new(),
            addresses: IndexMap::new(),
            references: Vec::new(),
            limits: None,
            operations: Operations::default(),
        }
    }

    /// Declares a name. Reports malformed and duplicate ones.
    pub(super) fn declare(&mut self, kind: Kind, name: &str, at: At) -> bool {
        if !self.is_name(kind, name, at) {
            return false;
        }
        let key = (kind, ArcStr::from(name));
        if let Some(first) = self.names.get(&key) {
            let place = self.problems.place(*first);
            let message = format!("the {kind} `{name}` is declared twice, first at {place}");
            self.problems
                .push(at, message, "rename or remove one of them");
            return false;
        }
        if self.names.len() >= THINGS {
            let message = format!("more than {THINGS} things are declared");
            self.problems.push(at, message, "correct the counts");
            return false;
        }
        self.names.insert(key, at);
        true
    }

    /// Whether a text may be a name; reports it if not.
    pub(super) fn is_name(&mut self, kind: Kind, name: &str, at: At) -> bool {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let edge = |c: Option<char>| c.is_some_and(|c| c != '-');
        if name.len() <= NAME
            && name.chars().all(allowed)
            && edge(name.chars().next())
            && edge(name.chars().last())
        {
            return true;
        }
        let message = format!("`{}` is not a name of a {kind}", printable(name));
        let remedy = format!(
            "use 1 to {NAME} lower-case letters, digits and inner hyphens; `{{}}` needs a `count`"
        );
        self.problems.push(at, message, remedy);
        false
    }

    /// Where a name is declared.
    pub(super) fn at(&self, kind: Kind, name: &str) -> Option<At> {
        self.names.get(&(kind, ArcStr::from(name))).copied()
    }

    /// Notes a reference; the whole set is checked at the end.
    pub(super) fn refer(&mut self, kind: Kind, name: &str, at: At) {
        self.references.push((at, kind, name.to_owned()));
    }

    /// Claims an address for one use; reports a second use.
    pub(super) fn claim(&mut self, address: SocketAddr, user: String, at: At) {
        if let Some((first, other)) = self.addresses.get(&address) {
            let place = self.problems.place(*first);
            let message = format!("{address} of {user} is used by {other} at {place}");
            self.problems.push(at, message, "give each its own address");
            return;
        }
        self.addresses.insert(address, (at, user));
    }

    /// Reports references to things that are not declared in any file.
    pub(super) fn check_references(&mut self) {
        for (at, kind, name) in std::mem::take(&mut self.references) {
            if self
                .names
                .contains_key(&(kind, ArcStr::from(name.as_str())))
            {
                continue;
            }
            // The search for known names takes long if thousands of references are wrong.
            if self.problems.is_full() {
                self.problems.push(at, "", "");
                continue;
            }
            let known: Vec<&str> = self
                .names
                .keys()
                .filter(|(k, _)| *k == kind)
                .map(|(_, n)| n.as_str())
                .take(5)
                .collect();
            let declared = match known.is_empty() {
                true => "none is declared".to_owned(),
                false => format!("declared are for example {}", known.join(", ")),
            };
            let message = format!("unknown {kind} `{}`", printable(&name));
            let remedy = format!(
                "declare it under `{}` or correct it; {declared}",
                kind.section()
            );
            self.problems.push(at, message, remedy);
        }
    }

    /// The numbers of a group: one entry without `count`, else one for each from `first`.
    pub(super) fn numbers(&mut self, fields: &Fields<'_>, rack: Option<u64>) -> Vec<Numbers> {
        if fields.get("count").is_none() {
            return vec![Numbers { own: None, rack }];
        }
        let count = fields.count("count", 1..=GROUP, 1, &mut self.problems);
        let first = fields.count("first", 0..=1_000_000, 1, &mut self.problems);
        if let Some((at, name)) = fields.text("name", &mut self.problems)
            && !is_numbered(name)
        {
            let message = "a group with `count` needs a number in its `name`";
            let remedy = "write for example `worker-{}` or `worker-{:02}`";
            self.problems.push(at, message, remedy);
            return Vec::new();
        }
        (first..first + count)
            .map(|n| Numbers { own: Some(n), rack })
            .collect()
    }

    /// The declared name with numbers filled in, if it is present and free.
    pub(super) fn named(
        &mut self,
        kind: Kind,
        fields: &Fields<'_>,
        numbers: Numbers,
    ) -> Option<String> {
        let (at, pattern) = fields.need_text("name", &mut self.problems)?;
        let name = expand(pattern, numbers);
        self.declare(kind, &name, at).then_some(name)
    }

    /// A reference that has to be there, with numbers filled in.
    pub(super) fn need_reference(
        &mut self,
        kind: Kind,
        field: &str,
        fields: &Fields<'_>,
        numbers: Numbers,
    ) -> Option<String> {
        fields.need(field, &mut self.problems)?;
        self.reference(kind, field, fields, numbers)
    }

    /// A reference, with numbers filled in.
    pub(super) fn reference(
        &mut self,
        kind: Kind,
        field: &str,
        fields: &Fields<'_>,
        numbers: Numbers,
    ) -> Option<String> {
        let (at, pattern) = fields.text(field, &mut self.problems)?;
        let name = expand(pattern, numbers);
        self.refer(kind, &name, at);
        Some(name)
    }
}
