//! Generations of the connections to each peer.

use std::net::{IpAddr, SocketAddr};

use super::super::generations::{MIN_GENERATION_AGE, PeerGenerations, host_name, parse_host_name};
use crate::model::{Span, Time};

fn peer(port: u16) -> SocketAddr {
    ([10, 1, 0, 9], port).into()
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

/// Guards against a peer that hangs and gets another set of connections with each call.
#[test]
fn a_peer_that_goes_on_timing_out_keeps_its_generation_for_a_while() {
    let mut peers = PeerGenerations::default();
    assert_eq!(peers.timed_out(peer(80), None, at(1_000)), Some(1));
    assert_eq!(peers.timed_out(peer(80), None, at(1_001)), None);
    for ms in (1_002..1_000 + MIN_GENERATION_AGE.as_millis()).step_by(400) {
        assert_eq!(peers.timed_out(peer(80), Some(1), at(ms)), None);
    }
    let later = at(1_000) + MIN_GENERATION_AGE;
    assert_eq!(peers.timed_out(peer(80), None, later), None);
    assert_eq!(peers.timed_out(peer(80), Some(1), later), Some(2));
}

/// Guards against connections to all peers that are closed because of one.
#[test]
fn a_timeout_concerns_its_own_peer() {
    let mut peers = PeerGenerations::default();
    assert_eq!(peers.timed_out(peer(80), None, at(1_000)), Some(1));
    assert_eq!(peers.timed_out(peer(81), None, at(1_100)), Some(2));
    let present = [80, 81, 82].map(|port| peers.current(peer(port)));
    assert_eq!(present, [Some(1), Some(2), None]);
}

/// Guards against a record that grows with each lost worker, and against numbers that are reused.
#[test]
fn old_generations_are_forgotten_and_their_numbers_not_used_again() {
    let mut peers = PeerGenerations::default();
    peers.timed_out(peer(80), None, at(1_000));
    let later = Span::from_secs(600);
    assert_eq!(peers.timed_out(peer(81), None, at(1_000) + later), Some(2));
    assert_eq!(peers.current(peer(80)), None);
    assert_eq!(peers.timed_out(peer(80), None, at(2_000) + later), Some(3));
}

/// Guards against a call that goes to another address than that of its peer.
#[test]
fn the_name_of_a_generation_stands_for_the_address() {
    for text in ["10.1.0.9", "::1", "fe80::1:2", "::ffff:10.1.0.9"] {
        let ip: IpAddr = text.parse().unwrap();
        assert_eq!(parse_host_name(&host_name(ip, 17)), Some(ip), "{text}");
    }
    for name in ["localhost", "10.1.0.9", "10.1.0.9.x1", "10.1.0.9.g", "a.g1"] {
        assert_eq!(parse_host_name(name), None, "{name}");
    }
}
