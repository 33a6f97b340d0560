//! Reading the head and its contents.

use indexmap::IndexMap;

use super::{CONTENT, HEAD, Head, ReadError, hash};
use crate::config::declare::Files;
use crate::store::{Store, Version};

/// Contents by hash. They never change, so each is read once.
#[derive(Debug, Clone, Default)]
pub struct ContentCache {
    texts: IndexMap<String, String>,
}

/// Contents kept in memory beyond those of the newest head read; enough for the
/// files that racing changes replace.
const SPARE: usize = 16;

impl ContentCache {
    pub(super) fn insert(&mut self, text: &str) -> String {
        let key = hash(text);
        self.texts.insert(key.clone(), text.to_owned());
        key
    }

    /// The files of a head. Reads those that are lacking and drops old ones.
    pub(super) fn files<S: Store>(&mut self, store: &S, head: &Head) -> Result<Files, ReadError> {
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
        let entry = store.get(&format!("{CONTENT}{key}"))?.ok_or_else(damaged)?;
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
        let mut excess = spare.saturating_sub(SPARE);
        self.texts.retain(|key, _| {
            let drop = excess > 0 && !used(key);
            excess -= usize::from(drop);
            !drop
        });
    }
}

/// The head with its version and files.
#[derive(Debug, Clone, Default)]
pub struct Loaded {
    /// The head; empty before the first change.
    pub head: Head,
    /// Version of the key, if it exists.
    pub version: Option<Version>,
    /// The files.
    pub files: Files,
}

/// Reads the head alone.
pub(super) fn read_head<S: Store>(store: &S) -> Result<(Head, Option<Version>), ReadError> {
    let Some(entry) = store.get(HEAD)? else {
        return Ok((Head::default(), None));
    };
    let head =
        serde_json::from_slice(&entry.value).map_err(|e| ReadError::Damaged(e.to_string()))?;
    Ok((head, Some(entry.version)))
}

/// Reads the head and the files that `contents` lacks.
pub fn load<S: Store>(store: &S, contents: &mut ContentCache) -> Result<Loaded, ReadError> {
    let (head, version) = read_head(store)?;
    let files = contents.files(store, &head)?;
    Ok(Loaded {
        head,
        version,
        files,
    })
}
