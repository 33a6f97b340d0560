//! What a change does to the files in force, and the head that follows.

use indexmap::IndexMap;

use super::apply::{Change, Edit};
use super::load::Loaded;
use super::{AppliedChange, ApplyError, FileRef, Head, NAMED, ReadError, hash};
use crate::config::Config;
use crate::config::declare::{self, Files, OPERATIONS_FILE, Operations};
use crate::config::diff::{self, Difference};
use crate::model::{Revision, WallTime};

/// What a change does to the files in force.
pub(super) struct Plan {
    /// New texts by file.
    pub(super) texts: IndexMap<String, String>,
    /// Files that go away.
    removed: Vec<String>,
    pub(super) diff: Vec<Difference>,
}

impl Plan {
    pub(super) fn unchanged(&self) -> bool {
        self.texts.is_empty() && self.removed.is_empty()
    }

    /// The first files that change, and how many more there are.
    fn named(&self) -> Vec<String> {
        let mut names: Vec<String> = self.texts.keys().chain(&self.removed).cloned().collect();
        let more = names.len().saturating_sub(NAMED);
        names.truncate(NAMED);
        if more > 0 {
            names.push(format!("and {more} more"));
        }
        names
    }
}

/// What a change does, or why it may not be applied.
pub(super) fn plan(base: &Loaded, change: &Change) -> Result<Plan, ApplyError> {
    let (old, mut operations) = base.parts()?;
    let mut files = base.files.clone();
    files.shift_remove(OPERATIONS_FILE);
    edit(base, &change.edit, &old, &mut files, &mut operations)?;
    let mut new = declare::check(&files).map_err(ApplyError::Invalid)?;
    operations.prune(&new);
    operations.impose(&mut new);
    if let Some(text) = operations.text() {
        files.insert(OPERATIONS_FILE.to_owned(), text);
    }
    let unsafe_changes = diff::unsafe_changes(&old, &new);
    if !unsafe_changes.is_empty() {
        return Err(ApplyError::Forbidden(unsafe_changes));
    }
    let removed = |name: &&String| !files.contains_key(*name);
    Ok(Plan {
        removed: base.files.keys().filter(removed).cloned().collect(),
        diff: diff::diff(&old, &new),
        texts: files
            .into_iter()
            .filter(|(name, text)| base.files.get(name) != Some(text))
            .collect(),
    })
}

impl Loaded {
    /// The configuration of the files and what operators took out of service.
    pub fn parts(&self) -> Result<(Config, Operations), ReadError> {
        let invalid = |problems: Vec<declare::Problem>| ReadError::Invalid {
            revision: self.head.revision,
            first: problems
                .first()
                .map(ToString::to_string)
                .unwrap_or_default(),
        };
        let mut config = declare::check(&self.files).map_err(invalid)?;
        config.revision = self.head.revision;
        let text = self.files.get(OPERATIONS_FILE).map_or("", String::as_str);
        let operations = Operations::parse(text).map_err(invalid)?;
        Ok((config, operations))
    }
}

fn edit(
    base: &Loaded,
    edit: &Edit,
    old: &Config,
    files: &mut Files,
    operations: &mut Operations,
) -> Result<(), ApplyError> {
    match edit {
        Edit::Files {
            expected,
            files: named,
        } => {
            for (name, text) in named {
                if base.files.get(name) == text.as_ref() {
                    // Nothing to write, so nobody's change can be lost.
                    continue;
                }
                check_race(&base.head, name, *expected)?;
                match text {
                    Some(text) => files.insert(name.clone(), text.clone()),
                    None => files.shift_remove(name),
                };
            }
        }
        Edit::Domain { name, out } => {
            if !old.domains.contains_key(name) {
                return Err(ApplyError::NotFound("domain".into()));
            }
            match out {
                true => operations.out.insert(name.clone()),
                false => operations.out.shift_remove(name),
            };
        }
        Edit::Endpoint { name, leaving } => {
            let mut services = old.services.values();
            if !services.any(|s| s.endpoints.contains_key(name)) {
                return Err(ApplyError::NotFound("endpoint".into()));
            }
            match leaving {
                true => operations.leaving.insert(name.clone()),
                false => operations.leaving.shift_remove(name),
            };
        }
    }
    Ok(())
}

/// Refuses a change of a file that changed after the revision the change is based on.
fn check_race(head: &Head, file: &str, expected: Revision) -> Result<(), ApplyError> {
    let touched = head.touched(file);
    if touched <= expected {
        return Ok(());
    }
    let other = head
        .recent
        .iter()
        .find(|a| a.revision == touched)
        .or(head.last());
    let other = other.cloned().unwrap_or(AppliedChange {
        revision: touched,
        change: String::new(),
        digest: String::new(),
        author: "unknown".into(),
        at: WallTime::ZERO,
        files: vec![file.to_owned()],
    });
    Err(ApplyError::Conflict(Box::new(other)))
}

/// The head after a change.
pub(super) fn next_head(
    old: &Head,
    plan: &Plan,
    change: &Change,
    digest: &str,
    now: WallTime,
) -> Head {
    let mut head = old.clone();
    if plan.unchanged() {
        return head;
    }
    head.revision = old.revision.next();
    for (name, text) in &plan.texts {
        let file = FileRef {
            content: hash(text),
            revision: head.revision,
        };
        head.files.insert(name.clone(), file);
        head.removed.shift_remove(name);
    }
    for name in &plan.removed {
        head.files.shift_remove(name);
        head.removed.shift_remove(name);
        head.removed.insert(name.clone(), head.revision);
    }
    head.files.sort_keys();
    head.recent.push(AppliedChange {
        revision: head.revision,
        change: change.id.clone(),
        digest: digest.to_owned(),
        author: change.author.clone(),
        at: now,
        files: plan.named(),
    });
    head.trim();
    head
}
