//! HTTP interface of a stand-in worker.

use std::sync::{Arc, Mutex, PoisonError};

use jujubelb::worker::{SyncRequest, SyncResponse};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, post, routes};

use super::platform::{Clock, Network};
use super::worker::WorkerState;

/// State of the routes of one worker.
#[derive(Debug, Clone)]
pub(super) struct ServedWorker {
    pub(super) state: Arc<Mutex<WorkerState>>,
    pub(super) network: Arc<Network>,
    pub(super) clock: Clock,
}

#[post("/v1/sync", data = "<request>")]
fn sync(
    served: &State<ServedWorker>,
    request: Json<SyncRequest>,
) -> Result<Json<SyncResponse>, Status> {
    let mut worker = served.state.lock().unwrap_or_else(PoisonError::into_inner);
    if served.network.is_cut(&worker.facts().name) {
        return Err(Status::ServiceUnavailable);
    }
    Ok(Json(worker.sync(served.clock.now(), &request)))
}

/// Adds the worker's routes to a server.
pub(super) fn mount(rocket: Rocket<Build>, served: ServedWorker) -> Rocket<Build> {
    rocket.manage(served).mount("/", routes![sync])
}
