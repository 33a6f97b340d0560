//! Asks the store, and then another host, for the configuration before an answer that its age does
//! not allow.

use std::sync::Arc;

use tokio::task::JoinHandle;

use super::config_exchange::ask_other_host;
use super::known_config::{ActiveConfig, ConfigEvidence};
use super::state::Node;
use crate::model::{Span, Time};
use crate::platform::{CONFIG_KEY, CallError, KeyState, decode_config};

/// Time after a failed read in which none is made, which limits the load on the store.
const READ_PAUSE: Span = Span::from_millis(250);

/// Shortest time between two refreshes by the leader, which limits the lines and calls while
/// neither the store nor another host answers.
const REFRESH_PAUSE: Span = Span::from_secs(1);

/// Refreshes the configuration of the leader. Limits of customers rest on it without a request.
#[derive(Debug, Default)]
pub(crate) struct ConfigRefresh {
    began: Option<Time>,
    /// The last refresh. There is one at a time.
    task: Option<JoinHandle<()>>,
}

impl ConfigRefresh {
    /// Starts a refresh in a task of its own if the evidence is too old in a deployment with
    /// customers.
    pub(crate) fn start_if_due(&mut self, node: &Arc<Node>) {
        let now = node.now();
        let is_running = self.task.as_ref().is_some_and(|t| !t.is_finished());
        let has_just_begun = |began| now.since(began) < REFRESH_PAUSE;
        if is_running
            || self.began.is_some_and(has_just_begun)
            || !node.has_customers()
            || !node.is_config_overdue()
        {
            return;
        }
        self.began = Some(now);
        let node = node.clone();
        self.task = Some(tokio::spawn(async move {
            current_config(&node, |_| true).await;
        }));
    }
}

/// The reads of the configuration by requests.
#[derive(Debug, Default)]
pub(crate) struct ConfigReads {
    last_failure: Option<Time>,
}

/// The active configuration, and what shows that it is the newest; `None` until one was read.
/// Reads it from the store if the watch has not shown for too long which one is the newest, or has
/// shown an item that may be a newer one and can't be decoded. In a
/// deployment with customers, asks another host if the store does not answer and `needs_evidence`
/// says that the answer to the caller depends on it, since that can take seconds.
pub(crate) async fn current_config(
    node: &Node,
    needs_evidence: impl FnOnce(&ActiveConfig) -> bool,
) -> Option<(Arc<ActiveConfig>, ConfigEvidence)> {
    if node.is_config_read_needed() && !node.is_store_lost() && node.config().is_some() {
        read_config(node).await;
    }
    if node.has_customers()
        && node.is_config_overdue()
        && node.config().is_some_and(|c| needs_evidence(&c))
    {
        ask_other_host(node).await;
    }
    node.config_with_evidence()
}

/// Reads the configuration, once for all requests that wait for it.
async fn read_config(node: &Node) {
    let mut reads = node.config_reads.lock().await;
    let sent = node.now();
    let has_just_failed = |failed| sent.since(failed) < READ_PAUSE;
    if !node.is_config_read_needed() || reads.last_failure.is_some_and(has_just_failed) {
        return;
    }
    let age = node.config_age().map(|a| a.to_string());
    let result = node.kv.get(CONFIG_KEY).await;
    let result = node.record_store_call("key", sent, result);
    if let Err(error) = apply_read(node, sent, result.map(|r| r.content)) {
        reads.last_failure = Some(node.now());
        log::warn!(age:? = age, error:% = error; "the configuration can't be confirmed; queues that it does not hold are answered 503");
        return;
    }
    log::info!(age:? = age, took:% = node.now().since(sent); "configuration confirmed before an answer");
}

fn apply_read(
    node: &Node,
    sent: Time,
    result: Result<Option<KeyState>, CallError>,
) -> Result<(), CallError> {
    let found = result?;
    node.settle_config_doubt(sent);
    if let Some(item) = found {
        apply_config(node, &item);
    }
    node.confirm_config(sent);
    Ok(())
}

/// Applies the value of the configuration's key.
pub(super) fn apply_config(node: &Node, item: &KeyState) {
    let Some(value) = &item.value else {
        log::warn!(key = item.key; "the configuration was removed; the previous one stays active");
        return;
    };
    match decode_config(value) {
        Ok(operator) => node.set_config(operator, item.revision),
        Err(error) => {
            node.mark_config_unreadable(item.revision);
            log::error!(key = item.key, revision = item.revision.0, error:% = error; "configuration can't be decoded; the previous one stays active");
        }
    }
}
