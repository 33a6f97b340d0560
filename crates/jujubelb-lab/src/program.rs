//! What the programs of this crate share.

use std::process::ExitCode;

/// Default of `RUST_LOG`. The HTTP server library lists its configuration and routes for each address.
const FILTER: &str = "warn,jujubelb=info,jujubelb_lab=info,rocket=error";

/// Runs a program: starts the log and prints an error once.
pub fn main(body: impl FnOnce() -> eyre::Result<()>) -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(FILTER)).init();
    match body() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
