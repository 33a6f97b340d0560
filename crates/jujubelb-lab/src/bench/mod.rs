//! Measurements against baselines, one file for each. Each drives the deciding
//! code against the one small fake that it needs.

mod all;
pub mod control;
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
    /// Runs it. The result depends on the options and the seed only.
    fn run(&self) -> Report;
}
