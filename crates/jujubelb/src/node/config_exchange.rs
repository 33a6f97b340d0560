//! Asks another host for the configuration while the store does not answer this one, so that a
//! withdrawn key stops working here too.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::peers::{self, PeerRequest, PeerResponse};
use super::state::Node;
use crate::dispatch::CustomerPolicy;
use crate::model::{Bytes, CustomerName, Resources, Span, Time};
use crate::platform::{CustomerKeys, OperatorConfig, QueueConfig, Revision};

/// Time after a question in which none is asked, which limits the load on the host that is asked.
const QUESTION_PAUSE: Span = Span::from_millis(250);

/// Timeout of a question. The largest configuration has 1 MiB, which takes 0.9 s on a link of
/// 10 Mbit/s.
const QUESTION_TIMEOUT: Span = Span::from_millis(1_000);

/// What a host knows of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigReport {
    /// Version that the host has activated.
    pub(crate) version: u64,
    /// Revision of the key from which it was read.
    pub(crate) revision: Revision,
    /// Age of the evidence that this version is the newest; `None` without any.
    pub(crate) age: Option<Span>,
    /// The configuration, if it is newer than the one of the host that asks.
    pub(crate) newer: Option<Box<ConfigCopy>>,
}

/// The operator's configuration as sent between hosts. It holds digests and no keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigCopy {
    version: u64,
    queues: Vec<QueueConfig>,
    /// Name, weight and limit of each customer.
    customers: Vec<(CustomerName, u32, Resources)>,
    keys: Option<CustomerKeys>,
    unreadable: usize,
    body_limit: Bytes,
}

impl ConfigCopy {
    pub(crate) fn new(operator: &OperatorConfig) -> Self {
        // Names each field, so that one that is added can't be forgotten here.
        let OperatorConfig {
            version,
            queues,
            customers,
            keys,
            unreadable,
            body_limit,
        } = operator;
        Self {
            version: *version,
            queues: queues.clone(),
            customers: customers
                .iter()
                .map(|(name, policy)| (name.clone(), policy.weight, policy.limit))
                .collect(),
            keys: keys.clone(),
            unreadable: *unreadable,
            body_limit: *body_limit,
        }
    }
}

impl From<ConfigCopy> for OperatorConfig {
    fn from(copy: ConfigCopy) -> Self {
        let policy = |(name, weight, limit)| (name, CustomerPolicy { weight, limit });
        Self {
            version: copy.version,
            queues: copy.queues,
            customers: copy.customers.into_iter().map(policy).collect(),
            keys: copy.keys,
            unreadable: copy.unreadable,
            body_limit: copy.body_limit,
        }
    }
}

/// The questions of this host to others.
#[derive(Debug, Default)]
pub(crate) struct ConfigQuestions {
    /// When the last question ended.
    last_end: Option<Time>,
    /// Hosts that announced themselves when this host led. Of use after its term, while the store
    /// does not name another leader.
    announced: Vec<SocketAddr>,
    /// Number of questions so far, by which the announced hosts take turns.
    count: usize,
}

impl ConfigQuestions {
    /// The host to ask next: the leader or, by the leader and without another one, those that have
    /// announced themselves, by turns.
    fn next_host(&mut self, node: &Node) -> Option<SocketAddr> {
        if let Some(term) = node.active_term() {
            let hosts = term.workers.hosts(node.now()).into_iter();
            let others = hosts.filter(|h| h.host != node.settings.host);
            self.announced = others.map(|h| h.peer_address).collect();
        } else if let Some(leader) = node.remote_leader() {
            return Some(leader.peer_address);
        }
        let turn = self.count.checked_rem(self.announced.len())?;
        self.count = self.count.wrapping_add(1);
        Some(self.announced[turn])
    }
}

/// Asks another host for the configuration if this one has no recent evidence. All requests that
/// wait for it share one question.
pub(crate) async fn ask_other_host(node: &Node) {
    let mut questions = node.config_questions.lock().await;
    let sent = node.now();
    let has_just_ended = |ended| sent.since(ended) < QUESTION_PAUSE;
    if !node.is_config_overdue() || questions.last_end.is_some_and(has_just_ended) {
        return;
    }
    let Some(host) = questions.next_host(node) else {
        return;
    };
    let before = node.config_age().map(|a| a.to_string());
    let known = node.config().map_or(0, |c| c.operator.version);
    let request = PeerRequest::KnownConfig(known);
    let (version, error) = match peers::call_peer(node, host, &request, QUESTION_TIMEOUT).await {
        Ok(PeerResponse::KnownConfig(Some(report))) => {
            let version = report.version;
            node.learn_config(report, sent);
            (Some(version), None)
        }
        Ok(_) => (None, Some("it knows no configuration".to_owned())),
        Err(error) => (None, Some(error.to_string())),
    };
    questions.last_end = Some(node.now());
    let is_confirmed = !node.is_config_overdue();
    log::info!(asked:% = host, known = known, version:? = version, before:? = before, confirmed = is_confirmed, error:? = error, took:% = node.now().since(sent); "another host asked for the configuration");
}
