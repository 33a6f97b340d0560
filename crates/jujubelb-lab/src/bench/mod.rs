//! Measurements. Each drives the deciding code against the one small fake that it needs.

pub mod placement;

mod fleet;
