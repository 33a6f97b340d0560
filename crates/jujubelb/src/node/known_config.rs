//! The operator's configuration as a host knows it, and the evidence that it is the newest.

use std::sync::Arc;

use arcstr::ArcStr;
use indexmap::IndexMap;

use crate::model::{Span, Time};
use crate::platform::{OperatorConfig, QueueConfig, Revision};

/// The active configuration, with its queues indexed by host name.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    pub(crate) operator: OperatorConfig,
    /// Revision of the key from which the configuration was read.
    pub(crate) revision: Revision,
    /// Indices into `operator.queues` by host name, longest prefix first.
    queues: IndexMap<ArcStr, Vec<usize>>,
}

impl ActiveConfig {
    pub(crate) fn new(operator: OperatorConfig, revision: Revision) -> Self {
        let mut queues: IndexMap<ArcStr, Vec<usize>> = IndexMap::new();
        for (i, queue) in operator.queues.iter().enumerate() {
            queues
                .entry(queue.settings.host.clone())
                .or_default()
                .push(i);
        }
        for list in queues.values_mut() {
            list.sort_by_key(|&i| std::cmp::Reverse(operator.queues[i].settings.prefix.len()));
        }
        Self {
            operator,
            revision,
            queues,
        }
    }

    /// The queue of a host name that has the longest prefix matching a path.
    pub(crate) fn queue(&self, host: &str, path: &str) -> Option<&QueueConfig> {
        let list = self.queues.get(host)?;
        list.iter()
            .map(|&i| &self.operator.queues[i])
            .find(|q| path.starts_with(q.settings.prefix.as_str()))
    }
}

/// The active configuration and how long it is known to be the newest.
#[derive(Debug, Default)]
pub(crate) struct KnownConfig {
    active: Option<Arc<ActiveConfig>>,
    /// When the last call was sent whose answer shows that the active configuration was the
    /// newest. The answer itself may have been on its way for as long as a watch waits.
    proven: Option<Time>,
}

impl KnownConfig {
    /// The active configuration; `None` until one was read.
    pub(crate) fn active(&self) -> Option<&Arc<ActiveConfig>> {
        self.active.as_ref()
    }

    /// Activates a configuration, unless its version is not newer than the active one.
    pub(crate) fn activate(&mut self, operator: OperatorConfig, revision: Revision) {
        let known = self.active.as_ref().map(|c| c.operator.version);
        if known.is_some_and(|v| v >= operator.version) {
            return;
        }
        log::info!(version = operator.version, revision = revision.0, before:? = known, queues = operator.queues.len(); "configuration activated");
        self.active = Some(Arc::new(ActiveConfig::new(operator, revision)));
    }

    /// Records that a call sent at this time has shown all configurations up to the newest.
    pub(crate) fn confirm(&mut self, sent: Time) {
        self.proven = self.proven.max(Some(sent));
    }

    /// Age of the evidence that the active configuration is the newest; `None` without any.
    pub(crate) fn evidence_age(&self, now: Time) -> Option<Span> {
        self.active.as_ref()?;
        self.proven.map(|sent| now.since(sent))
    }
}
