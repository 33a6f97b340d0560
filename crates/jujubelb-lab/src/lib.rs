//! Stand-ins for the platform, the demo and the measurements of jujubelb.
//!
//! The stand-ins keep the contracts of the store, the host list, workers and
//! endpoints, and note what really happened to them. They model no cluster.

pub mod bench;
pub mod capacity;
pub mod demo;
pub mod load;
pub mod program;
pub mod standin;
