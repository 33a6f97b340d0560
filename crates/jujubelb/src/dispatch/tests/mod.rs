//! Tests of the dispatcher against workers in simulated time.

mod world;

mod advice;
mod gangs;
mod interference;
mod leaders;
mod leases;
mod queueing;
mod records;

pub(super) use world::{World, job, lasting, step};
