//! Which pools of workers are full, as a host that takes submissions knows it.

use crate::dispatch::{FullPool, JobSpec, LoadEstimate, QueueSettings};
use crate::model::{Span, Time};
use crate::platform::Revision;

#[derive(Debug)]
struct Held {
    estimate: LoadEstimate,
    /// When the call was sent that the leader answered with the estimate.
    sent: Time,
    /// Revision of the leader key that named the leader then.
    leader: Revision,
}

impl Held {
    /// When the leader counted, or earlier.
    fn counted(&self) -> Time {
        self.sent - self.estimate.age
    }
}

/// The newest estimate of the leader. Without one a host accepts.
#[derive(Debug, Default)]
pub(crate) struct KnownLoad(Option<Held>);

/// A reason to refuse a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadRefusal {
    pub(crate) pool: FullPool,
    /// Time since the leader counted, or more.
    pub(crate) age: Span,
}

impl KnownLoad {
    /// Records the estimate in the leader's answer to a call that was sent at this time. Answers
    /// may overtake each other, so the one that was counted last is kept.
    pub(crate) fn learn(
        &mut self,
        estimate: Option<LoadEstimate>,
        sent: Time,
        leader: Option<Revision>,
    ) {
        let (Some(estimate), Some(leader)) = (estimate, leader) else {
            return;
        };
        let new = Held {
            estimate,
            sent,
            leader,
        };
        let is_older = |known: &Held| known.leader == leader && known.counted() > new.counted();
        if !self.0.as_ref().is_some_and(is_older) {
            self.0 = Some(new);
        }
    }

    /// Why a submission is to be refused for load; `None` if it is to be accepted. An estimate
    /// of another leader than the present one does not count.
    pub(crate) fn refuses(
        &self,
        queue: &QueueSettings,
        spec: &JobSpec,
        leader: Option<Revision>,
        now: Time,
    ) -> Option<LoadRefusal> {
        let held = self.0.as_ref().filter(|h| Some(h.leader) == leader)?;
        let pool = held.estimate.refuses(queue, spec, now.since(held.sent))?;
        Some(LoadRefusal {
            pool: pool.clone(),
            age: now.since(held.counted()),
        })
    }
}
