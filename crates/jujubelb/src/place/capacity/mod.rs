//! Room on workers, and the sizes learned per class of tasks.

mod limits;
mod size;

pub(crate) use limits::{is_confirmed, overcommit};
pub(crate) use size::{PeakUse, SizeEstimator, SizeEstimatorState};

#[cfg(test)]
mod tests;
