//! Submissions to a host that knows of a full pool of workers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use base64::prelude::{BASE64_STANDARD, Engine};
use rocket::http::Status;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::super::callers::{CallerResponse, submit};
use super::super::keys::{self, Leader};
use super::super::known_load::KnownLoad;
use super::super::peers::{PeerJobStatus, PeerResponse};
use super::super::state::{KnownLeader, Node, lock};
use super::node_with_store;
use crate::dispatch::{
    FullPool, JobKey, JobRecord, JobSpec, LoadEstimate, QueueSettings, SizeLimit, Step,
};
use crate::model::{HostName, ServiceName, Span, Time};
use crate::platform::{QueueConfig, Revision};

const KEY: JobKey = JobKey(0x5c0e_7a21_d94b_36f8);

const LEADER: Revision = Revision(70_001);

const BODY: &[u8] = br#"{"spec":"p","steps":[{"count":2,"mem_mb":64,"fills":true}]}"#;

/// What a read of the job's key finds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Found {
    Nothing,
    Job,
    /// A job that was cancelled before it was stored.
    Tombstone,
    /// The read fails.
    Error,
}

/// A store that makes every write and answers reads of the job's key.
pub(super) struct Store {
    found: Found,
    calls: Mutex<Vec<String>>,
    /// Body of the last write.
    written: Mutex<Vec<u8>>,
}

impl Store {
    pub(super) async fn start(found: Found) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Self {
            found,
            calls: Mutex::default(),
            written: Mutex::default(),
        });
        let accepting = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve_connection(stream));
            }
        });
        (store, address)
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream) {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                match stream.read_u8().await {
                    Ok(byte) => head.push(byte),
                    Err(_) => return,
                }
            }
            let head = String::from_utf8_lossy(&head).to_lowercase();
            let length = head.lines().find_map(|l| l.strip_prefix("content-length:"));
            let length = length.map_or(0, |l| l.trim().parse().unwrap());
            let mut written = vec![0; length];
            stream.read_exact(&mut written).await.unwrap();
            let path = head.split(' ').nth(1).unwrap_or_default();
            let call = path.split('?').next().unwrap_or_default();
            lock(&self.calls).push(call.to_owned());
            if length > 0 {
                *lock(&self.written) = written;
            }
            let (status, body) = self.answer(call);
            let length = body.len();
            let reply = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
            if stream.write_all(reply.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &str) -> (&'static str, String) {
        let item = |value: &[u8]| {
            let value = BASE64_STANDARD.encode(value);
            let key = keys::job(KEY);
            let text =
                format!(r#"{{"key":"{key}","value":"{value}","revision":8,"store_revision":9}}"#);
            ("200 OK", text)
        };
        match (call, self.found) {
            ("/kv-txn", _) => ("200 OK", r#"{"revision":9}"#.to_owned()),
            (_, Found::Nothing) => ("404 Not Found", r#"{"store_revision":9}"#.to_owned()),
            (_, Found::Job) => item(b"job"),
            (_, Found::Tombstone) => item(b"cancelled"),
            (_, Found::Error) => ("500 Internal Server Error", String::new()),
        }
    }

    /// The job that was written last.
    pub(super) fn written_job(&self) -> JobRecord {
        let txn: serde_json::Value = serde_json::from_slice(&lock(&self.written)).unwrap();
        let value = txn["puts"][0]["value"].as_str().unwrap();
        keys::decode("job", &BASE64_STANDARD.decode(value).unwrap()).unwrap()
    }

    fn calls(&self) -> Vec<String> {
        lock(&self.calls).clone()
    }
}

fn queue() -> QueueConfig {
    QueueConfig {
        settings: QueueSettings {
            host: "a.example".into(),
            prefix: "/q/".into(),
            service: ServiceName::new("s"),
            priority: 2,
            attempts: 3,
            slack_factor: 2.0,
            target_duration: Span::from_millis(500),
            ticket_lifetime: None,
        },
        timeout: Span::from_secs(3),
        needs_key: false,
    }
}

fn full_pool(age: Span) -> LoadEstimate {
    LoadEstimate {
        age,
        full: vec![FullPool {
            service: ServiceName::new("s"),
            jobs: 40,
            limit: 30,
            size_limits: vec![SizeLimit {
                priority: 2,
                work: 0,
            }],
            retry_after: Span::from_millis(2_500),
        }],
    }
}

/// A host that knows a leader, with what the store says about its key.
async fn host(found: Found) -> (Arc<Node>, Arc<Store>) {
    let (store, address) = Store::start(found).await;
    let node = Arc::new(node_with_store(address));
    let leader = Leader {
        host: HostName::new("h2"),
        peer_address: ([127, 0, 0, 1], 1).into(),
        nonce: 99,
    };
    node.set_leader(KnownLeader::Present(leader, LEADER));
    (node, store)
}

async fn answer(node: &Arc<Node>) -> CallerResponse {
    let until = node.now() + Span::from_secs(3);
    submit(node, &queue(), KEY, None, BODY, until).await
}

/// Guards against a refusal that costs a write, or that does not say when to come back.
#[tokio::test]
async fn a_full_pool_refuses_without_a_write() {
    let (node, store) = host(Found::Nothing).await;
    node.learn_load(Some(full_pool(Span::ZERO)), node.now());
    let response = answer(&node).await;
    assert_eq!(response.status, Status::ServiceUnavailable);
    assert_eq!(response.retry_after_s, Some(3));
    assert_eq!(store.calls(), ["/kv-key"]);
    let metrics = node.metrics.registry.render().unwrap();
    assert!(
        metrics.contains(r#"jujubelb_load_refusals_total{cause="memory"} 1"#),
        "{metrics}"
    );
}

/// Guards against "not accepted" for a repeated submission whose job is stored and runs.
#[tokio::test]
async fn a_job_that_is_stored_is_accepted_by_a_host_with_a_full_pool() {
    let (node, store) = host(Found::Job).await;
    node.learn_load(Some(full_pool(Span::ZERO)), node.now());
    assert_eq!(answer(&node).await.status, Status::Ok);
    assert_eq!(store.calls(), ["/kv-key"]);
}

/// Guards against an answer that invites the caller to repeat a job that was cancelled before.
#[tokio::test]
async fn a_withdrawn_job_is_refused_for_good_also_with_a_full_pool() {
    let (node, _) = host(Found::Tombstone).await;
    node.learn_load(Some(full_pool(Span::ZERO)), node.now());
    let response = answer(&node).await;
    assert_eq!(response.status, Status::ServiceUnavailable);
    assert_eq!(response.retry_after_s, None);
}

/// Guards against a refusal that may be untrue, because the store did not tell.
#[tokio::test]
async fn a_failed_read_accepts() {
    let (node, store) = host(Found::Error).await;
    node.learn_load(Some(full_pool(Span::ZERO)), node.now());
    assert_eq!(answer(&node).await.status, Status::Ok);
    assert_eq!(store.calls(), ["/kv-key", "/kv-txn"]);
}

/// Guards against refusals by a host that does not hear of the end of the overload.
#[tokio::test]
async fn an_old_estimate_or_none_accepts_without_a_read() {
    for estimate in [None, Some(full_pool(Span::from_secs(6)))] {
        let (node, store) = host(Found::Nothing).await;
        node.learn_load(estimate, node.now());
        assert_eq!(answer(&node).await.status, Status::Ok);
        assert_eq!(store.calls(), ["/kv-txn"]);
    }
}

fn spec() -> JobSpec {
    JobSpec {
        payload: "p".into(),
        steps: vec![Step {
            count: 1,
            best_effort: true,
            ..Step::default()
        }],
        schedule: None,
    }
}

/// Guards against an estimate that outlives its leader, and one that an earlier answer replaces.
#[test]
fn the_last_estimate_of_the_present_leader_counts() {
    let now = Time::from_millis(20_000);
    let leader = Some(LEADER);
    let mut known = KnownLoad::default();
    let refuses = |known: &KnownLoad, leader, now| {
        let refusal = known.refuses(&queue().settings, &spec(), leader, now);
        refusal.map(|r| r.age)
    };
    assert_eq!(refuses(&known, leader, now), None);
    let age = Span::from_millis(300);
    known.learn(Some(full_pool(age)), now, leader);
    assert_eq!(refuses(&known, leader, now), Some(age));
    let later = now + Span::from_secs(1);
    assert_eq!(
        refuses(&known, leader, later),
        Some(Span::from_millis(1_300))
    );
    assert_eq!(refuses(&known, None, now), None);
    assert_eq!(refuses(&known, Some(Revision(70_002)), now), None);
    known.learn(
        Some(LoadEstimate::default()),
        now - Span::from_secs(1),
        leader,
    );
    assert!(refuses(&known, leader, now).is_some());
    known.learn(Some(LoadEstimate::default()), now, leader);
    assert_eq!(refuses(&known, leader, now), None);
}

/// The responses as versions before the bound encode and decode them.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
enum EarlierResponse {
    NotLeader,
    Acknowledged,
    JobStatus(Option<PeerJobStatus>),
    PendingCount(u64),
    WriteOutcome(super::super::callers::WriteOutcome),
    LeadsTerm(bool),
    AnnounceAgain(Span),
    Vote(bool),
}

/// Guards against hosts of two versions that can't decode each other's answers.
#[test]
fn hosts_of_two_versions_decode_each_others_answers() {
    let load = Some(full_pool(Span::from_millis(20)));
    let second = Span::from_secs(1);
    let status = Some(PeerJobStatus::Running);
    let pairs = [
        (
            EarlierResponse::Acknowledged,
            PeerResponse::Acknowledged(load.clone()),
            PeerResponse::Acknowledged(None),
        ),
        (
            EarlierResponse::JobStatus(status),
            PeerResponse::JobStatus(status, load.clone()),
            PeerResponse::JobStatus(status, None),
        ),
        (
            EarlierResponse::AnnounceAgain(second),
            PeerResponse::AnnounceAgain(second, load),
            PeerResponse::AnnounceAgain(second, None),
        ),
    ];
    for (earlier, sent, understood) in pairs {
        let bytes = keys::encode(&sent);
        assert_eq!(keys::decode("response", &bytes), Some(sent));
        let old = keys::encode(&earlier);
        assert_eq!(keys::decode("response", &bytes), Some(earlier));
        assert_eq!(keys::decode("response", &old), Some(understood));
    }
    let others = [
        (EarlierResponse::NotLeader, PeerResponse::NotLeader),
        (
            EarlierResponse::PendingCount(300),
            PeerResponse::PendingCount(300),
        ),
        (EarlierResponse::Vote(true), PeerResponse::Vote(true)),
    ];
    for (earlier, now) in others {
        assert_eq!(keys::encode(&earlier), keys::encode(&now));
    }
}
