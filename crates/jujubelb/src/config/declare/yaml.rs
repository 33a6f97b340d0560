//! Parsing of YAML into a tree in which each value has its position.
//!
//! Typed deserialization would stop at the first error. With a tree, all errors of
//! all files can be reported in one run.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, MergeKeyPolicy, Spanned};

use super::problem::{Position, Problems};

/// A value and its position.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) at: Position,
    pub(super) value: Value,
}

/// A YAML value.
#[derive(Debug)]
pub(super) enum Value {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<(Position, String, Node)>),
}

impl Value {
    /// Name of the type, for error messages.
    pub(super) fn type_name(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Bool(_) => "a boolean",
            Self::Int(_) | Self::Float(_) => "a number",
            Self::Text(_) => "a string",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

/// Maximum nesting depth of a file. Declarations need seven levels.
const MAX_DEPTH: usize = 24;

/// Maximum number of values in one file; bounds the memory to which aliases can expand.
const MAX_NODES: usize = 200_000;

/// Parses a file. Reports its first syntax error and returns `None` on failure.
pub(super) fn parse(file: usize, text: &str, problems: &mut Problems) -> Option<Node> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! { max_depth: MAX_DEPTH, max_nodes: MAX_NODES },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::Error,
        with_snippet: false,
    };
    match serde_saphyr::from_str_with_options::<Spanned<Raw>>(text, options) {
        Ok(raw) => Some(convert(file, raw)),
        Err(e) => {
            let place = e.location();
            let at = Position {
                file,
                line: place.map_or(1, |p| p.line().max(1)),
                column: place.map_or(1, |p| p.column().max(1)),
            };
            let text = e.without_snippet().to_string();
            let first = text.lines().next().unwrap_or("unreadable").trim();
            let message = format!("not valid YAML: {first}");
            problems.push(at, message, "correct the syntax at this position");
            None
        }
    }
}

/// A value as deserialized, with the positions that the YAML library attaches.
#[derive(Debug)]
enum Raw {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Spanned<Raw>>),
    Map(Vec<(Spanned<String>, Spanned<Raw>)>),
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = Raw;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_none<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Raw, D::Error> {
        Raw::deserialize(deserializer)
    }

    fn visit_bool<E>(self, v: bool) -> Result<Raw, E> {
        Ok(Raw::Bool(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Raw, E> {
        Ok(Raw::Int(v.into()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Raw, E> {
        Ok(Raw::Int(v.into()))
    }

    fn visit_i128<E>(self, v: i128) -> Result<Raw, E> {
        Ok(Raw::Int(v))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Raw, E> {
        Ok(Raw::Float(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<Raw, E> {
        Ok(Raw::Text(v.to_owned()))
    }

    fn visit_string<E>(self, v: String) -> Result<Raw, E> {
        Ok(Raw::Text(v))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Raw, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element()? {
            list.push(item);
        }
        Ok(Raw::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Raw, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Raw::Map(entries))
    }
}

fn position<T>(file: usize, value: &Spanned<T>) -> Position {
    Position {
        file,
        line: value.referenced.line().max(1),
        column: value.referenced.column().max(1),
    }
}

fn convert(file: usize, raw: Spanned<Raw>) -> Node {
    let at = position(file, &raw);
    let value = match raw.value {
        Raw::Null => Value::Null,
        Raw::Bool(v) => Value::Bool(v),
        Raw::Int(v) => Value::Int(v),
        Raw::Float(v) => Value::Float(v),
        Raw::Text(v) => Value::Text(v),
        Raw::List(list) => Value::List(list.into_iter().map(|n| convert(file, n)).collect()),
        Raw::Map(entries) => Value::Map(
            entries
                .into_iter()
                .map(|(k, v)| (position(file, &k), k.value, convert(file, v)))
                .collect(),
        ),
    };
    Node { at, value }
}
