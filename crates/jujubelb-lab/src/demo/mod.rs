//! The demo: a whole deployment on loopback, a mixed load, faults and a report.

mod deployment;
mod operator;
mod report;

pub use deployment::Deployment;
pub use operator::Operator;
pub use report::{Format, Latency, Report};

#[cfg(test)]
mod tests;
