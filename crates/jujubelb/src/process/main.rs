//! Command line and exit codes of the entry and scheduler binaries.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use crate::peer::Role;
use crate::settings::Settings;
use crate::telemetry::start_log;

/// Exit code of a planned stop that did not complete within `settings.stop`.
const INCOMPLETE_STOP: u8 = 2;

/// Command-line options of a process.
#[derive(Debug, Parser)]
#[command(
    version,
    about = "A process of jujubelb; it runs until SIGTERM or SIGINT"
)]
struct Options {
    /// Settings file (YAML).
    #[arg(long, env = "JUJUBELB_SETTINGS", value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

/// Reads the settings and runs `body`, which returns whether the planned stop was
/// complete. Errors are printed to the standard error.
pub fn run(role: Role, body: impl FnOnce(Settings) -> eyre::Result<bool>) -> ExitCode {
    let options = Options::parse();
    start_log();
    let settings = match Settings::read(&options.settings, role) {
        Ok(settings) => settings,
        Err(error) => return failed(&error.into()),
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    match body(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(INCOMPLETE_STOP),
        Err(error) => failed(&error),
    }
}

fn failed(error: &eyre::Report) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::FAILURE
}
