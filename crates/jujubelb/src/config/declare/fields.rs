//! Typed access to the fields of a mapping. Errors are collected and do not stop the reading.

use std::net::SocketAddr;

use similar::TextDiff;

use super::pattern::{Numbers, expand};
use super::problem::{Position, Problems};
use super::quantity;
use super::yaml::{Node, Value};
use crate::model::{Bytes, Millicores, Resources, Span};

/// Minimum similarity ratio, from 0 to 1, at which a known field is suggested for an
/// unknown one.
const MIN_SUGGESTION_SIMILARITY: f32 = 0.7;

/// The known fields of a mapping.
pub(super) struct Fields<'a> {
    pub(super) at: Position,
    kind: &'static str,
    entries: Vec<(&'a str, &'a Node)>,
}

impl<'a> Fields<'a> {
    /// Reads a mapping. Reports other values, unknown fields and repeated fields.
    pub(super) fn open(
        node: &'a Node,
        kind: &'static str,
        known: &[&str],
        problems: &mut Problems,
    ) -> Option<Self> {
        let Value::Map(map) = &node.value else {
            let message = format!("a {kind} must be a mapping, not {}", node.value.type_name());
            let remedy = format!("write its fields as `name: value` ({})", known.join(", "));
            problems.push(node.at, message, remedy);
            return None;
        };
        let mut fields = Self {
            at: node.at,
            kind,
            entries: Vec::new(),
        };
        for (at, key, value) in map {
            if !known.contains(&key.as_str()) {
                let message = format!("unknown field `{}` in a {kind}", printable(key));
                problems.push(*at, message, suggestion(key, known));
            } else if fields.get(key).is_some() {
                let message = format!("field `{key}` appears twice in this {kind}");
                problems.push(*at, message, "keep one of them");
            } else {
                fields.entries.push((key, value));
            }
        }
        Some(fields)
    }

    /// Returns a field that is present and not null.
    pub(super) fn get(&self, name: &str) -> Option<&'a Node> {
        let (_, node) = self.entries.iter().find(|(key, _)| *key == name)?;
        (!matches!(node.value, Value::Null)).then_some(*node)
    }

    /// Returns a mandatory field; reports its absence.
    pub(super) fn require(&self, name: &str, problems: &mut Problems) -> Option<&'a Node> {
        let node = self.get(name);
        if node.is_none() {
            let message = format!("this {} has no `{name}`", self.kind);
            problems.push(self.at, message, format!("add `{name}:`"));
        }
        node
    }

    /// Returns an optional text; reports values of other types.
    pub(super) fn text(&self, name: &str, problems: &mut Problems) -> Option<(Position, &'a str)> {
        text(self.get(name)?, name, problems)
    }

    /// Returns a mandatory text, which may contain placeholders.
    pub(super) fn require_text(
        &self,
        name: &str,
        problems: &mut Problems,
    ) -> Option<(Position, &'a str)> {
        text(self.require(name, problems)?, name, problems)
    }

    /// Returns a boolean; false if absent.
    pub(super) fn flag(&self, name: &str, problems: &mut Problems) -> bool {
        let Some(node) = self.get(name) else {
            return false;
        };
        let Value::Bool(value) = node.value else {
            let message = format!(
                "`{name}` must be true or false, not {}",
                node.value.type_name()
            );
            problems.push(node.at, message, "write `true` or `false` without quotes");
            return false;
        };
        value
    }

    /// Returns an integer within `bounds`; the default if absent or not valid.
    pub(super) fn integer(
        &self,
        name: &str,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
        problems: &mut Problems,
    ) -> u64 {
        let Some(node) = self.get(name) else {
            return default;
        };
        if let Value::Int(value) = node.value
            && let Ok(value) = u64::try_from(value)
            && bounds.contains(&value)
        {
            return value;
        }
        let (low, high) = (bounds.start(), bounds.end());
        let message = format!("`{name}` must be an integer from {low} to {high}");
        problems.push(node.at, message, "write a plain number without a unit");
        default
    }

    /// Returns a size with a unit; a plain 0 is accepted.
    pub(super) fn size(&self, name: &str, problems: &mut Problems) -> Option<Bytes> {
        let node = self.get(name)?;
        let size = match &node.value {
            Value::Text(text) => quantity::size(text),
            Value::Int(0) => Some(Bytes(0)),
            _ => None,
        };
        if size.is_none() {
            let message = format!("`{name}` must be a size with a unit{}", found_suffix(node));
            let remedy = "use for example `250 GB` or `64 GiB`; units are B, kB, MB, GB, TB, KiB, MiB, GiB and TiB";
            problems.push(node.at, message, remedy);
        }
        size
    }

    /// Returns a data rate in bytes a second.
    pub(super) fn rate(&self, name: &str, problems: &mut Problems) -> Option<Bytes> {
        let node = self.get(name)?;
        let rate = match &node.value {
            Value::Text(text) => quantity::rate(text),
            _ => None,
        };
        if rate.is_none() {
            let message = format!(
                "`{name}` must be a data rate with a unit{}",
                found_suffix(node)
            );
            let remedy = "use for example `268 kB/s` or `2 Mbit/s`";
            problems.push(node.at, message, remedy);
        }
        rate
    }

    /// Returns a duration.
    pub(super) fn span(&self, name: &str, problems: &mut Problems) -> Option<Span> {
        let node = self.get(name)?;
        let span = match &node.value {
            Value::Text(text) => quantity::span(text),
            _ => None,
        };
        if span.is_none() {
            let message = format!(
                "`{name}` must be a duration with a unit, above zero and at most 366 days{}",
                found_suffix(node)
            );
            problems.push(
                node.at,
                message,
                "use for example `300ms`, `2s` or `1h 30m`",
            );
        }
        span
    }

    /// Returns a number of processor cores.
    pub(super) fn cores(&self, name: &str, problems: &mut Problems) -> Option<Millicores> {
        let node = self.get(name)?;
        let cores = match &node.value {
            Value::Text(text) => quantity::cores_text(text.trim()),
            Value::Int(value) => quantity::cores(*value as f64),
            Value::Float(value) => quantity::cores(*value),
            _ => None,
        };
        if cores.is_none() {
            let message = format!("`{name}` must be a number of cores{}", found_suffix(node));
            problems.push(node.at, message, "use for example `1.5` or `1500m`");
        }
        cores
    }

    /// Reads the fields `cpu`, `memory` and `accelerators`. Absent fields count as zero,
    /// but `cpu` and `memory` must be present and positive if `required`.
    pub(super) fn resources(&self, required: bool, problems: &mut Problems) -> Resources {
        if required {
            self.require("cpu", problems);
            self.require("memory", problems);
        }
        let cpu = self.cores("cpu", problems);
        let memory = self.size("memory", problems);
        if required {
            self.check_positive("cpu", cpu.map(|c| c.0), problems);
            self.check_positive("memory", memory.map(|m| m.0), problems);
        }
        let accelerators = self.integer("accelerators", 0..=1_024, 0, problems);
        Resources::new(
            cpu.map_or(0, |c| c.0),
            memory.map_or(0, |m| m.0),
            accelerators as u32,
        )
    }

    fn check_positive(&self, name: &str, value: Option<u64>, problems: &mut Problems) {
        if value == Some(0)
            && let Some(node) = self.get(name)
        {
            let message = format!("`{name}` of a {} must not be zero", self.kind);
            problems.push(node.at, message, "specify an amount above zero");
        }
    }

    /// Returns the entries of a list; an empty slice if absent.
    pub(super) fn list(&self, name: &str, problems: &mut Problems) -> &'a [Node] {
        match self.get(name) {
            None => &[],
            Some(Node {
                value: Value::List(list),
                ..
            }) => list,
            Some(node) => {
                let message = format!("`{name}` must be a list, not {}", node.value.type_name());
                problems.push(node.at, message, "start each entry with `- `");
                &[]
            }
        }
    }

    /// Returns a list of texts; reports and skips other entries.
    pub(super) fn texts(&self, name: &str, problems: &mut Problems) -> Vec<(Position, &'a str)> {
        self.list(name, problems)
            .iter()
            .filter_map(|node| text(node, name, problems))
            .collect()
    }

    /// Returns a mandatory socket address, with its placeholders expanded.
    pub(super) fn address(
        &self,
        name: &str,
        numbers: Numbers,
        problems: &mut Problems,
    ) -> Option<(Position, SocketAddr)> {
        let (at, pattern) = self.require_text(name, problems)?;
        let text = expand(pattern, numbers);
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => {
                Some((at, address))
            }
            _ => {
                let message = format!("`{}` is not a valid IP address and port", printable(&text));
                let remedy = "use for example `127.0.0.1:7001`; host names are not resolved";
                problems.push(at, message, remedy);
                None
            }
        }
    }
}

fn text<'a>(node: &'a Node, name: &str, problems: &mut Problems) -> Option<(Position, &'a str)> {
    let Value::Text(text) = &node.value else {
        let message = format!("`{name}` must be a string, not {}", node.value.type_name());
        problems.push(node.at, message, "put the value in quotes");
        return None;
    };
    Some((node.at, text))
}

/// Formats the value that was found, as the end of an error message.
fn found_suffix(node: &Node) -> String {
    match &node.value {
        Value::Text(text) => format!(", not `{}`", printable(text)),
        Value::Int(value) => format!(", not `{value}`"),
        Value::Float(value) => format!(", not `{value}`"),
        other => format!(", not {}", other.type_name()),
    }
}

/// Sanitizes text from a file for a terminal: removes control characters and truncates
/// it to 60 characters.
pub(super) fn printable(text: &str) -> String {
    let clean: String = text.chars().filter(|c| !c.is_control()).take(60).collect();
    if text.chars().count() > 60 {
        clean + "…"
    } else {
        clean
    }
}

/// Fields that are set by a command instead of a declaration, with the remedy for
/// declaring them.
const COMMAND_FIELDS: [(&str, &str); 1] = [(
    "out",
    "remove it and use `jujubectl domain out` or `jujubectl domain in`",
)];

/// Returns the remedy for an unknown field: a command, the most similar known field, or
/// the list of known fields.
fn suggestion(key: &str, known: &[&str]) -> String {
    if let Some((_, remedy)) = COMMAND_FIELDS.iter().find(|(name, _)| *name == key) {
        return (*remedy).to_owned();
    }
    let key = printable(key);
    let ratio = |name: &str| TextDiff::from_chars(key.as_str(), name).ratio();
    let best = known
        .iter()
        .map(|name| (ratio(name), name))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match best {
        Some((ratio, name)) if ratio >= MIN_SUGGESTION_SIMILARITY => {
            format!("did you mean `{name}`?")
        }
        _ => format!("remove it; known fields are {}", known.join(", ")),
    }
}
