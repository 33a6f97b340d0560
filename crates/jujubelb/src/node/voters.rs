//! Votes on whether a term is the newest one, see [`VoterSet`]: what a host answers, which
//! hosts a leader chooses, and the calls between them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use super::election;
use super::leader::ActiveTerm;
use super::peers::{self, PeerRequest, PeerResponse};
use super::relay::HostReport;
use super::state::{KnownLeader, Node, lock, sleep};
use crate::dispatch::{LeaderTerm, VoterRecord, VoterSet};
use crate::model::{DomainName, Span, Time};
use crate::platform::{Revision, TxnError};

/// Largest number of voters. More of them bear the loss of more hosts, of which a majority
/// has to answer.
const MAX_VOTERS: usize = 9;

/// Sets of which a host remembers that it has refused them. A call to enroll in one that
/// arrives late must not undo that.
const MAX_REFUSED_SETS: usize = 32;

/// Interval of checking the voters, and of asking them while the store does not answer.
const VOTE_INTERVAL: Span = Span::from_millis(300);

/// Age of the last proof that the term is the newest from which the voters are asked. Longer
/// than two intervals of renewals.
const MAX_PROOF_AGE: Span = Span::from_millis(1_100);

/// Shortest time between two changes of the voters.
const MIN_CHANGE_INTERVAL: Span = Span::from_secs(2);

/// Timeout of a call to a voter, which answers from memory.
const VOTE_TIMEOUT: Span = Span::from_millis(400);

/// Largest number of sets of which it is open which one the store names. Each takes a call to
/// each of its voters for a proof.
const MAX_POSSIBLE_SETS: usize = 3;

/// A request to a voter, with the identifier of the set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Ballot {
    /// Asks the host to become a voter of the set.
    Enroll {
        /// Nonce of the term.
        term: u64,
        set: u64,
    },
    /// Asks whether the host knows of no leader after the one with this token.
    Confirm { set: u64, token: u64 },
    /// Asks the host never to confirm the term of the set again.
    Refuse(u64),
}

/// The votes of a host. It votes for one term at a time, in any number of its sets.
#[derive(Debug, Default)]
pub(crate) struct Voter {
    /// Nonce of the term.
    term: Option<u64>,
    enrolled: IndexSet<u64>,
    /// The last sets that it was asked to refuse.
    refused: VecDeque<u64>,
}

impl Voter {
    /// Answers a request. `newest` is the token of the newest leader that the host knows.
    pub(crate) fn vote(&mut self, ballot: Ballot, newest: Option<u64>) -> bool {
        match ballot {
            Ballot::Enroll { term, set } => {
                let is_refused = self.refused.contains(&set);
                if !is_refused {
                    if self.term.replace(term) != Some(term) {
                        self.enrolled.clear();
                    }
                    self.enrolled.insert(set);
                }
                !is_refused
            }
            Ballot::Confirm { set, token } => {
                self.enrolled.contains(&set) && newest.is_none_or(|known| known <= token)
            }
            Ballot::Refuse(set) => {
                self.enrolled.swap_remove(&set);
                if !self.refused.contains(&set) {
                    self.refused.push_back(set);
                }
                if self.refused.len() > MAX_REFUSED_SETS {
                    self.refused.pop_front();
                }
                true
            }
        }
    }
}

/// Chooses the voters among the hosts that have announced themselves: as many of each failure
/// domain as possible, so that the loss of one leaves a majority.
pub(crate) fn choose_voters(hosts: &[HostReport]) -> Vec<SocketAddr> {
    let mut domains: IndexMap<&DomainName, Vec<&HostReport>> = IndexMap::new();
    for host in hosts.iter().filter(|h| !h.draining) {
        domains.entry(&host.domain).or_default().push(host);
    }
    domains.sort_keys();
    for hosts in domains.values_mut() {
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
    }
    let most = domains.values().map(Vec::len).max().unwrap_or_default();
    let rounds = (0..most).flat_map(|i| domains.values().filter_map(move |hosts| hosts.get(i)));
    rounds.map(|h| h.peer_address).take(MAX_VOTERS).collect()
}

/// Whether the voters should be replaced by those that would be chosen now: one is gone, or
/// there are more hosts than before.
pub(crate) fn needs_change(voters: &[SocketAddr], hosts: &[HostReport]) -> bool {
    let is_there = |voter: &SocketAddr| {
        let mut hosts = hosts.iter().filter(|h| !h.draining);
        hosts.any(|h| h.peer_address == *voter)
    };
    !voters.iter().all(is_there) || choose_voters(hosts).len() > voters.len()
}

/// Sends a request to a voter. Returns false if it does not answer.
async fn call_voter(node: &Node, voter: SocketAddr, ballot: Ballot) -> bool {
    if voter == node.settings.peer_address {
        return node.vote(ballot);
    }
    let request = PeerRequest::Vote(ballot);
    matches!(
        peers::call_peer(node, voter, &request, VOTE_TIMEOUT).await,
        Ok(PeerResponse::Vote(true))
    )
}

/// Sends a request to voters. Returns those that agree, as soon as there are `enough`.
async fn poll_voters(
    node: &Arc<Node>,
    voters: &[SocketAddr],
    ballot: Ballot,
    enough: usize,
) -> IndexSet<SocketAddr> {
    let mut calls = JoinSet::new();
    for voter in voters.iter().copied() {
        let node = node.clone();
        calls.spawn(async move {
            let agrees = call_voter(&node, voter, ballot).await;
            agrees.then_some(voter)
        });
    }
    let mut agreeing = IndexSet::new();
    while agreeing.len() < enough
        && let Some(answer) = calls.join_next().await
    {
        agreeing.extend(answer.ok().flatten());
    }
    agreeing
}

/// Keeps the voters of a term: enrolls hosts and stores them, and asks them whether the term is
/// the newest while the store does not answer. `elected` is the revision of the election.
/// Never returns, since the return of a term's task ends the term.
pub(crate) async fn maintain_voters(
    node: Arc<Node>,
    term: Arc<ActiveTerm>,
    leader: LeaderTerm,
    elected: Revision,
    mut record: VoterRecord,
) {
    // The last of the sets that the store may name. There are several while writes of new ones
    // have no answer; the next leader makes one of them refuse, so a proof needs a majority of each.
    let mut possible = vec![VoterSet::empty(leader.nonce)];
    let mut changed = Time::ZERO;
    loop {
        sleep(VOTE_INTERVAL).await;
        let asked = node.now();
        let age = asked.since(term.authority());
        if age > MAX_PROOF_AGE {
            if is_confirmed(&node, &possible, elected.0).await {
                term.confirmed_newest(asked);
            }
            continue;
        }
        let hosts = term.hosts(asked);
        let is_outdated = possible
            .last()
            .is_none_or(|s| needs_change(&s.hosts, &hosts));
        let is_stored = possible.len() == 1;
        if asked.since(changed) < MIN_CHANGE_INTERVAL || (is_stored && !is_outdated) {
            continue;
        }
        changed = asked;
        if is_outdated && possible.len() < MAX_POSSIBLE_SETS {
            possible.push(enroll_voters(&node, leader, &hosts).await);
        }
        let Some(next) = possible.last().cloned() else {
            continue;
        };
        record = record.with(next.clone());
        match election::store_voters(&node, elected, &record).await {
            Ok(()) => {
                log::info!(voters:? = next.hosts; "voters of the term chosen");
                possible = vec![next];
            }
            // A newer leader was elected; the renewal of the lease ends the term.
            Err(TxnError::Conflict) => log::warn!("voters not stored: there is a newer leader"),
            Err(error) => {
                log::warn!(sets = possible.len(), error:% = error; "voters not stored; trying again");
            }
        }
    }
}

/// Enrolls hosts as a new set of voters. The hosts that do not answer are not part of it.
async fn enroll_voters(node: &Arc<Node>, leader: LeaderTerm, hosts: &[HostReport]) -> VoterSet {
    let id = rand::random();
    let chosen = choose_voters(hosts);
    let ballot = Ballot::Enroll {
        term: leader.nonce,
        set: id,
    };
    let enrolled = poll_voters(node, &chosen, ballot, chosen.len()).await;
    VoterSet {
        term: leader.nonce,
        id,
        hosts: enrolled.into_iter().collect(),
    }
}

/// Whether a majority of each of these sets knows of no leader after the one with this token.
async fn is_confirmed(node: &Arc<Node>, sets: &[VoterSet], token: u64) -> bool {
    for voters in sets {
        let (set, majority) = (voters.id, voters.majority());
        let ballot = Ballot::Confirm { set, token };
        let agreeing = poll_voters(node, &voters.hosts, ballot, majority).await;
        if !voters.hosts.is_empty() {
            log::info!(voters = voters.hosts.len(), agreeing = agreeing.len(), sets = sets.len(); "voters asked whether the term is the newest");
        }
        if agreeing.len() < majority {
            return false;
        }
    }
    true
}

/// Asks the voters of an earlier term to refuse it, until no majority can confirm it any more
/// or its leader can't act for another reason.
pub(crate) async fn end_authority(
    node: &Arc<Node>,
    term: &ActiveTerm,
    leader: LeaderTerm,
    voters: &VoterSet,
) {
    let mut refusing = IndexSet::new();
    loop {
        let mut missing = voters.hosts.clone();
        missing.retain(|voter| !refusing.contains(voter));
        let enough = voters.blocking().saturating_sub(refusing.len());
        refusing.extend(poll_voters(node, &missing, Ballot::Refuse(voters.id), enough).await);
        if refusing.len() >= voters.blocking() {
            log::info!(leader:% = leader.address, voters = voters.hosts.len(), refusing = refusing.len(); "the term of an earlier leader can't be confirmed any more");
            term.leader_stopped(leader.nonce, node.now());
            return;
        }
        if !term.may_act(leader, node.now()) {
            return;
        }
        sleep(VOTE_INTERVAL).await;
    }
}

impl Node {
    /// Answers a request to this host as a voter.
    pub(crate) fn vote(&self, ballot: Ballot) -> bool {
        let newest = match self.leader() {
            KnownLeader::Present(_, revision) => Some(revision.0),
            KnownLeader::Unknown | KnownLeader::Absent => None,
        };
        let agrees = lock(&self.voter).vote(ballot, newest);
        log::debug!(ballot:? = ballot, agrees = agrees; "vote given");
        agrees
    }
}
