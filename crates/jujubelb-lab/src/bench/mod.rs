//! Measurements. Each drives the deciding code against the one small fake that it needs.

pub mod domain_move;
pub mod interference;
pub mod placement;

mod fleet;
