//! Stand-in endpoint: serves a limited number of requests at a time and records what it received.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use jujubelb::model::{EndpointName, Span, Time};
use rand::Rng;
use rocket::data::Data;
use rocket::http::{Header, Method, Status};
use rocket::request::Request;
use rocket::response::Response;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Build, Rocket};
use tokio::sync::Semaphore;

use super::platform::Clock;

/// Header that identifies a request of a test load; the response repeats it.
pub const TAG: &str = "Lab-Request";

/// Header by which an endpoint says that it is leaving.
pub const LEAVING: &str = "Jujubelb-Leaving";

/// Size of a response body in bytes; more than one packet, so that truncation is detected.
pub const BODY: usize = 4_096;

/// The body of the response to a request with this tag.
pub fn body(tag: &str) -> String {
    let mut text = format!("{tag};");
    while text.len() < BODY {
        text.push_str(tag);
        text.push('.');
    }
    text.truncate(BODY - 1);
    text.push('\n');
    text
}

/// When an endpoint received a request.
#[derive(Debug, Clone)]
pub struct Receipt {
    /// The endpoint that received the request.
    pub endpoint: EndpointName,
    /// Time of arrival, before the request waits for a slot.
    pub at: Time,
}

/// Requests received by all endpoints, by tag.
#[derive(Debug, Default)]
pub struct Receipts(Mutex<IndexMap<String, Vec<Receipt>>>);

impl Receipts {
    /// Records a received request.
    pub fn note(&self, tag: &str, receipt: Receipt) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.entry(tag.to_owned()).or_default().push(receipt);
    }

    /// All receipts of a request.
    pub fn of(&self, tag: &str) -> Vec<Receipt> {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.get(tag).cloned().unwrap_or_default()
    }

    /// All receipts at one endpoint after a time.
    pub fn after(&self, endpoint: &EndpointName, time: Time) -> usize {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let matches = |r: &&Receipt| r.endpoint == *endpoint && r.at > time;
        all.values().flatten().filter(matches).count()
    }

    /// Number of requests received, repeated ones counted each time.
    pub fn total(&self) -> usize {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.values().map(Vec::len).sum()
    }
}

/// Returns the interference on an endpoint's host, in thousandths of the service time.
pub type Noise = Arc<dyn Fn() -> u64 + Send + Sync>;

/// One endpoint and the state that it shares with the platform.
#[derive(Clone)]
pub struct Endpoint {
    /// The endpoint's name in the declarations.
    pub name: EndpointName,
    /// Mean service time without interference.
    pub service: Span,
    /// Requests served at a time.
    pub slots: Arc<Semaphore>,
    /// Whether it announces that it is leaving.
    pub leaving: Arc<AtomicBool>,
    /// Record of received requests, shared by all endpoints.
    pub receipts: Arc<Receipts>,
    /// Interference by the tasks on the host.
    pub noise: Noise,
    /// Clock of the receipts.
    pub clock: Clock,
}

impl Endpoint {
    fn sample_service_time(&self) -> Span {
        // An exponential distribution, truncated at eight times the mean, models the tail of a real service.
        let draw: f64 = rand::rng().random_range(0.000_335..1.0);
        let factor = -draw.ln();
        let slowed = self.service.as_micros() as f64 * (1_000 + (self.noise)()) as f64 / 1e3;
        Span::from_micros((slowed * (0.5 + 0.5 * factor)) as u64)
    }

    async fn serve(&self, tag: &str) -> Response<'static> {
        let receipt = Receipt {
            endpoint: self.name.clone(),
            at: self.clock.now(),
        };
        self.receipts.note(tag, receipt);
        let slot = self.slots.acquire().await;
        tokio::time::sleep(self.sample_service_time().to_std()).await;
        drop(slot);
        let text = body(tag);
        let mut response = Response::build();
        response
            .status(Status::Ok)
            .header(Header::new(TAG, tag.to_owned()))
            .sized_body(text.len(), std::io::Cursor::new(text));
        if self.leaving.load(Ordering::Relaxed) {
            response.header(Header::new(LEAVING, "true"));
        }
        response.finalize()
    }
}

#[rocket::async_trait]
impl Handler for Endpoint {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let tag = request
            .headers()
            .get_one(TAG)
            .unwrap_or("untagged")
            .to_owned();
        Outcome::Success(self.serve(&tag).await)
    }
}

/// Adds the endpoint's routes to a server.
pub(super) fn mount(rocket: Rocket<Build>, endpoint: &Endpoint) -> Rocket<Build> {
    let route = |method| Route::new(method, "/<path..>", endpoint.clone());
    let methods = [Method::Get, Method::Post, Method::Put, Method::Delete];
    rocket.mount("/", methods.map(route).to_vec())
}
