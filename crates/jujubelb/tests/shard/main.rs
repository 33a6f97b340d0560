//! Tests of the journal and of shard owners against fake stores, workers and networks.

mod failures;
mod fuzz;
mod journal;
mod life_cycle;
mod scenarios;
mod support;
