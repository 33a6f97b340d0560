use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};

use jujubelb::entry::EntryHandle;
use jujubelb::model::Span;
use jujubelb::operator::api::{DumpView, ErrorBody};
use reqwest::StatusCode;
use reqwest::blocking::{RequestBuilder, Response};
use serde_json::json;

use super::deployment::{Deployment, TOKEN, code};

/// Sends an invalid request; returns the HTTP status and the result code.
fn error_codes(request: RequestBuilder) -> (u16, u16) {
    let response = request.send().unwrap();
    let (status, code) = (response.status().as_u16(), code(&response));
    let body: ErrorBody = response.json().unwrap();
    assert_eq!(body.number, code);
    assert!(!body.message.is_empty() && !body.advice.is_empty());
    (status, code)
}

fn job(name: &str, tasks: u32) -> serde_json::Value {
    json!({
        "name": name,
        "team": "everyone",
        "tasks": tasks,
        "task": {
            "kind": "batch",
            "class": "small",
            "priority": "batch",
            "size": {"cpu": 100, "memory": 1 << 20, "accelerators": 0},
            "duration": 600_000_000,
            "domains": [],
            "reclaimable": false,
        },
    })
}

fn submit(deployment: &Deployment, entry: &EntryHandle, body: &serde_json::Value) -> Response {
    let url = format!("http://{}/v1/jobs", entry.callers());
    deployment.http.post(url).json(body).send().unwrap()
}

/// Guards against invalid requests that are executed, change state or get a response
/// without a numbered code.
#[test]
fn bad_requests_get_numbered_codes_and_do_not_run() {
    let deployment = Deployment::new(1, Span::from_millis(1));
    let entry = deployment.entry(0);
    let root = format!("http://{}", entry.callers());
    let ready = deployment.http.get(format!("{root}/ready")).send().unwrap();
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
    deployment.apply(&entry);
    let http = &deployment.http;
    let hello = format!("{root}/svc/hello/x");
    assert_eq!(error_codes(http.get(format!("{root}/nothing"))), (404, 200));
    assert_eq!(
        error_codes(http.get(format!("{root}/svc/other/x"))),
        (404, 200)
    );
    let header = |name: &str, value: &str| error_codes(http.post(&hello).header(name, value));
    assert_eq!(header("Jujubelb-Deadline-Ms", "soon"), (400, 201));
    assert_eq!(header("Jujubelb-Priority", "high"), (400, 201));
    assert_eq!(header("Jujubelb-Idempotent", "maybe"), (400, 201));
    let large = http.post(&hello).body(vec![0; 8 << 20]);
    assert_eq!(error_codes(large), (413, 202));
    // A holder of request keys abstains until one key lifetime after its start.
    let keyed = http.post(&hello).header("Idempotency-Key", "k");
    assert_eq!(error_codes(keyed), (503, 304));
    let jobs = format!("{root}/v1/jobs");
    assert_eq!(error_codes(http.post(&jobs).body("{")), (400, 201));
    assert_eq!(
        error_codes(http.post(&jobs).json(&job("no/name", 1))),
        (400, 201)
    );
    assert_eq!(
        error_codes(http.post(&jobs).json(&job("none", 0))),
        (400, 201)
    );
    let mut unknown_team = job("strange", 1);
    unknown_team["team"] = json!("strangers");
    assert_eq!(
        error_codes(http.post(&jobs).json(&unknown_team)),
        (422, 403)
    );
    let mut huge = job("huge", 1);
    huge["task"]["size"]["cpu"] = json!(9_000);
    assert_eq!(error_codes(http.post(&jobs).json(&huge)), (422, 402));
    assert_eq!(
        error_codes(http.post(&jobs).json(&job("tidy-up", 1))),
        (409, 401)
    );
    let absent = http.delete(format!("{jobs}/absent"));
    assert_eq!(error_codes(absent), (404, 404));
    assert_eq!(deployment.platform.receipts.total(), 0);
    assert!(entry.stop());
}

/// Guards against a repeated submission that runs twice, and against another
/// job under the same name.
#[test]
fn a_submission_is_accepted_once_and_can_be_cancelled() {
    let deployment = Deployment::new(1, Span::from_millis(1));
    let (scheduler, entry) = (deployment.scheduler(0), deployment.entry(0));
    deployment.apply(&entry);
    let mut first = 0;
    deployment.wait_until("an owner", || {
        first = code(&submit(&deployment, &entry, &job("mine", 2)));
        first != 407
    });
    assert_eq!(first, 101);
    assert_eq!(code(&submit(&deployment, &entry, &job("mine", 2))), 102);
    assert_eq!(code(&submit(&deployment, &entry, &job("mine", 3))), 401);
    let count = || {
        let view = deployment.tasks(scheduler.operators());
        let mine = view.tasks.iter().filter(|t| t.task.job.as_str() == "mine");
        mine.count()
    };
    deployment.wait_until("both tasks", || count() == 2);
    let url = format!("http://{}/v1/jobs/mine", entry.callers());
    let cancelled = deployment.http.delete(url).send().unwrap();
    assert_eq!(cancelled.status(), 200, "{}", cancelled.text().unwrap());
    deployment.wait_until("the cancellation", || count() == 0);
    assert!(scheduler.stop() && entry.stop());
    assert_eq!(deployment.platform.ledger().violations(), 0);
}

/// Guards against operator calls that are executed without a valid token.
#[test]
fn operators_need_a_valid_token() {
    let deployment = Deployment::new(1, Span::from_millis(1));
    let entry = deployment.entry(0);
    let url = |path: &str| format!("http://{}{path}", entry.operators());
    for path in [
        "/metrics",
        "/v1/dump",
        "/v1/config",
        "/v1/records",
        "/v1/top",
    ] {
        assert_eq!(
            error_codes(deployment.http.get(url(path))),
            (401, 208),
            "{path}"
        );
        let wrong = deployment
            .http
            .get(url(path))
            .bearer_auth("old-token-0123456789");
        assert_eq!(error_codes(wrong), (401, 208), "{path}");
        let basic = deployment
            .http
            .get(url(path))
            .basic_auth(TOKEN, Some(TOKEN));
        assert_eq!(error_codes(basic), (401, 208), "{path}");
        let good = deployment.operator(deployment.http.get(url(path)));
        assert_eq!(good.status(), 200, "{path}");
    }
    let apply = deployment.http.post(url("/v1/apply")).body("{}");
    assert_eq!(error_codes(apply), (401, 208));
    let malformed = deployment.http.post(url("/v1/apply")).body("{}");
    assert_eq!(deployment.operator(malformed).status(), 400);
    let since = deployment.http.get(url("/v1/records?since=x"));
    assert_eq!(deployment.operator(since).status(), 400);
    let text = deployment
        .operator(deployment.http.get(url("/v1/dump")))
        .text()
        .unwrap();
    assert!(
        !text.contains(TOKEN) && !text.contains("kkkkkkkk"),
        "{text}"
    );
    entry.abort();
}

/// Guards against unauthenticated peer messages that change state or stop a process.
#[test]
fn unauthenticated_peer_messages_are_counted_and_dropped() {
    let deployment = Deployment::new(1, Span::from_millis(1));
    let entry = deployment.entry(0);
    let before = peers(&deployment, &entry);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for datagram in [vec![], vec![0; 100], vec![0xff; 1_200], vec![0; 1_400]] {
        socket.send_to(&datagram, entry.peers()).unwrap();
    }
    let mut stream = TcpStream::connect(entry.peers()).unwrap();
    stream.write_all(&[0, 0, 0, 40]).unwrap();
    stream.write_all(&[7; 40]).unwrap();
    let _ = stream.read_to_end(&mut Vec::new());
    let counted = |reason: &str, count: usize| {
        let line = format!("jujubelb_peer_messages_dropped_total{{reason=\"{reason}\"}} {count}");
        let url = format!("http://{}/metrics", entry.operators());
        let text = deployment
            .operator(deployment.http.get(url))
            .text()
            .unwrap();
        text.contains(&line)
    };
    deployment.wait_until("the counters", || {
        counted("oversized", 1) && counted("malformed", 1) && counted("unauthenticated", 3)
    });
    assert_eq!(peers(&deployment, &entry), before);
    assert!(entry.stop());
}

fn peers(deployment: &Deployment, entry: &EntryHandle) -> serde_json::Value {
    let url = format!("http://{}/v1/dump", entry.operators());
    let dump: DumpView = deployment
        .operator(deployment.http.get(url))
        .json()
        .unwrap();
    dump.nodes["host-1/entry"]["peers"].clone()
}
