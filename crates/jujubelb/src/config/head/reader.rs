//! Keeps the active configuration of one process up to date.

use std::sync::Arc;

use super::load::{ContentCache, StoredConfig, read_head};
use super::{ReadError, load};
use crate::config::{Config, Evidence};
use crate::model::{Revision, Span, Time};
use crate::store::Store;

/// Result of polling the head.
#[derive(Debug, Clone, PartialEq)]
pub enum PollOutcome {
    /// The active configuration is the newest one.
    Unchanged,
    /// This configuration became active.
    New(Arc<Config>),
    /// The store returned an older head, which was ignored and does not count as evidence.
    Older(Revision),
}

/// Holds the active configuration and the evidence for it. The revision never decreases.
#[derive(Debug, Default)]
pub struct ConfigReader {
    config: Arc<Config>,
    contents: ContentCache,
    evidence: Evidence,
}

impl ConfigReader {
    /// The active configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Evidence for the active configuration.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// The cache of contents, for [`super::apply`] and [`load`].
    pub fn contents(&mut self) -> &mut ContentCache {
        &mut self.contents
    }

    /// Reads the head and the contents that are not cached. `began` is the time
    /// before the call.
    pub fn poll<S: Store>(&mut self, store: &S, began: Time) -> Result<PollOutcome, ReadError> {
        let (head, version) = read_head(store)?;
        if head.revision < self.config.revision {
            return Ok(PollOutcome::Older(head.revision));
        }
        if head.revision == self.config.revision {
            self.evidence.confirm(began);
            return Ok(PollOutcome::Unchanged);
        }
        let files = self.contents.files_of(store, &head)?;
        let loaded = StoredConfig {
            head,
            version,
            files,
        };
        let (config, _) = loaded.parse()?;
        self.config = Arc::new(config);
        self.evidence.confirm(began);
        Ok(PollOutcome::New(self.config.clone()))
    }

    /// Activates a peer's configuration if it is newer; returns whether it is.
    ///
    /// The evidence stays valid: its read returned a lower revision, so the changes that
    /// it missed were made after that read began.
    pub fn adopt(&mut self, config: Arc<Config>) -> bool {
        if config.revision <= self.config.revision {
            return false;
        }
        self.config = config;
        true
    }

    /// Records a peer's evidence if it confirms the active revision. See
    /// [`Evidence::confirm_from_peer`].
    pub fn confirm_from_peer(&mut self, revision: Revision, asked: Time, age: Span) {
        if revision == self.config.revision {
            self.evidence.confirm_from_peer(asked, age);
        }
    }

    /// Reads the head and its files as stored, for operators, without activating them.
    pub fn load_newest<S: Store>(&mut self, store: &S) -> Result<StoredConfig, ReadError> {
        load(store, &mut self.contents)
    }
}
