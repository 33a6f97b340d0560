//! Serves callers' requests.

use std::sync::Arc;

use rocket::http::Method;
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};
use tokio::sync::{Notify, SemaphorePermit};

use super::EntryProcess;
use super::claims::Claim;
use super::desk::Turn;
use super::forward::{self, Parcel};
use super::headers::{self, Wishes};
use crate::http::body;
use crate::http::response::{self, EndpointResponse, Failure};
use crate::model::{Bytes, Code, ServiceName, Span, Time};
use crate::peer::ClaimKey;
use crate::route::{ClaimResult, Dispatch, Refusal, RequestInfo, Step, Ticket};

/// Path prefix of services.
const ROOT: &str = "/svc/";

/// Methods that are forwarded.
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Head,
    Method::Options,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Patch,
];

/// Memory for the bodies of all requests in flight, in units. A host has 256 MB
/// for both processes.
pub(super) const BODIES: usize = (64 << 20) / BODY_UNIT as usize;

/// Bytes in a unit of memory for bodies.
const BODY_UNIT: u64 = 4 << 10;

/// Handles requests on service routes.
#[derive(Clone)]
pub(super) struct Requests(pub(super) Arc<EntryProcess>);

impl Requests {
    /// The routes of all methods.
    pub(super) fn routes(&self) -> Vec<Route> {
        let route = |method| Route::new(method, "/svc/<service>/<path..>", self.clone());
        METHODS.map(route).to_vec()
    }
}

#[rocket::async_trait]
impl Handler for Requests {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.0.serve(request, data).await)
    }
}

impl EntryProcess {
    /// Serves one request of a caller.
    async fn serve(self: &Arc<Self>, request: &Request<'_>, data: Data<'_>) -> Response<'static> {
        let began = self.process.clock.now();
        let inflight = self.stats.arrived();
        let (service, target) = split(request);
        let result = self.route(&service, target, request, data).await;
        let code = result.as_ref().map_or_else(|f| f.code, |_| Code::Done);
        let known = self.process.board.config().services.contains_key(&service);
        let took = self.process.clock.now().since(began);
        self.stats.answered(known.then_some(&service), code, took);
        drop(inflight);
        let closing = self.process.is_draining();
        match result {
            Ok(whole) => response::forwarded(whole, closing),
            Err(failure) => response::failure(failure, closing),
        }
    }

    /// Room for a body until the request ends. A body of unknown length counts
    /// as the largest.
    fn room_for(
        &self,
        request: &Request<'_>,
        limit: Bytes,
    ) -> Result<SemaphorePermit<'_>, Failure> {
        let stated = request.headers().get_one("Content-Length");
        let stated = stated.and_then(|text| text.parse().ok());
        let bytes = match request.method() {
            Method::Get | Method::Head | Method::Options if stated.is_none() => 0,
            _ => stated.unwrap_or(limit.0).min(limit.0),
        };
        let units = u32::try_from(bytes / BODY_UNIT + 1).unwrap_or(u32::MAX);
        self.bodies.try_acquire_many(units).map_err(|_| {
            let text = "the bodies of the requests in flight use up the memory for them";
            Failure {
                retry: Some(Span::from_secs(1)),
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
        let config = self.process.board.config();
        let Some(service) = config.services.get(name) else {
            let text = format!("no service {name:?} is declared");
            return Err(Failure::new(Code::NoRoute, text));
        };
        let safe = matches!(
            request.method(),
            Method::Get | Method::Head | Method::Options
        );
        let wishes = headers::read(request.headers(), safe)
            .map_err(|text| Failure::new(Code::Malformed, text))?;
        let unclaimed = |failure: Failure| match failure.code {
            // "Not run" would also be a statement about earlier attempts with the key.
            code if wishes.needs_claim() && code != Code::TooLarge => Failure {
                code: Code::ClaimUnavailable,
                ..failure
            },
            _ => failure,
        };
        let _room = self.room_for(request, service.body).map_err(unclaimed)?;
        let limit = wishes.deadline.unwrap_or(service.deadline);
        let packing = pack(request, data, target, service.body);
        let parcel = tokio::time::timeout(limit.to_std(), packing)
            .await
            .unwrap_or_else(|_| {
                let text = "the body did not arrive before the deadline";
                Err(Failure::new(Code::Malformed, text))
            })
            .map_err(unclaimed)?;
        let info = info(name, &wishes, &parcel);
        let (ticket, notice) = self.desk.admit(info).map_err(refused)?;
        let mut journey = Journey {
            entry: self,
            key: wishes.key.map(|key| ClaimKey {
                service: name.clone(),
                key,
            }),
            service: name.clone(),
            parcel: Arc::new(parcel),
            ticket,
            claim: None,
        };
        journey.run(&notice).await
    }
}

/// The service's name, and path and query below it.
fn split(request: &Request<'_>) -> (ServiceName, String) {
    let uri = request.uri().to_string();
    let rest = uri.strip_prefix(ROOT).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, target) = rest.split_at(end);
    let target = match target.starts_with('/') {
        true => target.to_owned(),
        false => format!("/{target}"),
    };
    (ServiceName::from(name), target)
}

async fn pack(
    request: &Request<'_>,
    data: Data<'_>,
    target: String,
    limit: Bytes,
) -> Result<Parcel, Failure> {
    let body = body::read(data, limit).await?;
    let method = request.method().as_str().as_bytes();
    let method = reqwest::Method::from_bytes(method)
        .map_err(|error| Failure::new(Code::Malformed, error.to_string()))?;
    Ok(Parcel {
        method,
        target,
        headers: forward::passed_on(request),
        body,
        limit: usize::try_from(limit.0).unwrap_or(usize::MAX),
    })
}

fn info(service: &ServiceName, wishes: &Wishes, parcel: &Parcel) -> RequestInfo {
    RequestInfo {
        service: service.clone(),
        deadline: wishes.deadline,
        priority: wishes.priority,
        idempotent: wishes.idempotent,
        key: wishes.key.clone(),
        caller: wishes.caller.clone(),
        bytes: Bytes(parcel.body.len() as u64),
    }
}

fn refused(refusal: Refusal) -> Failure {
    Failure {
        retry: refusal.retry_after,
        ..Failure::from(refusal.code)
    }
}

/// One admitted request on its way to an answer.
struct Journey<'a> {
    entry: &'a Arc<EntryProcess>,
    service: ServiceName,
    key: Option<ClaimKey>,
    parcel: Arc<Parcel>,
    ticket: Ticket,
    claim: Option<Claim>,
}

impl Journey<'_> {
    async fn run(&mut self, notice: &Notify) -> Result<EndpointResponse, Failure> {
        loop {
            let step = match self.entry.desk.turn(self.ticket) {
                Turn::Answer(answer) => return Ok(answer),
                Turn::Step(step) => step,
            };
            match step {
                Step::Claim { until } => self.claim(until).await,
                Step::Send(dispatch) => self.send(dispatch),
                Step::GiveUp(refusal) => {
                    if refusal.release_claim
                        && let Some(claim) = &self.claim
                    {
                        self.entry.release(claim);
                    }
                    return Err(refused(refusal));
                }
                Step::Wait { until } => {
                    let left = until.since(self.entry.process.clock.now());
                    tokio::select! {
                        () = notice.notified() => {}
                        () = sleep(left) => {}
                    }
                }
            }
        }
    }

    async fn claim(&mut self, until: Time) {
        let result = match &self.key {
            Some(key) => {
                let (claim, result) = self.entry.claim(key.clone(), until).await;
                self.claim = Some(claim);
                result
            }
            // The router asks for a claim only if there is a key.
            None => ClaimResult::Unavailable,
        };
        let ticket = self.ticket;
        self.entry
            .desk
            .decide(|now, state| state.router.claim_finished(now, ticket, result));
    }

    /// Starts an attempt. Its task reports the end to the router in every case,
    /// also if the request was answered before.
    fn send(&self, dispatch: Dispatch) {
        let (entry, parcel) = (self.entry.clone(), self.parcel.clone());
        let service = self.service.clone();
        tokio::spawn(async move {
            let time = dispatch.deadline.since(entry.process.clock.now());
            let attempt = forward::attempt(&entry.client, dispatch.address, &parcel, time);
            let (end, answer) = attempt.await;
            entry.stats.attempted(&service, end);
            entry.desk.finish(dispatch.attempt, end, answer);
        });
    }
}

impl Drop for Journey<'_> {
    fn drop(&mut self) {
        let release = self.entry.desk.leave(self.ticket);
        if release && let Some(claim) = &self.claim {
            self.entry.release(claim);
        }
    }
}

/// Sleeps at least the clock's resolution, so that a time just passed does not spin.
async fn sleep(left: Span) {
    tokio::time::sleep(left.to_std().max(std::time::Duration::from_millis(1))).await;
}
