//! `jujubectl`: the command-line client of the operators' HTTP interface.

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

/// Parses the arguments of this process and runs the command. An error is printed once, here.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let mut terminal = Terminal::stdio();
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
