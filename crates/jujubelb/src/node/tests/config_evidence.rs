//! Answers that rest on the configuration, and what shows that it is the newest.

use std::sync::Arc;

use rocket::http::{Header, Status};
use rocket::local::asynchronous::Client;

use super::super::callers::CallerApi;
use super::super::known_config::KnownConfig;
use super::super::main::apply_operator_keys;
use super::super::state::Node;
use super::super::watch::WatchEvent;
use super::config_store::{ConfigStore, HOST};
use super::node_with_store;
use crate::model::{Span, Time};
use crate::platform::{CONFIG_KEY, KeyState, OperatorConfig, Revision, decode_config};

const BOUND: Span = Span::from_millis(2_500);

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn operator(version: u64) -> OperatorConfig {
    let route = format!(r#"{{"host":"{HOST}","prefix":"/q{version}/","service":"s"}}"#);
    let text = format!(r#"{{"version":{version},"routes":[{route}]}}"#);
    decode_config(text.as_bytes()).unwrap()
}

/// A process that has read version 1 at some time and has no evidence that it is the newest.
async fn node_with_old_config() -> (Arc<Node>, Arc<ConfigStore>) {
    let (store, address) = ConfigStore::start().await;
    let node = Arc::new(node_with_store(address));
    node.set_config(operator(1), Revision(1));
    (node, store)
}

async fn caller(node: &Arc<Node>) -> Client {
    let rocket = rocket::build().mount("/", CallerApi(node.clone()).routes());
    Client::untracked(rocket).await.unwrap()
}

/// Status, `Retry-After` and body of the answer to a request for the waiting jobs of a queue.
async fn ask(caller: &Client, path: &'static str) -> (Status, Option<String>, String) {
    let request = caller.get(path).header(Header::new("Host", HOST));
    let response = request.dispatch().await;
    let retry_after = response.headers().get_one("Retry-After").map(str::to_owned);
    let status = response.status();
    (status, retry_after, response.into_string().await.unwrap())
}

/// Guards against a 404 for a queue that exists, by a host whose watch has not been answered
/// for longer than the bound.
#[tokio::test]
async fn a_queue_that_an_old_configuration_lacks_is_looked_up_in_the_store() {
    let (node, store) = node_with_old_config().await;
    let caller = caller(&node).await;
    store.version.send_replace(2);
    let (_, _, body) = ask(&caller, "/q2/").await;
    assert!(body.contains("no leader is known"), "{body}");
    let (status, retry_after, _) = ask(&caller, "/q3/").await;
    assert_eq!((status, retry_after), (Status::NotFound, None));
}

/// Guards against a 404 without evidence while the store can't be reached, and against a wait
/// until a timeout for each of these requests. Known queues are served on.
#[tokio::test]
async fn without_the_store_an_unknown_queue_is_no_missing_one() {
    let (node, store) = node_with_old_config().await;
    let caller = caller(&node).await;
    store.silence_for_good();
    for _ in 0..2 {
        let (status, retry_after, _) = ask(&caller, "/q2/").await;
        assert_eq!(status, Status::ServiceUnavailable);
        assert_eq!(retry_after.as_deref(), Some("1"));
    }
    assert_eq!(store.unanswered().len(), 1);
    let (_, _, body) = ask(&caller, "/q1/").await;
    assert!(body.contains("no leader is known"), "{body}");
}

/// Guards against a queue that was withdrawn and is served on by a host that reaches the store.
#[tokio::test]
async fn a_queue_of_an_old_configuration_is_confirmed_before_it_is_served() {
    let (store, address) = ConfigStore::start().await;
    let node = Arc::new(node_with_store(address));
    node.set_config(operator(0), Revision(0));
    let (status, ..) = ask(&caller(&node).await, "/q0/").await;
    assert_eq!(status, Status::NotFound);
    assert_eq!(store.answered("/kv-key"), 1);
}

/// Guards against a flood of requests for missing queues that becomes one of calls to the store.
#[tokio::test]
async fn requests_that_wait_share_one_read_of_the_configuration() {
    let (node, store) = node_with_old_config().await;
    let caller = caller(&node).await;
    let asked = ["/a/", "/b/", "/c/", "/d/", "/e/"].map(|path| ask(&caller, path));
    let [a, b, c, d, e] = asked;
    let answers = tokio::join!(a, b, c, d, e);
    let statuses = [
        answers.0.0,
        answers.1.0,
        answers.2.0,
        answers.3.0,
        answers.4.0,
    ];
    assert_eq!(statuses, [Status::NotFound; 5]);
    assert_eq!(store.answered("/kv-key"), 1);
}

/// Guards against evidence that counts from the answer of a call, which may have been on its way
/// for longer than the bound, or from the answer that arrived last.
#[test]
fn evidence_counts_from_the_time_at_which_its_call_was_sent() {
    let mut known = KnownConfig::default();
    assert!(known.is_overdue(at(0), BOUND) && !known.evidence(at(0), BOUND).in_force);
    known.activate(operator(1), Revision(4));
    assert!(!known.evidence(at(0), BOUND).in_force);
    known.confirm(at(1_000));
    known.confirm(at(400));
    assert_eq!(known.evidence_age(at(3_000)), Some(Span::from_secs(2)));
    assert!(known.evidence(at(3_500), BOUND).in_force && !known.is_overdue(at(3_500), BOUND));
    assert!(!known.evidence(at(3_501), BOUND).in_force && known.is_overdue(at(3_501), BOUND));
}

/// Guards against a 404 by the last configuration that could be decoded, while a later one has
/// the queue.
#[test]
fn a_configuration_that_a_later_one_follows_is_not_in_force() {
    let mut known = KnownConfig::default();
    known.activate(operator(1), Revision(4));
    known.mark_unreadable(Revision(5));
    known.confirm(at(1_000));
    assert!(!known.evidence(at(1_100), BOUND).in_force);
    assert!(!known.is_overdue(at(1_100), BOUND));
    known.activate(operator(1), Revision(4));
    assert!(!known.evidence(at(1_100), BOUND).in_force);
    known.activate(operator(3), Revision(6));
    assert!(known.evidence(at(1_100), BOUND).in_force);
    known.mark_unreadable(Revision(5));
    assert!(known.evidence(at(1_100), BOUND).in_force);
}

/// Guards against a 401 or 404 by an older configuration that arrives after one that can't be
/// decoded: from another host, or in a late answer of the store.
#[test]
fn a_configuration_before_an_unreadable_one_is_not_in_force() {
    let mut known = KnownConfig::default();
    known.activate(operator(1), Revision(10));
    known.mark_unreadable(Revision(30));
    known.confirm(at(1_000));
    known.activate(operator(2), Revision(20));
    assert_eq!(known.active().unwrap().operator.version, 2);
    let evidence = known.evidence(at(1_100), BOUND);
    assert!(!evidence.in_force && evidence.superseded);
    // An older item that can't be decoded changes nothing.
    known.mark_unreadable(Revision(25));
    known.activate(operator(3), Revision(27));
    assert!(!known.evidence(at(1_100), BOUND).in_force);
    known.activate(operator(4), Revision(31));
    let evidence = known.evidence(at(1_100), BOUND);
    assert!(evidence.in_force && !evidence.superseded);
}

/// Guards against an unreadable item of the operator that is forgotten with the next
/// configuration, and against one that is in the way for good.
#[tokio::test]
async fn an_unreadable_item_of_unknown_revision_counts_until_the_store_is_read() {
    let (node, store) = node_with_old_config().await;
    node.confirm_config(node.now());
    let item = KeyState {
        key: String::new(),
        value: Some(Vec::new()),
        revision: Revision::default(),
    };
    apply_operator_keys(&node, WatchEvent::Changes(vec![item]));
    node.set_config(operator(2), Revision(2));
    assert!(!node.config_with_evidence().unwrap().1.in_force);
    store.version.send_replace(2);
    let caller = caller(&node).await;
    let (status, ..) = ask(&caller, "/q3/").await;
    assert_eq!(status, Status::NotFound);
    assert_eq!(store.answered("/kv-key"), 1);
}

/// Guards against a 404 for a queue that the newest configuration has and that can't be decoded.
#[test]
fn a_queue_that_cannot_be_decoded_is_no_missing_one() {
    let text = format!(
        r#"{{"version":2,"routes":[{{"host":"{HOST}","prefix":"/q1/","service":"s"}},
            {{"host":"{HOST}","prefix":"/q2/","service":7}}]}}"#
    );
    let mut known = KnownConfig::default();
    known.activate(decode_config(text.as_bytes()).unwrap(), Revision(4));
    known.confirm(at(1_000));
    let config = known.active().unwrap();
    assert!(config.queue(HOST, "/q1/").is_some() && config.queue(HOST, "/q2/").is_none());
    assert!(!known.evidence(at(1_100), BOUND).in_force);
    known.activate(operator(3), Revision(6));
    assert!(known.evidence(at(1_100), BOUND).in_force);
}

/// Guards against a 404 by the configuration before an item that can't be decoded, which may be
/// a newer one.
#[test]
fn an_unreadable_item_of_the_operator_puts_the_configuration_in_doubt() {
    for key in [CONFIG_KEY, ""] {
        let node = node_with_store(([127, 0, 0, 1], 1).into());
        node.set_config(operator(1), Revision(1));
        node.confirm_config(node.now());
        let is_in_force = || node.config_with_evidence().unwrap().1.in_force;
        assert!(is_in_force());
        let item = KeyState {
            key: key.to_owned(),
            value: Some(Vec::new()),
            revision: Revision(2),
        };
        apply_operator_keys(&node, WatchEvent::Changes(vec![item]));
        assert!(!is_in_force(), "after an item with the key `{key}`");
    }
}
