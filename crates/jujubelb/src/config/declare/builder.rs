//! Builds the configuration from the parsed files and tracks where names, addresses
//! and references are declared.

use std::net::SocketAddr;

use arcstr::ArcStr;
use derive_more::Display;
use indexmap::IndexMap;

use super::fields::{Fields, printable};
use super::operations::Operations;
use super::pattern::{Numbers, expand, is_numbered};
use super::problem::{Position, Problems};
use crate::config::Config;

/// Kinds of named items.
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
    /// The section of the files in which items of this kind are declared.
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

/// Maximum length of a name. Names become parts of store keys and of URL paths.
const MAX_NAME_BYTES: usize = 63;

/// Maximum `count` of a group; the target scale has 2,600 workers in total.
const MAX_GROUP_SIZE: u64 = 10_000;

/// Maximum number of names in the complete set, over all kinds.
const MAX_NAMES: usize = 50_000;

/// The configuration under construction, with the errors found so far.
pub(super) struct ConfigBuilder {
    pub(super) config: Config,
    pub(super) problems: Problems,
    /// Position of the declaration of each name.
    names: IndexMap<(Kind, ArcStr), Position>,
    /// Position and user of each declared address.
    addresses: IndexMap<SocketAddr, (Position, String)>,
    /// References to names, checked after all files have been read.
    references: Vec<(Position, Kind, String)>,
    /// Position of the `limits` section, if one has been read.
    pub(super) limits: Option<Position>,
    /// Contents of the operations file.
    pub(super) operations: Operations,
}

impl ConfigBuilder {
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

    /// Declares a name. Reports malformed and duplicate names and returns false for them.
    pub(super) fn declare_name(&mut self, kind: Kind, name: &str, at: Position) -> bool {
        if !self.check_name(kind, name, at) {
            return false;
        }
        let key = (kind, ArcStr::from(name));
        if let Some(first) = self.names.get(&key) {
            let place = self.problems.location(*first);
            let message = format!("the {kind} `{name}` is declared twice, first at {place}");
            self.problems
                .push(at, message, "rename or remove one of them");
            return false;
        }
        if self.names.len() >= MAX_NAMES {
            let message = format!("more than {MAX_NAMES} names are declared");
            self.problems
                .push(at, message, "reduce the values of `count`");
            return false;
        }
        self.names.insert(key, at);
        true
    }

    /// Whether `name` is well-formed; reports it if not.
    pub(super) fn check_name(&mut self, kind: Kind, name: &str, at: Position) -> bool {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let edge = |c: Option<char>| c.is_some_and(|c| c != '-');
        if name.len() <= MAX_NAME_BYTES
            && name.chars().all(allowed)
            && edge(name.chars().next())
            && edge(name.chars().last())
        {
            return true;
        }
        let message = format!("`{}` is not a valid {kind} name", printable(name));
        let remedy = format!(
            "use 1 to {MAX_NAME_BYTES} lower-case letters, digits and inner hyphens; `{{}}` requires a `count`"
        );
        self.problems.push(at, message, remedy);
        false
    }

    /// Returns the position at which a name is declared.
    pub(super) fn position_of(&self, kind: Kind, name: &str) -> Option<Position> {
        self.names.get(&(kind, ArcStr::from(name))).copied()
    }

    /// Records a reference, to be checked after all files have been read.
    pub(super) fn add_reference(&mut self, kind: Kind, name: &str, at: Position) {
        self.references.push((at, kind, name.to_owned()));
    }

    /// Records the user of an address; reports an address that is already used.
    pub(super) fn claim_address(&mut self, address: SocketAddr, user: String, at: Position) {
        if let Some((first, other)) = self.addresses.get(&address) {
            let place = self.problems.location(*first);
            let message =
                format!("the address {address} of {user} is already used by {other} at {place}");
            self.problems
                .push(at, message, "use a different address for each");
            return;
        }
        self.addresses.insert(address, (at, user));
    }

    /// Reports references to names that no file declares.
    pub(super) fn check_references(&mut self) {
        for (at, kind, name) in std::mem::take(&mut self.references) {
            if self
                .names
                .contains_key(&(kind, ArcStr::from(name.as_str())))
            {
                continue;
            }
            // Listing known names takes long if thousands of references are wrong; an
            // error beyond the maximum is only counted.
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
                true => "none are declared".to_owned(),
                false => format!("declared names include {}", known.join(", ")),
            };
            let message = format!("unknown {kind} `{}`", printable(&name));
            let remedy = format!(
                "declare it under `{}` or correct the name; {declared}",
                kind.section()
            );
            self.problems.push(at, message, remedy);
        }
    }

    /// Returns the numbers of a group's items, counted up from `first`, or one entry
    /// without a number if there is no `count`.
    pub(super) fn group_numbers(&mut self, fields: &Fields<'_>, rack: Option<u64>) -> Vec<Numbers> {
        if fields.get("count").is_none() {
            return vec![Numbers { item: None, rack }];
        }
        let count = fields.integer("count", 1..=MAX_GROUP_SIZE, 1, &mut self.problems);
        let first = fields.integer("first", 0..=1_000_000, 1, &mut self.problems);
        if let Some((at, name)) = fields.text("name", &mut self.problems)
            && !is_numbered(name)
        {
            let message = "the `name` of a group with `count` has no placeholder for the number";
            let remedy = "use for example `worker-{}` or `worker-{:02}`";
            self.problems.push(at, message, remedy);
            return Vec::new();
        }
        (first..first + count)
            .map(|n| Numbers {
                item: Some(n),
                rack,
            })
            .collect()
    }

    /// Reads and declares the `name` of an item, with its placeholders expanded. Returns
    /// `None` if it is absent, malformed or a duplicate.
    pub(super) fn read_name(
        &mut self,
        kind: Kind,
        fields: &Fields<'_>,
        numbers: Numbers,
    ) -> Option<String> {
        let (at, pattern) = fields.require_text("name", &mut self.problems)?;
        let name = expand(pattern, numbers);
        self.declare_name(kind, &name, at).then_some(name)
    }

    /// Reads a mandatory reference, with its placeholders expanded.
    pub(super) fn require_reference(
        &mut self,
        kind: Kind,
        field: &str,
        fields: &Fields<'_>,
        numbers: Numbers,
    ) -> Option<String> {
        fields.require(field, &mut self.problems)?;
        self.optional_reference(kind, field, fields, numbers)
    }

    /// Reads an optional reference, with its placeholders expanded.
    pub(super) fn optional_reference(
        &mut self,
        kind: Kind,
        field: &str,
        fields: &Fields<'_>,
        numbers: Numbers,
    ) -> Option<String> {
        let (at, pattern) = fields.text(field, &mut self.problems)?;
        let name = expand(pattern, numbers);
        self.add_reference(kind, &name, at);
        Some(name)
    }
}
