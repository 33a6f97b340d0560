//! HTTP servers, run on the single thread of the process.

use std::net::SocketAddr;

use rocket::Route;
use rocket::shield::Shield;
use tokio::task::JoinHandle;

use crate::http;

/// Longer than any configured idle timeout of the callers and the load balancer,
/// so that they close connections and the server doesn't.
const KEEP_ALIVE_S: u32 = 120;

/// Serves routes on an address until the process ends. The task returns only when
/// the server fails or ends unexpectedly.
pub(crate) fn serve(
    name: &'static str,
    address: SocketAddr,
    routes: Vec<Route>,
) -> JoinHandle<Result<(), String>> {
    let config = rocket::Config {
        keep_alive: KEEP_ALIVE_S,
        ..http::rocket_config(address)
    };
    let rocket = rocket::custom(config)
        .attach(Shield::new())
        .mount("/", routes);
    tokio::spawn(async move {
        match rocket.launch().await {
            Ok(_) => Err(format!(
                "the HTTP server for {name} on {address} ended unexpectedly"
            )),
            Err(error) => Err(format!(
                "the HTTP server for {name} can't listen on {address}: {error}; check the settings"
            )),
        }
    })
}
