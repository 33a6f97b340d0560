//! Room on one worker.

use crate::model::Resources;
use crate::shard::{AssignedTask, WorkerView};

/// Limits beyond what the worker has for tasks. Not zero only after its
/// declaration shrank or its inventory brought tasks that were not planned.
pub(crate) fn excess(worker: &WorkerView) -> Resources {
    let usable = worker.capacity.saturating_sub(&worker.reserved);
    let counted: Resources = worker.assigned.iter().map(|o| o.limit).sum();
    counted.saturating_sub(&usable)
}

/// Whether the limit counted for a task is in force, so that it may be changed.
/// While a change is under way the larger limit counts.
pub(crate) fn is_confirmed(occupant: &AssignedTask) -> bool {
    occupant.running && !occupant.stopping && occupant.reported_limit == Some(occupant.limit)
}
