//! The configuration in the store: a head that refers to immutable file contents.
//!
//! `config/head` maps each file name to a key `config/content/<blake3>`. A change
//! writes its contents first and then replaces the head by compare-and-swap, so a
//! change is applied completely or not at all.

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
pub use load::{ContentCache, StoredConfig, load};
pub use reader::{ConfigReader, PollOutcome};
pub use sweep::Sweeper;

/// Store key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Prefix of the store keys of contents; the hash follows.
pub const CONTENT_PREFIX: &str = "config/content/";

/// Maximum number of changes listed in the head. If the reply to a write is lost, the
/// change is looked up here; at 2,200 changes a day the list covers 40 minutes.
const MAX_RECENT_CHANGES: usize = 64;

/// Maximum number of file names listed for a change. Keeps the head far below the
/// store's maximum value size even if every change writes all files.
const MAX_NAMED_FILES: usize = 20;

/// Maximum number of removed files listed in the head, which identify the change that
/// removed each.
const MAX_REMOVED_FILES: usize = 64;

/// A file of the configuration, as the head refers to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRef {
    /// BLAKE3 hash of the content, in hexadecimal.
    pub content: String,
    /// Revision that last wrote the file.
    pub revision: Revision,
}

/// A change that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Revision that the change created.
    pub revision: Revision,
    /// Identifier of the change, unique per operator command.
    pub change: String,
    /// Hash of the requested edit; distinguishes a repetition from another change that
    /// reuses the identifier.
    pub digest: String,
    /// Author that the operator's tool sent.
    pub author: String,
    /// Time of the change by the wall clock of the process that applied it.
    pub at: WallTime,
    /// Files that it wrote or removed: at most `MAX_NAMED_FILES` names, then how many more.
    pub files: Vec<String>,
}

impl AppliedChange {
    /// Converts to the operator interface's representation.
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

/// The current revision with its files and the most recent changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision; increases by one with each change. Zero before the first.
    pub revision: Revision,
    /// Present files by name.
    pub files: IndexMap<String, FileRef>,
    /// Recently removed files with the revision that removed each, oldest first.
    pub removed: IndexMap<String, Revision>,
    /// Highest revision of a removal that has been dropped from `removed`.
    pub floor: Revision,
    /// The most recent changes, oldest first.
    pub recent: Vec<AppliedChange>,
}

impl Head {
    /// The most recent change, or `None` before the first.
    pub fn last_change(&self) -> Option<&AppliedChange> {
        self.recent.last()
    }

    /// Finds a change by its identifier among the recent ones.
    pub fn find_change(&self, change: &str) -> Option<&AppliedChange> {
        self.recent.iter().find(|a| a.change == change)
    }

    /// Revision that last wrote or removed a file. For a file that is not listed this is an
    /// upper bound.
    fn last_modified(&self, file: &str) -> Revision {
        match (self.files.get(file), self.removed.get(file)) {
            (Some(present), _) => present.revision,
            (None, Some(removed)) => *removed,
            (None, None) => self.floor,
        }
    }

    /// Drops the oldest entries of the bounded lists.
    fn trim(&mut self) {
        let excess = self.recent.len().saturating_sub(MAX_RECENT_CHANGES);
        self.recent.drain(..excess);
        while self.removed.len() > MAX_REMOVED_FILES {
            if let Some((_, revision)) = self.removed.shift_remove_index(0) {
                self.floor = self.floor.max(revision);
            }
        }
    }
}

/// Hash of a text, as used in the keys of contents.
fn hash(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}
