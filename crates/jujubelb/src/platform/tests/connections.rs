//! Idle connections of a client.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use super::super::connections::Connections;
use crate::model::{Span, Time};

const IDLE_TIMEOUT: Span = Span::from_secs(10);

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
    let connections = Connections::new(IDLE_TIMEOUT);
    let connection = connections.open(peer).await.unwrap();
    connections.put(connection, at(1_000));
    connections.close_unused(at(10_999));
    assert_eq!(connections.counts().idle, 1);
    connections.close_unused(at(11_000));
    assert_eq!(connections.counts().idle, 0);
    let connection = connections.open(peer).await.unwrap();
    connections.put(connection, at(12_000));
    assert!(connections.take(peer, at(22_000)).is_none());
}

/// Guards against connections to all peers that are closed because of one.
#[tokio::test]
async fn giving_up_concerns_one_peer() {
    let ((_first, a), (_second, b)) = (peer().await, peer().await);
    let connections = Connections::new(IDLE_TIMEOUT);
    for peer in [a, b] {
        let connection = connections.open(peer).await.unwrap();
        connections.put(connection, at(1_000));
    }
    let silent = connections.take(a, at(1_100)).unwrap();
    assert_eq!(connections.give_up(a, silent.generation()), Some(0));
    silent.close().await;
    assert!(connections.take(a, at(1_200)).is_none());
    assert!(connections.take(b, at(1_200)).is_some());
}

/// Guards against a late timeout of an earlier call that closes connections which work.
#[tokio::test]
async fn a_generation_is_given_up_once() {
    let (_listener, peer) = peer().await;
    let connections = Connections::new(IDLE_TIMEOUT);
    let first = connections.open(peer).await.unwrap();
    let second = connections.open(peer).await.unwrap();
    assert_eq!(connections.give_up(peer, first.generation()), Some(0));
    let sound = connections.open(peer).await.unwrap();
    connections.put(sound, at(1_000));
    assert_eq!(connections.give_up(peer, second.generation()), None);
    assert_eq!(connections.counts().idle, 1);
}

/// Guards against a connection in use that outlives the end of what it was opened for, also if
/// the peer was forgotten in the meantime.
#[tokio::test]
async fn connections_in_use_are_closed_when_their_call_ends() {
    let (_listener, peer) = peer().await;
    let connections = Connections::new(IDLE_TIMEOUT);
    let used = connections.open(peer).await.unwrap();
    connections.give_up_all();
    connections.close_unused(at(1_000));
    connections.put(used, at(2_000));
    assert_eq!(connections.counts().idle, 0);
}
