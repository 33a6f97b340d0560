//! The operator's configuration as a host knows it, and the evidence that it is the newest.

use std::sync::Arc;

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::config_exchange::{ConfigCopy, ConfigReport};
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

/// What shows that the active configuration is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConfigEvidence {
    /// Whether the configuration has certainly been the newest within the bound, and all its
    /// queues were decoded, so that one that it does not hold does not exist.
    pub(crate) in_force: bool,
    /// Whether a change can't be unknown for longer than the bound.
    pub(crate) is_recent: bool,
    /// Whether a configuration follows that can't be decoded.
    pub(crate) superseded: bool,
}

/// The active configuration and the evidence that it is the newest. Whoever answers by what it
/// does not hold needs that evidence.
#[derive(Debug, Default)]
pub(crate) struct KnownConfig {
    active: Option<Arc<ActiveConfig>>,
    /// When the last call was sent whose answer has shown the newest configuration. The answer
    /// itself may have come later by the wait of a watch, and changes made meanwhile may be
    /// missing in it.
    proven: Option<Time>,
    /// Highest revision of a configuration that can't be decoded; zero if there was none. Counts
    /// while the active one is older.
    unreadable: Revision,
    /// When an item was seen last that can't be decoded and may be a newer configuration. Its key
    /// or its revision is unknown, so only a read of the configuration's key shows what follows.
    doubted: Option<Time>,
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
        log::info!(version = operator.version, revision = revision.0, before:? = known, queues = operator.queues.len(), unreadable = operator.unreadable; "configuration activated");
        self.active = Some(Arc::new(ActiveConfig::new(operator, revision)));
    }

    /// Records that the configuration of a revision can't be decoded. Answers may arrive out of
    /// order, so it may be older than the active one.
    pub(crate) fn mark_unreadable(&mut self, revision: Revision) {
        self.unreadable = self.unreadable.max(revision);
    }

    /// Records that an item was seen at this time that can't be decoded and may be a newer
    /// configuration. Its revision is zero if it can't be read either.
    pub(crate) fn mark_doubtful(&mut self, revision: Revision, seen: Time) {
        let active = self.active.as_ref().map(|c| c.revision);
        let is_unknown = revision == Revision::default();
        if is_unknown || active.is_none_or(|known| known < revision) {
            self.doubted = self.doubted.max(Some(seen));
        }
    }

    /// Records that a read of the configuration's key was sent at this time and answered, which
    /// shows what the items are that were seen before and can't be decoded.
    pub(crate) fn settle_doubt(&mut self, sent: Time) {
        self.doubted = self.doubted.filter(|seen| *seen >= sent);
    }

    /// Whether an item that can't be decoded may be a newer configuration, until the
    /// configuration's key is read.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.doubted.is_some()
    }

    /// Whether a configuration follows the active one, or may, and can't be decoded.
    fn is_superseded(&self) -> bool {
        let active = self.active.as_ref().map(|c| c.revision);
        self.is_doubtful() || active.unwrap_or_default() < self.unreadable
    }

    /// Records that a call sent at this time has shown the newest configuration.
    pub(crate) fn confirm(&mut self, sent: Time) {
        self.proven = self.proven.max(Some(sent));
    }

    /// Records that another host has answered a call sent at this time, and that its evidence for
    /// `version` was `age` old by then. The evidence is of no use for another version.
    pub(crate) fn confirm_by_peer(&mut self, version: u64, age: Span, sent: Time) {
        let active = self.active.as_ref().map(|c| c.operator.version);
        let since_start = sent.since(Time::ZERO);
        if active == Some(version) && age <= since_start {
            self.confirm(Time::ZERO + since_start.saturating_sub(age));
        }
    }

    /// Whether callers may have to present the key of a customer.
    pub(crate) fn has_customers(&self) -> bool {
        let active = self.active.as_ref();
        active.is_some_and(|c| c.operator.keys.is_some())
    }

    /// Age of the evidence of which configuration is the newest; `None` without any.
    pub(crate) fn evidence_age(&self, now: Time) -> Option<Span> {
        self.proven.map(|sent| now.since(sent))
    }

    /// Whether the store has to be asked which configuration is the newest, because a change
    /// may be unknown for longer than `bound`.
    pub(crate) fn is_overdue(&self, now: Time, bound: Span) -> bool {
        self.evidence_age(now).is_none_or(|age| age > bound)
    }

    /// What shows that the active configuration is the newest.
    pub(crate) fn evidence(&self, now: Time, bound: Span) -> ConfigEvidence {
        let is_complete = |c: &Arc<ActiveConfig>| c.operator.unreadable == 0;
        let is_recent = !self.is_overdue(now, bound);
        ConfigEvidence {
            in_force: self.active.as_ref().is_some_and(is_complete)
                && !self.is_superseded()
                && is_recent,
            is_recent,
            superseded: self.is_superseded(),
        }
    }

    /// What this host can tell others of the configuration, of which they know version `known`;
    /// `None` until one was read.
    pub(crate) fn report(&self, known: u64, now: Time) -> Option<ConfigReport> {
        let active = self.active.as_ref()?;
        let operator = &active.operator;
        Some(ConfigReport {
            version: operator.version,
            revision: active.revision,
            age: self.evidence_age(now).filter(|_| !self.is_superseded()),
            newer: (operator.version > known).then(|| Box::new(ConfigCopy::new(operator))),
        })
    }
}
