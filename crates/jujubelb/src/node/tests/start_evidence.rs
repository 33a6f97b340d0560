//! Reads of the store because tasks wait for evidence.

use std::sync::Arc;

use tokio::time::{Duration, sleep, timeout};

use super::super::main::watch_operator_keys;
use super::super::state::Node;
use super::config_store::ConfigStore;
use super::node_with_store;
use crate::model::Time;

/// How long a test may wait. Only ends one that hangs.
const LIMIT: Duration = Duration::from_secs(20);

async fn await_evidence(node: &Node, since: Time) {
    let known = async {
        while node.evacuations_proven().is_none_or(|sent| sent < since) {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(LIMIT, known).await.expect("the evidence is known");
}

/// A process whose watch of the operator's keys waits for a change.
async fn watching_node() -> (Arc<Node>, Arc<ConfigStore>, tokio::task::JoinHandle<()>) {
    let (store, address) = ConfigStore::start().await;
    let node = Arc::new(node_with_store(address));
    let watch = tokio::spawn(watch_operator_keys(node.clone()));
    while !store.is_watched() {
        sleep(Duration::from_millis(2)).await;
    }
    (node, store, watch)
}

/// Guards against tasks that wait for a watch, or cost one call to the store each.
#[tokio::test]
async fn evidence_that_tasks_wait_for_is_read_once_and_at_once() {
    let (node, store, watch) = watching_node().await;
    let asked = node.now();
    for _ in 0..5 {
        node.operator_demand.ask(asked);
    }
    await_evidence(&node, asked).await;
    watch.abort();
    assert!(node.now().since(asked).as_millis() < 500);
    assert_eq!(store.answered("/kv-watch"), 1);
    assert_eq!(store.answered("/kv-range"), 1);
}

/// Guards against tasks that wait while the store answers reads and no watch.
#[tokio::test]
async fn evidence_that_a_watch_does_not_bring_is_read() {
    let (node, store, watch) = watching_node().await;
    store.leave_watches_unanswered();
    let asked = node.now();
    node.operator_demand.ask(asked);
    await_evidence(&node, asked).await;
    watch.abort();
    assert!(node.now().since(asked).as_millis() < 1_500);
    assert_eq!(store.answered("/kv-watch"), 0);
    assert_eq!(store.answered("/kv-range"), 2);
}

/// Guards against further calls to the store in calm times.
#[tokio::test]
async fn evidence_that_is_there_is_not_read_again() {
    let (node, store, watch) = watching_node().await;
    let proven = node.evacuations_proven().expect("the first read");
    node.operator_demand.ask(proven);
    sleep(Duration::from_millis(200)).await;
    watch.abort();
    assert_eq!(store.answered("/kv-watch"), 0);
    assert_eq!(store.answered("/kv-range"), 1);
}
