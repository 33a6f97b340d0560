//! Failures of `jujubectl` and their exit codes.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::model::MayHaveRun;
use crate::operator::api::ErrorBody;

/// Failure of a command. `docs/jujubectl.md` lists the exit codes.
#[derive(Debug, Error)]
pub enum CtlError {
    /// Declaration files have errors, which were printed.
    #[error("{0} errors in the files; nothing was applied")]
    Files(usize),
    /// `diff` found differences, which were printed.
    #[error("")]
    Differences,
    /// The command line or a setting is wrong.
    #[error("{0}")]
    Usage(String),
    /// A local file can't be read or written.
    #[error("{}: {error}; check the path and its permissions", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The failure.
        error: io::Error,
    },
    /// The process answered with an error.
    #[error("{}", refusal(.0))]
    Refused(Box<ErrorBody>),
    /// No connection; nothing was sent.
    #[error(
        "{server} can't be reached: {message}; nothing was changed; check the address and that the process runs"
    )]
    Unreachable {
        /// The server.
        server: String,
        /// The failure.
        message: String,
    },
    /// A change was sent and no whole answer came.
    #[error("no answer from {server}: {message}; {repeat}")]
    NoAnswer {
        /// The server.
        server: String,
        /// The failure.
        message: String,
        /// What to do.
        repeat: String,
    },
    /// The answer could not be understood.
    #[error(
        "the answer of {server} can't be read: {message}; use the same version of jujubectl and the server"
    )]
    Answer {
        /// The server.
        server: String,
        /// The failure.
        message: String,
    },
    /// The output could not be written.
    #[error("the output can't be written: {0}")]
    Output(#[from] io::Error),
}

fn refusal(body: &ErrorBody) -> String {
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
    /// The error for programs: the body of the operators' interface if there is
    /// one, and the message with the exit code in any case.
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
            // A reader that closed the pipe, like `head`, has seen what it wanted.
            Self::Output(e) if e.kind() == io::ErrorKind::BrokenPipe => 0,
            Self::Files(_) | Self::Differences => 1,
            Self::Usage(_) | Self::File { .. } => 2,
            Self::Refused(body) if body.may_have_run == MayHaveRun::Unknown => 4,
            Self::Refused(_) => 3,
            Self::NoAnswer { .. } => 4,
            Self::Unreachable { .. } => 5,
            Self::Answer { .. } | Self::Output(_) => 6,
        }
    }
}
