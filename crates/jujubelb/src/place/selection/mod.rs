//! Selection of a worker for a task.

mod index;
mod score;

pub(crate) use index::CapacityIndex;
pub(crate) use score::{
    Assessment, PlacementRequest, SelectedWorker, SelectionError, select_worker,
};

#[cfg(test)]
mod tests;
