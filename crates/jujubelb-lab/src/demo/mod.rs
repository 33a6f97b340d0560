//! The demo: a whole deployment on loopback, a mixed load, faults and a report.

mod deployment;
mod nodes;
mod operator;
mod report;
mod run;
mod watch;
mod work;

pub use deployment::Deployment;
pub use operator::Operator;
pub use report::{Format, Latency, Report};
pub use run::{Options, STEPS, run};

#[cfg(test)]
mod tests;
