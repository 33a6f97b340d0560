//! Names and formats of the platform's published protocol; the rest of the emulator does
//! not know them.

pub(crate) mod entries;
pub(crate) mod jobs;
pub(crate) mod settings;
pub(crate) mod store_api;
pub(crate) mod worker_api;
