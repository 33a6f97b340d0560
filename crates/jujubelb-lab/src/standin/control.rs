//! HTTP interface that injects faults while the stand-ins run.

use std::sync::Arc;

use jujubelb::model::{DomainName, EndpointName, Span, WorkerName};
use rocket::http::Status;
use rocket::serde::json::{Error, Json};
use rocket::{Build, Rocket, State, get, post, routes};
use serde::Deserialize;

use super::platform::Platform;
use super::store::Faults;
use super::summary::Summary;

/// Upper bound for the delay of a store call; the store's clients time out long before.
const MAX_DELAY_MS: u64 = 60_000;

/// Faults of the store; an absent field means no fault.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct StoreFaults {
    /// Every call is refused.
    down: bool,
    /// Each call takes this many milliseconds longer.
    delay_ms: u64,
    /// The response to each n-th write is lost; 0 means none.
    lose: u32,
}

/// Body of a request to `/v1/commands`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Command {
    /// The worker can't be reached, but goes on running.
    CutWorker(WorkerName),
    /// The worker can be reached again.
    ConnectWorker(WorkerName),
    /// The worker's host fails and restarts without tasks.
    RestartWorker(WorkerName),
    /// Each attempt on the worker fails from now on.
    BreakWorker(WorkerName),
    /// Attempts on the worker no longer fail.
    RepairWorker(WorkerName),
    /// The endpoint announces that it is leaving.
    EndpointLeaves(EndpointName),
    /// The endpoint no longer announces that it is leaving.
    EndpointReturns(EndpointName),
    /// An operator took a domain out of service; later starts there are violations.
    DomainOut(DomainName),
    /// An operator is about to return a domain to service.
    DomainIn(DomainName),
    /// Sets all faults of the store.
    Store(StoreFaults),
}

type CommandResult = Result<String, (Status, String)>;

fn unknown(what: &str, name: &str) -> (Status, String) {
    (Status::NotFound, format!("no {what} {name} is declared\n"))
}

/// Executes a command on the platform.
fn execute(platform: &Platform, command: &Command) -> CommandResult {
    use Command::*;
    match command {
        CutWorker(name) | ConnectWorker(name) | RestartWorker(name) | BreakWorker(name)
        | RepairWorker(name) => {
            if platform.worker(name).is_none() {
                return Err(unknown("worker", name.as_str()));
            }
            execute_on_worker(platform, command, name);
        }
        EndpointLeaves(name) | EndpointReturns(name) => {
            if !platform.has_endpoint(name) {
                return Err(unknown("endpoint", name.as_str()));
            }
            platform.set_leaving(name, matches!(command, EndpointLeaves(_)));
        }
        DomainOut(name) => {
            let now = platform.clock.now();
            platform.ledger().domain_out(name.clone(), now);
        }
        DomainIn(name) => platform.ledger().domain_in(name),
        Store(faults) => platform.store.set_faults(Faults {
            down: faults.down,
            delay: Span::from_millis(faults.delay_ms.min(MAX_DELAY_MS)),
            lose: faults.lose,
        }),
    }
    log::info!(command:? = command; "executed a control command");
    Ok("done\n".to_owned())
}

fn execute_on_worker(platform: &Platform, command: &Command, name: &WorkerName) {
    let broken = |broken| {
        if let Some(mut worker) = platform.worker(name) {
            worker.set_broken(broken);
        }
    };
    match command {
        Command::CutWorker(_) => platform.network.cut(name, true),
        Command::ConnectWorker(_) => platform.network.cut(name, false),
        Command::RestartWorker(_) => platform.restart_worker(name),
        Command::BreakWorker(_) => broken(true),
        Command::RepairWorker(_) => broken(false),
        _ => {}
    }
}

#[post("/v1/commands", data = "<command>")]
fn commands(
    platform: &State<Arc<Platform>>,
    command: Result<Json<Command>, Error<'_>>,
) -> CommandResult {
    match command {
        Ok(command) => execute(platform, &command),
        Err(Error::Parse(_, error)) => Err((
            Status::BadRequest,
            format!("the command is malformed: {error}\n"),
        )),
        Err(Error::Io(error)) => Err((Status::BadRequest, format!("{error}\n"))),
    }
}

#[get("/v1/summary")]
fn summary(platform: &State<Arc<Platform>>) -> Json<Summary> {
    Json(Summary::of(platform))
}

/// Adds the routes of the control interface to a server.
pub(super) fn mount(rocket: Rocket<Build>, platform: Arc<Platform>) -> Rocket<Build> {
    rocket
        .manage(platform)
        .mount("/", routes![commands, summary])
}

#[cfg(test)]
mod tests;
