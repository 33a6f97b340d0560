//! Load generator for entry processes on loopback.

use clap::Parser;
use jujubelb_lab::load::command::{Options, run};
use jujubelb_lab::program;

fn main() -> std::process::ExitCode {
    program::main(|| run(&Options::parse()))
}
