//! `jujubectl`: the operators' command line.

mod cli;
mod client;
mod commands;
mod error;
pub mod explain;
mod export;
mod files;
mod options;
mod terminal;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

use clap::Parser;

pub use error::CtlError;

use cli::Cli;
use options::Options;
use terminal::Terminal;

/// Runs the command line of this process. An error is printed once.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let mut terminal = Terminal::of_process();
    let result = Options::new(&cli).and_then(|options| {
        commands::run(&cli.command, &options, &mut terminal)?;
        terminal.flush()
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            terminal.error(&error, cli.global.format);
            ExitCode::from(error.exit_code())
        }
    }
}
