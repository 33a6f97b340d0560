//! Operator tokens, read from files.

use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use thiserror::Error;

use crate::http::error_chain;
use crate::model::{Span, Time};

/// Shortest token. 16 random characters make guessing over a network hopeless.
const SHORTEST: usize = 16;

/// Largest token file in bytes.
const LARGEST: u64 = 4_096;

/// Interval at which the files are read again.
const REREAD: Span = Span::from_secs(2);

/// Failure to read a token. No message contains any part of a token.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The file can't be read.
    #[error(
        "the token file {path} can't be read: {reason}; check the setting `tokens` and the file's permissions"
    )]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: String,
    },
    /// The token is too short.
    #[error("the token in {0} has fewer than {SHORTEST} characters; generate a longer random one")]
    Short(PathBuf),
}

/// The valid tokens. Only their hashes are kept, so no dump can show them.
#[derive(Debug)]
pub(crate) struct Tokens {
    files: Vec<PathBuf>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    hashes: Vec<blake3::Hash>,
    read: Time,
}

impl Tokens {
    /// Reads the files.
    pub(crate) fn read(now: Time, files: Vec<PathBuf>) -> Result<Self, TokenError> {
        let hashes = read_all(&files)?;
        let state = Mutex::new(State { hashes, read: now });
        Ok(Self { files, state })
    }

    /// Whether a token is valid. The files are read again now and then, so that
    /// tokens can be rotated; while they can't be read, the former ones stay valid.
    pub(crate) fn is_valid(&self, now: Time, token: &str) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(state.read) >= REREAD {
            state.read = now;
            match read_all(&self.files) {
                Ok(hashes) => state.hashes = hashes,
                Err(error) => {
                    log::warn!(error:% = error; "the operator tokens could not be read again; the former ones stay")
                }
            }
        }
        let given = blake3::hash(token.as_bytes());
        // Each comparison takes the same time for each wrong hash, and all are made.
        let matches = |valid: usize, hash: &blake3::Hash| valid + usize::from(*hash == given);
        state.hashes.iter().fold(0, matches) > 0
    }
}

fn read_all(files: &[PathBuf]) -> Result<Vec<blake3::Hash>, TokenError> {
    files.iter().map(|path| read(path)).collect()
}

fn read(path: &Path) -> Result<blake3::Hash, TokenError> {
    let file = |reason: String| TokenError::File {
        path: path.to_owned(),
        reason,
    };
    let meta = std::fs::metadata(path).map_err(|e| file(error_chain(&e)))?;
    if meta.len() > LARGEST {
        return Err(file(format!("it is larger than {LARGEST} bytes")));
    }
    let text = std::fs::read_to_string(path).map_err(|e| file(error_chain(&e)))?;
    let token = text.trim();
    if token.len() < SHORTEST {
        return Err(TokenError::Short(path.to_owned()));
    }
    Ok(blake3::hash(token.as_bytes()))
}
