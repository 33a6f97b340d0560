//! Leader election through a key of the store that is bound to a lease.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use tokio::sync::Notify;

use super::candidacy::{Candidate, Incumbent, Strength};
use super::keys::{self, ChainMark, Leader, Resignation, TermRecord};
use super::leader::{self, ActiveTerm};
use super::state::{KnownLeader, Node, lock, sleep};
use super::watch::{WatchEvent, WatchOptions, WatchPosition, watch_prefix};
use crate::dispatch::{EarlierLeader, EarlierLeaders, LeaderTerm, Succession, Term, VoterRecord};
use crate::model::{Span, Time};
use crate::platform::{CallError, KeyState, LeaseId, ReadResult, Revision, Txn, TxnError};

/// Lease of the leader key. Short, so that a dead leader is replaced well before the
/// leases of running tasks end, but long enough for two failed renewals.
const LEADER_LEASE: Span = Span::from_millis(2_000);

/// Longest time that the store may hold a watch of the leader key open.
const WATCH_WAIT: Span = Span::from_millis(1_000);

/// Pause between two watch calls for the leader key, which seldom changes.
const WATCH_PAUSE: Span = Span::from_millis(50);

/// Pause after a failed election attempt, and longest time between two checks of
/// whether there is a leader.
const RETRY_PAUSE: Span = Span::from_millis(300);

/// Longest wait for the number of workers after the term was read. The number only decides
/// how long a host waits, so one slow answer must not hold up the election.
const MARK_WAIT: Span = Span::from_millis(100);

/// Interval of checking whether the leader should make room for a stronger host.
const HANDOVER_CHECK_INTERVAL: Span = Span::from_millis(500);

/// Watches the leader key.
pub(crate) async fn watch_leader(node: Arc<Node>) {
    let options = WatchOptions {
        prefix: keys::SYSTEM_PREFIX,
        wait: WATCH_WAIT,
        pause: WATCH_PAUSE,
    };
    let observer = node.clone();
    watch_prefix(node, options, WatchPosition::default(), move |event| {
        let leader = |item: &KeyState| {
            let value = item.value.as_deref()?;
            let leader = keys::decode::<Leader>(&item.key, value)?;
            Some(KnownLeader::Present(leader, item.revision))
        };
        let found = |items: &[KeyState]| items.iter().rfind(|i| i.key == keys::LEADER).map(leader);
        match event {
            WatchEvent::Snapshot(items) => {
                let seen = found(&items).flatten();
                observer.set_leader(seen.unwrap_or(KnownLeader::Absent));
            }
            WatchEvent::Changes(items) => {
                if let Some(seen) = found(&items) {
                    observer.set_leader(seen.unwrap_or(KnownLeader::Absent));
                }
            }
        }
    })
    .await;
}

/// Stands for election whenever there is no leader, and leads the terms that this
/// host wins, until the process drains.
pub(crate) async fn run_elections(node: Arc<Node>) {
    // A term that ended by a panic has left these behind; its tasks have ended with it.
    node.set_active_term(None);
    node.set_term_nonce(None);
    loop {
        let changed = node.state_changed.notified();
        if node.is_draining() {
            return;
        }
        // A leader that does not know yet which domains are evacuated would start tasks there.
        if node.leader() != KnownLeader::Absent || !node.is_operator_state_known() {
            tokio::select! { () = changed => {}, () = sleep(RETRY_PAUSE) => {} }
            continue;
        }
        match campaign(&node).await {
            Ok(Some(win)) => leader::lead_term(&node, win).await,
            Ok(None) => sleep(RETRY_PAUSE).await,
            Err(error) => {
                log::warn!(error:% = error; "election attempt failed");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// A won election.
#[derive(Debug)]
pub(crate) struct ElectionWin {
    pub(crate) term: Term,
    pub(crate) lease: LeaseId,
    pub(crate) nonce: u64,
    /// Revision of the [`keys::COMMIT_CHAIN`] key.
    pub(crate) chain_revision: Revision,
    /// A time before the lease was granted; the lease can't end earlier than its
    /// length after this.
    pub(crate) lease_requested: Time,
    /// Earlier leaders that are not known to have stopped.
    pub(crate) earlier: EarlierLeaders,
    /// Voters of this term, which has none yet, and of those of earlier leaders.
    pub(crate) voters: VoterRecord,
    /// The term as other hosts are told of it.
    pub(crate) leader: LeaderTerm,
    /// Whether the previous leader has made room for a stronger host.
    pub(crate) after_handover: bool,
    /// Last known number of workers; 0 if it is not known.
    pub(crate) workers: u32,
}

/// Tries to become the leader. Returns `None` if another host leads or won, or if the
/// process drains.
async fn campaign(node: &Node) -> Result<Option<ElectionWin>, CallError> {
    let sent = node.now();
    let term_read = Notify::new();
    let read_term = async {
        let result = node.kv.get(keys::TERM).await;
        term_read.notify_one();
        (result, node.now().since(sent))
    };
    let read_mark = async {
        let overdue = async {
            term_read.notified().await;
            sleep(MARK_WAIT).await;
        };
        tokio::select! {
            result = node.kv.get_stale(keys::COMMIT_CHAIN) => {
                node.record_store_call("key", sent, result).ok()
            }
            () = overdue => None,
        }
    };
    let ((term, round_trip), mark) = tokio::join!(read_term, read_mark);
    let term = node.record_store_call("key", sent, term)?;
    let candidate = Candidate {
        strength: own_strength(node),
        uptime: node.now().since(Time::ZERO),
        round_trip,
        workers: mark.map_or(0, known_workers),
    };
    let delay = candidate.delay();
    log::debug!(candidate:? = candidate, delay:% = delay; "standing for election after the delay");
    sleep(delay).await;
    if node.leader() != KnownLeader::Absent || node.is_draining() {
        return Ok(None);
    }
    let lease_requested = node.now();
    let ttl = LEADER_LEASE.max(node.settings.min_lease_ttl);
    let (lease, _) =
        node.record_store_call("lease", lease_requested, node.kv.grant_lease(ttl).await)?;
    let last = term
        .content
        .as_ref()
        .and_then(|i| keys::decode::<TermRecord>(keys::TERM, i.value.as_deref()?));
    let earlier_terms = last.as_ref().map_or(0, |t| t.count);
    let has_terms = term.content.is_some();
    let term_revision = term.content.map_or(Revision::default(), |i| i.revision);
    // Read after the term key: if another host wins in between, the term key changes
    // and the transaction below fails.
    let resignation = match read_value::<Resignation>(node, keys::RESIGNED).await {
        Ok(resignation) => resignation,
        Err(error) => {
            log::warn!(error:% = error; "can't read whether the last leader resigned; assuming it did not");
            None
        }
    };
    let resignation =
        resignation.filter(|r| last.as_ref().is_some_and(|l| l.leader.nonce == r.nonce));
    let after_handover = resignation.is_some_and(|r| r.handed_over);
    let stored = match read_value::<Succession>(node, keys::SUCCESSION).await {
        Ok(stored) => stored,
        Err(error) => {
            log::warn!(error:% = error; "can't read which earlier leaders may still act; assuming any");
            None
        }
    };
    let nonce = rand::random();
    node.set_term_nonce(Some(nonce));
    let leader = Leader {
        host: node.settings.host.clone(),
        peer_address: node.settings.peer_address,
        nonce,
    };
    let record = TermRecord {
        count: earlier_terms + 1,
        leader: leader.clone(),
    };
    let mark = ChainMark {
        nonce,
        workers: candidate.workers,
    };
    let resigned = resignation.is_some();
    let succession = match &last {
        Some(last) => Succession::following(last.leader.term(), resigned, stored.as_ref(), nonce),
        None if has_terms => Succession::unknown(nonce),
        None => Succession::empty(nonce),
    };
    // The last leader may rewrite this until the election, which therefore expects what was read.
    let sent = node.now();
    let stored = node.record_store_call("key", sent, node.kv.get(keys::VOTERS).await)?;
    let voters_revision = stored.content.as_ref().map(|i| i.revision);
    let stored = stored
        .content
        .and_then(|i| keys::decode::<VoterRecord>(keys::VOTERS, i.value.as_deref()?));
    let voters = VoterRecord::following(stored.as_ref(), &succession.earlier, nonce);
    let txn = election_txn(&record, mark, lease, term_revision, &succession)
        .expect(keys::VOTERS, voters_revision.unwrap_or_default())
        .put(keys::VOTERS, &keys::encode(&voters), None);
    let revision = match node.kv.txn(&txn).await {
        Ok(revision) => revision,
        Err(TxnError::Conflict | TxnError::LeaseExpired) => {
            revoke_lease(node, lease).await;
            node.set_term_nonce(None);
            return Ok(None);
        }
        Err(TxnError::Call(error)) => match find_own_win(node, nonce).await {
            Some(revision) => revision,
            None => {
                // Once the lease is revoked, a transaction that arrives late fails.
                revoke_lease(node, lease).await;
                node.set_term_nonce(None);
                return Err(error);
            }
        },
    };
    let earlier = EarlierLeaders::new(&succession, node.now());
    log::info!(term = earlier_terms, resigned = resigned, earlier:? = succession.earlier, after_handover = after_handover, workers = candidate.workers, cores = candidate.strength.cores, delay:% = delay, token = revision.0, lease:% = lease; "election won");
    let leader_term = leader.term();
    node.set_leader(KnownLeader::Present(leader, revision));
    Ok(Some(ElectionWin {
        term: Term {
            token: revision.0,
            number: earlier_terms,
        },
        lease,
        nonce,
        chain_revision: revision,
        lease_requested,
        earlier,
        voters,
        leader: leader_term,
        after_handover,
        workers: candidate.workers,
    }))
}

/// The transaction that makes a host the leader. What is known of earlier leaders is stored
/// at once, because the new leader may be lost before it writes again.
pub(crate) fn election_txn(
    record: &TermRecord,
    mark: ChainMark,
    lease: LeaseId,
    term_revision: Revision,
    succession: &Succession,
) -> Txn {
    Txn::default()
        .expect(keys::LEADER, Revision::default())
        .expect(keys::TERM, term_revision)
        .put(keys::LEADER, &keys::encode(&record.leader), Some(lease))
        .put(keys::TERM, &keys::encode(record), None)
        .put(keys::COMMIT_CHAIN, &keys::encode(&mark), None)
        .put(keys::SUCCESSION, &keys::encode(succession), None)
}

fn own_strength(node: &Node) -> Strength {
    Strength {
        cores: node.settings.cpu_cores,
        link_mbps: node.settings.link_mbps,
    }
}

/// The number of workers that the last leader has noted; 0 if it is not known.
fn known_workers(read: ReadResult<Option<KeyState>>) -> u32 {
    read.content
        .and_then(|item| item.value)
        .and_then(|value| keys::decode::<ChainMark>(keys::COMMIT_CHAIN, &value))
        .map_or(0, |mark| mark.workers)
}

/// Reads and decodes the value of a key.
async fn read_value<T: DeserializeOwned>(node: &Node, key: &str) -> Result<Option<T>, CallError> {
    let item = node.kv.get(key).await?.content;
    Ok(item.and_then(|i| keys::decode(key, i.value.as_deref()?)))
}

/// Waits until the leader of a term should make room for a stronger host, and marks the
/// term as one that hands over.
pub(crate) async fn await_successor(node: Arc<Node>, term: Arc<ActiveTerm>, after_handover: bool) {
    let began = node.now();
    loop {
        sleep(HANDOVER_CHECK_INTERVAL).await;
        let now = node.now();
        let incumbent = Incumbent {
            strength: own_strength(&node),
            workers: term.worker_count(),
            term_age: now.since(began),
            after_handover,
            store_calm: node.store_calm(),
        };
        let successor = lock(&term.successors).choose(&incumbent, now);
        if let Some(successor) = successor {
            log::warn!(incumbent:? = incumbent, needed:? = Strength::needed(incumbent.workers), successor:% = successor; "the leader is too weak; handing over");
            term.mark_handover();
            return;
        }
    }
}

/// Stores the earlier leaders that may still act. The write has no effect once a newer leader
/// was elected, whose record it would replace; `elected` is the revision of the own election.
pub(crate) async fn store_succession(
    node: &Node,
    elected: Revision,
    succession: &Succession,
) -> Result<(), TxnError> {
    let txn = Txn::default().expect(keys::TERM, elected).put(
        keys::SUCCESSION,
        &keys::encode(succession),
        None,
    );
    node.kv.txn(&txn).await.map(|_| ())
}

/// Stores the voters of the own term. The write has no effect once a newer leader was elected,
/// which has read what was stored before.
pub(crate) async fn store_voters(
    node: &Node,
    elected: Revision,
    voters: &VoterRecord,
) -> Result<(), TxnError> {
    let txn =
        Txn::default()
            .expect(keys::TERM, elected)
            .put(keys::VOTERS, &keys::encode(voters), None);
    node.kv.txn(&txn).await.map(|_| ())
}

/// How a term ended.
#[derive(Debug, Clone, Default)]
pub(crate) struct TermEnd {
    /// Earlier leaders that may still act.
    pub(crate) earlier: Vec<EarlierLeader>,
    /// Whether the leader has made room for a stronger host.
    pub(crate) handed_over: bool,
}

/// Records that the leader with this nonce has stopped and calls no worker any more. A newer
/// leader, which has read the resignation before, asks the host instead.
pub(crate) async fn resign(node: &Node, nonce: u64, elected: Revision, end: TermEnd) {
    let resignation = Resignation {
        nonce,
        handed_over: end.handed_over,
    };
    let succession = Succession {
        nonce,
        earlier: end.earlier,
    };
    let txn = Txn::default()
        .expect(keys::TERM, elected)
        .put(keys::RESIGNED, &keys::encode(&resignation), None)
        .put(keys::SUCCESSION, &keys::encode(&succession), None);
    match node.kv.txn(&txn).await {
        Ok(_) => {}
        Err(TxnError::Conflict) => {
            log::info!("resignation not stored: there is a newer leader, which asks this host");
        }
        Err(error) => {
            log::warn!(error:% = error; "resignation not stored; the next leader has to wait longer");
        }
    }
}

/// Reads whether an election transaction without a response was made. Returns its
/// revision if so.
async fn find_own_win(node: &Node, nonce: u64) -> Option<Revision> {
    let item = node.kv.get(keys::LEADER).await.ok()?.content?;
    let leader: Leader = keys::decode(keys::LEADER, item.value.as_deref()?)?;
    (leader.nonce == nonce).then_some(item.revision)
}

/// Revokes a lease. If that fails, the lease expires.
pub(crate) async fn revoke_lease(node: &Node, lease: LeaseId) {
    if let Err(error) = node.kv.revoke_lease(lease).await {
        log::warn!(lease:% = lease, error:% = error; "lease not revoked; it will expire");
    }
}
