//! Command line for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    jujubelb::ctl::main()
}
