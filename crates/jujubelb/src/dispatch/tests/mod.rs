//! Tests of the dispatcher without a network.
