//! Tests of the parts of the process that need no network.

mod access;
mod candidacy;
mod config_evidence;
mod config_store;
mod customer_keys;
mod decoding;
mod job_write;
mod limited_worker;
mod load;
mod odd_entries;
mod scripted_store;
mod silent_connections;
mod start_evidence;
mod term_start;
mod voters;
mod withdrawn;
mod worker_connections;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};

use super::election::election_txn;
use super::keys::{self, ChainMark, Leader, TermRecord};
use super::known_config::ActiveConfig;
use super::peers::{PeerRequest, PeerResponse};
use super::state::Node;
use super::supervision::{PollTasks, supervise};
use super::{HostSettings, Revocation};
use crate::dispatch::{Bounds, JobKey, Succession};
use crate::model::{DomainName, HostName, Span, WorkerName};
use crate::platform::{KvClient, LeaseId, Revision, Txn, decode_config};
use crate::telemetry::Metrics;

/// A process that has just started and that reads the store at this address.
fn node_with_store(store: SocketAddr) -> Node {
    let address = ([127, 0, 0, 1], 1).into();
    let settings = HostSettings {
        host: HostName::new("h1"),
        domain: DomainName::new("a"),
        caller_address: address,
        readiness_address: address,
        peer_address: address,
        store_address: store,
        policy_address: None,
        min_lease_ttl: Span::from_secs(1),
        cpu_cores: 1.0,
        link_mbps: 100.0,
        stop_grace: Span::from_secs(6),
        config_bound: Span::from_secs(60),
        revocation: Revocation {
            strict: false,
            bound: Span::from_secs(60),
        },
        bounds: Bounds {
            max_lease: Span::from_secs(6),
            max_stop: Span::from_millis(400),
            max_early_start: Span::ZERO,
            remote_factor: 1.0,
            evacuation: Span::from_secs(5),
            drain: Span::from_millis(2_500),
        },
    };
    Node::new(settings, KvClient::new(store), Metrics::new().unwrap())
}

fn active_config() -> ActiveConfig {
    let text = r#"{"version":1,"routes":[
        {"host":"a.example","prefix":"/q/","service":"s"},
        {"host":"a.example","prefix":"/q/deep/","service":"t"},
        {"host":"b.example","prefix":"/q/","service":"u"}]}"#;
    ActiveConfig::new(decode_config(text.as_bytes()).unwrap(), Revision(1))
}

/// Guards against a request that is routed to a queue with a shorter prefix or of
/// another host name.
#[test]
fn the_longest_prefix_of_the_host_chooses_the_queue() {
    let config = active_config();
    let service = |host, path| {
        config
            .queue(host, path)
            .map(|q| q.settings.service.to_string())
    };
    assert_eq!(service("a.example", "/q/1").as_deref(), Some("s"));
    assert_eq!(service("a.example", "/q/deep/1").as_deref(), Some("t"));
    assert_eq!(service("b.example", "/q/deep/1").as_deref(), Some("u"));
    assert_eq!(service("b.example", "/other"), None);
    assert_eq!(service("c.example", "/q/1"), None);
}

/// Guards against keys of one kind that are parsed as another kind.
#[test]
fn keys_are_parsed_by_their_own_prefix() {
    let key = JobKey(0x5c0e_7a21_d94b_36f8);
    assert_eq!(
        keys::parse_job(&keys::job(key), keys::JOB_PREFIX),
        Some(key)
    );
    assert_eq!(
        keys::parse_job(&keys::cancel(key), keys::CANCEL_PREFIX),
        Some(key)
    );
    assert_eq!(keys::parse_job(&keys::cancel(key), keys::JOB_PREFIX), None);
    assert!(keys::job(key).starts_with(keys::INTAKE_PREFIX));
    assert!(!keys::state(key).starts_with(keys::INTAKE_PREFIX));
    assert!(!keys::TERM.starts_with(keys::SYSTEM_PREFIX));
}

/// Guards against peer requests that change in encoding, and damaged responses that are
/// decoded.
#[test]
fn peer_requests_survive_encoding() {
    let request = PeerRequest::PendingCount("a.example".to_owned(), "/q/".to_owned());
    let bytes = keys::encode(&request);
    assert_eq!(
        keys::decode::<PeerRequest>("request", &bytes),
        Some(request)
    );
    assert_eq!(keys::decode::<PeerResponse>("response", &[250, 1]), None);
}

/// A task that panics when it runs for the first time and counts its runs.
async fn panic_once(runs: Arc<AtomicU32>) {
    assert!(runs.fetch_add(1, SeqCst) > 0, "expected by the test");
}

/// Guards against a loop that an unexpected error ends for good while the process goes on.
#[tokio::test]
async fn a_loop_that_panics_starts_again() {
    let runs = Arc::new(AtomicU32::new(0));
    supervise("test", || panic_once(runs.clone())).await;
    assert_eq!(runs.load(SeqCst), 2);
}

/// Guards against a worker that is never polled again after an unexpected error, so that its
/// lease lapses and its tasks are lost.
#[tokio::test]
async fn polling_that_panics_starts_again() {
    let runs = Arc::new(AtomicU32::new(0));
    let start = |_| panic_once(runs.clone());
    let mut tasks = PollTasks::default();
    tasks.update([WorkerName::new("w")].into_iter().collect(), start);
    while runs.load(SeqCst) < 2 {
        tokio::task::yield_now().await;
        tasks.restart_failed(start);
    }
}

/// Guards against polling a worker that was removed.
#[tokio::test]
async fn polling_of_a_removed_worker_is_not_started_again() {
    let runs = Arc::new(AtomicU32::new(0));
    let start = |_| panic_once(runs.clone());
    let mut tasks = PollTasks::default();
    tasks.update([WorkerName::new("w")].into_iter().collect(), start);
    tasks.update([].into_iter().collect(), start);
    for _ in 0..10 {
        tokio::task::yield_now().await;
        tasks.restart_failed(start);
    }
    assert_eq!(runs.load(SeqCst), 1);
}

/// Guards against a leader that knows which earlier ones may still act and is lost before
/// it has stored that: the next one would wait for all of them again.
#[test]
fn an_election_stores_which_earlier_leaders_may_act() {
    let nonce = 7;
    let leader = Leader {
        host: HostName::new("h1"),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
        nonce,
    };
    let succession = Succession::following(leader.term(), false, None, nonce);
    let record = TermRecord { count: 2, leader };
    let mark = ChainMark { nonce, workers: 48 };
    for succession in [Succession::empty(nonce), succession] {
        let txn = election_txn(&record, mark, LeaseId(1), Revision::default(), &succession);
        let put = Txn::default().put(keys::SUCCESSION, &keys::encode(&succession), None);
        let puts = |txn: &Txn| serde_json::to_value(txn).unwrap()["puts"].clone();
        let stored = puts(&txn);
        assert!(
            stored.as_array().unwrap().contains(&puts(&put)[0]),
            "{stored}"
        );
        assert_eq!(
            keys::decode::<Succession>(keys::SUCCESSION, &keys::encode(&succession)),
            Some(succession)
        );
    }
}
