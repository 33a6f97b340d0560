//! Metrics, clocks, queues between threads and start of the log of one process instance.

mod clock;
mod metrics;
mod queue;
#[cfg(test)]
mod tests;

pub use clock::Clock;
pub use metrics::*;
pub(crate) use queue::{Inbox, Outlet, Queues, queue};

use log::LevelFilter;

/// Starts the log of a binary. `RUST_LOG` chooses levels; the HTTP server's own lines are left out by default.
pub fn start_log() {
    env_logger::Builder::new()
        .filter_level(LevelFilter::Info)
        .filter_module("rocket", LevelFilter::Off)
        .filter_module("hyper", LevelFilter::Off)
        .parse_default_env()
        .init();
}
