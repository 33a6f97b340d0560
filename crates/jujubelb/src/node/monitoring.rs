//! Readiness checks for the load balancer; metrics and the state dump for operators.

use std::io::Cursor;
use std::sync::Arc;

use rocket::http::{ContentType, Method, Status};
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};

use super::logging;
use super::state::{KnownLeader, Node, lock};
use crate::model::Span;

/// Path of the readiness check.
const READINESS_PATH: &str = "/readyz";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the state dump.
const STATE_PATH: &str = "/state";

/// Tells the load balancer whether this host takes requests. It does while it has a
/// configuration and isn't draining.
#[derive(Clone)]
pub(crate) struct Readiness(pub(crate) Arc<Node>);

impl Readiness {
    pub(crate) fn routes(&self) -> Vec<Route> {
        vec![Route::new(Method::Get, READINESS_PATH, self.clone())]
    }
}

#[rocket::async_trait]
impl Handler for Readiness {
    async fn handle<'r>(&self, _: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let ready = self.0.config().is_some() && !self.0.is_draining();
        let mut response = Response::new();
        response.set_status(match ready {
            true => Status::Ok,
            false => Status::ServiceUnavailable,
        });
        Outcome::Success(response)
    }
}

/// Serves the metrics and the state dump.
#[derive(Clone)]
pub(crate) struct MonitoringApi(pub(crate) Arc<Node>);

impl MonitoringApi {
    pub(crate) fn routes(&self) -> Vec<Route> {
        [METRICS_PATH, STATE_PATH]
            .map(|path| Route::new(Method::Get, path, self.clone()))
            .to_vec()
    }

    fn state_dump(&self) -> serde_json::Value {
        let node = &self.0;
        let leader = match node.leader() {
            KnownLeader::Unknown => "unknown".to_owned(),
            KnownLeader::Absent => "none".to_owned(),
            KnownLeader::Present(leader, _) => leader.host.to_string(),
        };
        serde_json::json!({
            "host": node.settings.host,
            "leader": leader,
            "config_version": node.config().map(|c| c.operator.version),
            "config_revision": node.config().map(|c| c.revision.0),
            "config_age_s": node.config_age().map(Span::as_secs_f64),
            "store_lost": node.is_store_lost(),
            "draining": node.is_draining(),
            "requests_in_flight": node.inflight(),
            "log_lines_dropped": logging::dropped_lines(),
            "dispatch": node.active_term().map(|l| lock(&l.dispatcher).summary()),
        })
    }
}

#[rocket::async_trait]
impl Handler for MonitoringApi {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let (kind, text) = if request.uri().path().as_str() == METRICS_PATH {
            match self.0.metrics.registry.render() {
                Ok(text) => (ContentType::Plain, text),
                Err(error) => {
                    log::error!(error:% = error; "metrics can't be encoded");
                    (ContentType::Plain, format!("# {error}\n"))
                }
            }
        } else {
            (ContentType::JSON, self.state_dump().to_string())
        };
        let mut response = Response::new();
        response.set_header(kind);
        response.set_sized_body(text.len(), Cursor::new(text));
        Outcome::Success(response)
    }
}
