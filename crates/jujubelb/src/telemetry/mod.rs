//! Metrics, clocks and log fields of one process instance.

mod clock;

pub use clock::Clock;
