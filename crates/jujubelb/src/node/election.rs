//! Chooses the leader through a key of the store that is bound to a lease.

use std::sync::Arc;

use super::keys::{self, Leader, TermRecord};
use super::leader;
use super::state::{LeaderSeen, Node, sleep};
use super::watch::{Follow, News, follow};
use crate::dispatch::Term;
use crate::model::{Span, Time};
use crate::platform::{CallError, Item, LeaseId, Revision, Txn, TxnError};

/// Lease of the leader's key. Short, so that a dead leader is replaced well
/// within the leases of what runs; a renewal may fail twice in it.
const LEASE: Span = Span::from_millis(2_000);

/// Longest wait of the watch on the leader's key.
const WATCH: Span = Span::from_millis(1_000);

/// Pause between two watches on the leader's key, which seldom changes.
const PAUSE: Span = Span::from_millis(50);

/// Pause after a failed try.
const RETRY: Span = Span::from_millis(300);

/// A host waits this much longer for each round trip to the store, so that a
/// host near the store leads.
const DISTANCE_WEIGHT: u64 = 8;

/// A host without processor waits this much longer than one with a whole core,
/// so that a strong host leads.
const WEAKNESS_WAIT: Span = Span::from_millis(250);

/// Uptime up to which a host counts as restarted just now.
const FRESH: Span = Span::from_secs(20);

/// A host that wasn't waits this much longer.
const VETERAN_WAIT: Span = Span::from_millis(120);

/// Follows the leader's key.
pub(crate) async fn observe(node: Arc<Node>) {
    let rules = Follow {
        prefix: keys::SYSTEM,
        wait: WATCH,
        pause: PAUSE,
    };
    let observer = node.clone();
    follow(node, rules, move |news| {
        let leader = |item: &Item| {
            let value = item.value.as_deref()?;
            keys::decode::<Leader>(&item.key, value)
        };
        let found = |items: &[Item]| items.iter().rfind(|i| i.key == keys::LEADER).map(leader);
        match news {
            News::All(items) => {
                let seen = found(&items).flatten();
                observer.set_leader(seen.map_or(LeaderSeen::Absent, LeaderSeen::Present));
            }
            News::Changes(items) => {
                if let Some(seen) = found(&items) {
                    observer.set_leader(seen.map_or(LeaderSeen::Absent, LeaderSeen::Present));
                }
            }
        }
    })
    .await;
}

/// Leads whenever there is no leader, until the process stops.
pub(crate) async fn stand(node: Arc<Node>) {
    loop {
        let news = node.news.notified();
        if node.is_draining() {
            return;
        }
        if node.leader() != LeaderSeen::Absent {
            tokio::select! { () = news => {}, () = sleep(RETRY) => {} }
            continue;
        }
        match campaign(&node).await {
            Ok(Some(win)) => leader::lead(&node, win).await,
            Ok(None) => sleep(RETRY).await,
            Err(error) => {
                log::warn!(error:% = error; "try to lead failed");
                sleep(RETRY).await;
            }
        }
    }
}

/// A won election.
#[derive(Debug)]
pub(crate) struct Win {
    pub(crate) term: Term,
    pub(crate) lease: LeaseId,
    pub(crate) nonce: u64,
    /// Last change of the chain key.
    pub(crate) chain: Revision,
    /// When the lease was certainly not granted yet.
    pub(crate) since: Time,
    /// The leader before.
    pub(crate) before: Option<Leader>,
}

/// Tries to become the leader; `None` if another host was sooner.
async fn campaign(node: &Node) -> Result<Option<Win>, CallError> {
    let sent = node.now();
    let term = node.store_called("key", sent, node.kv.get(keys::TERM).await)?;
    let distance = node.now().since(sent).scale_up(DISTANCE_WEIGHT, 1);
    let weakness = 1.0 - node.settings.processor.clamp(0.0, 1.0);
    let weakness = Span::from_micros((weakness * WEAKNESS_WAIT.as_micros() as f64) as u64);
    // While hosts are restarted in turn, one that was restarted already leads
    // longest: each change of the leader holds up the tasks of lost workers.
    let uptime = node.now().since(Time::ZERO);
    let veteran = if uptime > FRESH {
        VETERAN_WAIT
    } else {
        Span::ZERO
    };
    sleep(distance + weakness + veteran).await;
    if node.leader() != LeaderSeen::Absent || node.is_draining() {
        return Ok(None);
    }
    let since = node.now();
    let ttl = LEASE.max(node.settings.shortest_lease);
    let (lease, _) = node.store_called("lease", since, node.kv.lease(ttl).await)?;
    let last = term
        .content
        .as_ref()
        .and_then(|i| keys::decode::<TermRecord>(keys::TERM, i.value.as_deref()?));
    let number = last.as_ref().map_or(0, |t| t.count);
    let before = term.content.map_or(Revision::default(), |i| i.revision);
    // Read after the term: if another host leads in between, the term changes
    // and this try fails.
    let resigned = match (
        nonce_at(node, keys::CHAIN).await,
        nonce_at(node, keys::RESIGNED).await,
    ) {
        (Ok(last), Ok(resigned)) => last == resigned,
        (Err(error), _) | (_, Err(error)) => {
            log::warn!(error:% = error; "not known whether the last leader has resigned");
            false
        }
    };
    let nonce = rand::random();
    node.set_term(Some(nonce));
    let leader = Leader {
        host: node.settings.host.clone(),
        peers: node.settings.peers,
        nonce,
    };
    let record = TermRecord {
        count: number + 1,
        leader: leader.clone(),
    };
    let txn = Txn::default()
        .expect(keys::LEADER, Revision::default())
        .expect(keys::TERM, before)
        .put(keys::LEADER, &keys::encode(&leader), Some(lease))
        .put(keys::TERM, &keys::encode(&record), None)
        .put(keys::CHAIN, &keys::encode(&nonce), None);
    let revision = match node.kv.txn(&txn).await {
        Ok(revision) => revision,
        Err(TxnError::Conflict | TxnError::LeaseEnded) => {
            give_up(node, lease).await;
            node.set_term(None);
            return Ok(None);
        }
        Err(TxnError::Call(error)) => match won(node, nonce).await {
            Some(revision) => revision,
            None => {
                // Without the lease the try can't succeed later.
                give_up(node, lease).await;
                node.set_term(None);
                return Err(error);
            }
        },
    };
    log::info!(term = number, resigned = resigned, token = revision.0, lease:% = lease; "leading");
    node.set_leader(LeaderSeen::Present(leader));
    Ok(Some(Win {
        term: Term {
            token: revision.0,
            number,
            predecessor_stopped: resigned,
        },
        lease,
        nonce,
        chain: revision,
        since,
        before: last.map(|t| t.leader),
    }))
}

/// The nonce under a key.
async fn nonce_at(node: &Node, key: &str) -> Result<Option<u64>, CallError> {
    let item = node.kv.get(key).await?.content;
    Ok(item.and_then(|i| keys::decode(key, i.value.as_deref()?)))
}

/// Notes that a leader has stopped: it looks at no worker any more.
pub(crate) async fn resign(node: &Node, nonce: u64) {
    let txn = Txn::default().put(keys::RESIGNED, &keys::encode(&nonce), None);
    if let Err(error) = node.kv.txn(&txn).await {
        log::warn!(error:% = error; "resignation not noted; the next leader waits longer");
    }
}

/// Finds out what became of a try that was not answered.
async fn won(node: &Node, nonce: u64) -> Option<Revision> {
    let item = node.kv.get(keys::LEADER).await.ok()?.content?;
    let leader: Leader = keys::decode(keys::LEADER, item.value.as_deref()?)?;
    (leader.nonce == nonce).then_some(item.revision)
}

/// Ends a lease; if that fails it ends by itself.
pub(crate) async fn give_up(node: &Node, lease: LeaseId) {
    if let Err(error) = node.kv.end(lease).await {
        log::warn!(lease:% = lease, error:% = error; "lease not ended; it runs out");
    }
}
