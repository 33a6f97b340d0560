//! Stand-ins, demo and measurements for jujubelb.

pub mod bench;
