//! The active configuration and its evidence, shared by the threads of a process.

use std::sync::{Arc, Mutex, PoisonError};

use crate::config::{Config, Evidence};
use crate::model::{Revision, Span};
use crate::peer::Reply;
use crate::telemetry::Clock;

/// The active configuration with its evidence.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActiveConfig {
    /// Has revision 0 until the first configuration is read.
    pub(crate) config: Arc<Config>,
    /// When the configuration was last confirmed as active.
    pub(crate) evidence: Evidence,
}

/// The active configuration of a process. Only the configuration thread sets it.
#[derive(Debug)]
pub(crate) struct SharedConfig {
    clock: Clock,
    current: Mutex<ActiveConfig>,
}

impl SharedConfig {
    /// Holds the default configuration, without evidence.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            current: Mutex::default(),
        }
    }

    /// The active configuration and its evidence, read together.
    pub(crate) fn get(&self) -> ActiveConfig {
        self.lock().clone()
    }

    /// The active configuration.
    pub(crate) fn config(&self) -> Arc<Config> {
        self.lock().config.clone()
    }

    /// Revision of the active configuration.
    pub(crate) fn revision(&self) -> Revision {
        self.lock().config.revision
    }

    /// Age of the evidence; absent without evidence.
    pub(crate) fn evidence_age(&self) -> Option<Span> {
        let evidence = self.lock().evidence;
        evidence.age(self.clock.now())
    }

    /// The reply to a peer at revision `known`: it contains the configuration only if
    /// that is newer.
    pub(crate) fn reply(&self, known: Revision) -> Reply {
        let active = self.get();
        let newer = active.config.revision > known;
        Reply::Config {
            revision: active.config.revision,
            evidence: active.evidence.age(self.clock.now()),
            config: newer.then_some(active.config),
        }
    }

    pub(super) fn set(&self, active: ActiveConfig) {
        *self.lock() = active;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ActiveConfig> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
