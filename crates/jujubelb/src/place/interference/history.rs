//! What ran on a worker at an earlier time.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::model::{ClassName, Span, Time};

/// Cores used by each class on one worker.
pub(crate) type ClassMix = IndexMap<ClassName, f64>;

/// How far back reports may reach. Older ones are not used.
const MAX_REPORT_AGE: Span = Span::from_secs(60);

/// Recent mixes of one worker, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct MixHistory {
    mixes: VecDeque<(Time, ClassMix)>,
}

impl MixHistory {
    /// Notes the mix from `now` on.
    pub(crate) fn record(&mut self, now: Time, mix: ClassMix) {
        if self.mixes.back().is_some_and(|(_, last)| *last == mix) {
            return;
        }
        self.mixes.push_back((now, mix));
        // The newest mix that began before the window was in force at its start.
        while self
            .mixes
            .get(1)
            .is_some_and(|(at, _)| *at < now - MAX_REPORT_AGE)
        {
            self.mixes.pop_front();
        }
    }

    /// The present mix.
    pub(crate) fn current(&self) -> Option<&ClassMix> {
        self.mixes.back().map(|(_, mix)| mix)
    }

    /// The mix at an earlier time, if it was steady for `steady` before it. A
    /// report that covers a change can't be attributed.
    pub(crate) fn at(&self, time: Time, steady: Span) -> Option<&ClassMix> {
        let (began, mix) = self.mixes.iter().rev().find(|(began, _)| *began <= time)?;
        (*began <= time - steady).then_some(mix)
    }
}
