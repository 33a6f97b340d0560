//! Small stand-ins for the outside systems, served over HTTP on loopback.

pub mod behaviour;
pub mod endpoint;
pub mod hosts;
pub mod ledger;
pub mod platform;
mod server;
pub mod store;
mod store_http;
pub mod worker;
mod worker_http;
