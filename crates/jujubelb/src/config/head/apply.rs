//! Applying a change by compare-and-swap.

use indexmap::IndexMap;

use super::load::{ContentCache, Loaded, load};
use super::plan::{Plan, next_head, plan};
use super::{AppliedChange, ApplyError, CONTENT, HEAD, Head, ReadError, hash};
use crate::config::declare::OPERATIONS_FILE;
use crate::config::diff::Difference;
use crate::model::{DomainName, EndpointName, Revision, WallTime};
use crate::operator::api::{ApplyAnswer, ApplyRequest, ChangeView};
use crate::store::{Expect, Store, StoreError, Version};

/// Tries before a change gives up against other changes or lost answers. At
/// 2,200 changes a day a second race in a row is already rare.
const TRIES: usize = 8;

/// Longest change identifier or author.
const TEXT: usize = 128;

/// What a change does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit {
    /// Adds, replaces or (with `None`) removes files.
    Files {
        /// Revision on which the change is based.
        expected: Revision,
        /// Files by name.
        files: IndexMap<String, Option<String>>,
    },
    /// Takes a domain out or brings it in.
    Domain {
        /// The domain.
        name: DomainName,
        /// Whether it goes out.
        out: bool,
    },
    /// Drains or restores an endpoint.
    Endpoint {
        /// The endpoint.
        name: EndpointName,
        /// Whether it leaves.
        leaving: bool,
    },
}

/// A change with its identity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Identifier, unique; a repeat with it is the same change.
    pub id: String,
    /// Who makes it.
    pub author: String,
    /// What it does.
    pub edit: Edit,
}

impl Change {
    /// The change that a request of the operators' interface asks for.
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

/// A change that is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// The change. If nothing had to be written, the newest one in force.
    pub applied: Option<AppliedChange>,
    /// Whether the content was in force before.
    pub unchanged: bool,
    /// What differs from before.
    pub diff: Vec<Difference>,
}

impl ApplyOutcome {
    /// The answer of the operators' interface.
    pub fn answer(&self) -> ApplyAnswer {
        let none = || ChangeView {
            revision: Revision::default(),
            change: String::new(),
            author: String::new(),
            at: WallTime::ZERO,
            files: Vec::new(),
        };
        ApplyAnswer {
            change: self.applied.as_ref().map_or_else(none, AppliedChange::view),
            unchanged: self.unchanged,
            diff: self.diff.iter().map(ToString::to_string).collect(),
        }
    }
}

/// Applies a change as a whole or not at all.
///
/// After an error other than [`ApplyError::Unknown`] the change certainly did
/// not take effect and never will. Repeating a change with its identifier is safe.
pub fn apply<S: Store>(
    store: &S,
    contents: &mut ContentCache,
    change: &Change,
    now: WallTime,
) -> Result<ApplyOutcome, ApplyError> {
    check_request(change)?;
    let mut attempt = Attempt {
        digest: digest(&change.edit),
        pending: None,
        last: None,
    };
    for _ in 0..TRIES {
        match attempt.run(store, contents, change, now) {
            Ok(Some(outcome)) => return Ok(outcome),
            Ok(None) => {}
            Err(error) => return Err(attempt.settle(error)),
        }
    }
    Err(attempt.settle(ApplyError::Busy(TRIES)))
}

/// Progress of one change over several tries.
struct Attempt {
    digest: String,
    /// Version against which a write of the head was sent whose answer is
    /// lost. The write may still land as long as the head has this version.
    pending: Option<Option<Version>>,
    /// The failure that left it pending.
    last: Option<StoreError>,
}

impl Attempt {
    /// One try; `None` means that another try is useful.
    fn run<S: Store>(
        &mut self,
        store: &S,
        contents: &mut ContentCache,
        change: &Change,
        now: WallTime,
    ) -> Result<Option<ApplyOutcome>, ApplyError> {
        let base = load(store, contents)?;
        if let Some(applied) = base.head.find(&change.id).cloned() {
            // The pending write, if any, is this one or can no longer land.
            self.pending = None;
            return self.repeated(applied).map(Some);
        }
        if self.pending.is_some_and(|version| base.version > version) {
            // Another write replaced the expected version, so the pending one failed.
            self.pending = None;
        }
        if base.head.revision < expected(&change.edit) {
            // The operator saw a newer head than this read returned.
            return Ok(None);
        }
        let plan = plan(&base, change)?;
        for text in plan.texts.values() {
            write_content(store, contents, text)?;
        }
        let head = next_head(&base.head, &plan, change, &self.digest, now);
        self.swap(store, &base, head, plan)
    }

    /// Replaces the head. An unchanged head is written too: success proves that
    /// the head read was the newest one.
    fn swap<S: Store>(
        &mut self,
        store: &S,
        base: &Loaded,
        head: Head,
        plan: Plan,
    ) -> Result<Option<ApplyOutcome>, ApplyError> {
        let value = serde_json::to_vec(&head).map_err(|e| ReadError::Damaged(e.to_string()))?;
        let expect = base.version.map_or(Expect::Absent, Expect::Version);
        match store.put(HEAD, &value, expect, None) {
            Ok(_) => Ok(Some(ApplyOutcome {
                applied: head.last().cloned(),
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

    fn repeated(&self, applied: AppliedChange) -> Result<ApplyOutcome, ApplyError> {
        if applied.digest != self.digest {
            return Err(ApplyError::Reused(Box::new(applied)));
        }
        Ok(ApplyOutcome {
            applied: Some(applied),
            unchanged: false,
            diff: Vec::new(),
        })
    }

    /// The final error: unknown while a write may still land.
    fn settle(&mut self, error: ApplyError) -> ApplyError {
        let last = self.last.take();
        match (self.pending, error) {
            (Some(_), ApplyError::PollOutcome(e)) => ApplyError::Unknown(e),
            (Some(_), other) => {
                let e = last.unwrap_or(StoreError::Unknown(other.to_string()));
                ApplyError::Unknown(ReadError::Store(e))
            }
            (None, ApplyError::Busy(_)) if let Some(e) = last => ApplyError::PollOutcome(e.into()),
            (None, error) => error,
        }
    }
}

fn expected(edit: &Edit) -> Revision {
    match edit {
        Edit::Files { expected, .. } => *expected,
        _ => Revision::default(),
    }
}

/// Rejects requests that no state of the store could make valid.
fn check_request(change: &Change) -> Result<(), ApplyError> {
    for (what, text) in [
        ("change identifier", &change.id),
        ("author", &change.author),
    ] {
        if text.is_empty() || text.len() > TEXT || text.chars().any(char::is_control) {
            let message = format!("the {what} has to be 1 to {TEXT} printable bytes");
            return Err(ApplyError::Malformed(message));
        }
    }
    let Edit::Files { files, .. } = &change.edit else {
        return Ok(());
    };
    if files.is_empty() {
        return Err(ApplyError::Malformed("the change names no file".into()));
    }
    if files.contains_key(OPERATIONS_FILE) {
        let message =
            format!("{OPERATIONS_FILE} is written by `jujubectl domain` and `jujubectl drain`");
        return Err(ApplyError::Malformed(message));
    }
    Ok(())
}

/// Hash of what a change asks for.
fn digest(edit: &Edit) -> String {
    match edit {
        // The expected revision is left out: a repeat may be based on a newer one.
        Edit::Files { files, .. } => hash(&format!("files {files:?}")),
        Edit::Domain { name, out } => hash(&format!("domain {name} {out}")),
        Edit::Endpoint { name, leaving } => hash(&format!("endpoint {name} {leaving}")),
    }
}

/// Writes a content. It is written even if it exists: the new version keeps a
/// sweep that found it unreferenced from deleting it.
fn write_content<S: Store>(
    store: &S,
    contents: &mut ContentCache,
    text: &str,
) -> Result<(), ReadError> {
    let key = format!("{CONTENT}{}", contents.insert(text));
    let mut last = StoreError::Unknown("not tried".into());
    for _ in 0..TRIES {
        match store.put(&key, text.as_bytes(), Expect::Any, None) {
            Ok(_) => return Ok(()),
            Err(e @ StoreError::Unknown(_)) => last = e,
            Err(e) => return Err(e.into()),
        }
    }
    Err(last.into())
}
