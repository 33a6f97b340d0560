//! HTTP servers that end without cutting off a request.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::mpsc;

use rocket::fairing::AdHoc;
use rocket::{Build, Rocket};
use thiserror::Error;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use crate::model::Span;

/// Seconds for which the library keeps connections in use open after the start
/// of a shutdown. The caller's own limit ends a shutdown earlier.
const GRACE: u32 = 24 * 3_600;

/// Time that the system gets for closing what an ended server left.
const CLOSE: Span = Span::from_millis(200);

/// Failure to start a server.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The address can't be used.
    #[error("the address {address} for {name} can't be used: {reason}; check the settings")]
    Address {
        /// What it is for.
        name: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The threads can't be started.
    #[error("the threads for {0} can't be started: {1}")]
    Threads(&'static str, std::io::Error),
}

/// A running server with threads of its own.
#[derive(Debug)]
pub(crate) struct Server {
    name: &'static str,
    address: SocketAddr,
    shutdown: rocket::Shutdown,
    accepting: JoinHandle<()>,
    /// Disconnected when the last connection has ended.
    ended: mpsc::Receiver<Infallible>,
    runtime: Runtime,
}

/// Dropped with the server's state when the last connection has ended.
struct Probe {
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
        let (probe, ended) = mpsc::sync_channel(0);
        let (lifted, bound) = mpsc::sync_channel(1);
        let lifted_too = lifted.clone();
        let rocket = build(rocket::custom(rocket_config(address)))
            // No headers are added to forwarded answers.
            .attach(rocket::shield::Shield::new())
            .attach(AdHoc::on_liftoff("address", move |rocket| {
                let config = rocket.config();
                let bound = SocketAddr::new(config.address, config.port);
                let _ = lifted.send(Ok((bound, rocket.shutdown())));
                Box::pin(async {})
            }))
            .manage(Probe {
                _ended: std::sync::Mutex::new(probe),
            });
        let accepting = runtime.spawn(async move {
            if let Err(error) = rocket.launch().await {
                // Reading the text marks the error as handled.
                let _ = lifted_too.send(Err(error.to_string()));
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

    /// The address in use.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections and waits until every request in flight is
    /// answered in full, at most for `limit`. Returns whether all were.
    pub(crate) fn drain(self, limit: Span) -> bool {
        self.shutdown.clone().notify();
        // Ending the accepting task drops its share of the server's state; the
        // connections go on, because the library's grace period is long.
        self.accepting.abort();
        let all = matches!(
            self.ended.recv_timeout(limit.to_std()),
            Err(mpsc::RecvTimeoutError::Disconnected)
        );
        if !all {
            log::error!(server = self.name, limit:% = limit; "requests in flight were cut off at the end of the time for a stop");
        }
        self.runtime.shutdown_timeout(CLOSE.to_std());
        all
    }

    /// Ends at once and breaks all connections.
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
            grace: GRACE,
            mercy: 1,
            ..Default::default()
        },
        ..rocket::Config::release_default()
    }
}
