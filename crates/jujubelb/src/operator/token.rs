//! Bearer tokens of operators, read from files.

use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use thiserror::Error;

use crate::http::error_chain;
use crate::model::{Span, Time};

/// Shortest token. 16 random characters can't be guessed over a network.
const MIN_TOKEN_CHARS: usize = 16;

/// Largest token file; guards against reading a wrong, large file into memory.
const MAX_TOKEN_FILE_BYTES: u64 = 4_096;

/// Interval at which the token files are read again, so that tokens can be rotated.
const REREAD_INTERVAL: Span = Span::from_secs(2);

/// Failure to read a token. No error text contains any part of a token.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The file can't be read.
    #[error(
        "the token file {path} can't be read: {reason}; check the setting `tokens` and the file's permissions"
    )]
    File {
        /// Path as in the settings.
        path: PathBuf,
        /// Cause: the chain of I/O errors, or the size limit.
        reason: String,
    },
    /// The token in this file has fewer characters than the minimum.
    #[error(
        "the token in {0} has fewer than {MIN_TOKEN_CHARS} characters; generate a longer random one"
    )]
    Short(PathBuf),
}

/// The valid tokens. Only their hashes are kept, so that no dump can contain a token.
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
    /// Reads one token from each file.
    pub(crate) fn read(now: Time, files: Vec<PathBuf>) -> Result<Self, TokenError> {
        let hashes = read_all(&files)?;
        let state = Mutex::new(State { hashes, read: now });
        Ok(Self { files, state })
    }

    /// Returns whether a token is valid. Rereads the files every [`REREAD_INTERVAL`]; while
    /// they can't be read, the current tokens stay valid.
    pub(crate) fn is_valid(&self, now: Time, token: &str) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(state.read) >= REREAD_INTERVAL {
            state.read = now;
            match read_all(&self.files) {
                Ok(hashes) => state.hashes = hashes,
                Err(error) => {
                    log::warn!(error:% = error; "could not reread the operator tokens; the current ones stay valid")
                }
            }
        }
        let given = blake3::hash(token.as_bytes());
        // Comparisons take constant time, and all hashes are compared, so that the duration
        // tells nothing about the valid tokens.
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
    if meta.len() > MAX_TOKEN_FILE_BYTES {
        return Err(file(format!(
            "it is larger than {MAX_TOKEN_FILE_BYTES} bytes"
        )));
    }
    let text = std::fs::read_to_string(path).map_err(|e| file(error_chain(&e)))?;
    let token = text.trim();
    if token.len() < MIN_TOKEN_CHARS {
        return Err(TokenError::Short(path.to_owned()));
    }
    Ok(blake3::hash(token.as_bytes()))
}
