//! The reserved file `operations.yaml`: what operators took out of service with
//! `jujubectl domain out` and `jujubectl drain`.
//!
//! It is kept beside the declared files, so applying a domain's or a service's
//! file again does not bring it back unnoticed.

use indexmap::IndexSet;

use super::Problem;
use super::draft::{Draft, Kind};
use super::fields::Fields;
use super::problem::Problems;
use super::tree::{self, Node, Tree};
use crate::config::Config;
use crate::model::{DomainName, EndpointName};

/// Name of the file. `apply` refuses it.
pub const OPERATIONS_FILE: &str = "operations.yaml";

pub(super) const FIELDS: [&str; 2] = ["domains-out", "endpoints-leaving"];

/// What operators took out of service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Operations {
    /// Domains that are out.
    pub out: IndexSet<DomainName>,
    /// Endpoints that are leaving.
    pub leaving: IndexSet<EndpointName>,
}

impl Operations {
    /// Reads the file's text.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let mut problems = Problems::new(vec![OPERATIONS_FILE.to_owned()]);
        let node = tree::parse(0, text, &mut problems);
        let mut operations = Self::default();
        if let Some(node) = &node
            && let Some(fields) = open(node, &mut problems)
        {
            let out = fields.texts(FIELDS[0], &mut problems);
            operations.out = out
                .iter()
                .map(|(_, name)| DomainName::from(*name))
                .collect();
            let leaving = fields.texts(FIELDS[1], &mut problems);
            operations.leaving = leaving
                .iter()
                .map(|(_, name)| EndpointName::from(*name))
                .collect();
        }
        match problems.is_empty() {
            true => Ok(operations),
            false => Err(problems.finish()),
        }
    }

    /// The file's text; absent if nothing is out of service.
    pub fn text(&self) -> Option<String> {
        if self.out.is_empty() && self.leaving.is_empty() {
            return None;
        }
        let mut text =
            "# Written by `jujubectl domain` and `jujubectl drain`; not applied from a file.\n"
                .to_owned();
        let out = self.out.iter().map(DomainName::as_str);
        let leaving = self.leaving.iter().map(EndpointName::as_str);
        append(&mut text, FIELDS[0], out);
        append(&mut text, FIELDS[1], leaving);
        Some(text)
    }

    /// Drops what is no longer declared.
    pub fn prune(&mut self, config: &Config) {
        self.out.retain(|d| config.domains.contains_key(d));
        self.leaving.retain(|e| {
            let services = config.services.values();
            services.into_iter().any(|s| s.endpoints.contains_key(e))
        });
    }

    /// Puts the operators' decisions into force.
    pub fn impose(&self, config: &mut Config) {
        for (name, domain) in &mut config.domains {
            domain.out |= self.out.contains(name);
        }
        for (name, endpoint) in config.services.values_mut().flat_map(|s| &mut s.endpoints) {
            endpoint.leaving |= self.leaving.contains(name);
        }
    }
}

/// Names are checked when declared and need no quotes, but numbers would.
fn append<'a>(text: &mut String, field: &str, names: impl Iterator<Item = &'a str>) {
    let mut names = names.peekable();
    if names.peek().is_none() {
        return;
    }
    *text += &format!("{field}:\n");
    for name in names {
        *text += &format!("  - \"{name}\"\n");
    }
}

fn open<'a>(node: &'a Node, problems: &mut Problems) -> Option<Fields<'a>> {
    if matches!(node.tree, Tree::Null) {
        return None;
    }
    Fields::open(node, "file of operations", &FIELDS, problems)
}

/// Reads the file as a part of the whole set.
pub(super) fn read(draft: &mut Draft, root: &Node) {
    let Some(fields) = open(root, &mut draft.problems) else {
        return;
    };
    for (at, name) in fields.texts(FIELDS[0], &mut draft.problems) {
        draft.refer(Kind::Domain, name, at);
        draft.operations.out.insert(name.into());
    }
    for (at, name) in fields.texts(FIELDS[1], &mut draft.problems) {
        draft.refer(Kind::Endpoint, name, at);
        draft.operations.leaving.insert(name.into());
    }
}
