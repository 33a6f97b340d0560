//! Errors of `jujubectl` and their exit codes.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::model::MayHaveRun;
use crate::operator::api::ErrorBody;

/// Error of a command. `docs/jujubectl.md` lists the exit codes.
#[derive(Debug, Error)]
pub enum CtlError {
    /// Declaration files have this many errors, which were printed.
    #[error("{0} errors in the files; nothing was applied")]
    Files(usize),
    /// `diff` found differences, which were printed; sets the exit code only.
    #[error("")]
    Differences,
    /// The command line or a setting is wrong.
    #[error("{0}")]
    Usage(String),
    /// A local file can't be read or written.
    #[error("{}: {error}; check the path and its permissions", path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The process answered with an error.
    #[error("{}", refusal_text(.0))]
    Refused(Box<ErrorBody>),
    /// No connection was made, so no change was sent; also a read without a response.
    #[error(
        "{server} can't be reached: {message}; nothing was changed; check the address and that the process runs"
    )]
    Unreachable {
        /// URL of the server.
        server: String,
        /// Cause of the failure.
        message: String,
    },
    /// A change was sent and no complete response came, so its effect is unknown.
    #[error("no answer from {server}: {message}; {remedy}")]
    NoResponse {
        /// URL of the server.
        server: String,
        /// Cause of the failure.
        message: String,
        /// What the operator can do to find out or repeat the change.
        remedy: String,
    },
    /// The response is neither the expected body nor an error body.
    #[error(
        "the answer of {server} can't be read: {message}; use the same version of jujubectl and the server"
    )]
    InvalidResponse {
        /// URL of the server.
        server: String,
        /// Cause of the failure.
        message: String,
    },
    /// The output could not be written.
    #[error("the output can't be written: {0}")]
    Output(#[from] io::Error),
}

fn refusal_text(body: &ErrorBody) -> String {
    let mut text = format!("{} ({})", body.message, body.number);
    if let Some(other) = &body.other {
        text += &format!(
            "; the other change is {} by {}, revision {}, files {}",
            other.change,
            other.author,
            other.revision,
            other.files.join(", ")
        );
    }
    for p in &body.problems {
        text += &format!(
            "\n{}:{}:{}: {}; {}",
            p.file, p.line, p.column, p.message, p.remedy
        );
    }
    text + &format!("\nmay have run: {}; {}", body.may_have_run, body.advice)
}

impl CtlError {
    /// The error as JSON: exit code, message, and the error body of the operators'
    /// interface, or null if there is none.
    pub fn json(&self) -> serde_json::Value {
        let body = match self {
            Self::Refused(body) => serde_json::to_value(body).unwrap_or_default(),
            _ => serde_json::Value::Null,
        };
        serde_json::json!({
            "exit": self.exit_code(),
            "message": self.to_string(),
            "body": body,
        })
    }

    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            // The reader, for example `head`, closed the pipe on purpose.
            Self::Output(e) if e.kind() == io::ErrorKind::BrokenPipe => 0,
            Self::Files(_) | Self::Differences => 1,
            Self::Usage(_) | Self::File { .. } => 2,
            Self::Refused(body) if body.may_have_run == MayHaveRun::Unknown => 4,
            Self::Refused(_) => 3,
            Self::NoResponse { .. } => 4,
            Self::Unreachable { .. } => 5,
            Self::InvalidResponse { .. } | Self::Output(_) => 6,
        }
    }
}
