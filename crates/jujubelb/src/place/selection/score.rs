//! Scoring of the workers that fit a task.

use super::CapacityIndex;
use crate::model::Resources;

/// Maximum number of workers compared for one task. The best of 12 random candidates
/// costs little more than the best of all.
const MAX_CANDIDATES: usize = 12;

/// Weight of the expected slowdown. A slowdown by a quarter outweighs any fit cost.
const INTERFERENCE_WEIGHT: f64 = 8.0;

/// Cost of each task started on the worker in the same pass. Simultaneous starts load
/// a host more than the same starts in sequence.
const START_PENALTY: f64 = 0.05;

/// Cost of a worker on which the job failed. It outweighs any fit cost, so that the
/// job is tried on other workers first, but doesn't exclude the worker.
const FAILURE_PENALTY: f64 = 4.0;

/// Requirements of a task to be placed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementRequest {
    /// Resources to reserve on the worker.
    pub(crate) need: Resources,
    /// Random number that varies the choice among equal workers.
    pub(crate) tie_break: u64,
}

/// Expected effects of placing the task on one worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Assessment {
    /// Expected slowdown of services on the worker, as a share of their latency.
    pub(crate) slowdown: f64,
    /// Number of tasks started on the worker in this pass.
    pub(crate) starts: u32,
    /// Whether the task's job failed on the worker recently.
    pub(crate) job_failed: bool,
}

/// The worker selected for a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SelectedWorker {
    /// Position of the worker in the shard.
    pub(crate) worker: usize,
    /// Number of workers compared.
    pub(crate) compared: usize,
    /// Expected slowdown of services on the worker, as a share of their latency.
    pub(crate) slowdown: f64,
}

/// Why no worker was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SelectionError {
    /// No worker has enough free capacity.
    NoCapacity,
    /// All workers with enough free capacity were excluded.
    AllExcluded,
}

/// Selects the worker with the lowest score for a task. `assess` returns `None` for a
/// worker that must not get the task.
pub(crate) fn select_worker(
    index: &CapacityIndex,
    request: &PlacementRequest,
    assess: impl Fn(usize) -> Option<Assessment>,
) -> Result<SelectedWorker, SelectionError> {
    let candidates = index.search(&request.need, MAX_CANDIDATES, request.tie_break);
    if let Some(selected) = best_candidate(index, request, &candidates, &assess) {
        return Ok(selected);
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
        if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
            let selected = SelectedWorker {
                worker,
                compared: candidates.len(),
                slowdown: assessment.slowdown,
            };
            best = Some((score, selected));
        }
    }
    best.map(|(_, selected)| selected)
}

/// Cost of the capacity that would stay free, between 0 and 1: the mean free share of
/// processor time and memory plus half of their difference. A worker with free
/// processor time but no free memory can't run further tasks.
fn fit_cost(free: &Resources, usable: &Resources, need: &Resources) -> f64 {
    let left = free.saturating_sub(need);
    let ratio = |left: u64, all: u64| left as f64 / all.max(1) as f64;
    let cpu = ratio(left.cpu.0, usable.cpu.0);
    let memory = ratio(left.memory.0, usable.memory.0);
    (cpu + memory) / 2.0 + (cpu - memory).abs() / 2.0
}
