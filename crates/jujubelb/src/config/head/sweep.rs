//! Removal of contents that no head names any more.

use indexmap::IndexMap;

use super::load::read_head;
use super::{CONTENT, HEAD, ReadError};
use crate::model::{Span, Time};
use crate::store::{Expect, Store, StoreError, Version};

/// How long a content stays after it was first seen unreferenced, so that
/// processes which read the head before still find it.
pub const KEEP: Span = Span::from_secs(3_600);

/// Contents read in one step. The store returns whole values of up to 512 KiB.
const PAGE: usize = 8;

/// Finds and removes unreferenced contents, a page at a time.
///
/// A change that reuses a content could race with its removal. Two rules prevent
/// that. A change writes its contents again, which gives them a new version, and
/// a content is deleted only in the version that was seen. Before deleting, the
/// head is rewritten unchanged, so every change that read the head before fails
/// its compare-and-swap and writes its contents again.
#[derive(Debug, Default)]
pub struct Sweeper {
    /// Unreferenced contents: version and when it was first seen.
    seen: IndexMap<String, (Version, Time)>,
    /// Last key of the page before.
    after: String,
}

impl Sweeper {
    /// Handles one page. Returns how many contents were removed.
    pub fn step<S: Store>(&mut self, store: &S, now: Time) -> Result<usize, ReadError> {
        let page = store.list(CONTENT, &self.after, PAGE)?;
        self.after = match page.last() {
            Some(entry) if page.len() == PAGE => entry.key.clone(),
            _ => String::new(),
        };
        if self.after.is_empty() {
            // Forget what another process removed; what is still there is found again.
            self.seen.retain(|_, seen| now.since(seen.1) < KEEP + KEEP);
        }
        let (head, version) = read_head(store)?;
        let mut due = Vec::new();
        for entry in page {
            let hash = &entry.key[CONTENT.len().min(entry.key.len())..];
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
            if now.since(seen.1) >= KEEP {
                due.push((entry.key, entry.version));
            }
        }
        let Some(version) = version.filter(|_| !due.is_empty()) else {
            return Ok(0);
        };
        let value = serde_json::to_vec(&head).map_err(|e| ReadError::Damaged(e.to_string()))?;
        match store.put(HEAD, &value, Expect::Version(version), None) {
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
                // A change wrote it again meanwhile.
                Err(StoreError::Conflict { .. }) => {}
                Err(e) => return Err(e.into()),
            }
            self.seen.shift_remove(&key);
        }
        Ok(removed)
    }
}
