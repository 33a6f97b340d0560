//! Asks another host for the configuration while the store does not answer this one, so that a
//! withdrawn key stops working here too.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

use serde::{Deserialize, Serialize};

use super::peers::{self, PeerRequest, PeerResponse};
use super::state::Node;
use crate::dispatch::CustomerPolicy;
use crate::model::{Bytes, CustomerName, Resources, Span, Time};
use crate::platform::{CallError, CustomerKeys, OperatorConfig, QueueConfig, Revision};

/// Time after a question in which none is asked, which limits the load on the host that is asked.
const QUESTION_PAUSE: Span = Span::from_millis(250);

/// Time in which none is asked after all hosts that can be asked have given no answer. Longer than
/// a question's timeout, so that calls are delayed for less than half of the time.
const NO_ANSWER_PAUSE: Span = Span::from_millis(1_500);

/// Timeout of a question for the version, whose answer is small.
const QUESTION_TIMEOUT: Span = Span::from_millis(1_000);

/// Timeout of a question for the content. The largest configuration has 1 MiB, which takes 0.9 s
/// on a link of 10 Mbit/s that carries nothing else.
const CONTENT_TIMEOUT: Span = Span::from_millis(2_000);

/// Version in a question whose answer is to hold no content: no configuration is newer.
const VERSION_ONLY: u64 = u64::MAX;

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

/// The questions of this host to others, one at a time.
#[derive(Debug, Default)]
pub(crate) struct ConfigQuestions {
    turns: tokio::sync::Mutex<QuestionTurns>,
    /// Whether the last question had no answer. Outside of the lock, which the task that asks
    /// holds until the answer.
    has_failed: AtomicBool,
}

/// Which host is asked next, and when.
#[derive(Debug, Default)]
struct QuestionTurns {
    /// When the last question ended.
    last_end: Option<Time>,
    /// Consecutive questions without an answer.
    failures: usize,
    /// Number of hosts of which the last one asked was chosen.
    hosts: usize,
    /// Hosts that announced themselves when this host led. Of use after its term, while the store
    /// does not name another leader.
    announced: Vec<SocketAddr>,
    /// Number of questions so far, by which the announced hosts take turns.
    count: usize,
}

impl QuestionTurns {
    /// Whether none is to be asked yet, because the last question has just ended.
    fn is_paused(&self, now: Time) -> bool {
        // A host that does not answer does not delay the question to the next one.
        let pause = match self.failures > 0 && self.failures >= self.hosts {
            true => NO_ANSWER_PAUSE,
            false => QUESTION_PAUSE,
        };
        self.last_end.is_some_and(|ended| now.since(ended) < pause)
    }

    /// The host to ask next: the leader or, by the leader and without another one, those that have
    /// announced themselves, by turns.
    fn next_host(&mut self, node: &Node) -> Option<SocketAddr> {
        if let Some(term) = node.active_term() {
            let hosts = term.workers.hosts(node.now()).into_iter();
            let others = hosts.filter(|h| h.host != node.settings.host);
            self.announced = others.map(|h| h.peer_address).collect();
        } else if let Some(leader) = node.remote_leader() {
            self.hosts = 1;
            return Some(leader.peer_address);
        }
        self.hosts = self.announced.len();
        let turn = self.count.checked_rem(self.hosts)?;
        self.count = self.count.wrapping_add(1);
        Some(self.announced[turn])
    }
}

/// Asks another host for the configuration if this one has no recent evidence. All requests that
/// wait for it share one question. None waits for a question that follows one without an answer,
/// which is likely to have none either.
pub(crate) async fn ask_other_host(node: &Node) {
    let questions = &node.config_questions;
    let mut turns = match questions.turns.try_lock() {
        Ok(turns) => turns,
        Err(_) if questions.has_failed.load(SeqCst) => return,
        Err(_) => questions.turns.lock().await,
    };
    let sent = node.now();
    if !node.is_config_overdue() || turns.is_paused(sent) {
        return;
    }
    let Some(host) = turns.next_host(node) else {
        return;
    };
    let before = node.config_age().map(|a| a.to_string());
    let known = node.config().map_or(0, |c| c.operator.version);
    let answer = fetch_report(node, host, known).await;
    turns.failures = match &answer {
        Ok(_) => 0,
        Err(_) => turns.failures.saturating_add(1),
    };
    questions.has_failed.store(answer.is_err(), SeqCst);
    let (version, error) = match answer {
        Ok((PeerResponse::KnownConfig(Some(report)), asked)) => {
            let version = report.version;
            node.learn_config(report, asked);
            (Some(version), None)
        }
        Ok(_) => (None, Some("it knows no configuration".to_owned())),
        Err(error) => (None, Some(error.to_string())),
    };
    turns.last_end = Some(node.now());
    let is_confirmed = !node.is_config_overdue();
    log::info!(asked:% = host, known = known, version:? = version, before:? = before, confirmed = is_confirmed, error:? = error, took:% = node.now().since(sent); "another host asked for the configuration");
}

/// What another host knows of the configuration, and when the question was sent. Learns the version
/// first, so that only a host that has a newer one is given the time that its content takes.
async fn fetch_report(
    node: &Node,
    host: SocketAddr,
    known: u64,
) -> Result<(PeerResponse, Time), CallError> {
    let sent = node.now();
    let request = PeerRequest::KnownConfig(VERSION_ONLY);
    let answer = peers::call_peer(node, host, &request, QUESTION_TIMEOUT).await?;
    match &answer {
        PeerResponse::KnownConfig(Some(report)) if report.version > known => {}
        _ => return Ok((answer, sent)),
    }
    let sent = node.now();
    let request = PeerRequest::KnownConfig(known);
    let answer = peers::call_peer(node, host, &request, CONTENT_TIMEOUT).await?;
    Ok((answer, sent))
}
