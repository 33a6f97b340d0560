//! Reads the head and the contents of its files.

use indexmap::IndexMap;

use super::{CONTENT_PREFIX, HEAD_KEY, Head, ReadError, hash};
use crate::config::declare::Files;
use crate::store::{Store, Version};

/// Cache of contents by hash. Contents are immutable, so each is read once.
#[derive(Debug, Clone, Default)]
pub struct ContentCache {
    texts: IndexMap<String, String>,
}

/// Maximum number of cached contents that the last read head does not refer to; enough
/// for the files that concurrent changes replace.
const MAX_UNUSED_CONTENTS: usize = 16;

impl ContentCache {
    pub(super) fn insert(&mut self, text: &str) -> String {
        let key = hash(text);
        self.texts.insert(key.clone(), text.to_owned());
        key
    }

    /// Returns the files of a head. Reads the contents that are not cached and evicts
    /// unused ones.
    pub(super) fn files_of<S: Store>(
        &mut self,
        store: &S,
        head: &Head,
    ) -> Result<Files, ReadError> {
        let mut files = Files::new();
        for (name, file) in &head.files {
            let text = match self.texts.get(&file.content) {
                Some(text) => text.clone(),
                None => self.fetch(store, name, &file.content)?,
            };
            files.insert(name.clone(), text);
        }
        self.trim(head);
        Ok(files)
    }

    fn fetch<S: Store>(&mut self, store: &S, file: &str, key: &str) -> Result<String, ReadError> {
        let damaged = || ReadError::Content {
            file: file.to_owned(),
            content: key.to_owned(),
        };
        let entry = store
            .get(&format!("{CONTENT_PREFIX}{key}"))?
            .ok_or_else(damaged)?;
        let text = String::from_utf8(entry.value).map_err(|_| damaged())?;
        if hash(&text) != key {
            return Err(damaged());
        }
        self.insert(&text);
        Ok(text)
    }

    fn trim(&mut self, head: &Head) {
        let used = |key: &String| head.files.values().any(|f| &f.content == key);
        let spare = self.texts.keys().filter(|k| !used(k)).count();
        let mut excess = spare.saturating_sub(MAX_UNUSED_CONTENTS);
        self.texts.retain(|key, _| {
            let drop = excess > 0 && !used(key);
            excess -= usize::from(drop);
            !drop
        });
    }
}

/// The head as stored, with the contents of its files.
#[derive(Debug, Clone, Default)]
pub struct StoredConfig {
    /// The head; default before the first change.
    pub head: Head,
    /// Version of the head's key, or `None` if it does not exist.
    pub version: Option<Version>,
    /// Texts of all files by name.
    pub files: Files,
}

/// Reads the head without the contents of its files.
pub(super) fn read_head<S: Store>(store: &S) -> Result<(Head, Option<Version>), ReadError> {
    let Some(entry) = store.get(HEAD_KEY)? else {
        return Ok((Head::default(), None));
    };
    let head =
        serde_json::from_slice(&entry.value).map_err(|e| ReadError::Damaged(e.to_string()))?;
    Ok((head, Some(entry.version)))
}

/// Reads the head and those contents that `contents` has not cached.
pub fn load<S: Store>(store: &S, contents: &mut ContentCache) -> Result<StoredConfig, ReadError> {
    let (head, version) = read_head(store)?;
    let files = contents.files_of(store, &head)?;
    Ok(StoredConfig {
        head,
        version,
        files,
    })
}
