//! A fake operator API server with a fixed configuration and scripted responses.

use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use indexmap::IndexMap;
use jujubelb::model::{Code, NodeName, Revision, Span, WallTime};
use jujubelb::operator::api::{
    ApplyRequest, ApplyResponse, ChangeView, ConfigView, DomainRequest, ErrorBody,
};
use rocket::fairing::AdHoc;
use rocket::http::Status;
use rocket::http::uri::Origin;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::{Json, Value};
use rocket::{State, get, post, routes};

#[derive(Default)]
struct Script {
    token: String,
    /// Number of further changes that get status 502 instead of a response.
    failing_applies: usize,
    /// Error returned for every change, if set.
    refusal: Option<ErrorBody>,
    applied: Vec<ApplyRequest>,
    /// Responses to the other calls, by path.
    responses: IndexMap<String, Value>,
    /// Other calls received, with query and body.
    calls: Vec<String>,
}

type SharedScript = Arc<Mutex<Script>>;

/// Whether the request carries the expected bearer token.
struct Operator(bool);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let script = request.rocket().state::<SharedScript>().expect("managed");
        let expected = format!("Bearer {}", script.lock().expect("no panic").token);
        let sent = request.headers().get_one("Authorization");
        Outcome::Success(Self(sent == Some(&expected)))
    }
}

type ApiResult<T> = Result<Json<T>, (Status, Json<Box<ErrorBody>>)>;

fn error_response(body: ErrorBody) -> (Status, Json<Box<ErrorBody>>) {
    (Status::new(body.code.http_status()), Json(Box::new(body)))
}

fn authorize(operator: &Operator) -> Result<(), (Status, Json<Box<ErrorBody>>)> {
    match operator.0 {
        true => Ok(()),
        false => Err(error_response(ErrorBody::new(
            Code::Unauthorized,
            "wrong token",
        ))),
    }
}

/// A change with the given revision and otherwise fixed fields.
pub fn change(revision: u64) -> ChangeView {
    ChangeView {
        revision: Revision(revision),
        change: "c-0".into(),
        author: "haruka".into(),
        at: WallTime::from_millis(1_796_378_400_000),
        files: vec!["minimal.yaml".into()],
    }
}

#[get("/v1/config")]
fn config(operator: Operator) -> ApiResult<ConfigView> {
    authorize(&operator)?;
    let text = include_str!("../../../../examples/minimal/minimal.yaml");
    Ok(Json(ConfigView {
        node: NodeName::from("entry-1/entry"),
        age: Some(Span::from_millis(420)),
        change: Some(change(7)),
        files: [("minimal.yaml".to_owned(), text.to_owned())].into(),
    }))
}

/// Response to an apply request; `BadGateway` is not one of the API, as from a broken proxy.
#[derive(rocket::Responder)]
enum ApplyOutcome {
    #[response(status = 502)]
    BadGateway(&'static str),
    Applied(Json<ApplyResponse>),
    Rejected((Status, Json<Box<ErrorBody>>)),
}

#[post("/v1/apply", data = "<request>")]
fn apply(
    operator: Operator,
    request: Json<ApplyRequest>,
    shared: &State<SharedScript>,
) -> ApplyOutcome {
    if let Err(refused) = authorize(&operator) {
        return ApplyOutcome::Rejected(refused);
    }
    let mut script = shared.lock().expect("no panic");
    script.applied.push(request.into_inner());
    if let Some(body) = script.refusal.clone() {
        return ApplyOutcome::Rejected(error_response(body));
    }
    if script.failing_applies > 0 {
        script.failing_applies -= 1;
        return ApplyOutcome::BadGateway("lost");
    }
    ApplyOutcome::Applied(Json(ApplyResponse {
        change: change(8),
        unchanged: false,
        diff: vec!["+ team more".into()],
    }))
}

#[post("/v1/domains/<_>", data = "<_request>")]
fn domain(
    operator: Operator,
    _request: Json<DomainRequest>,
    shared: &State<SharedScript>,
) -> ApiResult<ApplyResponse> {
    authorize(&operator)?;
    let script = shared.lock().expect("no panic");
    Err(error_response(script.refusal.clone().expect("scripted")))
}

fn scripted_response(
    operator: &Operator,
    shared: &SharedScript,
    call: &Origin<'_>,
    body: &str,
) -> ApiResult<Value> {
    authorize(operator)?;
    let mut script = shared.lock().expect("no panic");
    script
        .calls
        .push(format!("{call} {body}").trim().to_owned());
    let response = script.responses.get(call.path().as_str()).cloned();
    response
        .map(Json)
        .ok_or_else(|| error_response(ErrorBody::new(Code::NotFound, "not scripted")))
}

#[get("/<_..>", rank = 9)]
fn read(operator: Operator, shared: &State<SharedScript>, call: &Origin<'_>) -> ApiResult<Value> {
    scripted_response(&operator, shared, call, "")
}

#[post("/<_..>", rank = 9, data = "<body>")]
fn write(
    operator: Operator,
    shared: &State<SharedScript>,
    call: &Origin<'_>,
    body: String,
) -> ApiResult<Value> {
    scripted_response(&operator, shared, call, &body)
}

/// A running fake server, which stops when dropped.
pub struct Server {
    port: u16,
    shared: SharedScript,
    shutdown: rocket::Shutdown,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a server that accepts `token` on a free port of the loopback address.
    pub fn start(token: &str) -> Self {
        let shared = SharedScript::default();
        shared.lock().expect("no panic").token = token.to_owned();
        let (ready, started) = mpsc::channel();
        let managed = shared.clone();
        let thread = std::thread::spawn(move || {
            let figment = rocket::Config::figment()
                .merge(("port", 0))
                .merge(("address", "127.0.0.1"))
                .merge(("workers", 2))
                .merge(("log_level", "off"))
                .merge(("shutdown.ctrlc", false));
            let rocket = rocket::custom(figment)
                .manage(managed)
                .mount("/", routes![config, apply, domain, read, write])
                .attach(AdHoc::on_liftoff("ready", move |rocket| {
                    let message = (rocket.config().port, rocket.shutdown());
                    Box::pin(async move { ready.send(message).expect("awaited") })
                }));
            rocket::execute(rocket.launch()).map(drop).expect("served");
        });
        let (port, shutdown) = started.recv().expect("started");
        Self {
            port,
            shared,
            shutdown,
            thread: Some(thread),
        }
    }

    /// Base URL of the server.
    pub fn url(&self) -> String {
        format!("http://127.0.0.1:{}", self.port)
    }

    /// Records the next `count` changes, but responds to them with status 502.
    pub fn fail_applies(&self, count: usize) {
        self.shared.lock().expect("no panic").failing_applies = count;
    }

    /// Rejects all further changes with `body`.
    pub fn reject_changes(&self, body: ErrorBody) {
        self.shared.lock().expect("no panic").refusal = Some(body);
    }

    /// Responds to further calls of `path` with `body`.
    pub fn set_response(&self, path: &str, body: impl serde::Serialize) {
        let body = rocket::serde::json::to_value(body).expect("JSON");
        let mut script = self.shared.lock().expect("no panic");
        script.responses.insert(path.to_owned(), body);
    }

    /// Calls handled by scripted responses so far, with query and body.
    pub fn recorded_calls(&self) -> Vec<String> {
        self.shared.lock().expect("no panic").calls.clone()
    }

    /// Apply requests received so far, including those without a response.
    pub fn apply_requests(&self) -> Vec<ApplyRequest> {
        self.shared.lock().expect("no panic").applied.clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
