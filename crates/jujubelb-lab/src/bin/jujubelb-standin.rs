//! Stand-in for the platform on loopback.

use clap::Parser;
use jujubelb_lab::program;
use jujubelb_lab::standin::command::{Options, run};

fn main() -> std::process::ExitCode {
    program::main(|| run(&Options::parse()))
}
