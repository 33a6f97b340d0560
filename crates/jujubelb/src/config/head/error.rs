//! Errors of applying and reading the configuration.

use thiserror::Error;

use super::AppliedChange;
use crate::config::declare::Problem;
use crate::config::diff::UnsafeChange;
use crate::model::{Code, Revision};
use crate::operator::api::{ErrorBody, ProblemView};
use crate::store::StoreError;

/// Error of reading the configuration from the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The call to the store failed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The head cannot be decoded.
    #[error(
        "the configuration head in the store is damaged: {0}; restore it from the last valid files"
    )]
    Damaged(String),
    /// A content that the head refers to is missing or does not match its hash.
    #[error(
        "the content {content} of {file} is missing or damaged in the store; restore this key from a copy of the file"
    )]
    Content {
        /// Name of the file.
        file: String,
        /// Hash in the key of the content.
        content: String,
    },
    /// The stored files have errors, for example because a newer version of the program
    /// accepted them.
    #[error(
        "the configuration in the store (revision {revision}) has errors ({first}); use a version of the program that supports these declarations"
    )]
    Invalid {
        /// Revision of the head.
        revision: Revision,
        /// The first error, with its position.
        first: String,
    },
}

/// Error of applying a change.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// One of the files was changed after the expected revision; nothing was applied.
    #[error("conflict with revision {} by {}, which changed {}", .0.revision, .0.author, .0.files.join(", "))]
    Conflict(Box<AppliedChange>),
    /// The identifier belongs to a change with another edit; nothing was applied.
    #[error("the change identifier {} was already used for another change, revision {}", .0.change, .0.revision)]
    ReusedId(Box<AppliedChange>),
    /// The resulting set of files has errors; nothing was applied.
    #[error("the files have {} errors", .0.len())]
    Invalid(Vec<Problem>),
    /// The change is unsafe; nothing was applied.
    #[error("{}", .0.iter().map(UnsafeChange::to_string).collect::<Vec<_>>().join("\n"))]
    Forbidden(Vec<UnsafeChange>),
    /// The request is invalid; nothing was applied.
    #[error("{0}")]
    Malformed(String),
    /// The domain or endpoint is not declared; nothing was applied.
    #[error("no {0} with this name is declared")]
    NotFound(String),
    /// The configuration cannot be read; nothing was applied.
    #[error("nothing was applied: {0}")]
    PollOutcome(#[from] ReadError),
    /// Every try conflicted with another change; nothing was applied.
    #[error("nothing was applied: {0} tries conflicted with other changes")]
    TooManyConflicts(usize),
    /// The reply of the store was lost and reading the head did not resolve the outcome.
    #[error("it is unknown whether the change took effect: {0}")]
    Unknown(ReadError),
}

impl ApplyError {
    /// The result code that is reported to the operator.
    pub fn code(&self) -> Code {
        match self {
            Self::Conflict(_) | Self::ReusedId(_) | Self::TooManyConflicts(_) => {
                Code::ConfigConflict
            }
            Self::Invalid(_) | Self::Forbidden(_) => Code::ConfigInvalid,
            Self::Malformed(_) => Code::Malformed,
            Self::NotFound(_) => Code::NotFound,
            Self::PollOutcome(ReadError::Store(_)) => Code::StoreUnavailable,
            // Nothing was written, so the code must not report an unknown outcome.
            Self::PollOutcome(_) => Code::ConfigInvalid,
            Self::Unknown(_) => Code::StoreUnknown,
        }
    }

    /// The response body of the operator interface for this error.
    pub fn body(&self) -> ErrorBody {
        let mut body = ErrorBody::new(self.code(), self.to_string());
        match self {
            Self::Conflict(other) | Self::ReusedId(other) => body.other = Some(other.view()),
            Self::Invalid(problems) => {
                body.problems = problems.iter().map(problem_view).collect();
            }
            Self::Forbidden(_) => body.advice = "split the change as the message says".into(),
            _ => {}
        }
        body
    }
}

fn problem_view(problem: &Problem) -> ProblemView {
    ProblemView {
        file: problem.file.clone(),
        line: problem.line,
        column: problem.column,
        message: problem.message.clone(),
        remedy: problem.remedy.clone(),
    }
}
