//! Idle connections of a client.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use super::super::connections::{Connections, IdleLimits};
use crate::model::{Span, Time};

const LIMITS: IdleLimits = IdleLimits {
    count: 2,
    after_timeout: 1,
    timeout: Span::from_secs(10),
};

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

/// A peer that accepts all connections and never answers.
async fn peer() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Guards against connections that stay open although no call uses them any more.
#[tokio::test]
async fn connections_are_closed_when_their_idle_time_is_over() {
    let (_listener, peer) = peer().await;
    let connections = Connections::new(LIMITS);
    let connection = connections.open(peer).await.unwrap();
    connections.put(connection, 0, at(1_000));
    connections.close_unused(at(10_999));
    assert_eq!(connections.counts().idle, 1);
    connections.close_unused(at(11_000));
    assert_eq!(connections.counts().idle, 0);
    let connection = connections.open(peer).await.unwrap();
    connections.put(connection, 0, at(12_000));
    assert!(connections.take(peer, at(22_000)).is_none());
}

/// Guards against connections to all peers that are closed because of one.
#[tokio::test]
async fn giving_up_concerns_one_peer() {
    let ((_first, a), (_second, b)) = (peer().await, peer().await);
    let connections = Connections::new(LIMITS);
    for peer in [a, b] {
        let connection = connections.open(peer).await.unwrap();
        connections.put(connection, 0, at(1_000));
    }
    let silent = connections.take(a, at(1_100)).unwrap();
    assert_eq!(
        connections.timed_out(a, silent.generation(), at(1_200)),
        Some(0)
    );
    silent.close().await;
    assert!(connections.take(a, at(1_200)).is_none());
    assert!(connections.take(b, at(1_200)).is_some());
}

/// Guards against a late timeout of an earlier call that closes connections which work.
#[tokio::test]
async fn a_generation_is_given_up_once() {
    let (_listener, peer) = peer().await;
    let connections = Connections::new(LIMITS);
    let first = connections.open(peer).await.unwrap();
    let second = connections.open(peer).await.unwrap();
    assert_eq!(
        connections.timed_out(peer, first.generation(), at(900)),
        Some(0)
    );
    let sound = connections.open(peer).await.unwrap();
    connections.put(sound, 0, at(1_000));
    assert_eq!(
        connections.timed_out(peer, second.generation(), at(1_100)),
        None
    );
    assert_eq!(connections.counts().idle, 1);
}

/// Guards against a connection in use that outlives the end of what it was opened for, also if
/// the peer was forgotten in the meantime.
#[tokio::test]
async fn connections_in_use_are_closed_when_their_call_ends() {
    let (_listener, peer) = peer().await;
    let connections = Connections::new(LIMITS);
    let used = connections.open(peer).await.unwrap();
    connections.give_up_all();
    connections.close_unused(at(1_000));
    connections.put(used, 0, at(2_000));
    assert_eq!(connections.counts().idle, 0);
}

/// Guards against silences in a row that each take the places of a burst of calls at the peer.
#[tokio::test]
async fn fewer_connections_are_kept_after_a_timeout() {
    let (_listener, peer) = peer().await;
    let connections = Connections::new(LIMITS);
    let kept = async |waiting: usize, now: Time| {
        connections.give_up_all();
        for _ in 0..3 {
            let connection = connections.open(peer).await.unwrap();
            connections.put(connection, waiting, now);
        }
        connections.counts().idle
    };
    assert_eq!(kept(0, at(1_000)).await, 2);
    let silent = connections.take(peer, at(2_000)).unwrap();
    let closed = connections.timed_out(peer, silent.generation(), at(2_000));
    assert_eq!(closed, Some(1));
    assert_eq!(kept(0, at(3_000)).await, 1);
    assert_eq!(kept(1, at(3_000)).await, 2);
    connections.close_unused(at(121_999));
    assert_eq!(kept(0, at(121_999)).await, 1);
    connections.close_unused(at(122_000));
    assert_eq!(kept(0, at(122_000)).await, 2);
}
