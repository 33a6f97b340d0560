//! Adapter of the users' platform: its field names, formats and calls. It contains no
//! decision logic.
//!
//! The `Wire...` types have the platform's field names. Input is decoded once into the
//! types of the product. Values that can't be decoded are logged and ignored; they
//! never become zeros.

mod client;
mod connections;
mod customers;
mod jobs;
mod kv;
mod numbers;
mod policy_service;
mod settings;
mod store_entries;
mod worker_connections;
mod workers;

#[cfg(test)]
mod tests;

pub use client::{CallError, HttpClient};
pub(crate) use connections::ConnectionCounts;
pub use customers::{CustomerKeys, KEY_HEADER, KEY_SCHEME, KeyDigest, decode_key};
pub use jobs::{decode_submission, encode_job_status, encode_pending_count};
pub use kv::{KeyState, KvClient, LeaseId, ReadResult, Revision, Txn, TxnError, WatchError};
pub use policy_service::PolicyClient;
pub use settings::{SETTINGS_PATH_VARIABLE, load as load_settings};
pub use store_entries::{
    CONFIG_KEY, EVACUATION_PREFIX, OPERATOR_PREFIX, OperatorConfig, QueueConfig, WORKER_PREFIX,
    decode_config, decode_worker,
};
#[cfg(test)]
pub(crate) use worker_connections::PLACES;
pub(crate) use worker_connections::{ORDER_PLACES, WorkerConnections};
pub(crate) use workers::WorkerClient;
pub use workers::{ORDER_TIMEOUT, POLL_TIMEOUT_MARGIN, PollResult, STOP_TIMEOUT};
