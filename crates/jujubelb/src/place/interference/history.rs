//! History of the task classes on one worker.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::model::{ClassName, Span, Time};

/// Cores of each class on one worker, by the limits of its tasks.
pub(crate) type ClassMix = IndexMap<ClassName, f64>;

/// Maximum age of a latency report that is attributed; older mixes are dropped.
const MAX_REPORT_AGE: Span = Span::from_secs(60);

/// Recent class mixes of one worker with their start times, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct MixHistory {
    mixes: VecDeque<(Time, ClassMix)>,
}

impl MixHistory {
    /// Records the mix from `now` on.
    pub(crate) fn record(&mut self, now: Time, mix: ClassMix) {
        if self.mixes.back().is_some_and(|(_, last)| *last == mix) {
            return;
        }
        self.mixes.push_back((now, mix));
        // The newest mix that began before the window applies to the start of the window.
        while self
            .mixes
            .get(1)
            .is_some_and(|(at, _)| *at < now - MAX_REPORT_AGE)
        {
            self.mixes.pop_front();
        }
    }

    /// Returns the current mix.
    pub(crate) fn current(&self) -> Option<&ClassMix> {
        self.mixes.back().map(|(_, mix)| mix)
    }

    /// Returns the mix at an earlier time if it was at least `min_age` old then. A report
    /// that covers a change can't be attributed.
    pub(crate) fn at(&self, time: Time, min_age: Span) -> Option<&ClassMix> {
        let (began, mix) = self.mixes.iter().rev().find(|(began, _)| *began <= time)?;
        (*began <= time - min_age).then_some(mix)
    }
}
