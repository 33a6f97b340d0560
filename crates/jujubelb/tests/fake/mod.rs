//! A small fake of the operators' interface: fixed configuration, scripted answers.

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
    lost: usize,
    refusal: Option<ErrorBody>,
    applied: Vec<ApplyRequest>,
    /// Answers of other calls by path, and the calls with query and body.
    answers: IndexMap<String, Value>,
    calls: Vec<String>,
}

type Shared = Arc<Mutex<Script>>;

/// Whether the call carries the right token.
struct Operator(bool);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let script = request.rocket().state::<Shared>().expect("managed");
        let expected = format!("Bearer {}", script.lock().expect("no panic").token);
        let sent = request.headers().get_one("Authorization");
        Outcome::Success(Self(sent == Some(&expected)))
    }
}

type Answer<T> = Result<Json<T>, (Status, Json<Box<ErrorBody>>)>;

fn error(body: ErrorBody) -> (Status, Json<Box<ErrorBody>>) {
    (Status::new(body.code.http_status()), Json(Box::new(body)))
}

fn admit(operator: &Operator) -> Result<(), (Status, Json<Box<ErrorBody>>)> {
    match operator.0 {
        true => Ok(()),
        false => Err(error(ErrorBody::new(Code::Unauthorized, "wrong token"))),
    }
}

/// A change as shown to operators.
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
fn config(operator: Operator) -> Answer<ConfigView> {
    admit(&operator)?;
    let text = include_str!("../../../../examples/minimal/minimal.yaml");
    Ok(Json(ConfigView {
        node: NodeName::from("entry-1/entry"),
        age: Some(Span::from_millis(420)),
        change: Some(change(7)),
        files: [("minimal.yaml".to_owned(), text.to_owned())].into(),
    }))
}

/// An answer that is not of this interface, as from a broken process or proxy.
#[derive(rocket::Responder)]
enum Broken {
    #[response(status = 502)]
    Lost(&'static str),
    Whole(Json<ApplyResponse>),
    Refused((Status, Json<Box<ErrorBody>>)),
}

#[post("/v1/apply", data = "<request>")]
fn apply(operator: Operator, request: Json<ApplyRequest>, shared: &State<Shared>) -> Broken {
    if let Err(refused) = admit(&operator) {
        return Broken::Refused(refused);
    }
    let mut script = shared.lock().expect("no panic");
    script.applied.push(request.into_inner());
    if let Some(body) = script.refusal.clone() {
        return Broken::Refused(error(body));
    }
    if script.lost > 0 {
        script.lost -= 1;
        return Broken::Lost("lost");
    }
    Broken::Whole(Json(ApplyResponse {
        change: change(8),
        unchanged: false,
        diff: vec!["+ team more".into()],
    }))
}

#[post("/v1/domains/<_>", data = "<_request>")]
fn domain(
    operator: Operator,
    _request: Json<DomainRequest>,
    shared: &State<Shared>,
) -> Answer<ApplyResponse> {
    admit(&operator)?;
    let script = shared.lock().expect("no panic");
    Err(error(script.refusal.clone().expect("scripted")))
}

fn other(operator: &Operator, shared: &Shared, call: &Origin<'_>, body: &str) -> Answer<Value> {
    admit(operator)?;
    let mut script = shared.lock().expect("no panic");
    script
        .calls
        .push(format!("{call} {body}").trim().to_owned());
    let answer = script.answers.get(call.path().as_str()).cloned();
    answer
        .map(Json)
        .ok_or_else(|| error(ErrorBody::new(Code::NotFound, "not scripted")))
}

#[get("/<_..>", rank = 9)]
fn read(operator: Operator, shared: &State<Shared>, call: &Origin<'_>) -> Answer<Value> {
    other(&operator, shared, call, "")
}

#[post("/<_..>", rank = 9, data = "<body>")]
fn write(
    operator: Operator,
    shared: &State<Shared>,
    call: &Origin<'_>,
    body: String,
) -> Answer<Value> {
    other(&operator, shared, call, &body)
}

/// A running fake.
pub struct Server {
    port: u16,
    shared: Shared,
    shutdown: rocket::Shutdown,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts it on a free port of the loopback address.
    pub fn start(token: &str) -> Self {
        let shared = Shared::default();
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

    /// Its address.
    pub fn url(&self) -> String {
        format!("http://127.0.0.1:{}", self.port)
    }

    /// Loses the answers of the next changes.
    pub fn lose_answers(&self, count: usize) {
        self.shared.lock().expect("no panic").lost = count;
    }

    /// Refuses changes from now on.
    pub fn refuse(&self, body: ErrorBody) {
        self.shared.lock().expect("no panic").refusal = Some(body);
    }

    /// Answers calls of a path from now on.
    pub fn answer(&self, path: &str, body: impl serde::Serialize) {
        let body = rocket::serde::json::to_value(body).expect("JSON");
        let mut script = self.shared.lock().expect("no panic");
        script.answers.insert(path.to_owned(), body);
    }

    /// Calls of answered paths so far, with query and body.
    pub fn calls(&self) -> Vec<String> {
        self.shared.lock().expect("no panic").calls.clone()
    }

    /// The changes received.
    pub fn applied(&self) -> Vec<ApplyRequest> {
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
