//! The relay's side: makes a leader's calls and returns their results.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use indexmap::IndexMap;

use super::super::candidacy::Eligibility;
use super::super::peers::{self, PeerRequest, PeerResponse};
use super::super::state::{KnownLeader, Node, lock, sleep};
use super::calls::restore_payload;
use super::message::{Action, Call, CallResult, HostReport, RelayBatch, RelayResults};
use crate::dispatch::Order;
use crate::model::Span;
use crate::platform::{PollResult, WorkerClient};

/// Time in which results are collected before they are sent. Each message costs the
/// leader as much as several results.
const COLLECT_PAUSE: Span = Span::from_millis(15);

/// Largest number of results in a message.
const MAX_RESULTS: usize = 200;

/// Attempts to send results. The leader gives up a call without a result after about a
/// second, so further attempts would be too late.
const SEND_ATTEMPTS: u32 = 2;

/// Pause before a host announces itself again after a failure.
const ANNOUNCE_RETRY_PAUSE: Span = Span::from_secs(1);

/// Bounds of the announcement interval that a leader may ask for.
const MIN_ANNOUNCE_INTERVAL: Span = Span::from_millis(500);
const MAX_ANNOUNCE_INTERVAL: Span = Span::from_secs(60);

/// Results by the nonce of the leader's term, until they are sent. An entry exists while a
/// task sends its results.
#[derive(Debug, Default)]
pub(crate) struct Carrier {
    results: Mutex<IndexMap<u64, Vec<(u64, CallResult)>>>,
}

impl Carrier {
    /// Starts to make the calls of a batch.
    pub(crate) fn accept(node: &Arc<Node>, batch: RelayBatch) {
        let client = WorkerClient::new(node.workers.clone(), batch.token);
        for mut call in batch.calls {
            let restored = restore_payload(&mut call.action, &batch.payloads);
            let (node, client) = (node.clone(), client.clone());
            let (leader, nonce) = (batch.leader, batch.nonce);
            tokio::spawn(async move {
                let result = match restored {
                    true => make_call(&client, &call).await,
                    false => {
                        log::error!(call = call.id; "call of the leader names a payload that its batch does not have");
                        CallResult::NotSent
                    }
                };
                node.carrier.push(&node, leader, nonce, call.id, result);
            });
        }
    }

    fn push(&self, node: &Arc<Node>, leader: SocketAddr, nonce: u64, id: u64, result: CallResult) {
        let mut results = lock(&self.results);
        let is_new = !results.contains_key(&nonce);
        results.entry(nonce).or_default().push((id, result));
        if is_new {
            tokio::spawn(send_results(node.clone(), leader, nonce));
        }
    }

    /// Takes the results of a term to send, or ends the sending if there are none.
    fn take(&self, nonce: u64) -> Option<Vec<(u64, CallResult)>> {
        let mut results = lock(&self.results);
        let waiting = results.get_mut(&nonce)?;
        if waiting.is_empty() {
            results.swap_remove(&nonce);
            return None;
        }
        let count = waiting.len().min(MAX_RESULTS);
        Some(waiting.drain(..count).collect())
    }
}

async fn make_call(client: &WorkerClient, call: &Call) -> CallResult {
    match &call.action {
        Action::Poll(worker, request) => match client.poll(worker, request).await {
            Ok(PollResult::Reply(reply)) => CallResult::Polled(reply),
            Ok(PollResult::Fenced) => CallResult::PollFenced,
            Ok(PollResult::Replaced) => CallResult::PollReplaced,
            Err(error) => CallResult::PollFailed(error.had_no_effect()),
        },
        Action::Order(order, _) => match &order.order {
            Order::Start { .. } => CallResult::StartAnswered(client.start(order, || true).await),
            Order::Stop { task, run } => {
                CallResult::Stopped(client.stop_promptly(order, *task, *run).await)
            }
            Order::Pace { task, run, percent } => {
                match client.pace(order, *task, *run, *percent).await {
                    true => CallResult::Paced,
                    false => CallResult::PaceFailed,
                }
            }
        },
    }
}

/// Sends the results of a term until there are no more.
async fn send_results(node: Arc<Node>, leader: SocketAddr, nonce: u64) {
    loop {
        sleep(COLLECT_PAUSE).await;
        let Some(results) = node.carrier.take(nonce) else {
            return;
        };
        let request = PeerRequest::RelayResults(RelayResults { nonce, results });
        for attempt in 1..=SEND_ATTEMPTS {
            match peers::call_peer(&node, leader, &request, peers::MEMORY_TIMEOUT).await {
                Ok(_) => break,
                Err(error) if attempt == SEND_ATTEMPTS => {
                    log::warn!(leader:% = leader, nonce = nonce, error:% = error; "results of worker calls not delivered to the leader");
                }
                Err(_) => {}
            }
        }
    }
}

/// Announces this host to the leader, at the interval that the leader asks for and when
/// the leader or this host's state changes.
pub(crate) async fn announce_host(node: Arc<Node>) {
    loop {
        let changed = node.state_changed.notified();
        let mut pause = ANNOUNCE_RETRY_PAUSE;
        if let KnownLeader::Present(leader, _) = node.leader()
            && leader.host != node.settings.host
        {
            let settings = &node.settings;
            let report = HostReport {
                host: settings.host.clone(),
                domain: settings.domain.clone(),
                peer_address: settings.peer_address,
                cores: settings.cpu_cores,
                draining: node.is_draining(),
            };
            let eligibility = Eligibility {
                link_mbps: settings.link_mbps,
                store_reachable: !node.is_store_lost(),
            };
            let request = PeerRequest::AnnounceHost(report, eligibility);
            let sent = node.now();
            match peers::call_peer(&node, leader.peer_address, &request, peers::MEMORY_TIMEOUT)
                .await
            {
                Ok(PeerResponse::AnnounceAgain(interval, load)) => {
                    node.learn_load(load, sent);
                    pause = interval.clamp(MIN_ANNOUNCE_INTERVAL, MAX_ANNOUNCE_INTERVAL);
                }
                Ok(_) => {}
                Err(error) => {
                    log::debug!(leader:% = leader.host, error:% = error; "host not announced to the leader; trying again");
                }
            }
        }
        tokio::select! { () = changed => {}, () = sleep(pause) => {} }
    }
}
