//! Tests of the decoders.
