//! Comparison of the workers that have room for a task.

use super::Index;
use crate::model::Resources;

/// Workers compared for one task. More brings little: the cost of the best of 12
/// random candidates is already close to that of the best of all.
const CANDIDATES: usize = 12;

/// Weight of interference against fit. A slowdown by a quarter outweighs any fit.
const INTERFERENCE: f64 = 8.0;

/// Weight of each start that a worker got in the same pass. Starts at one moment
/// load a host more than the same tasks one after the other.
const CROWDING: f64 = 0.05;

/// Weight of a failure of the job on the worker. Outweighs any fit, so that the
/// job is tried elsewhere, but does not rule the worker out.
const FAILED: f64 = 4.0;

/// What a task needs of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    /// Reservation.
    pub(crate) need: Resources,
    /// Random number that varies the choice among equals.
    pub(crate) salt: u64,
}

/// What the policy knows of placing the task on one worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outlook {
    /// Expected slowdown of services on the worker, as a share of their latency.
    pub(crate) slowdown: f64,
    /// Starts on the worker in this pass.
    pub(crate) starts: u32,
    /// Whether the task's job failed on the worker.
    pub(crate) failed: bool,
}

/// The chosen worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Pick {
    /// Position of the worker in the shard.
    pub(crate) worker: usize,
    /// Workers compared.
    pub(crate) compared: usize,
    /// Expected slowdown of services on the worker.
    pub(crate) slowdown: f64,
}

/// Why no worker was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPick {
    /// No worker has room.
    NoRoom,
    /// All workers with room were ruled out.
    RuledOut,
}

/// Picks a worker for a task. `outlook` returns `None` for a worker that must
/// not get the task.
pub(crate) fn pick(
    index: &Index,
    request: &Request,
    outlook: impl Fn(usize) -> Option<Outlook>,
) -> Result<Pick, NoPick> {
    let few = index.search(&request.need, CANDIDATES, request.salt);
    if let Some(pick) = best(index, request, &few, &outlook) {
        return Ok(pick);
    }
    let all = index.search_all(&request.need);
    if all.is_empty() {
        return Err(NoPick::NoRoom);
    }
    best(index, request, &all, &outlook).ok_or(NoPick::RuledOut)
}

fn best(
    index: &Index,
    request: &Request,
    candidates: &[usize],
    outlook: &impl Fn(usize) -> Option<Outlook>,
) -> Option<Pick> {
    let mut best: Option<(f64, Pick)> = None;
    for &worker in candidates {
        let Some(outlook) = outlook(worker) else {
            continue;
        };
        let score = fit(&index.free(worker), &index.usable(worker), &request.need)
            + INTERFERENCE * outlook.slowdown
            + CROWDING * f64::from(outlook.starts)
            + if outlook.failed { FAILED } else { 0.0 };
        if best.as_ref().is_none_or(|(least, _)| score < *least) {
            let pick = Pick {
                worker,
                compared: candidates.len(),
                slowdown: outlook.slowdown,
            };
            best = Some((score, pick));
        }
    }
    best.map(|(_, pick)| pick)
}

/// Lower is better: what is left over, and how uneven it is. A worker with
/// processor time but no memory left is lost for further tasks.
fn fit(free: &Resources, usable: &Resources, need: &Resources) -> f64 {
    let left = free.saturating_sub(need);
    let part = |left: u64, all: u64| left as f64 / all.max(1) as f64;
    let cpu = part(left.cpu.0, usable.cpu.0);
    let memory = part(left.memory.0, usable.memory.0);
    (cpu + memory) / 2.0 + (cpu - memory).abs() / 2.0
}
