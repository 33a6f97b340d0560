//! Reads the file with the real behaviour of task classes.

use std::path::Path;

use eyre::{Context, Result, ensure};
use indexmap::IndexMap;
use jujubelb::model::ClassName;
use serde::Deserialize;

use super::behaviour::{Behaviour, Behaviours};

/// Largest accepted factor. Declarations are wrong by factors of up to ten either way; tests use larger ones.
const MAX_FACTOR: f64 = 100.0;

/// Contents of the file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    classes: IndexMap<ClassName, Class>,
}

/// Behaviour of a class, as factors of its declared values.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Class {
    size: f64,
    duration: f64,
    fails: bool,
    noise: f64,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            size: 1.0,
            duration: 1.0,
            fails: false,
            noise: 0.0,
        }
    }
}

impl Class {
    fn behaviour(&self) -> Result<Behaviour> {
        Ok(Behaviour {
            duration: None,
            pace: thousandths("duration", self.duration)?.max(1),
            size: thousandths("size", self.size)?.max(1),
            fails: self.fails,
            noise: thousandths("noise", self.noise)?,
        })
    }
}

fn thousandths(field: &str, factor: f64) -> Result<u64> {
    ensure!(
        (0.0..=MAX_FACTOR).contains(&factor),
        "`{field}` is {factor}; name a factor from 0 to {MAX_FACTOR}"
    );
    Ok((factor * 1e3).round() as u64)
}

/// Parses the text of a behaviour file.
pub(super) fn parse(text: &str) -> Result<Behaviours> {
    let document: Document = serde_saphyr::from_str(text)?;
    let classes = document.classes.into_iter().map(|(name, class)| {
        let behaviour = class
            .behaviour()
            .wrap_err_with(|| format!("class {name}"))?;
        Ok((name, behaviour))
    });
    Ok(Behaviours(classes.collect::<Result<_>>()?))
}

/// Reads and parses a behaviour file.
pub(super) fn read(path: &Path) -> Result<Behaviours> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("{} can't be read", path.display()))?;
    parse(&text).wrap_err_with(|| format!("{} has an error", path.display()))
}

#[cfg(test)]
mod tests;
