//! Measurements against baselines, one file for each.

mod report;
pub mod routing;

pub use report::{Cell, Format, Report, Table};

/// A measurement that can be run from the command line.
pub trait Measurement {
    /// Runs it. The result depends on the options and the seed only.
    fn run(&self) -> Report;
}
