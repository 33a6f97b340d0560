use super::super::heartbeat::{HeartbeatSchedule, LoadPacker, MAX_DATAGRAM_BYTES};
use super::*;
use crate::model::Time;

fn seconds(s: u64) -> Time {
    Time::from_millis(s * 1_000)
}

/// Guards against a process that is considered gone after a single lost heartbeat, or never.
#[test]
fn liveness_follows_the_age_of_the_last_heartbeat() {
    let mut members = Membership::default();
    members.on_heartbeat(seconds(10), heartbeat("a", 1));
    let liveness = |members: &Membership| members.get(&"a".into()).unwrap().liveness;
    assert_eq!(members.update_liveness(seconds(14)), []);
    assert_eq!(liveness(&members), Liveness::Alive);
    assert_eq!(members.update_liveness(seconds(18)), []);
    assert_eq!(liveness(&members), Liveness::Suspect);
    assert_eq!(
        members.update_liveness(seconds(20)),
        [PeerEvent::Gone("a".into())]
    );
    assert_eq!(members.update_liveness(seconds(21)), [], "reported twice");
    assert_eq!(members.present().count(), 0);
    let back = members.on_heartbeat(seconds(30), heartbeat("a", 2));
    assert_eq!(back[0], PeerEvent::Restarted("a".into(), Incarnation(2)));
    assert_eq!(liveness(&members), Liveness::Alive);
}

/// Guards against a peer that stays alive forever by stating a huge interval.
#[test]
fn stated_intervals_are_capped() {
    let mut members = Membership::default();
    let mut slow = heartbeat("a", 1);
    slow.interval = Span::from_secs(1 << 40);
    members.on_heartbeat(seconds(0), slow);
    assert_eq!(
        members.update_liveness(seconds(600)),
        [PeerEvent::Gone("a".into())]
    );
}

/// Guards against heartbeats that use more than 3 KB/s in large deployments.
#[test]
fn heartbeats_stay_within_their_byte_budget() {
    for (near, far) in [(1, 0), (1, 12), (13, 0), (13, 168), (60, 600)] {
        let peers = |n: usize| vec!["127.0.0.1:1".parse().unwrap(); n];
        let mut schedule = HeartbeatSchedule::default();
        schedule.set_peers(peers(near), peers(far));
        let mut bytes = 0;
        let rounds = 3_000;
        for tenth in 10..10 + rounds {
            for due in schedule.due(Time::from_millis(tenth * 100)) {
                assert!(due.size <= MAX_DATAGRAM_BYTES);
                bytes += due.peers.len() * (due.size + 28);
            }
        }
        // The first heartbeats are due at once, in addition to the budget.
        let first = (near + far) * (MAX_DATAGRAM_BYTES + 28);
        let budget = 3_000 * rounds as usize / 10 + first;
        assert!(bytes <= budget, "{near}+{far}: {bytes} > {budget}");
    }
}

/// Guards against endpoints whose load is never sent because others fill each datagram.
#[test]
fn all_loads_are_sent_in_turn_and_changes_first() {
    let mut full = heartbeat("host-1/entry", 1);
    for n in 0..96 {
        full.loads.push(EndpointLoad {
            service: "booking".into(),
            endpoint: format!("booking-{n}").as_str().into(),
            inflight: 3,
        });
    }
    let mut packer = LoadPacker::default();
    let mut sent_endpoints = indexmap::IndexSet::new();
    for _ in 0..8 {
        let bytes = packer.pack(&full, 600).unwrap();
        assert!(bytes.len() + 128 <= 600);
        let sent: Heartbeat = postcard::from_bytes(&bytes).unwrap();
        sent_endpoints.extend(sent.loads.into_iter().map(|load| load.endpoint));
    }
    assert_eq!(sent_endpoints.len(), 96);
    full.loads.remove(50);
    let sent: Heartbeat = postcard::from_bytes(&packer.pack(&full, 600).unwrap()).unwrap();
    assert_eq!(sent.loads[0].inflight, 0);
    assert_eq!(sent.loads[0].endpoint.as_str(), "booking-50");
}
