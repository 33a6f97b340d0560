//! Stand-ins for the external systems of a deployment, served over HTTP on loopback.

pub mod behaviour;
pub mod command;
mod control;
pub mod endpoint;
pub mod hosts;
pub mod ledger;
pub mod platform;
mod reality;
mod server;
pub mod store;
mod store_http;
mod summary;
pub mod worker;
mod worker_http;
