//! Connections to the store that go silent for good, without a reset, while new ones work.

use std::sync::Arc;

use tokio::time::{Duration, sleep, timeout};

use super::super::main::watch_operator_keys;
use super::super::state::Node;
use super::config_store::{ConfigStore, JOINT_KEY, JOINT_READS};
use super::node_with_store;

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
