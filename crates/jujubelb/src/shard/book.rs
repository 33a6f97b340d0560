//! The stored state and the planned one.

use indexmap::{IndexMap, IndexSet};

use super::state::{InapplicableChange, State, TaskState};
use crate::journal::{Change, Segment};
use crate::model::{Attempt, Resources, TaskId, WorkerName};

/// The state as stored, and the state as it will be once all planned changes are stored.
///
/// Decisions look at the planned state so that nothing is decided twice. Actions
/// that need stored intent (starts, forgetting results, answers) look at the stored one.
#[derive(Debug)]
pub(super) struct Book {
    pub stored: State,
    /// Holds no records.
    pub planned: State,
    /// Assigned tasks by worker, as planned.
    at: IndexMap<WorkerName, IndexSet<TaskId>>,
}

impl Book {
    pub(super) fn new(stored: State) -> Self {
        let mut book = Self {
            stored,
            planned: State::default(),
            at: IndexMap::new(),
        };
        book.abort();
        book
    }

    /// Applies a change to the planned state.
    pub(super) fn plan(&mut self, change: &Change) -> Result<(), InapplicableChange> {
        let before = match change {
            Change::Ended { task, .. } => self.planned.assignment(task).map(|p| p.0.clone()),
            _ => None,
        };
        self.planned.change(change)?;
        if let Change::Assigned { task, worker, .. } = change {
            let at = self.at.entry(worker.clone()).or_default();
            at.insert(task.clone());
        }
        if let (Change::Ended { task, .. }, Some(worker)) = (change, before)
            && let Some(at) = self.at.get_mut(&worker)
        {
            at.shift_remove(task);
        }
        Ok(())
    }

    /// Applies a stored segment, whose changes were planned before.
    pub(super) fn commit(&mut self, segment: &Segment) -> Result<(), InapplicableChange> {
        self.stored.apply(segment)
    }

    /// Gives up all planned changes.
    pub(super) fn abort(&mut self) {
        self.planned = self.stored.clone();
        self.planned.records.clear();
        self.at.clear();
        for (id, task) in &self.planned.tasks {
            if let TaskState::Assigned { worker, .. } = &task.state {
                let at = self.at.entry(worker.clone()).or_default();
                at.insert(id.clone());
            }
        }
    }

    /// Tasks assigned to a worker as planned, with their attempts and limits.
    pub(super) fn assigned(
        &self,
        worker: &WorkerName,
    ) -> impl Iterator<Item = (&TaskId, Attempt, Resources)> {
        let ids = self.at.get(worker).into_iter().flatten();
        ids.filter_map(|id| {
            let (_, limit, attempt) = self.planned.assignment(id)?;
            Some((id, attempt, limit))
        })
    }

    /// Workers with assigned tasks as planned.
    pub(super) fn occupied(&self) -> impl Iterator<Item = &WorkerName> {
        let busy = self.at.iter().filter(|(_, tasks)| !tasks.is_empty());
        busy.map(|(worker, _)| worker)
    }

    /// Whether a worker has assigned tasks as planned.
    pub(super) fn is_occupied(&self, worker: &WorkerName) -> bool {
        self.at.get(worker).is_some_and(|tasks| !tasks.is_empty())
    }

    /// Limit under which an attempt is assigned to a worker in the stored state.
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
