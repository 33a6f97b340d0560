//! The shard's state as stored and as planned.

use indexmap::{IndexMap, IndexSet};

use super::state::{InapplicableChange, State, TaskState};
use crate::journal::{Change, Segment};
use crate::model::{Attempt, Resources, TaskId, WorkerName};

/// The shard's state as stored, and as it will be once all planned changes are stored.
///
/// Decisions use the planned state, so that nothing is decided twice. Actions
/// that require a stored change (starting tasks, discarding results, replies) use
/// the stored state.
#[derive(Debug)]
pub(super) struct PendingState {
    pub stored: State,
    /// Without decision records.
    pub planned: State,
    /// Tasks assigned as planned, by worker.
    by_worker: IndexMap<WorkerName, IndexSet<TaskId>>,
}

impl PendingState {
    pub(super) fn new(stored: State) -> Self {
        let mut state = Self {
            stored,
            planned: State::default(),
            by_worker: IndexMap::new(),
        };
        state.discard_planned();
        state
    }

    /// Applies a change to the planned state.
    pub(super) fn plan(&mut self, change: &Change) -> Result<(), InapplicableChange> {
        let before = match change {
            Change::Ended { task, .. } => self.planned.assignment(task).map(|p| p.0.clone()),
            _ => None,
        };
        self.planned.apply_change(change)?;
        if let Change::Assigned { task, worker, .. } = change {
            let at = self.by_worker.entry(worker.clone()).or_default();
            at.insert(task.clone());
        }
        if let (Change::Ended { task, .. }, Some(worker)) = (change, before)
            && let Some(at) = self.by_worker.get_mut(&worker)
        {
            at.shift_remove(task);
        }
        Ok(())
    }

    /// Applies a stored segment, whose changes were planned before, to the stored state.
    pub(super) fn commit(&mut self, segment: &Segment) -> Result<(), InapplicableChange> {
        self.stored.apply(segment)
    }

    /// Discards all planned changes.
    pub(super) fn discard_planned(&mut self) {
        self.planned = self.stored.clone();
        self.planned.records.clear();
        self.by_worker.clear();
        for (id, task) in &self.planned.tasks {
            if let TaskState::Assigned { worker, .. } = &task.state {
                let at = self.by_worker.entry(worker.clone()).or_default();
                at.insert(id.clone());
            }
        }
    }

    /// Returns the tasks assigned to a worker as planned, with their attempts and limits.
    pub(super) fn assigned(
        &self,
        worker: &WorkerName,
    ) -> impl Iterator<Item = (&TaskId, Attempt, Resources)> {
        let ids = self.by_worker.get(worker).into_iter().flatten();
        ids.filter_map(|id| {
            let (_, limit, attempt) = self.planned.assignment(id)?;
            Some((id, attempt, limit))
        })
    }

    /// Returns the workers that have assigned tasks as planned.
    pub(super) fn occupied_workers(&self) -> impl Iterator<Item = &WorkerName> {
        let busy = self.by_worker.iter().filter(|(_, tasks)| !tasks.is_empty());
        busy.map(|(worker, _)| worker)
    }

    /// Whether a worker has assigned tasks as planned.
    pub(super) fn is_occupied(&self, worker: &WorkerName) -> bool {
        self.by_worker
            .get(worker)
            .is_some_and(|tasks| !tasks.is_empty())
    }

    /// Returns the limit of an attempt that is assigned to a worker in the stored state.
    pub(super) fn stored_limit(
        &self,
        id: &TaskId,
        attempt: Attempt,
        worker: &WorkerName,
    ) -> Option<Resources> {
        let (at, limit, newest) = self.stored.assignment(id)?;
        (at == worker && newest == attempt).then_some(limit)
    }
}
