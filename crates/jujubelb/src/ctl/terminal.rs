//! Standard output and standard error, and what they can display.

use std::io::{self, IsTerminal, Write};
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

use super::CtlError;
use super::cli::Format;

/// Width in columns when the output is not a terminal.
const DEFAULT_WIDTH: u16 = 80;

/// Output of a command.
pub(super) struct Terminal {
    out: Box<dyn Write>,
    /// Whether standard output shows colours.
    pub(super) colour: bool,
    /// Whether standard output is a terminal.
    pub(super) interactive: bool,
    /// Whether standard error is a terminal.
    error_terminal: bool,
    /// Width of standard output in columns, at least 40.
    pub(super) width: u16,
}

impl Terminal {
    /// Uses standard output and error; colours are off without a terminal or with `NO_COLOR`.
    pub(super) fn stdio() -> Self {
        let interactive = io::stdout().is_terminal();
        let no_colour = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
        let columns = comfy_table::Table::new().width().filter(|_| interactive);
        Self {
            out: Box::new(io::BufWriter::new(io::stdout())),
            colour: interactive && !no_colour,
            interactive,
            error_terminal: io::stderr().is_terminal(),
            width: columns.unwrap_or(DEFAULT_WIDTH).max(40),
        }
    }

    /// Writes text without a line end.
    pub(super) fn write(&mut self, text: &str) -> Result<(), CtlError> {
        Ok(self.out.write_all(text.as_bytes())?)
    }

    /// Writes text and a line end.
    pub(super) fn line(&mut self, text: &str) -> Result<(), CtlError> {
        self.write(text)?;
        self.write("\n")
    }

    pub(super) fn flush(&mut self) -> Result<(), CtlError> {
        Ok(self.out.flush()?)
    }

    /// Flushes standard output, then prints the error on standard error.
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

    /// Prints a note on standard error, so that standard output holds valid JSON only.
    pub(super) fn note(&mut self, text: &str) {
        let _ = self.flush();
        let _ = writeln!(io::stderr(), "{text}");
    }

    /// Shows a spinner if standard error is a terminal.
    pub(super) fn progress(&self, text: &'static str) -> ProgressBar {
        if !self.error_terminal {
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
