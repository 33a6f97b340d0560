//! Choice of the tasks to throttle or evict, by lost work.

use crate::model::{Resources, Span, TaskId};

/// A task that may be throttled or evicted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EvictionCandidate {
    /// The task.
    pub(crate) task: TaskId,
    /// Current limit.
    pub(crate) limit: Resources,
    /// Run time that an eviction would lose, since the last checkpoint or the start.
    pub(crate) lost_time: Span,
}

impl EvictionCandidate {
    /// Work lost by an eviction in core-microseconds, then the processor limit in
    /// millicores, which orders tasks that lose the same work.
    pub(crate) fn cost(&self) -> (u128, u64) {
        let cores = u128::from(self.limit.cpu.0);
        (
            u128::from(self.lost_time.as_micros()) * cores / 1_000,
            self.limit.cpu.0,
        )
    }
}

/// Returns the cheapest candidates, in order of cost, up to the first number of them
/// that `enough` accepts, or all of them if it accepts none.
pub(crate) fn cheapest(
    mut candidates: Vec<EvictionCandidate>,
    mut enough: impl FnMut(&[EvictionCandidate]) -> bool,
) -> Vec<EvictionCandidate> {
    candidates.sort_by(|a, b| (a.cost(), &a.task).cmp(&(b.cost(), &b.task)));
    let mut count = 0;
    while count < candidates.len() && !enough(&candidates[..count]) {
        count += 1;
    }
    candidates.truncate(count);
    candidates
}
