//! HTTP servers that finish the requests in flight when they stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::mpsc;

use rocket::fairing::AdHoc;
use rocket::{Build, Rocket};
use thiserror::Error;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use crate::model::Span;

/// Seconds for which Rocket keeps connections in use open after the start of a shutdown.
/// Long, because the limit of `Server::drain` ends a shutdown earlier.
const SHUTDOWN_GRACE_S: u32 = 24 * 3_600;

/// Time for tasks that are still running when the runtime of a stopped server shuts down.
const RUNTIME_SHUTDOWN_TIMEOUT: Span = Span::from_millis(200);

/// Failure to start a server.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The server can't listen on the address.
    #[error("the address {address} for {name} can't be used: {reason}; check the settings")]
    Address {
        /// Name of the server.
        name: &'static str,
        /// The address from the settings.
        address: SocketAddr,
        /// Reason given by the operating system or Rocket.
        reason: String,
    },
    /// The threads of the server with this name can't be started.
    #[error("the threads for {0} can't be started: {1}")]
    Threads(&'static str, std::io::Error),
}

/// A running HTTP server with its own threads.
#[derive(Debug)]
pub(crate) struct Server {
    name: &'static str,
    address: SocketAddr,
    shutdown: rocket::Shutdown,
    accepting: JoinHandle<()>,
    /// Disconnected when the last connection has closed.
    ended: mpsc::Receiver<Infallible>,
    runtime: Runtime,
}

/// Part of the server's state, which is dropped when the last connection has closed.
struct ShutdownGuard {
    _ended: std::sync::Mutex<mpsc::SyncSender<Infallible>>,
}

impl Server {
    /// Binds an address and serves the routes that `build` mounts.
    pub(crate) fn start(
        name: &'static str,
        address: SocketAddr,
        threads: usize,
        build: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
    ) -> Result<Self, ServeError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(name)
            .enable_all()
            .build()
            .map_err(|e| ServeError::Threads(name, e))?;
        let failed = |reason: String| ServeError::Address {
            name,
            address,
            reason,
        };
        let (ended_sender, ended) = mpsc::sync_channel(0);
        let (launched, bound) = mpsc::sync_channel(1);
        let launch_failed = launched.clone();
        let rocket = build(rocket::custom(rocket_config(address)))
            // Replaces the default, which would add headers to forwarded responses.
            .attach(rocket::shield::Shield::new())
            .attach(AdHoc::on_liftoff("address", move |rocket| {
                let config = rocket.config();
                let bound = SocketAddr::new(config.address, config.port);
                let _ = launched.send(Ok((bound, rocket.shutdown())));
                Box::pin(async {})
            }))
            .manage(ShutdownGuard {
                _ended: std::sync::Mutex::new(ended_sender),
            });
        let accepting = runtime.spawn(async move {
            if let Err(error) = rocket.launch().await {
                // Formatting the error marks it as handled; Rocket panics on drop otherwise.
                let _ = launch_failed.send(Err(error.to_string()));
            }
        });
        let started = bound.recv().map_err(|e| failed(e.to_string()))?;
        let (address, shutdown) = started.map_err(failed)?;
        Ok(Self {
            name,
            address,
            shutdown,
            accepting,
            ended,
            runtime,
        })
    }

    /// The address that the server listens on, with the actual port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for at most `limit` until all requests in
    /// flight are answered. Returns whether they were.
    pub(crate) fn drain(self, limit: Span) -> bool {
        self.shutdown.clone().notify();
        // Aborting the accepting task drops its reference to the server's state. The
        // connections continue, because the grace period is long.
        self.accepting.abort();
        let all = matches!(
            self.ended.recv_timeout(limit.to_std()),
            Err(mpsc::RecvTimeoutError::Disconnected)
        );
        if !all {
            log::error!(server = self.name, limit:% = limit; "the time for a planned stop is over, requests in flight are aborted");
        }
        self.runtime
            .shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT.to_std());
        all
    }

    /// Stops at once and closes all connections.
    pub(crate) fn abort(self) {
        self.runtime.shutdown_background();
    }
}

pub(crate) fn rocket_config(address: SocketAddr) -> rocket::Config {
    rocket::Config {
        address: address.ip(),
        port: address.port(),
        ip_header: None,
        cli_colors: false,
        log_level: rocket::config::LogLevel::Off,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: SHUTDOWN_GRACE_S,
            mercy: 1,
            ..Default::default()
        },
        ..rocket::Config::release_default()
    }
}
