//! Stand-ins for the platform, the demo and the benchmarks of jujubelb.
//!
//! The stand-ins keep the contracts of the store, the host list, workers and
//! endpoints, and record what actually happened to them. They do not simulate a cluster.

pub mod bench;
pub mod capacity;
pub mod demo;
mod emulator;
pub mod load;
pub mod program;
pub mod soak;
pub mod standin;
