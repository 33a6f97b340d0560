//! The configuration in force in one process.

use std::sync::Arc;

use super::load::{ContentCache, Loaded, read_head};
use super::{ReadError, load};
use crate::config::{Config, Evidence};
use crate::model::{Revision, Span, Time};
use crate::store::Store;

/// Result of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum PollOutcome {
    /// The configuration in force is the newest one.
    Same,
    /// This configuration came into force.
    New(Arc<Config>),
    /// The store returned an older head, which is ignored and is no evidence.
    Older(Revision),
}

/// Holds the configuration in force and the evidence for it. It never goes to a
/// lower revision.
#[derive(Debug, Default)]
pub struct ConfigReader {
    config: Arc<Config>,
    contents: ContentCache,
    evidence: Evidence,
}

impl ConfigReader {
    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The evidence for it.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Contents read so far, for [`super::apply`] and [`load`].
    pub fn contents(&mut self) -> &mut ContentCache {
        &mut self.contents
    }

    /// Reads the head, and the contents that are lacking. `read_start` is the time
    /// before the call.
    pub fn poll<S: Store>(&mut self, store: &S, began: Time) -> Result<PollOutcome, ReadError> {
        let (head, version) = read_head(store)?;
        if head.revision < self.config.revision {
            return Ok(PollOutcome::Older(head.revision));
        }
        if head.revision == self.config.revision {
            self.evidence.confirm(began);
            return Ok(PollOutcome::Same);
        }
        let files = self.contents.files(store, &head)?;
        let loaded = Loaded {
            head,
            version,
            files,
        };
        let (config, _) = loaded.parts()?;
        self.config = Arc::new(config);
        self.evidence.confirm(began);
        Ok(PollOutcome::New(self.config.clone()))
    }

    /// Takes over a peer's configuration if it is newer.
    ///
    /// The evidence stays: the read behind it returned a lower revision, so
    /// every change that it missed was made after that read began.
    pub fn adopt(&mut self, config: Arc<Config>) -> bool {
        if config.revision <= self.config.revision {
            return false;
        }
        self.config = config;
        true
    }

    /// Uses a peer's evidence if it concerns the revision in force.
    pub fn confirm_from_peer(&mut self, revision: Revision, asked: Time, age: Span) {
        if revision == self.config.revision {
            self.evidence.confirm_from_peer(asked, age);
        }
    }

    /// The newest head and its files as stored, for operators.
    pub fn view<S: Store>(&mut self, store: &S) -> Result<Loaded, ReadError> {
        load(store, &mut self.contents)
    }
}
