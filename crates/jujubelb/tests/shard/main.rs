//! Tests of the journal and of the shard's owner against fakes.

mod failures;
mod fuzz;
mod journal;
mod life_cycle;
mod scenarios;
mod support;
