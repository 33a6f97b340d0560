//! The configuration in the store: one head that names immutable contents.
//!
//! `config/head` maps each file to `config/content/<blake3>`. A change writes
//! its contents first and then replaces the head by compare-and-swap, so a file
//! is applied as a whole or not at all.

mod apply;
mod error;
mod load;
mod plan;
mod reader;
mod sweep;
#[cfg(test)]
mod tests;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::model::{Revision, WallTime};
use crate::operator::api::ChangeView;

pub use apply::{ApplyOutcome, Change, Edit, apply};
pub use error::{ApplyError, ReadError};
pub use load::{ContentCache, Loaded, load};
pub use reader::{ConfigReader, PollOutcome};
pub use sweep::Sweeper;

/// Key of the head.
pub const HEAD: &str = "config/head";

/// Prefix of the keys of contents.
pub const CONTENT: &str = "config/content/";

/// Changes that the head remembers. A lost answer is resolved by finding the
/// change here; at 2,200 changes a day this covers 40 minutes.
const RECENT: usize = 64;

/// Files that a remembered change names. Keeps the head far below the store's
/// largest value even if each change touches all files.
const NAMED: usize = 20;

/// Removed files that the head remembers, to tell who removed them.
const REMOVED: usize = 64;

/// A file of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRef {
    /// Hash of the content.
    pub content: String,
    /// Revision that wrote it last.
    pub revision: Revision,
}

/// A change that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Revision that it made.
    pub revision: Revision,
    /// Its identifier.
    pub change: String,
    /// Hash of what it asked for; tells a repeat from another change with the same identifier.
    pub digest: String,
    /// Who made it.
    pub author: String,
    /// When, by the calendar clock of the process that applied it.
    pub at: WallTime,
    /// Files that it wrote or removed: the first ones and how many more.
    pub files: Vec<String>,
}

impl AppliedChange {
    /// The change as shown to operators.
    pub fn view(&self) -> ChangeView {
        ChangeView {
            revision: self.revision,
            change: self.change.clone(),
            author: self.author.clone(),
            at: self.at,
            files: self.files.clone(),
        }
    }
}

/// The head.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision; grows by one with each change.
    pub revision: Revision,
    /// Files by name.
    pub files: IndexMap<String, FileRef>,
    /// Files that were removed, with the revision that did so.
    pub removed: IndexMap<String, Revision>,
    /// Removals up to this revision may be forgotten.
    pub floor: Revision,
    /// The newest changes, oldest first.
    pub recent: Vec<AppliedChange>,
}

impl Head {
    /// The newest change.
    pub fn last(&self) -> Option<&AppliedChange> {
        self.recent.last()
    }

    /// A change by its identifier, if it is among the newest.
    pub fn find(&self, change: &str) -> Option<&AppliedChange> {
        self.recent.iter().find(|a| a.change == change)
    }

    /// The revision of the last change of a file, present or not.
    fn touched(&self, file: &str) -> Revision {
        match (self.files.get(file), self.removed.get(file)) {
            (Some(present), _) => present.revision,
            (None, Some(removed)) => *removed,
            (None, None) => self.floor,
        }
    }

    /// Keeps the lists bounded.
    fn trim(&mut self) {
        let excess = self.recent.len().saturating_sub(RECENT);
        self.recent.drain(..excess);
        while self.removed.len() > REMOVED {
            if let Some((_, revision)) = self.removed.shift_remove_index(0) {
                self.floor = self.floor.max(revision);
            }
        }
    }
}

/// Hash of a content, as used in its key.
fn hash(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}
