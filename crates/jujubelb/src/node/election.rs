//! Leader election through a key of the store that is bound to a lease.

use std::sync::Arc;

use super::keys::{self, Leader, TermRecord};
use super::leader;
use super::state::{KnownLeader, Node, sleep};
use super::watch::{WatchEvent, WatchOptions, watch_prefix};
use crate::dispatch::Term;
use crate::model::{Span, Time};
use crate::platform::{CallError, KeyState, LeaseId, Revision, Txn, TxnError};

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

/// A host delays its candidacy by this many round trips to the store, so that a host
/// near the store wins.
const ROUND_TRIP_FACTOR: u64 = 8;

/// Additional delay of a host without processor capacity. It shrinks to zero at one
/// core, so that a host with enough capacity wins.
const MAX_CAPACITY_DELAY: Span = Span::from_millis(250);

/// Uptime up to which a host counts as recently restarted.
const RECENT_RESTART: Span = Span::from_secs(20);

/// Additional delay of a host that was not recently restarted.
const UPTIME_DELAY: Span = Span::from_millis(120);

/// Watches the leader key.
pub(crate) async fn watch_leader(node: Arc<Node>) {
    let options = WatchOptions {
        prefix: keys::SYSTEM_PREFIX,
        wait: WATCH_WAIT,
        pause: WATCH_PAUSE,
    };
    let observer = node.clone();
    watch_prefix(node, options, move |event| {
        let leader = |item: &KeyState| {
            let value = item.value.as_deref()?;
            keys::decode::<Leader>(&item.key, value)
        };
        let found = |items: &[KeyState]| items.iter().rfind(|i| i.key == keys::LEADER).map(leader);
        match event {
            WatchEvent::Snapshot(items) => {
                let seen = found(&items).flatten();
                observer.set_leader(seen.map_or(KnownLeader::Absent, KnownLeader::Present));
            }
            WatchEvent::Changes(items) => {
                if let Some(seen) = found(&items) {
                    observer.set_leader(seen.map_or(KnownLeader::Absent, KnownLeader::Present));
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
        if node.leader() != KnownLeader::Absent {
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
    /// The previous leader.
    pub(crate) predecessor: Option<Leader>,
}

/// Tries to become the leader. Returns `None` if another host leads or won, or if the
/// process drains.
async fn campaign(node: &Node) -> Result<Option<ElectionWin>, CallError> {
    let sent = node.now();
    let term = node.record_store_call("key", sent, node.kv.get(keys::TERM).await)?;
    let distance_delay = node.now().since(sent).scale_up(ROUND_TRIP_FACTOR, 1);
    let missing_cores = 1.0 - node.settings.cpu_cores.clamp(0.0, 1.0);
    let capacity_delay =
        Span::from_micros((missing_cores * MAX_CAPACITY_DELAY.as_micros() as f64) as u64);
    // During a rolling restart, a host that was already restarted should win, since it
    // leads longest: each change of the leader delays the tasks of lost workers.
    let uptime = node.now().since(Time::ZERO);
    let uptime_delay = if uptime > RECENT_RESTART {
        UPTIME_DELAY
    } else {
        Span::ZERO
    };
    sleep(distance_delay + capacity_delay + uptime_delay).await;
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
    let term_revision = term.content.map_or(Revision::default(), |i| i.revision);
    // Read after the term key: if another host wins in between, the term key changes
    // and the transaction below fails.
    let resigned = match (
        read_nonce(node, keys::COMMIT_CHAIN).await,
        read_nonce(node, keys::RESIGNED).await,
    ) {
        (Ok(last), Ok(resigned)) => last == resigned,
        (Err(error), _) | (_, Err(error)) => {
            log::warn!(error:% = error; "can't read whether the last leader resigned; assuming it did not");
            false
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
    let txn = Txn::default()
        .expect(keys::LEADER, Revision::default())
        .expect(keys::TERM, term_revision)
        .put(keys::LEADER, &keys::encode(&leader), Some(lease))
        .put(keys::TERM, &keys::encode(&record), None)
        .put(keys::COMMIT_CHAIN, &keys::encode(&nonce), None);
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
    log::info!(term = earlier_terms, resigned = resigned, token = revision.0, lease:% = lease; "election won");
    node.set_leader(KnownLeader::Present(leader));
    Ok(Some(ElectionWin {
        term: Term {
            token: revision.0,
            number: earlier_terms,
            predecessor_stopped: resigned,
        },
        lease,
        nonce,
        chain_revision: revision,
        lease_requested,
        predecessor: last.map(|t| t.leader),
    }))
}

/// Reads a key whose value is a nonce.
async fn read_nonce(node: &Node, key: &str) -> Result<Option<u64>, CallError> {
    let item = node.kv.get(key).await?.content;
    Ok(item.and_then(|i| keys::decode(key, i.value.as_deref()?)))
}

/// Records that the leader with this nonce has stopped and calls no worker any more.
pub(crate) async fn resign(node: &Node, nonce: u64) {
    let txn = Txn::default().put(keys::RESIGNED, &keys::encode(&nonce), None);
    if let Err(error) = node.kv.txn(&txn).await {
        log::warn!(error:% = error; "resignation not stored; the next leader has to wait longer");
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
