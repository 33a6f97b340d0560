//! Keys for messages between processes, read from files.

use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::http::error_chain;

/// Shortest key text. 32 random characters make guessing hopeless.
const MIN_KEY_CHARS: usize = 32;

/// Largest key file in bytes; protects from reading a wrong, large file.
const MAX_KEY_FILE_BYTES: u64 = 4_096;

/// Separates keys of this use from any other use of the same text.
const KEY_DERIVATION_CONTEXT: &str = "jujubelb 2026 messages between processes";

/// A key. Its bytes appear in no debug output, log or dump.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Key([u8; 32]);

impl Key {
    /// A key from its text; surrounding white space does not count.
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

    /// The keyed hash of a message in a context.
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

/// Failure to get a key. No message contains any part of the key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text is too short.
    #[error("the key has fewer than {MIN_KEY_CHARS} characters; generate a longer random one")]
    Short,
    /// The file can't be read.
    #[error(
        "the key file {path} can't be read: {reason}; check the setting `keys` and the file's permissions"
    )]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: String,
    },
    /// There is no key, or there are more than two.
    #[error("{0} key files are named; name one, or two during a rotation")]
    Count(usize),
}

/// The keys in force. Messages are sent with the first and accepted with each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeyRing {
    keys: Vec<Key>,
}

impl KeyRing {
    /// A ring of one key, or two during a rotation.
    pub(crate) fn new(keys: Vec<Key>) -> Result<Self, KeyError> {
        match keys.len() {
            1 | 2 => Ok(Self { keys }),
            count => Err(KeyError::Count(count)),
        }
    }

    /// Reads the keys from files, the first one for sending.
    pub(crate) fn read(files: &[PathBuf]) -> Result<Self, KeyError> {
        let keys = files.iter().map(|path| read(path));
        Self::new(keys.collect::<Result<_, _>>()?)
    }

    /// The key for sending.
    pub(super) fn active(&self) -> &Key {
        // The constructor admits no empty ring.
        &self.keys[0]
    }

    /// All valid keys.
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
