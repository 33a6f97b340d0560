//! Health and readiness routes for load balancers and supervisors, and error responses for
//! requests that no route handles.

use std::sync::Arc;

use rocket::http::Status;
use rocket::response::Response;
use rocket::{Catcher, Request, Route, State, routes};

use crate::http::response::{self, Failure};
use crate::model::{Code, Revision};
use crate::process::Process;

/// Routes that need no token.
pub(crate) fn health_routes() -> Vec<Route> {
    routes![health, ready]
}

/// Turns failures outside the routes into responses with a result code.
pub(crate) fn catchers() -> Vec<Catcher> {
    vec![Catcher::new(None, catch_failure)]
}

/// Succeeds while the process runs.
#[rocket::get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// Succeeds if the process takes new work: it has a configuration and isn't draining.
#[rocket::get("/ready")]
fn ready(process: &State<Arc<Process>>) -> (Status, &'static str) {
    if process.is_draining() {
        return (Status::ServiceUnavailable, "a planned stop has begun\n");
    }
    if process.active_config.revision() == Revision::default() {
        return (
            Status::ServiceUnavailable,
            "no configuration is known yet\n",
        );
    }
    (Status::Ok, "ready\n")
}

fn catch_failure<'r>(status: Status, request: &'r Request<'_>) -> rocket::catcher::BoxFuture<'r> {
    Box::pin(async move { Ok(failure_response(status, request)) })
}

fn failure_response(status: Status, request: &Request<'_>) -> Response<'static> {
    let (code, text) = match status.code {
        401 => (
            Code::Unauthorized,
            "the token is missing or wrong".to_owned(),
        ),
        404 | 405 => {
            let (method, path) = (request.method(), request.uri().path());
            (Code::NoRoute, format!("no route for {method} {path}"))
        }
        413 => (Code::TooLarge, "the body is too large".to_owned()),
        400 | 422 => (Code::Malformed, "the request is malformed".to_owned()),
        _ => (Code::Internal, "the request could not be served".to_owned()),
    };
    let state = request.rocket().state::<Arc<Process>>();
    let closing = state.is_some_and(|process| process.is_draining());
    response::failure(Failure::new(code, text), closing)
}
