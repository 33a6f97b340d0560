//! Errors in declaration files and their positions.

use derive_more::Display;
use serde::Serialize;

/// A position in one of the checked files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// Index of the file in the set.
    pub(super) file: usize,
    /// Line, counted from 1.
    pub(super) line: u64,
    /// Column, counted from 1.
    pub(super) column: u64,
}

/// An error in a declaration file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[display("{file}:{line}:{column}: {message}; {remedy}")]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line, counted from 1.
    pub line: u64,
    /// Column, counted from 1.
    pub column: u64,
    /// The cause.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

/// Collects the errors of all files.
#[derive(Debug)]
pub(super) struct Problems {
    files: Vec<String>,
    list: Vec<Problem>,
    /// Number of errors beyond `MAX_PROBLEMS`, which are not kept.
    dropped: usize,
}

/// Maximum number of errors reported by one check. One wrong pattern can cause an error
/// for each of thousands of workers.
const MAX_PROBLEMS: usize = 500;

impl Problems {
    pub(super) fn new(files: Vec<String>) -> Self {
        Self {
            files,
            list: Vec::new(),
            dropped: 0,
        }
    }

    pub(super) fn push(
        &mut self,
        at: Position,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        if self.is_full() {
            self.dropped += 1;
            return;
        }
        let problem = Problem {
            file: self.files[at.file].clone(),
            line: at.line,
            column: at.column,
            message: message.into(),
            remedy: remedy.into(),
        };
        // A wrong pattern causes the same error for each number that it expands to.
        if self.list.last() != Some(&problem) {
            self.list.push(problem);
        }
    }

    /// Whether further errors are only counted, because `MAX_PROBLEMS` are kept.
    pub(super) fn is_full(&self) -> bool {
        self.list.len() >= MAX_PROBLEMS
    }

    /// Formats a position as `file:line`, to refer to another declaration.
    pub(super) fn location(&self, at: Position) -> String {
        format!("{}:{}", self.files[at.file], at.line)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns all errors, sorted by file, line and column.
    pub(super) fn finish(mut self) -> Vec<Problem> {
        let order = |p: &Problem| self.files.iter().position(|f| *f == p.file);
        self.list
            .sort_by_cached_key(|p| (order(p), p.line, p.column));
        self.list.dedup();
        if self.dropped > 0
            && let Some(last) = self.list.last_mut()
        {
            last.remedy += &format!(" (and {} more errors)", self.dropped);
        }
        self.list
    }
}
