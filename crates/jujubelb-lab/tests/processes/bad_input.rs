use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};

use jujubelb::entry::EntryHandle;
use jujubelb::model::Span;
use jujubelb::operator::api::{DumpView, ErrorBody};
use reqwest::StatusCode;
use reqwest::blocking::{RequestBuilder, Response};
use serde_json::json;

use super::world::{TOKEN, World, code};

/// Sends what is wrong and gives status and code.
fn refused(request: RequestBuilder) -> (u16, u16) {
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

fn submit(world: &World, entry: &EntryHandle, body: &serde_json::Value) -> Response {
    let url = format!("http://{}/v1/jobs", entry.callers());
    world.http.post(url).json(body).send().unwrap()
}

/// Guards against bad input of callers that is obeyed, changes state, or gets
/// an answer without a numbered code.
#[test]
fn bad_requests_get_numbered_codes_and_do_not_run() {
    let world = World::new(1, Span::from_millis(1));
    let entry = world.entry(0);
    let root = format!("http://{}", entry.callers());
    let ready = world.http.get(format!("{root}/ready")).send().unwrap();
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
    world.apply(&entry);
    let http = &world.http;
    let hello = format!("{root}/svc/hello/x");
    assert_eq!(refused(http.get(format!("{root}/nothing"))), (404, 200));
    assert_eq!(refused(http.get(format!("{root}/svc/other/x"))), (404, 200));
    let header = |name: &str, value: &str| refused(http.post(&hello).header(name, value));
    assert_eq!(header("Jujubelb-Deadline-Ms", "soon"), (400, 201));
    assert_eq!(header("Jujubelb-Priority", "high"), (400, 201));
    assert_eq!(header("Jujubelb-Idempotent", "maybe"), (400, 201));
    let large = http.post(&hello).body(vec![0; 8 << 20]);
    assert_eq!(refused(large), (413, 202));
    // A holder that started less than one key lifetime ago abstains.
    let keyed = http.post(&hello).header("Idempotency-Key", "k");
    assert_eq!(refused(keyed), (503, 304));
    let jobs = format!("{root}/v1/jobs");
    assert_eq!(refused(http.post(&jobs).body("{")), (400, 201));
    assert_eq!(
        refused(http.post(&jobs).json(&job("no/name", 1))),
        (400, 201)
    );
    assert_eq!(refused(http.post(&jobs).json(&job("none", 0))), (400, 201));
    let mut stranger = job("strange", 1);
    stranger["team"] = json!("strangers");
    assert_eq!(refused(http.post(&jobs).json(&stranger)), (422, 403));
    let mut huge = job("huge", 1);
    huge["task"]["size"]["cpu"] = json!(9_000);
    assert_eq!(refused(http.post(&jobs).json(&huge)), (422, 402));
    assert_eq!(
        refused(http.post(&jobs).json(&job("tidy-up", 1))),
        (409, 401)
    );
    let absent = http.delete(format!("{jobs}/absent"));
    assert_eq!(refused(absent), (404, 404));
    assert_eq!(world.platform.receipts.total(), 0);
    assert!(entry.stop());
}

/// Guards against a repeated submission that runs twice, and against another
/// job under the same name.
#[test]
fn a_submission_is_accepted_once_and_can_be_cancelled() {
    let world = World::new(1, Span::from_millis(1));
    let (scheduler, entry) = (world.scheduler(0), world.entry(0));
    world.apply(&entry);
    let mut first = 0;
    world.until("an owner", || {
        first = code(&submit(&world, &entry, &job("mine", 2)));
        first != 407
    });
    assert_eq!(first, 101);
    assert_eq!(code(&submit(&world, &entry, &job("mine", 2))), 102);
    assert_eq!(code(&submit(&world, &entry, &job("mine", 3))), 401);
    let count = || {
        let view = world.tasks(scheduler.operators());
        let mine = view.tasks.iter().filter(|t| t.task.job.as_str() == "mine");
        mine.count()
    };
    world.until("both tasks", || count() == 2);
    let url = format!("http://{}/v1/jobs/mine", entry.callers());
    let cancelled = world.http.delete(url).send().unwrap();
    assert_eq!(cancelled.status(), 200, "{}", cancelled.text().unwrap());
    world.until("the cancellation", || count() == 0);
    assert!(scheduler.stop() && entry.stop());
    assert_eq!(world.platform.ledger().violations(), 0);
}

/// Guards against operators' calls that are obeyed without a valid token.
#[test]
fn operators_need_a_valid_token() {
    let world = World::new(1, Span::from_millis(1));
    let entry = world.entry(0);
    let url = |path: &str| format!("http://{}{path}", entry.operators());
    for path in [
        "/metrics",
        "/v1/dump",
        "/v1/config",
        "/v1/records",
        "/v1/top",
    ] {
        assert_eq!(refused(world.http.get(url(path))), (401, 208), "{path}");
        let wrong = world
            .http
            .get(url(path))
            .bearer_auth("old-token-0123456789");
        assert_eq!(refused(wrong), (401, 208), "{path}");
        let basic = world.http.get(url(path)).basic_auth(TOKEN, Some(TOKEN));
        assert_eq!(refused(basic), (401, 208), "{path}");
        let good = world.operator(world.http.get(url(path)));
        assert_eq!(good.status(), 200, "{path}");
    }
    let apply = world.http.post(url("/v1/apply")).body("{}");
    assert_eq!(refused(apply), (401, 208));
    let malformed = world.http.post(url("/v1/apply")).body("{}");
    assert_eq!(world.operator(malformed).status(), 400);
    let since = world.http.get(url("/v1/records?since=x"));
    assert_eq!(world.operator(since).status(), 400);
    let text = world
        .operator(world.http.get(url("/v1/dump")))
        .text()
        .unwrap();
    assert!(
        !text.contains(TOKEN) && !text.contains("kkkkkkkk"),
        "{text}"
    );
    entry.abort();
}

/// Guards against peers' input without a key that changes state or stops a process.
#[test]
fn strange_peers_are_counted_and_dropped() {
    let world = World::new(1, Span::from_millis(1));
    let entry = world.entry(0);
    let before = peers(&world, &entry);
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
        let text = world.operator(world.http.get(url)).text().unwrap();
        text.contains(&line)
    };
    world.until("the counters", || {
        counted("oversized", 1) && counted("malformed", 1) && counted("unauthenticated", 3)
    });
    assert_eq!(peers(&world, &entry), before);
    assert!(entry.stop());
}

fn peers(world: &World, entry: &EntryHandle) -> serde_json::Value {
    let url = format!("http://{}/v1/dump", entry.operators());
    let dump: DumpView = world.operator(world.http.get(url)).json().unwrap();
    dump.nodes["host-1/entry"]["peers"].clone()
}
