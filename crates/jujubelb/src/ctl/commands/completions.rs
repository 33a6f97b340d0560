//! `jujubectl completions`: writes a completion script for a shell.

use clap::CommandFactory;

use crate::ctl::CtlError;
use crate::ctl::cli::{Cli, Completions};
use crate::ctl::terminal::Terminal;

pub(super) fn run(args: &Completions, terminal: &mut Terminal) -> Result<(), CtlError> {
    let mut script = Vec::new();
    let mut command = Cli::command();
    clap_complete::generate(args.shell, &mut command, "jujubectl", &mut script);
    terminal.write(&String::from_utf8_lossy(&script))
}
