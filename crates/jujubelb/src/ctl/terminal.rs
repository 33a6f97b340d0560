//! Where output goes and what it can show.

use std::io::{self, IsTerminal, Write};
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

use super::CtlError;
use super::cli::Format;

/// Columns when the output is not a terminal.
const WIDTH: u16 = 80;

/// Output of a command.
pub(super) struct Terminal {
    out: Box<dyn Write>,
    /// Whether standard output shows colours.
    pub(super) colour: bool,
    /// Whether standard output is a terminal.
    pub(super) interactive: bool,
    /// Whether standard error is a terminal.
    errors: bool,
    /// Columns.
    pub(super) width: u16,
}

impl Terminal {
    /// Standard output and error of this process.
    pub(super) fn of_process() -> Self {
        let interactive = io::stdout().is_terminal();
        let plain = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
        let columns = comfy_table::Table::new().width().filter(|_| interactive);
        Self {
            out: Box::new(io::BufWriter::new(io::stdout())),
            colour: interactive && !plain,
            interactive,
            errors: io::stderr().is_terminal(),
            width: columns.unwrap_or(WIDTH).max(40),
        }
    }

    /// Writes text as it is.
    pub(super) fn write(&mut self, text: &str) -> Result<(), CtlError> {
        Ok(self.out.write_all(text.as_bytes())?)
    }

    /// Writes a line.
    pub(super) fn line(&mut self, text: &str) -> Result<(), CtlError> {
        self.write(text)?;
        self.write("\n")
    }

    pub(super) fn flush(&mut self) -> Result<(), CtlError> {
        Ok(self.out.flush()?)
    }

    /// Prints an error on standard error, after what was written so far.
    pub(super) fn error(&mut self, error: &CtlError, format: Format) {
        let _ = self.flush();
        let text = error.to_string();
        if text.is_empty() || error.exit_code() == 0 {
            return;
        }
        let _ = match format {
            Format::Table => writeln!(io::stderr(), "error: {text}"),
            Format::Json => writeln!(io::stderr(), "{}", error.json()),
        };
    }

    /// A note for people on standard error, which keeps JSON on standard output clean.
    pub(super) fn note(&mut self, text: &str) {
        let _ = self.flush();
        let _ = writeln!(io::stderr(), "{text}");
    }

    /// Shows that something takes time, on a terminal only.
    pub(super) fn progress(&self, text: &'static str) -> ProgressBar {
        if !self.errors {
            return ProgressBar::hidden();
        }
        let bar = ProgressBar::new_spinner().with_message(text);
        if let Ok(style) = ProgressStyle::with_template("{spinner} {msg} {elapsed}") {
            bar.set_style(style);
        }
        bar.enable_steady_tick(Duration::from_millis(100));
        bar
    }
}
