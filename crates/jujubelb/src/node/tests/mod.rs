//! Tests of the process against a store of this module.
