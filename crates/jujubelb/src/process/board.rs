//! The configuration in force and its evidence, as the threads of a process see them.

use std::sync::{Arc, Mutex, PoisonError};

use crate::config::{Config, Evidence};
use crate::model::{Revision, Span};
use crate::peer::Reply;
use crate::telemetry::Clock;

/// A configuration with its evidence.
#[derive(Debug, Clone, Default)]
pub(crate) struct InForce {
    /// The configuration.
    pub(crate) config: Arc<Config>,
    /// When it was last confirmed.
    pub(crate) evidence: Evidence,
}

/// Shows what is in force. Only the configuration thread writes it.
#[derive(Debug)]
pub(crate) struct Board {
    clock: Clock,
    present: Mutex<InForce>,
}

impl Board {
    /// A board without configuration.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            present: Mutex::default(),
        }
    }

    /// What is in force.
    pub(crate) fn present(&self) -> InForce {
        self.lock().clone()
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Arc<Config> {
        self.lock().config.clone()
    }

    /// The revision in force.
    pub(crate) fn revision(&self) -> Revision {
        self.lock().config.revision
    }

    /// Age of the evidence, if there is any.
    pub(crate) fn age(&self) -> Option<Span> {
        let evidence = self.lock().evidence;
        evidence.age(self.clock.now())
    }

    /// The answer to a peer that has this revision.
    pub(crate) fn reply(&self, have: Revision) -> Reply {
        let present = self.present();
        let newer = present.config.revision > have;
        Reply::Config {
            revision: present.config.revision,
            evidence: present.evidence.age(self.clock.now()),
            config: newer.then_some(present.config),
        }
    }

    pub(super) fn show(&self, present: InForce) {
        *self.lock() = present;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, InForce> {
        self.present.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
