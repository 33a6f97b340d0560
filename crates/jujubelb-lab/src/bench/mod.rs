//! Benchmarks against baselines, one file for each. Each drives the decision
//! logic of the product against a minimal fake environment.

mod all;
pub mod control;
pub mod dispatch;
pub mod domain_move;
mod fleet;
pub mod interference;
pub mod owner;
pub mod placement;
mod report;
pub mod routing;

pub use all::All;
pub use report::{Cell, Column, Format, Report, Table, export};

/// A measurement that can be run from the command line.
pub trait Measurement {
    /// Runs the measurement. Apart from measured times, the report depends only on
    /// the options and the seed.
    fn run(&self) -> Report;
}
