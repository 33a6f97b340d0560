//! Metrics, clocks, queues between threads and logging of one process instance.

mod clock;
mod metrics;
mod queue;
#[cfg(test)]
mod tests;

pub use clock::Clock;
pub use metrics::*;
pub(crate) use queue::{QueueReceiver, QueueSender, Queues, queue};

use log::LevelFilter;

/// Initialises logging to the standard error. `RUST_LOG` overrides the default level
/// `info`; messages of the HTTP libraries are off by default.
pub fn start_log() {
    env_logger::Builder::new()
        .filter_level(LevelFilter::Info)
        .filter_module("rocket", LevelFilter::Off)
        .filter_module("hyper", LevelFilter::Off)
        .parse_default_env()
        .init();
}
