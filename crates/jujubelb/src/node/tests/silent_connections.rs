//! Connections that go silent for good, without a reset, while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Duration, sleep, timeout};

use super::super::main::watch_operator_keys;
use super::super::state::Node;
use super::config_store::{ConfigStore, JOINT_KEY, JOINT_READS};
use super::node_with_store;
use crate::model::Span;
use crate::platform::HttpClient;

/// How long a process may take until it has followed a change. Only ends a test that hangs.
const LIMIT: Duration = Duration::from_secs(20);

async fn await_version(node: &Node, version: u64) {
    let known = async {
        while node.config().is_none_or(|c| c.operator.version != version) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, known).await.expect("the version is known");
}

/// Guards against a watch that tries one silent connection after the other, each until its
/// timeout, so that a change is in force seconds after its bound.
#[tokio::test]
async fn a_watch_skips_idle_connections_that_went_silent_with_its_own() {
    let (store, address) = ConfigStore::start().await;
    let node = Arc::new(node_with_store(address));
    let watch = tokio::spawn(watch_operator_keys(node.clone()));
    await_version(&node, 1).await;
    let reads = (0..JOINT_READS).map(|_| {
        let node = node.clone();
        tokio::spawn(async move { node.kv.get(JOINT_KEY).await.unwrap() })
    });
    for read in reads.collect::<Vec<_>>() {
        read.await.unwrap();
    }
    while !store.is_watched() {
        sleep(Duration::from_millis(5)).await;
    }
    store.silence();
    store.version.send_replace(2);
    await_version(&node, 2).await;
    watch.abort();
    assert_eq!(store.unanswered(), Vec::<String>::new());
}

/// Timeout of a call to a peer that answers at once.
const CALL_TIMEOUT: Span = Span::from_millis(200);

/// Whether a call to a peer is answered.
async fn is_answered(client: &HttpClient, peer: SocketAddr, path: &str) -> bool {
    let call = client.post_bytes(peer, path, Vec::new(), CALL_TIMEOUT);
    call.await.is_ok()
}

/// Leaves as many idle connections to a peer as there are calls that wait for each other.
async fn open_connections(client: &HttpClient, peer: SocketAddr) {
    let path = format!("/kv-key?key={JOINT_KEY}");
    let calls = (0..JOINT_READS).map(|_| {
        let (client, path) = (client.clone(), path.clone());
        tokio::spawn(async move { is_answered(&client, peer, &path).await })
    });
    for call in calls.collect::<Vec<_>>() {
        assert!(call.await.unwrap());
    }
}

/// Guards against calls to a peer that try one silent connection after the other.
#[tokio::test]
async fn calls_skip_the_idle_connections_of_a_peer_that_went_silent() {
    let client = HttpClient::default();
    let (silent, at_silent) = ConfigStore::start().await;
    let (sound, at_sound) = ConfigStore::start().await;
    open_connections(&client, at_silent).await;
    open_connections(&client, at_sound).await;
    silent.silence();
    let mut answers = Vec::new();
    for _ in 0..JOINT_READS {
        answers.push(is_answered(&client, at_silent, "/hold").await);
        assert!(is_answered(&client, at_sound, "/hold").await);
    }
    assert_eq!(answers, [false, true, true, true]);
    assert_eq!(silent.connections(), JOINT_READS + 1);
    assert_eq!(sound.connections(), JOINT_READS);
}

/// Guards against connections that pile up at a worker that does not answer some of the calls.
#[tokio::test]
async fn a_peer_that_hangs_gets_at_most_one_connection_a_call() {
    let client = HttpClient::default();
    let (peer, address) = ConfigStore::start().await;
    open_connections(&client, address).await;
    peer.silence();
    assert!(!is_answered(&client, address, "/hold").await);
    open_connections(&client, address).await;
    let before = peer.connections();
    for round in 1..=3 {
        assert!(!is_answered(&client, address, "/hang").await);
        assert_eq!(client.connection_counts().open, 0);
        assert!(is_answered(&client, address, "/hold").await);
        assert_eq!(client.connection_counts().open, 1);
        assert_eq!(peer.connections(), before + round);
    }
    assert_eq!(before, 2 * JOINT_READS);
}

/// Guards against a call that fails because its peer has closed an idle connection.
#[tokio::test]
async fn a_connection_that_was_closed_while_it_was_idle_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(reply).await.unwrap();
        }
    });
    let client = HttpClient::default();
    for pause in [0, 0, 0, 5, 5, 5] {
        assert!(is_answered(&client, peer, "/hold").await);
        sleep(Duration::from_millis(pause)).await;
    }
}
