//! Computes the effect of a change on the stored files, and the resulting head.

use indexmap::IndexMap;

use super::apply::{Change, Edit};
use super::load::StoredConfig;
use super::{AppliedChange, ApplyError, FileRef, Head, MAX_NAMED_FILES, ReadError, hash};
use crate::config::Config;
use crate::config::declare::{self, Files, OPERATIONS_FILE, Operations};
use crate::config::diff::{self, Difference};
use crate::model::{Revision, WallTime};

/// The effect of a change on the stored files.
pub(super) struct Plan {
    /// Texts of the files to write.
    pub(super) texts: IndexMap<String, String>,
    /// Files to remove.
    removed: Vec<String>,
    pub(super) diff: Vec<Difference>,
}

impl Plan {
    pub(super) fn unchanged(&self) -> bool {
        self.texts.is_empty() && self.removed.is_empty()
    }

    /// Names of the first `MAX_NAMED_FILES` changed files, then how many more there are.
    fn changed_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.texts.keys().chain(&self.removed).cloned().collect();
        let more = names.len().saturating_sub(MAX_NAMED_FILES);
        names.truncate(MAX_NAMED_FILES);
        if more > 0 {
            names.push(format!("and {more} more"));
        }
        names
    }
}

/// Computes and checks the effect of a change.
pub(super) fn plan(base: &StoredConfig, change: &Change) -> Result<Plan, ApplyError> {
    let (old, mut operations) = base.parse()?;
    let mut files = base.files.clone();
    files.shift_remove(OPERATIONS_FILE);
    apply_edit(base, &change.edit, &old, &mut files, &mut operations)?;
    let mut new = declare::check(&files).map_err(ApplyError::Invalid)?;
    operations.prune(&new);
    operations.apply_to(&mut new);
    if let Some(text) = operations.to_yaml() {
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

impl StoredConfig {
    /// Parses the files into the configuration and the contents of the operations file.
    pub fn parse(&self) -> Result<(Config, Operations), ReadError> {
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

/// Applies an edit to the files and operations, or reports a conflict or an unknown name.
fn apply_edit(
    base: &StoredConfig,
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
                    // Nothing to write, so no other change can be overwritten.
                    continue;
                }
                check_conflict(&base.head, name, *expected)?;
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
                true => operations.domains_out.insert(name.clone()),
                false => operations.domains_out.shift_remove(name),
            };
        }
        Edit::Endpoint { name, leaving } => {
            let mut services = old.services.values();
            if !services.any(|s| s.endpoints.contains_key(name)) {
                return Err(ApplyError::NotFound("endpoint".into()));
            }
            match leaving {
                true => operations.endpoints_leaving.insert(name.clone()),
                false => operations.endpoints_leaving.shift_remove(name),
            };
        }
    }
    Ok(())
}

/// Reports a conflict if the file was changed after the revision on which the change is
/// based.
fn check_conflict(head: &Head, file: &str, expected: Revision) -> Result<(), ApplyError> {
    let last_modified = head.last_modified(file);
    if last_modified <= expected {
        return Ok(());
    }
    let other = head
        .recent
        .iter()
        .find(|a| a.revision == last_modified)
        .or(head.last_change());
    let other = other.cloned().unwrap_or(AppliedChange {
        revision: last_modified,
        change: String::new(),
        digest: String::new(),
        author: "unknown".into(),
        at: WallTime::ZERO,
        files: vec![file.to_owned()],
    });
    Err(ApplyError::Conflict(Box::new(other)))
}

/// Returns the head after a change.
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
        files: plan.changed_names(),
    });
    head.trim();
    head
}
