//! A YAML file as a tree in which each value knows its position.
//!
//! Typed deserialization would stop at the first error. Reading the file into a
//! tree first makes it possible to report all errors of all files at once.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, MergeKeyPolicy, Spanned};

use super::problem::{At, Problems};

/// A value with its position.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) at: At,
    pub(super) tree: Tree,
}

/// A value.
#[derive(Debug)]
pub(super) enum Tree {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<(At, String, Node)>),
}

impl Tree {
    /// What the value is, for error messages.
    pub(super) fn sort(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Bool(_) => "a truth value",
            Self::Int(_) | Self::Float(_) => "a number",
            Self::Text(_) => "a text",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

/// Deepest nesting of a file. The declarations need seven levels.
const DEPTH: usize = 24;

/// Most values in one file; bounds the memory that aliases can expand to.
const NODES: usize = 200_000;

/// Reads a file, or reports its first syntax error.
pub(super) fn parse(file: usize, text: &str, problems: &mut Problems) -> Option<Node> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! { max_depth: DEPTH, max_nodes: NODES },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::Error,
        with_snippet: false,
    };
    match serde_saphyr::from_str_with_options::<Spanned<Raw>>(text, options) {
        Ok(raw) => Some(convert(file, raw)),
        Err(e) => {
            let place = e.location();
            let at = At {
                file,
                line: place.map_or(1, |p| p.line().max(1)),
                column: place.map_or(1, |p| p.column().max(1)),
            };
            let text = e.without_snippet().to_string();
            let first = text.lines().next().unwrap_or("unreadable").trim();
            let message = format!("not valid YAML: {first}");
            problems.push(at, message, "correct the syntax at this place");
            None
        }
    }
}

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

fn position<T>(file: usize, value: &Spanned<T>) -> At {
    At {
        file,
        line: value.referenced.line().max(1),
        column: value.referenced.column().max(1),
    }
}

fn convert(file: usize, raw: Spanned<Raw>) -> Node {
    let at = position(file, &raw);
    let tree = match raw.value {
        Raw::Null => Tree::Null,
        Raw::Bool(v) => Tree::Bool(v),
        Raw::Int(v) => Tree::Int(v),
        Raw::Float(v) => Tree::Float(v),
        Raw::Text(v) => Tree::Text(v),
        Raw::List(list) => Tree::List(list.into_iter().map(|n| convert(file, n)).collect()),
        Raw::Map(entries) => Tree::Map(
            entries
                .into_iter()
                .map(|(k, v)| (position(file, &k), k.value, convert(file, v)))
                .collect(),
        ),
    };
    Node { at, tree }
}
