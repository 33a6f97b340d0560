//! Keys that authenticate messages between processes, read from files.

use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::http::error_chain;

/// Shortest key text. 32 random characters can't be guessed.
const MIN_KEY_CHARS: usize = 32;

/// Largest key file; guards against reading a wrong, large file into memory.
const MAX_KEY_FILE_BYTES: u64 = 4_096;

/// Key derivation context; the same text used for another purpose gives another key.
const KEY_DERIVATION_CONTEXT: &str = "jujubelb 2026 messages between processes";

/// A key for keyed BLAKE3 hashes. Its `Debug` output hides the bytes, so that they appear
/// in no log or dump.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Key([u8; 32]);

impl Key {
    /// Derives a key from text, without surrounding white space.
    pub(crate) fn from_text(text: &str) -> Result<Self, KeyError> {
        let text = text.trim();
        if text.len() < MIN_KEY_CHARS {
            return Err(KeyError::Short);
        }
        Ok(Self(blake3::derive_key(
            KEY_DERIVATION_CONTEXT,
            text.as_bytes(),
        )))
    }

    /// Computes the keyed hash of a message. The context is hashed with its length first, so
    /// that bytes can't move between context and message.
    pub(super) fn hash(&self, context: &[u8], message: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&(context.len() as u64).to_le_bytes());
        hasher.update(context);
        hasher.update(message);
        hasher.finalize()
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(hidden)")
    }
}

/// Failure to load the keys. No error text contains any part of a key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key has fewer characters than the minimum.
    #[error("the key has fewer than {MIN_KEY_CHARS} characters; generate a longer random one")]
    Short,
    /// The file can't be read.
    #[error(
        "the key file {path} can't be read: {reason}; check the setting `keys` and the file's permissions"
    )]
    File {
        /// Path as in the settings.
        path: PathBuf,
        /// Cause: the chain of I/O errors, or the size limit.
        reason: String,
    },
    /// The number of key files is neither one nor two.
    #[error("{0} key files are configured; configure one, or two during a rotation")]
    Count(usize),
}

/// The active keys: messages are sent with the first and accepted with any.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeyRing {
    keys: Vec<Key>,
}

impl KeyRing {
    /// Creates a key ring of one key, or of two during a rotation.
    pub(crate) fn new(keys: Vec<Key>) -> Result<Self, KeyError> {
        match keys.len() {
            1 | 2 => Ok(Self { keys }),
            count => Err(KeyError::Count(count)),
        }
    }

    /// Reads one key from each file. The first is used for sending.
    pub(crate) fn read(files: &[PathBuf]) -> Result<Self, KeyError> {
        let keys = files.iter().map(|path| read(path));
        Self::new(keys.collect::<Result<_, _>>()?)
    }

    /// The key that authenticates sent messages.
    pub(super) fn active(&self) -> &Key {
        // `new` rejects an empty list.
        &self.keys[0]
    }

    /// The keys that are accepted on received messages.
    pub(super) fn all(&self) -> &[Key] {
        &self.keys
    }
}

fn read(path: &Path) -> Result<Key, KeyError> {
    let file = |reason: String| KeyError::File {
        path: path.to_owned(),
        reason,
    };
    let meta = std::fs::metadata(path).map_err(|e| file(error_chain(&e)))?;
    if meta.len() > MAX_KEY_FILE_BYTES {
        return Err(file(format!(
            "it is larger than {MAX_KEY_FILE_BYTES} bytes"
        )));
    }
    let text = std::fs::read_to_string(path).map_err(|e| file(error_chain(&e)))?;
    Key::from_text(&text)
}
