//! Scheduler and request router for colocated latency-critical and batch work.
//!
//! Decision code takes the present time as an argument and does no I/O; the
//! adapters (`store::http`, `worker::http`, `peer::transport`) and the process
//! wiring (`entry`, `scheduler`) do the I/O. `docs/design.md` explains the
//! modules, the state each one owns and the handling of failures.

pub mod claim;
pub mod config;
pub mod ctl;
pub mod dispatch;
pub mod entry;
pub mod hosts;
mod http;
pub mod journal;
pub mod model;
pub mod node;
pub mod operator;
pub mod peer;
pub mod place;
pub mod platform;
pub mod process;
pub mod route;
pub mod scheduler;
pub mod settings;
pub mod shard;
pub mod store;
pub mod telemetry;
pub mod worker;
