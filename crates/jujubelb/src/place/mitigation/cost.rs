//! Which tasks to throttle or evict.

use crate::model::{Resources, Span, TaskId};

/// A task that may be throttled or evicted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EvictionCandidate {
    /// The task.
    pub(crate) task: TaskId,
    /// Its limit.
    pub(crate) limit: Resources,
    /// Run time that an eviction would lose: since the last checkpoint or the start.
    pub(crate) lost_time: Span,
}

impl EvictionCandidate {
    /// Work lost by an eviction, in core-microseconds. The task with the fewest
    /// cores goes first among tasks without progress to lose.
    pub(crate) fn cost(&self) -> (u128, u64) {
        let cores = u128::from(self.limit.cpu.0);
        (
            u128::from(self.lost_time.as_micros()) * cores / 1_000,
            self.limit.cpu.0,
        )
    }
}

/// The tasks to take, cheapest first, until `enough` says that those taken so far
/// suffice. All of them if they never do.
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
