//! Limits of the tasks on one worker.

use crate::model::Resources;
use crate::shard::{AssignedTask, WorkerView};

/// Amount by which the limits exceed the worker's resources for tasks. Non-zero only
/// after its declared capacity shrank or its inventory reported unplanned tasks.
pub(crate) fn overcommit(worker: &WorkerView) -> Resources {
    let usable = worker.capacity.saturating_sub(&worker.reserved);
    let counted: Resources = worker.assigned.iter().map(|a| a.limit).sum();
    counted.saturating_sub(&usable)
}

/// Whether the worker has confirmed the limit counted for a task, so that it may be
/// changed. During a change the larger limit counts.
pub(crate) fn is_confirmed(assigned: &AssignedTask) -> bool {
    assigned.running && !assigned.stopping && assigned.reported_limit == Some(assigned.limit)
}
