//! Fakes of the store, the workers, the processes and the network, and the oracle.

pub mod network;
pub mod ops;
pub mod oracle;
pub mod owners;
pub mod policy;
pub mod run;
pub mod store;
pub mod worker;
pub mod world;
