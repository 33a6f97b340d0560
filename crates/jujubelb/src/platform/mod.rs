//! Adapter of the users' platform: names, formats and calls. Decides nothing.
//!
//! Everything that arrives is decoded once into types of the product. What
//! can't be decoded is logged and left out; it never turns into a zero.

mod advice;
mod client;
mod jobs;
mod kv;
mod operator;
mod settings;
mod workers;

#[cfg(test)]
mod tests;

pub use advice::Advice;
pub use client::{CallError, Client};
pub use jobs::{decode_work, encode_pending, encode_state};
pub use kv::{Item, Kv, LeaseId, Read, Revision, Txn, TxnError, WatchError};
pub use operator::{
    CONFIG_KEY, EVACUATION_PREFIX, Operator, Queue, WORKER_PREFIX, decode_config, decode_worker,
};
pub use settings::{BOOT_VARIABLE, load as load_settings};
pub use workers::{Looked, Workers};
