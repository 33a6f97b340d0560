//! Applies a change to the configuration by compare-and-swap.

use indexmap::IndexMap;

use super::load::{ContentCache, StoredConfig, load};
use super::plan::{Plan, next_head, plan};
use super::{AppliedChange, ApplyError, CONTENT_PREFIX, HEAD_KEY, Head, ReadError, hash};
use crate::config::declare::OPERATIONS_FILE;
use crate::config::diff::Difference;
use crate::model::{DomainName, EndpointName, Revision, WallTime};
use crate::operator::api::{ApplyRequest, ApplyResponse, ChangeView};
use crate::store::{Expect, Store, StoreError, Version};

/// Maximum number of tries of a write against conflicting changes or lost replies. At
/// 2,200 changes a day a second conflict in a row is already rare.
const MAX_TRIES: usize = 8;

/// Maximum length of a change identifier or author.
const MAX_TEXT_BYTES: usize = 128;

/// The effect of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit {
    /// Adds, replaces or (with `None`) removes files.
    Files {
        /// Revision on which the change is based. A file that was changed after it is a conflict.
        expected: Revision,
        /// New texts by file name; `None` removes the file.
        files: IndexMap<String, Option<String>>,
    },
    /// Takes a domain out of service or puts it back into service.
    Domain {
        /// Name of the domain.
        name: DomainName,
        /// Whether it is taken out of service.
        out: bool,
    },
    /// Drains or restores an endpoint.
    Endpoint {
        /// Name of the endpoint.
        name: EndpointName,
        /// Whether it is drained.
        leaving: bool,
    },
}

/// An identified request to change the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Unique identifier; a request with the same one is a repetition of this change.
    pub id: String,
    /// Author, shown to operators.
    pub author: String,
    /// Requested edit.
    pub edit: Edit,
}

impl Change {
    /// Converts from a request of the operator interface.
    pub fn from_request(request: ApplyRequest) -> Self {
        Self {
            id: request.change,
            author: request.author,
            edit: Edit::Files {
                expected: request.expected,
                files: request.files,
            },
        }
    }
}

/// Result of a change that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// The change as recorded in the head. If nothing had to be written, the most recent
    /// change, or `None` if there is none.
    pub applied: Option<AppliedChange>,
    /// Whether the files already had the requested contents.
    pub unchanged: bool,
    /// Differences from the previous configuration; empty for a repeated change.
    pub diff: Vec<Difference>,
}

impl ApplyOutcome {
    /// Converts to the response of the operator interface.
    pub fn response(&self) -> ApplyResponse {
        let none = || ChangeView {
            revision: Revision::default(),
            change: String::new(),
            author: String::new(),
            at: WallTime::ZERO,
            files: Vec::new(),
        };
        ApplyResponse {
            change: self.applied.as_ref().map_or_else(none, AppliedChange::view),
            unchanged: self.unchanged,
            diff: self.diff.iter().map(ToString::to_string).collect(),
        }
    }
}

/// Applies a change completely or not at all.
///
/// After an error other than [`ApplyError::Unknown`] the change has not taken effect and
/// never will. Repeating a change with the same identifier is safe.
pub fn apply<S: Store>(
    store: &S,
    contents: &mut ContentCache,
    change: &Change,
    now: WallTime,
) -> Result<ApplyOutcome, ApplyError> {
    check_request(change)?;
    let mut progress = ApplyProgress {
        digest: digest(&change.edit),
        pending: None,
        last: None,
    };
    for _ in 0..MAX_TRIES {
        match progress.try_once(store, contents, change, now) {
            Ok(Some(outcome)) => return Ok(outcome),
            Ok(None) => {}
            Err(error) => return Err(progress.final_error(error)),
        }
    }
    Err(progress.final_error(ApplyError::TooManyConflicts(MAX_TRIES)))
}

/// State of one change over several tries.
struct ApplyProgress {
    digest: String,
    /// Expected version in a write of the head whose reply was lost. The write may still
    /// take effect as long as the head has this version.
    pending: Option<Option<Version>>,
    /// Failure that left the write pending.
    last: Option<StoreError>,
}

impl ApplyProgress {
    /// Makes one try; `None` means that another try may succeed.
    fn try_once<S: Store>(
        &mut self,
        store: &S,
        contents: &mut ContentCache,
        change: &Change,
        now: WallTime,
    ) -> Result<Option<ApplyOutcome>, ApplyError> {
        let base = load(store, contents)?;
        if let Some(applied) = base.head.find_change(&change.id).cloned() {
            // The pending write, if any, is this one or can no longer take effect.
            self.pending = None;
            return self.resolve_repeat(applied).map(Some);
        }
        if self.pending.is_some_and(|version| base.version > version) {
            // Another write replaced the expected version, so the pending write failed.
            self.pending = None;
        }
        if base.head.revision < expected_revision(&change.edit) {
            // This read is stale: the change is based on a newer head.
            return Ok(None);
        }
        let plan = plan(&base, change)?;
        for text in plan.texts.values() {
            write_content(store, contents, text)?;
        }
        let head = next_head(&base.head, &plan, change, &self.digest, now);
        self.replace_head(store, &base, head, plan)
    }

    /// Writes the new head. An unchanged head is written too: success proves that the head
    /// that was read was the newest one.
    fn replace_head<S: Store>(
        &mut self,
        store: &S,
        base: &StoredConfig,
        head: Head,
        plan: Plan,
    ) -> Result<Option<ApplyOutcome>, ApplyError> {
        let value = serde_json::to_vec(&head).map_err(|e| ReadError::Damaged(e.to_string()))?;
        let expect = base.version.map_or(Expect::Absent, Expect::Version);
        match store.put(HEAD_KEY, &value, expect, None) {
            Ok(_) => Ok(Some(ApplyOutcome {
                applied: head.last_change().cloned(),
                unchanged: plan.unchanged(),
                diff: plan.diff,
            })),
            Err(StoreError::Conflict { .. }) => Ok(None),
            Err(e @ (StoreError::Unknown(_) | StoreError::Malformed(_))) => {
                if !plan.unchanged() {
                    // A stale read may have returned a lower version than before.
                    self.pending = self.pending.max(Some(base.version));
                }
                self.last = Some(e);
                Ok(None)
            }
            Err(e) => Err(ReadError::Store(e).into()),
        }
    }

    fn resolve_repeat(&self, applied: AppliedChange) -> Result<ApplyOutcome, ApplyError> {
        if applied.digest != self.digest {
            return Err(ApplyError::ReusedId(Box::new(applied)));
        }
        Ok(ApplyOutcome {
            applied: Some(applied),
            unchanged: false,
            diff: Vec::new(),
        })
    }

    /// Returns the error to report: `Unknown` while a write may still take effect.
    fn final_error(&mut self, error: ApplyError) -> ApplyError {
        let last = self.last.take();
        match (self.pending, error) {
            (Some(_), ApplyError::PollOutcome(e)) => ApplyError::Unknown(e),
            (Some(_), other) => {
                let e = last.unwrap_or(StoreError::Unknown(other.to_string()));
                ApplyError::Unknown(ReadError::Store(e))
            }
            (None, ApplyError::TooManyConflicts(_)) if let Some(e) = last => {
                ApplyError::PollOutcome(e.into())
            }
            (None, error) => error,
        }
    }
}

fn expected_revision(edit: &Edit) -> Revision {
    match edit {
        Edit::Files { expected, .. } => *expected,
        _ => Revision::default(),
    }
}

/// Rejects requests that are invalid regardless of the state of the store.
fn check_request(change: &Change) -> Result<(), ApplyError> {
    for (what, text) in [
        ("change identifier", &change.id),
        ("author", &change.author),
    ] {
        if text.is_empty() || text.len() > MAX_TEXT_BYTES || text.chars().any(char::is_control) {
            let message = format!(
                "the {what} must have 1 to {MAX_TEXT_BYTES} bytes and no control characters"
            );
            return Err(ApplyError::Malformed(message));
        }
    }
    let Edit::Files { files, .. } = &change.edit else {
        return Ok(());
    };
    if files.is_empty() {
        return Err(ApplyError::Malformed("the change contains no file".into()));
    }
    if files.contains_key(OPERATIONS_FILE) {
        let message =
            format!("{OPERATIONS_FILE} is written by `jujubectl domain` and `jujubectl drain`");
        return Err(ApplyError::Malformed(message));
    }
    Ok(())
}

/// Hash of the requested edit.
fn digest(edit: &Edit) -> String {
    match edit {
        // The expected revision is not included: a repetition may be based on a newer one.
        Edit::Files { files, .. } => hash(&format!("files {files:?}")),
        Edit::Domain { name, out } => hash(&format!("domain {name} {out}")),
        Edit::Endpoint { name, leaving } => hash(&format!("endpoint {name} {leaving}")),
    }
}

/// Writes a content, even if the key exists: its new version prevents a sweep that found
/// the old one unreferenced from deleting it.
fn write_content<S: Store>(
    store: &S,
    contents: &mut ContentCache,
    text: &str,
) -> Result<(), ReadError> {
    let key = format!("{CONTENT_PREFIX}{}", contents.insert(text));
    let mut last = StoreError::Unknown("not tried".into());
    for _ in 0..MAX_TRIES {
        match store.put(&key, text.as_bytes(), Expect::Any, None) {
            Ok(_) => return Ok(()),
            Err(e @ StoreError::Unknown(_)) => last = e,
            Err(e) => return Err(e.into()),
        }
    }
    Err(last.into())
}
