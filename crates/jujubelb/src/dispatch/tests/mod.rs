//! Tests of the dispatcher against workers in simulated time.

mod simulation;

mod encoding;
mod gangs;
mod interference;
mod leader_changes;
mod leases;
mod queueing;
mod tickets;

pub(super) use simulation::{World, job, long_running, step};
