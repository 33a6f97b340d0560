//! HTTP servers on the process's one thread.

use std::net::SocketAddr;

use rocket::Route;
use rocket::shield::Shield;
use tokio::task::JoinHandle;

use crate::http;

/// Connections may be idle for longer than any configured timeout; the callers
/// and the load balancer close them.
const KEEP_ALIVE_S: u32 = 120;

/// Serves routes on an address until the process ends.
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
            Ok(_) => Err(format!("the server for {name} on {address} has ended")),
            Err(error) => Err(format!(
                "the address {address} for {name} can't be used: {error}; check the settings"
            )),
        }
    })
}
