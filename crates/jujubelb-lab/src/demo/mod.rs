//! Demo: runs a complete deployment on loopback addresses under mixed load, injects faults and
//! reports latency, task counts and invariant violations.

mod deployment;
mod jobs;
mod monitor;
mod operator;
mod processes;
mod report;
mod run;

pub use deployment::Deployment;
pub use operator::Operator;
pub use report::{Format, Latency, Report};
pub use run::{Options, STEP_COUNT, run};

#[cfg(test)]
mod tests;
