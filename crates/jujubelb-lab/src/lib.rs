//! Stand-ins, demo and measurements for jujubelb.
