mod calls;
mod heartbeats;
mod sealing;

use super::key::{Key, KeyRing};
use super::seal::Header;
use super::*;
use crate::model::{Incarnation, NodeName, Revision, Span};

/// A key ring with one generated key for each number.
fn key_ring(keys: &[u8]) -> KeyRing {
    let key = |n: &u8| Key::from_text(&format!("{n:040}")).unwrap();
    KeyRing::new(keys.iter().map(key).collect()).unwrap()
}

fn header(node: &str, incarnation: u64, counter: u64) -> Header {
    Header {
        node: node.into(),
        incarnation: Incarnation(incarnation),
        counter,
    }
}

fn heartbeat(node: &str, incarnation: u64) -> Heartbeat {
    Heartbeat {
        node: node.into(),
        incarnation: Incarnation(incarnation),
        role: Role::Entry,
        address: "127.0.0.1:1".parse().unwrap(),
        interval: Span::from_millis(1_000),
        domain: "d".into(),
        draining: false,
        revision: Revision(1),
        evidence: None,
        loads: Vec::new(),
        shards: Vec::new(),
    }
}

fn own_name() -> NodeName {
    "me".into()
}
