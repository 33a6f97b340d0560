//! Serves callers' requests by forwarding them to endpoints.

use std::sync::Arc;

use rocket::http::Method;
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};
use tokio::sync::{Notify, SemaphorePermit};

use super::EntryProcess;
use super::claims::KeyClaim;
use super::forward::{self, OutgoingRequest};
use super::headers::{self, RequestOptions};
use super::shared_router::NextAction;
use crate::http::body;
use crate::http::response::{self, EndpointResponse, Failure};
use crate::model::{Bytes, Code, ServiceName, Span, Time};
use crate::peer::ClaimKey;
use crate::route::{ClaimResult, Dispatch, Refusal, RequestInfo, Step, Ticket};

/// Path prefix of the services' URLs.
const SERVICE_PREFIX: &str = "/svc/";

/// HTTP methods that are forwarded.
const FORWARDED_METHODS: [Method; 7] = [
    Method::Get,
    Method::Head,
    Method::Options,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Patch,
];

/// Memory for the bodies of all requests in flight, in units of [`BODY_UNIT_BYTES`]. A
/// host has 256 MB for both of its processes.
pub(super) const BODY_MEMORY_UNITS: usize = (64 << 20) / BODY_UNIT_BYTES as usize;

/// Unit in which memory for bodies is reserved, in bytes.
const BODY_UNIT_BYTES: u64 = 4 << 10;

/// Handler of the routes of services.
#[derive(Clone)]
pub(super) struct ServiceHandler(pub(super) Arc<EntryProcess>);

impl ServiceHandler {
    /// One route for each forwarded method.
    pub(super) fn routes(&self) -> Vec<Route> {
        let route = |method| Route::new(method, "/svc/<service>/<path..>", self.clone());
        FORWARDED_METHODS.map(route).to_vec()
    }
}

#[rocket::async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.0.serve(request, data).await)
    }
}

impl EntryProcess {
    /// Serves one request and records it in the statistics.
    async fn serve(self: &Arc<Self>, request: &Request<'_>, data: Data<'_>) -> Response<'static> {
        let started = self.process.clock.now();
        let inflight = self.stats.arrived();
        let (service, target) = split_target(request);
        let result = self.route(&service, target, request, data).await;
        let code = result.as_ref().map_or_else(|f| f.code, |_| Code::Done);
        let declared = self
            .process
            .active_config
            .config()
            .services
            .contains_key(&service);
        let duration = self.process.clock.now().since(started);
        self.stats
            .answered(declared.then_some(&service), code, duration);
        drop(inflight);
        let closing = self.process.is_draining();
        match result {
            Ok(response) => response::forwarded(response, closing),
            Err(failure) => response::failure(failure, closing),
        }
    }

    /// Reserves memory for a body until the permit is dropped. A body of unknown length
    /// counts as `limit` bytes.
    fn reserve_body_memory(
        &self,
        request: &Request<'_>,
        limit: Bytes,
    ) -> Result<SemaphorePermit<'_>, Failure> {
        let stated_length = request.headers().get_one("Content-Length");
        let stated_length = stated_length.and_then(|text| text.parse().ok());
        let bytes = match request.method() {
            Method::Get | Method::Head | Method::Options if stated_length.is_none() => 0,
            _ => stated_length.unwrap_or(limit.0).min(limit.0),
        };
        let units = u32::try_from(bytes / BODY_UNIT_BYTES + 1).unwrap_or(u32::MAX);
        self.body_memory.try_acquire_many(units).map_err(|_| {
            let text = "the memory for the bodies of requests in flight is used up";
            Failure {
                retry_after: Some(Span::from_secs(1)),
                ..Failure::new(Code::QueueFull, text)
            }
        })
    }

    async fn route(
        self: &Arc<Self>,
        name: &ServiceName,
        target: String,
        request: &Request<'_>,
        data: Data<'_>,
    ) -> Result<EndpointResponse, Failure> {
        let config = self.process.active_config.config();
        let Some(service) = config.services.get(name) else {
            let text = format!("the service {name:?} is not declared");
            return Err(Failure::new(Code::NoRoute, text));
        };
        let safe = matches!(
            request.method(),
            Method::Get | Method::Head | Method::Options
        );
        let options = headers::parse(request.headers(), safe)
            .map_err(|text| Failure::new(Code::Malformed, text))?;
        let unclaimed = |failure: Failure| match failure.code {
            // A code that says "not run" would also cover earlier requests with the same
            // key, which may have run.
            code if options.needs_claim() && code != Code::TooLarge => Failure {
                code: Code::ClaimUnavailable,
                ..failure
            },
            _ => failure,
        };
        let _body_memory = self
            .reserve_body_memory(request, service.body)
            .map_err(unclaimed)?;
        let limit = options.deadline.unwrap_or(service.deadline);
        let building = build_request(request, data, target, service.body);
        let outgoing = tokio::time::timeout(limit.to_std(), building)
            .await
            .unwrap_or_else(|_| {
                let text = "the body was not received before the deadline";
                Err(Failure::new(Code::Malformed, text))
            })
            .map_err(unclaimed)?;
        let info = request_info(name, &options, &outgoing);
        let (ticket, notify) = self.shared_router.admit(info).map_err(refusal_failure)?;
        let mut active = ActiveRequest {
            entry: self,
            key: options.key.map(|key| ClaimKey {
                service: name.clone(),
                key,
            }),
            service: name.clone(),
            outgoing: Arc::new(outgoing),
            ticket,
            claim: None,
        };
        active.run(&notify).await
    }
}

/// Splits the request's URL into the service's name and the remaining path and query.
fn split_target(request: &Request<'_>) -> (ServiceName, String) {
    let uri = request.uri().to_string();
    let rest = uri.strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let outcome = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, target) = rest.split_at(outcome);
    let target = match target.starts_with('/') {
        true => target.to_owned(),
        false => format!("/{target}"),
    };
    (ServiceName::from(name), target)
}

async fn build_request(
    request: &Request<'_>,
    data: Data<'_>,
    target: String,
    limit: Bytes,
) -> Result<OutgoingRequest, Failure> {
    let body = body::read(data, limit).await?;
    let method = request.method().as_str().as_bytes();
    let method = reqwest::Method::from_bytes(method)
        .map_err(|error| Failure::new(Code::Malformed, error.to_string()))?;
    Ok(OutgoingRequest {
        method,
        target,
        headers: forward::end_to_end_headers(request),
        body,
        response_limit: usize::try_from(limit.0).unwrap_or(usize::MAX),
    })
}

fn request_info(
    service: &ServiceName,
    options: &RequestOptions,
    outgoing: &OutgoingRequest,
) -> RequestInfo {
    RequestInfo {
        service: service.clone(),
        deadline: options.deadline,
        priority: options.priority,
        idempotent: options.idempotent,
        key: options.key.clone(),
        caller: options.caller.clone(),
        bytes: Bytes(outgoing.body.len() as u64),
    }
}

fn refusal_failure(refusal: Refusal) -> Failure {
    Failure {
        retry_after: refusal.retry_after,
        ..Failure::from(refusal.code)
    }
}

/// An admitted request. Dropping it, also when the caller disconnects, ends the request
/// in the router.
struct ActiveRequest<'a> {
    entry: &'a Arc<EntryProcess>,
    service: ServiceName,
    key: Option<ClaimKey>,
    outgoing: Arc<OutgoingRequest>,
    ticket: Ticket,
    claim: Option<KeyClaim>,
}

impl ActiveRequest<'_> {
    async fn run(&mut self, notify: &Notify) -> Result<EndpointResponse, Failure> {
        loop {
            let step = match self.entry.shared_router.next_action(self.ticket) {
                NextAction::Respond(response) => return Ok(response),
                NextAction::Step(step) => step,
            };
            match step {
                Step::Claim { until } => self.claim(until).await,
                Step::Send(dispatch) => self.send(dispatch),
                Step::GiveUp(refusal) => {
                    if refusal.release_claim
                        && let Some(claim) = &self.claim
                    {
                        self.entry.release_claim(claim);
                    }
                    return Err(refusal_failure(refusal));
                }
                Step::Wait { until } => {
                    let remaining = until.since(self.entry.process.clock.now());
                    tokio::select! {
                        () = notify.notified() => {}
                        () = sleep(remaining) => {}
                    }
                }
            }
        }
    }

    async fn claim(&mut self, until: Time) {
        let result = match &self.key {
            Some(key) => {
                let (claim, result) = self.entry.claim_key(key.clone(), until).await;
                self.claim = Some(claim);
                result
            }
            // Unreachable: the router requires a claim only if there is a key.
            None => ClaimResult::Unavailable,
        };
        let ticket = self.ticket;
        self.entry
            .shared_router
            .with_state(|now, state| state.router.claim_finished(now, ticket, result));
    }

    /// Starts an attempt. Its task reports the outcome to the router in every case, also
    /// if the request ended before.
    fn send(&self, dispatch: Dispatch) {
        let (entry, outgoing) = (self.entry.clone(), self.outgoing.clone());
        let service = self.service.clone();
        tokio::spawn(async move {
            let remaining = dispatch.deadline.since(entry.process.clock.now());
            let attempt =
                forward::send_attempt(&entry.client, dispatch.address, &outgoing, remaining);
            let (outcome, response) = attempt.await;
            entry.stats.attempted(&service, outcome);
            entry
                .shared_router
                .finish_attempt(dispatch.attempt, outcome, response);
        });
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        let release = self.entry.shared_router.end_request(self.ticket);
        if release && let Some(claim) = &self.claim {
            self.entry.release_claim(claim);
        }
    }
}

/// Sleeps for at least 1 ms, so that a time in the past does not cause a busy loop.
async fn sleep(remaining: Span) {
    tokio::time::sleep(remaining.to_std().max(std::time::Duration::from_millis(1))).await;
}
