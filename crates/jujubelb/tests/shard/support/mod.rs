//! Simulated store, workers, processes and network, and the oracle that checks the invariants.

pub mod network;
pub mod ops;
pub mod oracle;
pub mod owners;
pub mod policy;
pub mod run;
pub mod store;
pub mod worker;
pub mod world;
