//! Keys of the operator that were withdrawn while the process did not see it: its history was
//! forgotten, or the process was started again.

use super::super::main::apply_operator_keys;
use super::super::state::Node;
use super::super::watch::{WatchEvent, WatchPosition};
use super::node_with_store;
use crate::platform::{CONFIG_KEY, EVACUATION_PREFIX, KeyState, ReadResult, Revision};

/// A process that has just started and has read nothing.
fn started() -> Node {
    node_with_store(([127, 0, 0, 1], 1).into())
}

fn key(name: &str, value: Option<String>, revision: u64) -> KeyState {
    KeyState {
        key: name.to_owned(),
        value: value.map(String::into_bytes),
        revision: Revision(revision),
    }
}

fn config(version: u64, prefix: &str, revision: u64) -> KeyState {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"host":"h","prefix":"{prefix}","service":"s"}}]}}"#
    );
    key(CONFIG_KEY, Some(text), revision)
}

fn evacuation(domain: &str, revision: u64) -> KeyState {
    let name = format!("{EVACUATION_PREFIX}{domain}");
    key(&name, Some(String::new()), revision)
}

fn evacuated(node: &Node) -> Vec<String> {
    node.evacuated().iter().map(|d| d.to_string()).collect()
}

fn serves(node: &Node, path: &str) -> bool {
    node.config().is_some_and(|c| c.queue("h", path).is_some())
}

fn read(content: Vec<KeyState>, revision: u64) -> ReadResult<Vec<KeyState>> {
    ReadResult {
        content,
        revision: Revision(revision),
    }
}

/// Guards against a key that was removed in history that the store has forgotten and that
/// stays in use, because the watch goes on from the present revision.
#[test]
fn after_forgotten_history_missing_keys_are_dropped() {
    let node = started();
    let mut position = WatchPosition::default();
    assert_eq!(position.watched(), None);
    let all = vec![evacuation("a", 3), evacuation("b", 4)];
    apply_operator_keys(&node, position.keys_read(read(all, 4)));
    assert_eq!(evacuated(&node), ["a", "b"]);
    assert_eq!(position.watched(), Some(Revision(4)));
    assert!(position.changes_read(None).is_none());
    assert_eq!(position.watched(), None);
    let all = vec![evacuation("b", 4), evacuation("c", 90)];
    apply_operator_keys(&node, position.keys_read(read(all, 95)));
    assert_eq!(evacuated(&node), ["b", "c"]);
    assert_eq!(position.watched(), Some(Revision(95)));
}

/// Guards against changes that are applied again because the watch goes back to an earlier
/// revision, of which the answer arrives late.
#[test]
fn a_watch_does_not_go_back() {
    let mut position = WatchPosition::default();
    position.keys_read(read(Vec::new(), 50));
    let event = position.changes_read(Some(read(vec![evacuation("a", 40)], 40)));
    assert!(matches!(event, Some(WatchEvent::Changes(items)) if items.len() == 1));
    assert_eq!(position.watched(), Some(Revision(50)));
}

/// Guards against an earlier configuration that replaces a later one, and brings a queue back
/// that was withdrawn.
#[test]
fn an_earlier_configuration_does_not_replace_a_later_one() {
    let node = started();
    apply_operator_keys(&node, WatchEvent::Snapshot(vec![config(5, "/old/", 1)]));
    assert!(serves(&node, "/old/1"));
    apply_operator_keys(&node, WatchEvent::Changes(vec![config(9, "/new/", 2)]));
    assert!(serves(&node, "/new/1") && !serves(&node, "/old/1"));
    for event in [
        WatchEvent::Changes(vec![config(5, "/old/", 1)]),
        WatchEvent::Snapshot(vec![config(8, "/old/", 1)]),
        WatchEvent::Changes(vec![config(9, "/old/", 3)]),
        WatchEvent::Changes(vec![key(CONFIG_KEY, None, 4)]),
        WatchEvent::Changes(vec![key(CONFIG_KEY, Some("{}".to_owned()), 5)]),
    ] {
        apply_operator_keys(&node, event);
        assert!(serves(&node, "/new/1") && !serves(&node, "/old/1"));
    }
}

/// Guards against a process that stands for election or serves callers before it has read all
/// keys of the operator: it would start tasks in domains that are evacuated.
#[test]
fn a_started_process_knows_nothing_before_it_has_read_all_keys() {
    let node = started();
    assert!(node.config().is_none() && !node.is_operator_state_known());
    apply_operator_keys(&node, WatchEvent::Changes(vec![evacuation("a", 7)]));
    assert!(!node.is_operator_state_known());
    let all = vec![config(2, "/q/", 3), evacuation("b", 4)];
    apply_operator_keys(&node, WatchEvent::Snapshot(all));
    assert!(node.is_operator_state_known() && serves(&node, "/q/1"));
    assert_eq!(evacuated(&node), ["b"]);
}
