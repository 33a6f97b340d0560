use super::super::beat::{DATAGRAM, Packer, Plan};
use super::*;
use crate::model::Time;

fn seconds(s: u64) -> Time {
    Time::from_millis(s * 1_000)
}

/// Guards against a process that is taken for gone after a single lost heartbeat, or never.
#[test]
fn standing_follows_the_age_of_the_heartbeat() {
    let mut members = Membership::default();
    members.heard(seconds(10), beat("a", 1));
    let standing = |members: &Membership| members.get(&"a".into()).unwrap().standing;
    assert_eq!(members.tick(seconds(14)), []);
    assert_eq!(standing(&members), Standing::Alive);
    assert_eq!(members.tick(seconds(18)), []);
    assert_eq!(standing(&members), Standing::Suspect);
    assert_eq!(members.tick(seconds(20)), [News::Gone("a".into())]);
    assert_eq!(members.tick(seconds(21)), [], "told twice");
    assert_eq!(members.present().count(), 0);
    let back = members.heard(seconds(30), beat("a", 2));
    assert_eq!(back[0], News::Restarted("a".into(), Incarnation(2)));
    assert_eq!(standing(&members), Standing::Alive);
}

/// Guards against a peer that stays alive forever by stating a huge interval.
#[test]
fn huge_intervals_are_not_believed() {
    let mut members = Membership::default();
    let mut slow = beat("a", 1);
    slow.every = Span::from_secs(1 << 40);
    members.heard(seconds(0), slow);
    assert_eq!(members.tick(seconds(600)), [News::Gone("a".into())]);
}

/// Guards against heartbeats that use more than 3 KB/s in large deployments.
#[test]
fn heartbeats_stay_within_their_byte_budget() {
    for (near, far) in [(1, 0), (1, 12), (13, 0), (13, 168), (60, 600)] {
        let peers = |n: usize| vec!["127.0.0.1:1".parse().unwrap(); n];
        let mut plan = Plan::default();
        plan.set_peers(peers(near), peers(far));
        let mut bytes = 0;
        let rounds = 3_000;
        for tenth in 10..10 + rounds {
            for due in plan.due(Time::from_millis(tenth * 100)) {
                assert!(due.size <= DATAGRAM);
                bytes += due.peers.len() * (due.size + 28);
            }
        }
        // The first heartbeats are sent at once, hence one round more.
        let first = (near + far) * (DATAGRAM + 28);
        let budget = 3_000 * rounds as usize / 10 + first;
        assert!(bytes <= budget, "{near}+{far}: {bytes} > {budget}");
    }
}

/// Guards against endpoints whose use is never told because the first ones fill the datagram.
#[test]
fn all_loads_are_told_in_turn_and_changes_first() {
    let mut whole = beat("host-1/entry", 1);
    for n in 0..96 {
        whole.loads.push(EndpointLoad {
            service: "booking".into(),
            endpoint: format!("booking-{n}").as_str().into(),
            inflight: 3,
        });
    }
    let mut packer = Packer::default();
    let mut told = indexmap::IndexSet::new();
    for _ in 0..8 {
        let bytes = packer.pack(&whole, 600).unwrap();
        assert!(bytes.len() + 128 <= 600);
        let sent: Heartbeat = postcard::from_bytes(&bytes).unwrap();
        told.extend(sent.loads.into_iter().map(|load| load.endpoint));
    }
    assert_eq!(told.len(), 96);
    whole.loads.remove(50);
    let sent: Heartbeat = postcard::from_bytes(&packer.pack(&whole, 600).unwrap()).unwrap();
    assert_eq!(sent.loads[0].inflight, 0);
    assert_eq!(sent.loads[0].endpoint.as_str(), "booking-50");
}
