//! Soak of real `jujubelb-node` processes against the [emulator](crate::emulator) of the
//! platform, with faults from outside them. It judges only from what clients, workers and
//! the operator have seen.

mod bursts;
mod check;
mod clients;
mod customers;
mod faults;
mod operator;
mod paused;
mod plan;
mod processes;
mod report;
mod run;
mod silence;

pub use report::Outcome;
pub use run::{Options, run};
