//! Start-up shared by this crate's binaries.

use std::process::ExitCode;

/// Log filter used when `RUST_LOG` is not set. Below `error`, Rocket logs its configuration and routes
/// for each address it serves.
const DEFAULT_LOG_FILTER: &str = "warn,jujubelb=info,jujubelb_lab=info,rocket=error";

/// Initialises logging and runs `body`; prints its error and returns a failure code if it fails.
pub fn main(body: impl FnOnce() -> eyre::Result<()>) -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER))
        .init();
    match body() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
