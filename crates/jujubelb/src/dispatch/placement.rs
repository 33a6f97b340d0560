//! Choice of the worker for a task.
//!
//! Small urgent tasks, large batches and long-running tasks share the workers. Tasks are
//! packed onto the workers where they leave the least capacity unused; best-effort tasks
//! are placed where they interfere least with serving tasks and find idle processor time.
//! Costs have no unit; only their order and their ratios matter.

use derive_more::Display;
use indexmap::IndexSet;

use super::crash::Isolation;
use super::job_spec::{Step, StepKey};
use super::pace::Headrooms;
use super::worker::{JobInterference, TrackedRun, Worker};
use crate::model::{DomainName, Millicores, ServiceName, Span, Time};
use crate::place::headroom::{HeadroomEstimate, Slopes};

/// Cost of running on another rack than the data. The capacity left unused costs at most
/// 2, so this outweighs it.
const REMOTE_RACK_COST: f64 = 4.0;

/// Gain of placing a serving task beside others of the same image. A best-effort task
/// disturbs about a third of the serving images, so a worker with one serving image can
/// take most best-effort tasks, and one with five can take few.
const SAME_IMAGE_GAIN: f64 = 3.0;

/// Gain of placing a serving task beside others of the same job. Their loads peak at the
/// same times, so they leave more capacity to best-effort tasks than jobs whose peaks
/// alternate.
const SAME_JOB_GAIN: f64 = 0.7;

/// Cost of placing a serving task beside one other image. Higher than the cost of an empty
/// worker, so that images share a worker only if every worker with enough capacity has
/// serving tasks.
const SECOND_IMAGE_COST: f64 = 4.0;

/// Cost of placing a serving task beside several other images. Lower than for one, because
/// such a worker can take few best-effort tasks anyway.
const MORE_IMAGES_COST: f64 = 3.0;

/// Part of a worker's processor time that long-running tasks leave to short ones. Short
/// tasks could not start for a minute if long-running tasks took everything.
const SHORT_TASK_RESERVE_PERCENT: u64 = 12;

/// Cost of placing a serving task beside best-effort tasks, which it may displace, for each
/// of them and relative to the share of the worker that it requests.
const DISPLACEMENT_COST: f64 = 2.0;

/// Cost of placing a batch task where the processor time is in use already, mostly by
/// best-effort tasks; applies to the part of its request that exceeds the idle time.
const OVERCOMMIT_COST: f64 = 1.0;

/// Interference cost of a best-effort task on a worker without serving tasks. Elsewhere the
/// cost is the part of the free headroom that the task takes, so tasks with little
/// interference go to workers with serving tasks and leave these workers to others.
const NO_SERVING_TASKS_COST: f64 = 0.5;

/// Headroom that must remain to serving tasks when a best-effort task starts, because
/// their load may grow while it runs. Pace adjustments handle larger growth. A headroom
/// of 1 means a tail latency at the target.
const MIN_HEADROOM_AFTER_START: f64 = 1.45;

/// Least headroom left by which the cost of a best-effort task is calculated. Bounds the cost on
/// a worker without any, where a task of a starved step may start.
const MIN_HEADROOM_LEFT: f64 = 0.05;

/// Cost of placing a task that may crash its worker, for each full worker that would be lost.
/// Outweighs the capacity left unused, so that little else is lost.
const EXPOSURE_COST: f64 = 4.0;

/// Cost of placing a task that may crash its worker on one that has just restarted. Such a
/// worker may crash again without the task, which would then be blamed.
const RECENT_RESTART_COST: f64 = 4.0;

/// Cost of placing a task of a starved step beside others like it, for each of them. Outweighs the
/// other costs, so that the steps of all workers have their turn equally soon.
const STARVED_RUN_COST: f64 = 10.0;

/// Cost of placing a task of a starved step beside a serving task above its target, where it is
/// soon paused. No obstacle, since each worker may have such a task at all times.
const ABOVE_TARGET_COST: f64 = 1_000.0;

/// Cost of placing a task beside a run on probation, for each such run.
const PROBATION_COST: f64 = 2.0;

/// Requirements of a step's tasks for the worker.
#[derive(Debug)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) key: StepKey,
    pub(crate) step: &'a Step,
    pub(crate) service: &'a ServiceName,
    /// Rack that all members of a gang have to be placed on; `None` for any.
    pub(crate) rack: Option<&'a str>,
    /// Whether long-running tasks have to leave the reserve for short ones free.
    pub(crate) keep_reserve: bool,
    /// How long the probe of an unhealthy worker has to be due before the tasks may be one; `None`
    /// if they must not.
    pub(crate) probe_after: Option<Span>,
    /// How far the tasks are kept apart from others because they may crash their worker.
    pub(crate) isolation: Isolation,
    /// Whether only workers with a ticket of the policy service may run the tasks.
    pub(crate) needs_ticket: bool,
    /// Whether the step is starved, so that its tasks start also where they may take more headroom
    /// or processor time than is left.
    pub(crate) starved: bool,
}

/// Why a task can't start on a worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub(crate) enum Obstacle {
    /// Too little memory is free.
    Memory,
    /// It serves another service.
    Service,
    /// It is not listed, drains, has not answered, or has restarted and is not admitted yet.
    NotReady,
    /// It is considered unhealthy, and the task can't probe it now.
    Unhealthy,
    /// Its failure domain is evacuated.
    Evacuated,
    /// A task that may crash its worker has to be kept apart.
    Isolation,
    /// It lacks the required label, or is on another rack than the other members of the gang.
    Label,
    /// Too little processor time is free.
    Processor,
    /// It runs as many tasks of the step as may share a worker.
    Spread,
    /// It has no ticket of the policy service.
    Ticket,
    /// What the image takes from a serving image is unknown, and can't be tested beside it now.
    UnknownInterference,
    /// The image takes more headroom than the serving tasks can spare.
    Headroom,
}

/// Why a task can't start on a worker now; `None` if it can. Does not consider tickets and
/// interference.
pub(crate) fn obstacle(
    worker: &Worker,
    request: &PlacementRequest<'_>,
    evacuated: &IndexSet<DomainName>,
    now: Time,
) -> Option<Obstacle> {
    let step = request.step;
    // Most workers are full, so the cheapest check of what is free comes first.
    let capacity = worker.report.capacity;
    if worker.load.reserved.memory + step.size.memory > capacity.memory {
        return Some(Obstacle::Memory);
    }
    if worker.report.service != *request.service {
        return Some(Obstacle::Service);
    }
    if !worker.accepts_start(now) {
        return Some(Obstacle::NotReady);
    }
    if !worker.accepts_health(request.probe_after, now) {
        return Some(Obstacle::Unhealthy);
    }
    if request.starved && worker.is_recovering(now) {
        return Some(Obstacle::Headroom);
    }
    if evacuated.contains(&worker.report.domain) {
        return Some(Obstacle::Evacuated);
    }
    if !worker.admits_isolation(request.isolation) {
        return Some(Obstacle::Isolation);
    }
    if let Some(label) = &step.label
        && !worker.report.labels.contains(label)
    {
        return Some(Obstacle::Label);
    }
    if let Some(rack) = request.rack
        && worker.report.rack.as_deref() != Some(rack)
    {
        return Some(Obstacle::Label);
    }
    let mut size = step.size;
    if step.best_effort {
        size.cpu.0 = 0;
        let demand = worker.load.cpu_demand.saturating_add(step.size.cpu.0);
        if demand > capacity.cpu.0 && !request.starved {
            return Some(Obstacle::Processor);
        }
    }
    let mut required = worker.load.reserved + size;
    if step.long_running && request.keep_reserve {
        let share = capacity.cpu.0 * SHORT_TASK_RESERVE_PERCENT / 100;
        required.cpu += Millicores(share.min(step.size.cpu.0));
    }
    if !required.fits(&worker.report.capacity) {
        return Some(Obstacle::Processor);
    }
    let limit = step.per_worker? as usize;
    let count = worker.runs.keys().filter(|t| t.step == request.key).count();
    (count >= limit).then_some(Obstacle::Spread)
}

/// Cost of a best-effort task's interference with a worker's serving tasks, or why it can't run
/// beside them: it would take more headroom than they can spare. Unless its step is starved, a
/// worker runs at most one image of unknown interference at a time, and only beside jobs whose own
/// headroom is known, so that the effect can be attributed.
pub(crate) fn interference_cost(
    worker: &Worker,
    request: &PlacementRequest<'_>,
    slopes: &Slopes,
    headrooms: &Headrooms,
) -> Result<f64, Obstacle> {
    if worker.load.serving_tasks == 0 {
        return Ok(NO_SERVING_TASKS_COST);
    }
    let image = request.step.image.clone().unwrap_or_default();
    let share = worker.cpu_share(request.step.size.cpu.0);
    let mut highest: f64 = 0.0;
    for entry in &worker.interference {
        let slope = slopes.slope(&entry.image, &image);
        let other = worker.untested_image.as_ref().is_some_and(|i| *i != image);
        let known = headrooms
            .get(&entry.job)
            .is_some_and(HeadroomEstimate::is_known);
        if slope.is_unknown() && (other || !known) && !request.starved {
            return Err(Obstacle::UnknownInterference);
        }
        let takes = slope.upper_estimate() * share;
        let left = entry.baseline(headrooms) - entry.headroom_taken - MIN_HEADROOM_AFTER_START;
        if takes > left && !request.starved {
            return Err(Obstacle::Headroom);
        }
        highest = highest.max(takes / left.max(MIN_HEADROOM_LEFT));
    }
    Ok(highest)
}

/// Adds a best-effort run to the expected interference on its worker.
pub(crate) fn add_interference(worker: &mut Worker, tracked: &TrackedRun, slopes: &Slopes) {
    let share = worker.cpu_share(tracked.size.cpu.0) * f64::from(tracked.pace) / 100.0;
    for entry in &mut worker.interference {
        let slope = slopes.slope(&entry.image, &tracked.image);
        entry.headroom_taken += slope.upper_estimate() * share;
        if slope.is_unknown() {
            worker.untested_image = Some(tracked.image.clone());
        }
    }
}

/// Recomputes the expected interference on a worker from its runs.
pub(crate) fn update_interference(worker: &mut Worker, slopes: &Slopes) {
    worker.interference.clear();
    worker.untested_image = None;
    for (task, tracked) in &worker.runs {
        let job = task.step.job;
        if tracked.target.is_some() && worker.interference.iter().all(|s| s.job != job) {
            worker.interference.push(JobInterference {
                job,
                image: tracked.image.clone(),
                headroom_taken: 0.0,
            });
        }
    }
    if worker.interference.is_empty() {
        return;
    }
    let best_effort: Vec<TrackedRun> = worker
        .runs
        .values()
        .filter(|r| r.best_effort)
        .cloned()
        .collect();
    for tracked in &best_effort {
        add_interference(worker, tracked, slopes);
    }
}

/// Cost of placing a task on a worker, without interference. The lowest cost is chosen.
pub(crate) fn cost(worker: &Worker, request: &PlacementRequest<'_>) -> f64 {
    let step = request.step;
    let (capacity, load) = (&worker.report.capacity, &worker.load);
    let cpu = capacity.cpu.0.max(1) as f64;
    let requested = step.size.cpu.0 as f64;
    let used = load.cpu_demand as f64 + requested;
    let reserved = load.reserved.cpu.0 as f64 + requested;
    let left = (cpu - reserved).max(0.0) / cpu + free_memory(worker, step);
    let mut cost = match (step.best_effort, step.target.is_some()) {
        (true, _) => -(cpu - used).max(0.0) / cpu,
        (false, true) => {
            left + DISPLACEMENT_COST * f64::from(load.best_effort_tasks) * requested / cpu
        }
        (false, false) => left + OVERCOMMIT_COST * (used - cpu).max(0.0) / requested.max(1.0),
    };
    if step.target.is_some() {
        let image = step.image.as_deref().unwrap_or_default();
        let mut images: Vec<&str> = worker
            .interference
            .iter()
            .map(|s| s.image.as_str())
            .collect();
        images.sort_unstable();
        images.dedup();
        let same_image = images.contains(&image);
        if worker.interference.iter().any(|s| s.job == request.key.job) {
            cost -= SAME_JOB_GAIN;
        }
        let others = images.len() - usize::from(same_image);
        cost += match (same_image, others) {
            (true, _) => -SAME_IMAGE_GAIN,
            (false, 0) => 0.0,
            (false, 1) => SECOND_IMAGE_COST,
            (false, _) => MORE_IMAGES_COST,
        };
    }
    cost += PROBATION_COST * f64::from(load.suspects);
    if request.starved {
        cost += STARVED_RUN_COST * f64::from(load.starved_runs);
        if worker.runs.values().any(|r| r.above_target.is_some()) {
            cost += ABOVE_TARGET_COST;
        }
    }
    if let Some(data_rack) = &step.data_rack
        && worker.report.rack.as_ref() != Some(data_rack)
    {
        cost += REMOTE_RACK_COST;
    }
    cost
}

/// Additional cost of placing a task that may crash the worker.
pub(crate) fn exposure_cost(worker: &Worker, now: Time) -> f64 {
    let exposed = EXPOSURE_COST * worker.cpu_share(worker.load.cpu_demand);
    match worker.has_restarted_recently(now) {
        true => exposed + RECENT_RESTART_COST,
        false => exposed,
    }
}

/// Fraction of the worker's memory that would remain free with one more task of a step.
fn free_memory(worker: &Worker, step: &Step) -> f64 {
    let capacity = worker.report.capacity.memory.0;
    let used = worker.load.reserved.memory.0 + step.size.memory.0;
    capacity.saturating_sub(used) as f64 / capacity.max(1) as f64
}
