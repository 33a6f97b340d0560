//! Removes contents that the head no longer refers to.

use indexmap::IndexMap;

use super::load::read_head;
use super::{CONTENT_PREFIX, HEAD_KEY, ReadError};
use crate::model::{Span, Time};
use crate::store::{Expect, Store, StoreError, Version};

/// Time for which a content is kept after it was first seen unreferenced, so that
/// processes that have read an older head can still read it.
pub const UNREFERENCED_RETENTION: Span = Span::from_secs(3_600);

/// Contents listed in one step. The store returns complete values of up to 512 KiB.
const PAGE_ENTRIES: usize = 8;

/// Finds and removes unreferenced contents, one page at a time.
///
/// A change that reuses a content can race with its removal. Two rules prevent the loss
/// of the content. A change always writes its contents, which gives them a new version,
/// and a content is deleted only in the version that was seen unreferenced. Before the
/// deletion the head is rewritten unchanged, so every change that has read it fails its
/// compare-and-swap and writes its contents again.
#[derive(Debug, Default)]
pub struct Sweeper {
    /// Unreferenced contents by key: version and time when first seen.
    seen: IndexMap<String, (Version, Time)>,
    /// Last key of the previous page; empty at the start of a pass.
    resume_after: String,
}

impl Sweeper {
    /// Processes one page and returns the number of removed contents.
    pub fn step<S: Store>(&mut self, store: &S, now: Time) -> Result<usize, ReadError> {
        let page = store.list(CONTENT_PREFIX, &self.resume_after, PAGE_ENTRIES)?;
        self.resume_after = match page.last() {
            Some(entry) if page.len() == PAGE_ENTRIES => entry.key.clone(),
            _ => String::new(),
        };
        if self.resume_after.is_empty() {
            // Drops entries that another process removed; remaining ones are found again.
            self.seen.retain(|_, seen| {
                now.since(seen.1) < UNREFERENCED_RETENTION + UNREFERENCED_RETENTION
            });
        }
        let (head, version) = read_head(store)?;
        let mut due = Vec::new();
        for entry in page {
            let hash = &entry.key[CONTENT_PREFIX.len().min(entry.key.len())..];
            if head.files.values().any(|f| f.content == hash) {
                self.seen.shift_remove(&entry.key);
                continue;
            }
            let seen = self
                .seen
                .entry(entry.key.clone())
                .or_insert((entry.version, now));
            if seen.0 != entry.version {
                *seen = (entry.version, now);
            }
            if now.since(seen.1) >= UNREFERENCED_RETENTION {
                due.push((entry.key, entry.version));
            }
        }
        let Some(version) = version.filter(|_| !due.is_empty()) else {
            return Ok(0);
        };
        let value = serde_json::to_vec(&head).map_err(|e| ReadError::Damaged(e.to_string()))?;
        match store.put(HEAD_KEY, &value, Expect::Version(version), None) {
            Ok(_) => self.remove(store, due),
            Err(StoreError::Conflict { .. }) => Ok(0),
            Err(e) => Err(e.into()),
        }
    }

    fn remove<S: Store>(
        &mut self,
        store: &S,
        due: Vec<(String, Version)>,
    ) -> Result<usize, ReadError> {
        let mut removed = 0;
        for (key, version) in due {
            match store.delete(&key, Expect::Version(version)) {
                Ok(()) => removed += 1,
                // A change has written the content again.
                Err(StoreError::Conflict { .. }) => {}
                Err(e) => return Err(e.into()),
            }
            self.seen.shift_remove(&key);
        }
        Ok(removed)
    }
}
