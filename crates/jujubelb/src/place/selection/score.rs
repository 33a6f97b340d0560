//! Comparison of the workers that have room for a task.

use super::CapacityIndex;
use crate::model::Resources;

/// Workers compared for one task. More brings little: the cost of the best of 12
/// random candidates is already close to that of the best of all.
const MAX_CANDIDATES: usize = 12;

/// Weight of interference against fit. A slowdown by a quarter outweighs any fit.
const INTERFERENCE_WEIGHT: f64 = 8.0;

/// Weight of each start that a worker got in the same pass. Starts at one moment
/// load a host more than the same tasks one after the other.
const START_PENALTY: f64 = 0.05;

/// Weight of a failure of the job on the worker. Outweighs any fit, so that the
/// job is tried elsewhere, but does not rule the worker out.
const FAILURE_PENALTY: f64 = 4.0;

/// What a task needs of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementRequest {
    /// Reservation.
    pub(crate) need: Resources,
    /// Random number that varies the choice among equals.
    pub(crate) tie_break: u64,
}

/// What the policy knows of placing the task on one worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Assessment {
    /// Expected slowdown of services on the worker, as a share of their latency.
    pub(crate) slowdown: f64,
    /// Starts on the worker in this pass.
    pub(crate) starts: u32,
    /// Whether the task's job failed on the worker.
    pub(crate) job_failed: bool,
}

/// The chosen worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SelectedWorker {
    /// Position of the worker in the shard.
    pub(crate) worker: usize,
    /// Workers compared.
    pub(crate) compared: usize,
    /// Expected slowdown of services on the worker.
    pub(crate) slowdown: f64,
}

/// Why no worker was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SelectionError {
    /// No worker has room.
    NoCapacity,
    /// All workers with room were ruled out.
    AllExcluded,
}

/// Picks a worker for a task. `assess` returns `None` for a worker that must
/// not get the task.
pub(crate) fn select_worker(
    index: &CapacityIndex,
    request: &PlacementRequest,
    assess: impl Fn(usize) -> Option<Assessment>,
) -> Result<SelectedWorker, SelectionError> {
    let candidates = index.search(&request.need, MAX_CANDIDATES, request.tie_break);
    if let Some(pick) = best_candidate(index, request, &candidates, &assess) {
        return Ok(pick);
    }
    let all = index.search_linear(&request.need);
    if all.is_empty() {
        return Err(SelectionError::NoCapacity);
    }
    best_candidate(index, request, &all, &assess).ok_or(SelectionError::AllExcluded)
}

fn best_candidate(
    index: &CapacityIndex,
    request: &PlacementRequest,
    candidates: &[usize],
    assess: &impl Fn(usize) -> Option<Assessment>,
) -> Option<SelectedWorker> {
    let mut best: Option<(f64, SelectedWorker)> = None;
    for &worker in candidates {
        let Some(assessment) = assess(worker) else {
            continue;
        };
        let score = fit_cost(&index.free(worker), &index.usable(worker), &request.need)
            + INTERFERENCE_WEIGHT * assessment.slowdown
            + START_PENALTY * f64::from(assessment.starts)
            + if assessment.job_failed {
                FAILURE_PENALTY
            } else {
                0.0
            };
        if best.as_ref().is_none_or(|(least, _)| score < *least) {
            let pick = SelectedWorker {
                worker,
                compared: candidates.len(),
                slowdown: assessment.slowdown,
            };
            best = Some((score, pick));
        }
    }
    best.map(|(_, pick)| pick)
}

/// Lower is better: what is left over, and how uneven it is. A worker with
/// processor time but no memory left is lost for further tasks.
fn fit_cost(free: &Resources, usable: &Resources, need: &Resources) -> f64 {
    let left = free.saturating_sub(need);
    let ratio = |left: u64, all: u64| left as f64 / all.max(1) as f64;
    let cpu = ratio(left.cpu.0, usable.cpu.0);
    let memory = ratio(left.memory.0, usable.memory.0);
    (cpu + memory) / 2.0 + (cpu - memory).abs() / 2.0
}
