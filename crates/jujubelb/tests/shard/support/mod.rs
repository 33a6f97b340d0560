//! Fakes of the store, the workers, the processes and the network, and the oracle.

pub mod network;
pub mod ops;
pub mod oracle;
pub mod policy;
pub mod store;
pub mod worker;
pub mod world;
