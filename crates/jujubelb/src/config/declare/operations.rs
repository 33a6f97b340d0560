//! The reserved file `operations.yaml`, which lists what operators took out of
//! service with `jujubectl domain out` and `jujubectl drain`.
//!
//! It is stored next to the declaration files, so applying the file of a domain or a
//! service again does not silently put it back into service.

use indexmap::IndexSet;

use super::Problem;
use super::builder::{ConfigBuilder, Kind};
use super::fields::Fields;
use super::problem::Problems;
use super::yaml::{self, Node, Value};
use crate::config::Config;
use crate::model::{DomainName, EndpointName};

/// Name of the file. `jujubectl apply` refuses it.
pub const OPERATIONS_FILE: &str = "operations.yaml";

/// Fields of the file: the domains and the endpoints.
pub(super) const FIELDS: [&str; 2] = ["domains-out", "endpoints-leaving"];

/// The domains and endpoints that operators took out of service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Operations {
    /// Domains that are out of service.
    pub domains_out: IndexSet<DomainName>,
    /// Endpoints that are being drained.
    pub endpoints_leaving: IndexSet<EndpointName>,
}

impl Operations {
    /// Parses the file's text; an empty text is valid.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let mut problems = Problems::new(vec![OPERATIONS_FILE.to_owned()]);
        let node = yaml::parse(0, text, &mut problems);
        let mut operations = Self::default();
        if let Some(node) = &node
            && let Some(fields) = open_fields(node, &mut problems)
        {
            let out = fields.texts(FIELDS[0], &mut problems);
            operations.domains_out = out
                .iter()
                .map(|(_, name)| DomainName::from(*name))
                .collect();
            let leaving = fields.texts(FIELDS[1], &mut problems);
            operations.endpoints_leaving = leaving
                .iter()
                .map(|(_, name)| EndpointName::from(*name))
                .collect();
        }
        match problems.is_empty() {
            true => Ok(operations),
            false => Err(problems.finish()),
        }
    }

    /// Returns the file's text, or `None` if nothing is out of service.
    pub fn to_yaml(&self) -> Option<String> {
        if self.domains_out.is_empty() && self.endpoints_leaving.is_empty() {
            return None;
        }
        let mut text =
            "# Written by `jujubectl domain` and `jujubectl drain`; not applied from a file.\n"
                .to_owned();
        let out = self.domains_out.iter().map(DomainName::as_str);
        let leaving = self.endpoints_leaving.iter().map(EndpointName::as_str);
        append_list(&mut text, FIELDS[0], out);
        append_list(&mut text, FIELDS[1], leaving);
        Some(text)
    }

    /// Removes domains and endpoints that are no longer declared.
    pub fn prune(&mut self, config: &Config) {
        self.domains_out.retain(|d| config.domains.contains_key(d));
        self.endpoints_leaving.retain(|e| {
            let services = config.services.values();
            services.into_iter().any(|s| s.endpoints.contains_key(e))
        });
    }

    /// Marks the listed domains and endpoints as out of service in the configuration.
    pub fn apply_to(&self, config: &mut Config) {
        for (name, domain) in &mut config.domains {
            domain.out |= self.domains_out.contains(name);
        }
        for (name, endpoint) in config.services.values_mut().flat_map(|s| &mut s.endpoints) {
            endpoint.leaving |= self.endpoints_leaving.contains(name);
        }
    }
}

/// Appends a list to the text. Names are quoted because one that consists of digits
/// would be read as a number.
fn append_list<'a>(text: &mut String, field: &str, names: impl Iterator<Item = &'a str>) {
    let mut names = names.peekable();
    if names.peek().is_none() {
        return;
    }
    *text += &format!("{field}:\n");
    for name in names {
        *text += &format!("  - \"{name}\"\n");
    }
}

fn open_fields<'a>(node: &'a Node, problems: &mut Problems) -> Option<Fields<'a>> {
    if matches!(node.value, Value::Null) {
        return None;
    }
    Fields::open(node, "operations file", &FIELDS, problems)
}

/// Reads the file as part of the complete set.
pub(super) fn read(builder: &mut ConfigBuilder, root: &Node) {
    let Some(fields) = open_fields(root, &mut builder.problems) else {
        return;
    };
    for (at, name) in fields.texts(FIELDS[0], &mut builder.problems) {
        builder.add_reference(Kind::Domain, name, at);
        builder.operations.domains_out.insert(name.into());
    }
    for (at, name) in fields.texts(FIELDS[1], &mut builder.problems) {
        builder.add_reference(Kind::Endpoint, name, at);
        builder.operations.endpoints_leaving.insert(name.into());
    }
}
