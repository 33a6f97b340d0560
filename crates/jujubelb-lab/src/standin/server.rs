//! Starts HTTP servers on the stand-ins' runtime.

use std::net::SocketAddr;

use eyre::{Context, Result};
use rocket::config::{LogLevel, Shutdown};
use rocket::data::{ByteUnit, Limits};
use rocket::{Build, Config, Rocket};

/// Largest accepted request body; holds the store's largest value as hexadecimal JSON text.
const BODY_LIMIT: ByteUnit = ByteUnit::Mebibyte(4);

/// Creates a server without routes for this address.
pub(super) fn build(address: SocketAddr) -> Rocket<Build> {
    let config = Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        limits: Limits::default()
            .limit("json", BODY_LIMIT)
            .limit("bytes", BODY_LIMIT),
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: 1,
            mercy: 1,
            ..Shutdown::default()
        },
        ..Config::release_default()
    };
    rocket::custom(config)
}

/// Starts a server and returns the handle that stops it.
pub(super) async fn launch(rocket: Rocket<Build>) -> Result<rocket::Shutdown> {
    let address = (rocket.figment().extract_inner::<String>("address")).unwrap_or_default();
    let rocket = rocket
        .ignite()
        .await
        .wrap_err("the stand-in server is misconfigured")?;
    let port = rocket.config().port;
    let stop = rocket.shutdown();
    let (failed, result) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            let _ = failed.send(error.to_string());
        }
    });
    // A bind error is reported at once; without one the server accepts connections within this time.
    let grace = std::time::Duration::from_millis(20);
    match tokio::time::timeout(grace, result).await {
        Ok(Ok(error)) => Err(eyre::eyre!(
            "can't listen on {address}:{port}: {error}; choose a free address"
        )),
        _ => Ok(stop),
    }
}
