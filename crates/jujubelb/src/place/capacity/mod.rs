//! Limits on workers, and estimated sizes of task classes.

mod limits;
mod size;

pub(crate) use limits::{is_confirmed, overcommit};
pub(crate) use size::{PeakUse, SizeEstimator, SizeEstimatorState};

#[cfg(test)]
mod tests;
