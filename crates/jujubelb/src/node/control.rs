//! Readiness for the load balancer; metrics and the state dump for operators.

use std::io::Cursor;
use std::sync::Arc;

use rocket::http::{ContentType, Method, Status};
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};

use super::logging;
use super::state::{LeaderSeen, Node, lock};

/// Path of the readiness check.
const READY: &str = "/readyz";

/// Path of the metrics.
const METRICS: &str = "/metrics";

/// Path of the state dump.
const STATE: &str = "/state";

/// Answers the load balancer.
#[derive(Clone)]
pub(crate) struct Readiness(pub(crate) Arc<Node>);

impl Readiness {
    pub(crate) fn routes(&self) -> Vec<Route> {
        vec![Route::new(Method::Get, READY, self.clone())]
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

/// Answers operators.
#[derive(Clone)]
pub(crate) struct Inspection(pub(crate) Arc<Node>);

impl Inspection {
    pub(crate) fn routes(&self) -> Vec<Route> {
        [METRICS, STATE]
            .map(|path| Route::new(Method::Get, path, self.clone()))
            .to_vec()
    }

    fn dump(&self) -> serde_json::Value {
        let node = &self.0;
        let leader = match node.leader() {
            LeaderSeen::Unknown => "unknown".to_owned(),
            LeaderSeen::Absent => "none".to_owned(),
            LeaderSeen::Present(leader) => leader.host.to_string(),
        };
        serde_json::json!({
            "host": node.settings.host,
            "leader": leader,
            "config_version": node.config().map(|c| c.operator.version),
            "store_lost": node.is_store_lost(),
            "draining": node.is_draining(),
            "requests_in_flight": node.inflight(),
            "log_lines_dropped": logging::dropped(),
            "dispatch": node.lead().map(|l| lock(&l.dispatcher).summary()),
        })
    }
}

#[rocket::async_trait]
impl Handler for Inspection {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let (kind, text) = if request.uri().path().as_str() == METRICS {
            match self.0.figures.registry.render() {
                Ok(text) => (ContentType::Plain, text),
                Err(error) => {
                    log::error!(error:% = error; "metrics can't be shown");
                    (ContentType::Plain, format!("# {error}\n"))
                }
            }
        } else {
            (ContentType::JSON, self.dump().to_string())
        };
        let mut response = Response::new();
        response.set_header(kind);
        response.set_sized_body(text.len(), Cursor::new(text));
        Outcome::Success(response)
    }
}
