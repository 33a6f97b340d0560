//! Entries of other writers among those of the workers, read from a store by the process.

use std::sync::Arc;

use tokio::time::{Duration, timeout};

use super::super::leader::{ActiveTerm, watch_workers};
use super::super::state::{Node, lock};
use super::super::watch::{WatchEvent, WatchOptions, WatchPosition, watch_prefix};
use super::node_with_store;
use super::scripted_store::{begin_term, changes, page, query_value, serve_store};
use crate::model::Span;
use crate::platform::WORKER_PREFIX;

/// How long a process may take until it has followed all changes.
const LIMIT: Duration = Duration::from_secs(4);

/// Entry of a worker that can be used, in base64.
const GOOD: &str = "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMjcuMC4wLjE6OSIsInpvbmUiOiJ6Iiwic3RhdGUiOiJyZWFkeSIsInJvb20iOnt9LCJsYWJlbHMiOltdfQ==";

/// An item of the store with a worker's key.
fn good(name: &str, revision: u64) -> String {
    format!(
        r#"{{"key":"servers/{name}","value":"{GOOD}","revision":{revision},"created":1,"lease":0}}"#
    )
}

/// Items that can't be decoded, with a readable key.
fn odd(name: &str) -> Vec<String> {
    let deep = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    let key = format!(r#""key":"servers/{name}""#);
    vec![
        format!(r#"{{{key},"value":{deep},"revision":4}}"#),
        format!(r#"{{{key},"value":7,"revision":4}}"#),
        format!(r#"{{{key},"value":"{GOOD}","revision":99999999999999999999}}"#),
        format!(r#"{{{key},"value":"{GOOD}","revision":1e400}}"#),
        format!(r#"{{{key},"value":"{GOOD}","revision":{deep}}}"#),
        format!(r#"{{{key},"value":"\ud800","revision":4}}"#),
        format!(r#"{{{key},"value":"{GOOD}","revision":4,"tombstone":{{}}}}"#),
        format!(r#"{{{key},"value":"{GOOD}"}}"#),
    ]
}

/// An item whose value is not base64.
const UNENCODED: &str = r#"{"key":"servers/d","value":"\u0000%","revision":10}"#;

/// Items of which even the key can't be read.
fn nameless() -> Vec<String> {
    let deep = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    vec![
        deep.clone(),
        "7".to_owned(),
        "null".to_owned(),
        format!(r#"{{"key":{deep},"value":"{GOOD}","revision":4}}"#),
        format!(r#"{{"value":"{GOOD}","revision":4}}"#),
    ]
}

/// What the store answers to a call; `None` holds the call open.
fn answer(path: &str) -> Option<String> {
    let path = path.replace("%2F", "/");
    let (call, _) = path.split_once('?').unwrap_or((&path, ""));
    let value = |name: &str| query_value(&path, name);
    if value("prefix").as_deref() != Some(WORKER_PREFIX) {
        return Some(page(&[], false));
    }
    let after = value("after").unwrap_or_default();
    match (call, after.as_str()) {
        // Odd items are the first, in the middle and the last of a page. The second page ends
        // with items without a readable key, of the last one all but one have none.
        ("/kv-range", "") => {
            let items = [
                odd("a"),
                vec![good("b", 3)],
                odd("c"),
                vec![good("d", 3)],
                odd("e"),
            ];
            Some(page(&items.concat(), true))
        }
        ("/kv-range", "servers/e") => Some(page(&[vec![good("f", 3)], nameless()].concat(), true)),
        ("/kv-range", "servers/f") => {
            let items = [nameless(), vec![good("g", 3)], nameless()];
            Some(page(&items.concat(), false))
        }
        // The entries of `b` and `d` are overwritten, and another worker comes.
        ("/kv-watch", "9") => {
            let items = [
                nameless(),
                odd("b"),
                vec![good("h", 10), UNENCODED.to_owned()],
            ];
            let items = [items.concat(), odd("i")];
            Some(changes(&items.concat(), 11))
        }
        ("/kv-watch", "11") => Some(changes(&[good("j", 12)], 12)),
        _ => None,
    }
}

/// Names of the workers in use, in alphabetical order.
fn workers(term: &ActiveTerm, node: &Node) -> Vec<String> {
    let mut dispatcher = lock(&term.dispatcher);
    // A pass removes workers that are not listed.
    dispatcher.plan(node.wall_time(), node.now());
    let mut names: Vec<String> = dispatcher.workers().iter().map(|w| w.to_string()).collect();
    names.sort();
    names
}

/// Guards against an odd entry that keeps a watch from reading the other keys, at its start and
/// later, or from following what comes after it.
#[tokio::test]
async fn a_watch_goes_on_after_odd_entries() {
    let node = Arc::new(node_with_store(serve_store(answer).await));
    let options = WatchOptions {
        prefix: WORKER_PREFIX,
        wait: Span::from_millis(500),
        pause: Span::from_millis(1),
    };
    let (seen, mut events) = tokio::sync::mpsc::unbounded_channel();
    let watch = watch_prefix(node, options, WatchPosition::default(), move |event| {
        let _ = seen.send(event);
    });
    let mut texts = Vec::new();
    let follow = async {
        while texts.len() < 3 {
            let (kind, items) = match events.recv().await.expect("an event") {
                WatchEvent::Snapshot(items) => ("all", items),
                WatchEvent::Changes(items) => ("changes", items),
            };
            let is_used = |v: &Vec<u8>| v.starts_with(b"{\"service\"");
            let used = items
                .iter()
                .filter(|i| i.value.as_ref().is_some_and(is_used));
            let names: Vec<&str> = used.map(|i| i.key.as_str()).collect();
            texts.push(format!("{kind} {}", names.join(" ")));
        }
    };
    let ended = timeout(LIMIT, async {
        tokio::select! { () = watch => {}, () = follow => {} }
    });
    assert!(ended.await.is_ok(), "followed only {texts:?}");
    let expected = [
        "all servers/b servers/d servers/f servers/g",
        "changes servers/h",
        "changes servers/j",
    ];
    assert_eq!(texts, expected);
}

/// Guards against an odd entry that keeps a new leader from beginning its term or from following
/// the workers, and against using a worker further whose entry was overwritten.
#[tokio::test]
async fn a_leader_uses_the_other_workers() {
    let node = Arc::new(node_with_store(serve_store(answer).await));
    let term = Arc::new(begin_term(&node).await);
    assert_eq!(workers(&term, &node), ["b", "d", "f", "g"]);
    let watch = tokio::spawn(watch_workers(node.clone(), term.clone()));
    let expected = ["f", "g", "h", "j"];
    let followed = timeout(LIMIT, async {
        while workers(&term, &node) != expected {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let in_time = followed.await.is_ok();
    watch.abort();
    assert!(in_time, "workers: {:?}", workers(&term, &node));
}
