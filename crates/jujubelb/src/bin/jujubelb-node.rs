//! Node process of an entry host: accepts jobs from callers and, when elected, dispatches them.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use jujubelb::node::{self, NodeOptions};
use jujubelb::platform::SETTINGS_PATH_VARIABLE;

/// Takes callers' jobs on one entry host and leads their dispatch when chosen.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    /// The settings file that the platform writes.
    #[arg(long, value_name = "FILE", env = SETTINGS_PATH_VARIABLE)]
    settings: PathBuf,
    /// Port for metrics (/metrics) and the state dump (/state) on the host's address.
    #[arg(long, value_name = "PORT")]
    metrics_port: Option<u16>,
    /// Checks the settings and ends.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(error) = node::start_log() {
        eprintln!("can't start logging: {error}");
        return ExitCode::FAILURE;
    }
    let options = NodeOptions {
        settings_path: cli.settings,
        metrics_port: cli.metrics_port,
        check_only: cli.check,
    };
    match node::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
