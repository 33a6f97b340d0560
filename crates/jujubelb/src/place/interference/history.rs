//! What ran on a worker at an earlier time.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::model::{ClassName, Span, Time};

/// Cores used by each class on one worker.
pub(crate) type Mix = IndexMap<ClassName, f64>;

/// How far back reports may reach. Older ones are not used.
const KEPT: Span = Span::from_secs(60);

/// Recent mixes of one worker, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct History {
    mixes: VecDeque<(Time, Mix)>,
}

impl History {
    /// Notes the mix from `now` on.
    pub(crate) fn note(&mut self, now: Time, mix: Mix) {
        if self.mixes.back().is_some_and(|(_, last)| *last == mix) {
            return;
        }
        self.mixes.push_back((now, mix));
        // The newest mix that began before the window was in force at its start.
        while self.mixes.get(1).is_some_and(|(at, _)| *at < now - KEPT) {
            self.mixes.pop_front();
        }
    }

    /// The present mix.
    pub(crate) fn last(&self) -> Option<&Mix> {
        self.mixes.back().map(|(_, mix)| mix)
    }

    /// The mix at an earlier time, if it was steady for `steady` before it. A
    /// report that covers a change can't be attributed.
    pub(crate) fn at(&self, time: Time, steady: Span) -> Option<&Mix> {
        let (began, mix) = self.mixes.iter().rev().find(|(began, _)| *began <= time)?;
        (*began <= time - steady).then_some(mix)
    }
}
