//! Who votes on a term, and what a majority of votes proves.

use super::super::relay::HostReport;
use super::super::voters::{Ballot, Voter, choose_voters, needs_change};
use crate::dispatch::{EarlierLeader, LeaderTerm, VoterRecord, VoterSet};
use crate::model::{DomainName, HostName, Span};

const SET: u64 = 7;
const TOKEN: u64 = 500;

fn enroll(term: u64, set: u64) -> Ballot {
    Ballot::Enroll { term, set }
}

fn confirm(set: u64) -> Ballot {
    let token = TOKEN;
    Ballot::Confirm { set, token }
}

fn host(number: u8, domain: &str) -> HostReport {
    HostReport {
        host: HostName::new(format!("h{number}")),
        domain: DomainName::new(domain),
        peer_address: ([10, 0, 0, number], 7_300).into(),
        cores: 0.25,
        draining: false,
    }
}

fn set(term: u64, hosts: u8) -> VoterSet {
    VoterSet {
        term,
        id: SET,
        hosts: (0..hosts).map(|i| host(i, "a").peer_address).collect(),
    }
}

/// Guards against a term that is confirmed after its voters were asked to refuse it: each majority
/// shares a voter with any that are enough to refuse.
#[test]
fn a_majority_shares_a_voter_with_those_that_refuse() {
    for hosts in 0..20 {
        let set = set(1, hosts);
        assert!(set.majority() + set.blocking() > usize::from(hosts));
        assert!(set.blocking() <= usize::from(hosts));
    }
    // Without voters there is nobody to ask, and nobody who could confirm.
    assert_eq!(set(1, 0).blocking(), 0);
}

/// Guards against a voter that confirms a term after it was asked to refuse it, was started again
/// or knows a newer leader.
#[test]
fn a_voter_keeps_its_word() {
    let mut voter = Voter::default();
    let confirm = confirm(SET);
    assert!(!voter.vote(confirm, None));
    assert!(voter.vote(enroll(1, SET), None));
    assert!(voter.vote(confirm, None));
    assert!(voter.vote(confirm, Some(TOKEN)));
    assert!(!voter.vote(confirm, Some(TOKEN + 1)));
    assert!(voter.vote(Ballot::Refuse(SET), None));
    assert!(!voter.vote(confirm, None));
    // The call to enroll arrives once more, late.
    assert!(!voter.vote(enroll(1, SET), None));
    assert!(!voter.vote(confirm, None));
}

/// Guards against a voter that votes for two leaders at once.
#[test]
fn a_voter_of_the_next_leader_leaves_the_former_one() {
    let mut voter = Voter::default();
    for term in [1, 2] {
        assert!(voter.vote(enroll(term, SET + term), None));
    }
    assert!(!voter.vote(confirm(SET + 1), None));
    assert!(voter.vote(confirm(SET + 2), None));
}

/// Guards against voters of one failure domain, with which the majority would be lost.
#[test]
fn voters_are_spread_over_failure_domains() {
    let mut hosts: Vec<HostReport> = (0..20).map(|i| host(i, "a")).collect();
    hosts.extend((20..24).map(|i| host(i, "b")));
    hosts.extend((24..28).map(|i| host(i, "c")));
    hosts[20].draining = true;
    let chosen = choose_voters(&hosts);
    assert_eq!(chosen.len(), 9);
    for domain in ["a", "b", "c"] {
        let voters = hosts.iter().filter(|h| h.domain.as_str() == domain);
        let voters = voters.filter(|h| chosen.contains(&h.peer_address)).count();
        assert_eq!(voters, 3, "{domain}");
    }
    assert!(!chosen.contains(&hosts[20].peer_address));
    assert!(!needs_change(&chosen, &hosts));
    assert!(needs_change(&chosen[1..], &hosts));
    assert!(needs_change(&chosen, &hosts[1..]));
}

/// Guards against a term whose voters the next leader does not know, because it was elected by
/// an older version, and that would count as one without voters.
#[test]
fn the_next_term_knows_the_voters_of_those_before() {
    let earlier = [1, 2].map(|nonce| EarlierLeader {
        term: Some(LeaderTerm {
            nonce,
            address: host(1, "a").peer_address,
        }),
        age: Span::ZERO,
    });
    let stored = VoterRecord::default().with(set(2, 5)).with(set(9, 3));
    let next = VoterRecord::following(Some(&stored), &earlier, 3);
    assert_eq!(next.of_term(1), None);
    assert_eq!(next.of_term(2), Some(&set(2, 5)));
    assert_eq!(next.of_term(9), None);
    assert_eq!(next.of_term(3).map(VoterSet::blocking), Some(0));
    let changed = next.with(set(3, 4));
    assert_eq!(changed.of_term(3), Some(&set(3, 4)));
    assert_eq!(changed.sets.len(), 2);
}

/// Guards against a leader without a proof while the store is away because it was about to replace
/// its voters: the former ones vote on until the write of the new ones is answered.
#[test]
fn a_voter_votes_in_each_set_of_a_term() {
    let mut voter = Voter::default();
    for set in [SET, SET + 1] {
        assert!(voter.vote(enroll(1, set), None));
    }
    assert!(voter.vote(confirm(SET), None));
    assert!(voter.vote(confirm(SET + 1), None));
    // The next leader makes the set refuse that the store names.
    assert!(voter.vote(Ballot::Refuse(SET + 1), None));
    assert!(voter.vote(confirm(SET), None));
    assert!(!voter.vote(confirm(SET + 1), None));
}
