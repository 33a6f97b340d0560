//! Operators' HTTP interface.

pub mod api;
