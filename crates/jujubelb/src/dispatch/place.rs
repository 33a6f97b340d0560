//! Which worker a task starts on.
//!
//! Answers the load of small urgent tasks, large batches and lasting tasks that
//! share workers: tasks are packed onto the workers that they fill best, and
//! tasks that fill go where they disturb no serving task and find processor
//! time that nobody else asks for.

use indexmap::IndexSet;

use super::work::{Step, StepKey};
use super::worker::Worker;
use crate::model::{DomainName, ServiceName, Time};

/// Cost of running away from the data, and per other fault of a choice; the
/// room that is left over is at most 2.
const FAR: f64 = 4.0;

/// Cost of a task that fills beside a serving task.
const BESIDE_SERVING: f64 = 3.0;

/// Cost of taking processor time that a filling task uses.
const OVERLAP: f64 = 1.0;

/// What a task needs of its worker.
#[derive(Debug)]
pub(crate) struct Need<'a> {
    pub(crate) key: StepKey,
    pub(crate) step: &'a Step,
    pub(crate) service: &'a ServiceName,
    /// Racks to stay on, for a gang that has begun to be placed.
    pub(crate) rack: Option<&'a str>,
}

/// Whether a worker could take a task now.
pub(crate) fn admits(
    worker: &Worker,
    need: &Need<'_>,
    evacuated: &IndexSet<DomainName>,
    now: Time,
) -> bool {
    let step = need.step;
    if worker.report.service != *need.service
        || !worker.is_open(now)
        || evacuated.contains(&worker.report.domain)
    {
        return false;
    }
    if let Some(label) = &step.label
        && !worker.report.labels.contains(label)
    {
        return false;
    }
    if let Some(rack) = need.rack
        && worker.report.rack.as_deref() != Some(rack)
    {
        return false;
    }
    let mut size = step.size;
    if step.fills {
        size.cpu.0 = 0;
        if worker.load.counted.cpu.0 + worker.load.filling + step.size.cpu.0
            > worker.report.room.cpu.0
        {
            return false;
        }
    }
    if !(worker.load.counted + size).fits(&worker.report.room) {
        return false;
    }
    step.per_worker.is_none_or(|most| {
        let here = worker.runs.keys().filter(|t| t.step == need.key).count();
        here < most as usize
    })
}

/// Cost of a worker for a task; the smallest is chosen.
pub(crate) fn cost(worker: &Worker, need: &Need<'_>) -> f64 {
    let step = need.step;
    let (room, load) = (&worker.report.room, &worker.load);
    let cpu = room.cpu.0.max(1) as f64;
    let memory = room.memory.0.max(1) as f64;
    let used = (load.counted.cpu.0 + load.filling + step.size.cpu.0) as f64;
    let left = (cpu - used).max(0.0) / cpu + memory_left(worker, step) / memory;
    let mut cost = if step.fills { -left } else { left };
    if step.fills && load.serving > 0 {
        cost += BESIDE_SERVING;
    }
    if !step.fills && used > cpu {
        cost += OVERLAP * (used - cpu) / step.size.cpu.0.max(1) as f64;
    }
    if let Some(near) = &step.near
        && worker.report.rack.as_ref() != Some(near)
    {
        cost += FAR;
    }
    cost
}

fn memory_left(worker: &Worker, step: &Step) -> f64 {
    let used = worker.load.counted.memory.0 + step.size.memory.0;
    worker.report.room.memory.0.saturating_sub(used) as f64
}
