//! Typed access to the fields of a mapping. Each error is reported and reading goes on.

use std::net::SocketAddr;

use similar::TextDiff;

use super::pattern::{Numbers, expand};
use super::problem::{At, Problems};
use super::quantity;
use super::tree::{Node, Tree};
use crate::model::{Bytes, Millicores, Resources, Span};

/// How alike two field names have to be for one to be suggested for the other.
const ALIKE: f32 = 0.7;

/// A mapping of known fields.
pub(super) struct Fields<'a> {
    pub(super) at: At,
    kind: &'static str,
    entries: Vec<(&'a str, &'a Node)>,
}

impl<'a> Fields<'a> {
    /// Opens a mapping; reports anything else, unknown fields and repeated fields.
    pub(super) fn open(
        node: &'a Node,
        kind: &'static str,
        known: &[&str],
        problems: &mut Problems,
    ) -> Option<Self> {
        let Tree::Map(map) = &node.tree else {
            let message = format!("a {kind} has to be a mapping, not {}", node.tree.sort());
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

    /// A field that is present and not empty.
    pub(super) fn get(&self, name: &str) -> Option<&'a Node> {
        let (_, node) = self.entries.iter().find(|(key, _)| *key == name)?;
        (!matches!(node.tree, Tree::Null)).then_some(*node)
    }

    /// A field that has to be there.
    pub(super) fn need(&self, name: &str, problems: &mut Problems) -> Option<&'a Node> {
        let node = self.get(name);
        if node.is_none() {
            let message = format!("this {} has no `{name}`", self.kind);
            problems.push(self.at, message, format!("add `{name}:`"));
        }
        node
    }

    /// A text; reports anything else.
    pub(super) fn text(&self, name: &str, problems: &mut Problems) -> Option<(At, &'a str)> {
        text(self.get(name)?, name, problems)
    }

    /// A name or a pattern of names that has to be there.
    pub(super) fn need_text(&self, name: &str, problems: &mut Problems) -> Option<(At, &'a str)> {
        text(self.need(name, problems)?, name, problems)
    }

    /// A truth value; false if absent.
    pub(super) fn flag(&self, name: &str, problems: &mut Problems) -> bool {
        let Some(node) = self.get(name) else {
            return false;
        };
        let Tree::Bool(value) = node.tree else {
            let message = format!("`{name}` has to be true or false, not {}", node.tree.sort());
            problems.push(node.at, message, "write `true` or `false` without quotes");
            return false;
        };
        value
    }

    /// A whole number within bounds, or the default.
    pub(super) fn count(
        &self,
        name: &str,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
        problems: &mut Problems,
    ) -> u64 {
        let Some(node) = self.get(name) else {
            return default;
        };
        if let Tree::Int(value) = node.tree
            && let Ok(value) = u64::try_from(value)
            && bounds.contains(&value)
        {
            return value;
        }
        let (low, high) = (bounds.start(), bounds.end());
        let message = format!("`{name}` has to be a whole number from {low} to {high}");
        problems.push(node.at, message, "write a plain number without a unit");
        default
    }

    /// A size in bytes.
    pub(super) fn size(&self, name: &str, problems: &mut Problems) -> Option<Bytes> {
        let node = self.get(name)?;
        let size = match &node.tree {
            Tree::Text(text) => quantity::size(text),
            Tree::Int(0) => Some(Bytes(0)),
            _ => None,
        };
        if size.is_none() {
            let message = format!("`{name}` has to be a size with a unit{}", found(node));
            let remedy =
                "write for example `250 GB` or `64 GiB` (B, kB, MB, GB, TB, KiB, MiB, GiB, TiB)";
            problems.push(node.at, message, remedy);
        }
        size
    }

    /// A rate in bytes a second.
    pub(super) fn rate(&self, name: &str, problems: &mut Problems) -> Option<Bytes> {
        let node = self.get(name)?;
        let rate = match &node.tree {
            Tree::Text(text) => quantity::rate(text),
            _ => None,
        };
        if rate.is_none() {
            let message = format!("`{name}` has to be a rate with a unit{}", found(node));
            let remedy = "write for example `268 kB/s` or `2 Mbit/s`";
            problems.push(node.at, message, remedy);
        }
        rate
    }

    /// A span of time.
    pub(super) fn span(&self, name: &str, problems: &mut Problems) -> Option<Span> {
        let node = self.get(name)?;
        let span = match &node.tree {
            Tree::Text(text) => quantity::span(text),
            _ => None,
        };
        if span.is_none() {
            let message = format!(
                "`{name}` has to be a time with a unit, above zero and at most a year{}",
                found(node)
            );
            problems.push(
                node.at,
                message,
                "write for example `300ms`, `2s` or `1h 30m`",
            );
        }
        span
    }

    /// Processor time.
    pub(super) fn cores(&self, name: &str, problems: &mut Problems) -> Option<Millicores> {
        let node = self.get(name)?;
        let cores = match &node.tree {
            Tree::Text(text) => quantity::cores_text(text.trim()),
            Tree::Int(value) => quantity::cores(*value as f64),
            Tree::Float(value) => quantity::cores(*value),
            _ => None,
        };
        if cores.is_none() {
            let message = format!("`{name}` has to be a number of cores{}", found(node));
            problems.push(node.at, message, "write for example `1.5` or `1500m`");
        }
        cores
    }

    /// The fields `cpu`, `memory` and `accelerators`. Absent ones count as zero,
    /// but `cpu` and `memory` have to be there and above zero if `needed`.
    pub(super) fn resources(&self, needed: bool, problems: &mut Problems) -> Resources {
        if needed {
            self.need("cpu", problems);
            self.need("memory", problems);
        }
        let cpu = self.cores("cpu", problems);
        let memory = self.size("memory", problems);
        if needed {
            self.above_zero("cpu", cpu.map(|c| c.0), problems);
            self.above_zero("memory", memory.map(|m| m.0), problems);
        }
        let accelerators = self.count("accelerators", 0..=1_024, 0, problems);
        Resources::new(
            cpu.map_or(0, |c| c.0),
            memory.map_or(0, |m| m.0),
            accelerators as u32,
        )
    }

    fn above_zero(&self, name: &str, value: Option<u64>, problems: &mut Problems) {
        if value == Some(0)
            && let Some(node) = self.get(name)
        {
            let message = format!("`{name}` of a {} is zero", self.kind);
            problems.push(node.at, message, "write the amount that it has or needs");
        }
    }

    /// The entries of a list; none if absent.
    pub(super) fn list(&self, name: &str, problems: &mut Problems) -> &'a [Node] {
        match self.get(name) {
            None => &[],
            Some(Node {
                tree: Tree::List(list),
                ..
            }) => list,
            Some(node) => {
                let message = format!("`{name}` has to be a list, not {}", node.tree.sort());
                problems.push(node.at, message, "start each entry with `- `");
                &[]
            }
        }
    }

    /// A list of texts.
    pub(super) fn texts(&self, name: &str, problems: &mut Problems) -> Vec<(At, &'a str)> {
        self.list(name, problems)
            .iter()
            .filter_map(|node| text(node, name, problems))
            .collect()
    }

    /// An address that has to be there, with numbers filled in.
    pub(super) fn address(
        &self,
        name: &str,
        numbers: Numbers,
        problems: &mut Problems,
    ) -> Option<(At, SocketAddr)> {
        let (at, pattern) = self.need_text(name, problems)?;
        let text = expand(pattern, numbers);
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => {
                Some((at, address))
            }
            _ => {
                let message = format!("`{}` is not an IP address with a port", printable(&text));
                let remedy = "write for example `127.0.0.1:7001`; host names are not looked up";
                problems.push(at, message, remedy);
                None
            }
        }
    }
}

fn text<'a>(node: &'a Node, name: &str, problems: &mut Problems) -> Option<(At, &'a str)> {
    let Tree::Text(text) = &node.tree else {
        let message = format!("`{name}` has to be a text, not {}", node.tree.sort());
        problems.push(node.at, message, "put the value in quotes");
        return None;
    };
    Some((node.at, text))
}

/// The value that was found, if it is short enough to repeat.
fn found(node: &Node) -> String {
    match &node.tree {
        Tree::Text(text) => format!(", and `{}` is not", printable(text)),
        Tree::Int(value) => format!(", and `{value}` is not"),
        Tree::Float(value) => format!(", and `{value}` is not"),
        other => format!(", not {}", other.sort()),
    }
}

/// Text from a file as it may be shown on a terminal: short and without control characters.
pub(super) fn printable(text: &str) -> String {
    let clean: String = text.chars().filter(|c| !c.is_control()).take(60).collect();
    if text.chars().count() > 60 {
        clean + "…"
    } else {
        clean
    }
}

/// Fields that people look for in the declarations but that are set by a command.
const COMMANDS: [(&str, &str); 1] = [(
    "out",
    "remove it and use `jujubectl domain out` or `jujubectl domain in`",
)];

fn suggestion(key: &str, known: &[&str]) -> String {
    if let Some((_, remedy)) = COMMANDS.iter().find(|(name, _)| *name == key) {
        return (*remedy).to_owned();
    }
    let key = printable(key);
    let ratio = |name: &str| TextDiff::from_chars(key.as_str(), name).ratio();
    let best = known
        .iter()
        .map(|name| (ratio(name), name))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match best {
        Some((ratio, name)) if ratio >= ALIKE => format!("did you mean `{name}`?"),
        _ => format!("remove it; known fields: {}", known.join(", ")),
    }
}
