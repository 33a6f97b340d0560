//! Entry point of `jujubectl`, the command-line client for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    jujubelb::ctl::main()
}
