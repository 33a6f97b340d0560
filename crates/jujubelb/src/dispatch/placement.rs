//! Which worker a task starts on.
//!
//! Answers the load of small urgent tasks, large batches and lasting tasks that
//! share workers: tasks are packed onto the workers that they fill best, and
//! tasks that fill go where they disturb no serving task and find processor
//! time that nobody else asks for.

use indexmap::IndexSet;

use super::job_spec::{Step, StepKey};
use super::pace::Headrooms;
use super::worker::{Held, Strain, Worker};
use crate::model::{DomainName, ServiceName, Time};
use crate::place::headroom::{HeadroomEstimate, Slopes};

/// Cost of running away from the data. The room that is left over costs at most 2.
const FAR: f64 = 4.0;

/// Gain of a serving task beside others of its image. A filling task disturbs
/// about a third of the images, so a worker with one image takes most of them
/// and a worker with five takes few.
const GATHER: f64 = 3.0;

/// Gain of a serving task beside others of its job. Their loads swing together,
/// so they leave more room to filling tasks than jobs that swing by turns.
const SAME_JOB: f64 = 0.7;

/// Cost of a serving task beside another image. Dearer than an empty worker, so
/// that workers are mixed only when no worker without serving tasks has room.
const MIX: f64 = 4.0;

/// Cost beside several other images: such a worker has lost most already.
const MIX_MORE: f64 = 3.0;

/// Room in percent of a worker that lasting tasks leave to short ones, which
/// couldn't start for a minute if lasting tasks took everything.
const SHORT_SHARE: u64 = 12;

/// Cost of a serving task where it displaces filling ones, for a full worker.
const DISPLACE: f64 = 2.0;

/// Cost of taking processor time that a filling task uses.
const OVERLAP: f64 = 1.0;

/// Cost of a filling task on a worker without serving tasks, beside the share of
/// the headroom that it would take elsewhere. What is harmless beside serving
/// tasks leaves such workers to what isn't.
const UNDISTURBED: f64 = 0.5;

/// Headroom that serving tasks keep when a filling task starts. Their load may
/// grow while it runs; paces answer what goes beyond.
const KEPT_HEADROOM: f64 = 1.45;

/// What a task needs of its worker.
#[derive(Debug)]
pub(crate) struct Need<'a> {
    pub(crate) key: StepKey,
    pub(crate) step: &'a Step,
    pub(crate) service: &'a ServiceName,
    /// Racks to stay on, for a gang that has begun to be placed.
    pub(crate) rack: Option<&'a str>,
    /// Whether a lasting task leaves the room that is kept for short ones.
    pub(crate) patient: bool,
    /// Whether only workers with a ticket may run it.
    pub(crate) advised: bool,
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
    if step.best_effort {
        size.cpu.0 = 0;
        if worker.load.demand + step.size.cpu.0 > worker.report.capacity.cpu.0 {
            return false;
        }
    }
    let mut wanted = worker.load.counted + size;
    if step.long_running && need.patient {
        let share = worker.report.capacity.cpu.0 * SHORT_SHARE / 100;
        wanted.cpu.0 += share.min(step.size.cpu.0);
    }
    if !wanted.fits(&worker.report.capacity) {
        return false;
    }
    step.per_worker.is_none_or(|most| {
        let here = worker.runs.keys().filter(|t| t.step == need.key).count();
        here < most as usize
    })
}

/// Cost of a filling task for a worker's serving tasks; `None` if they don't bear
/// it. An image whose effect is not known is tried without other such images, and
/// beside jobs of which it is known how they do without it.
pub(crate) fn burden(
    worker: &Worker,
    need: &Need<'_>,
    slopes: &Slopes,
    headrooms: &Headrooms,
) -> Option<f64> {
    if worker.load.serving == 0 {
        return Some(UNDISTURBED);
    }
    let image = need.step.image.clone().unwrap_or_default();
    let share = worker.share(need.step.size.cpu.0);
    let mut most: f64 = 0.0;
    for strain in &worker.strains {
        let slope = slopes.slope(&strain.image, &image);
        let other = worker.untested.as_ref().is_some_and(|i| *i != image);
        let known = headrooms
            .get(&strain.job)
            .is_some_and(HeadroomEstimate::is_known);
        if slope.is_unknown() && (other || !known) {
            return None;
        }
        let takes = slope.upper_estimate() * share;
        let left = strain.own(headrooms) - strain.taken - KEPT_HEADROOM;
        if takes > left {
            return None;
        }
        most = most.max(takes / left);
    }
    Some(most)
}

/// Adds a filling task to what a worker's serving tasks are expected to suffer.
pub(crate) fn strain(worker: &mut Worker, held: &Held, slopes: &Slopes) {
    let share = worker.share(held.size.cpu.0) * f64::from(held.pace) / 100.0;
    for strain in &mut worker.strains {
        let slope = slopes.slope(&strain.image, &held.image);
        strain.taken += slope.upper_estimate() * share;
        if slope.is_unknown() {
            worker.untested = Some(held.image.clone());
        }
    }
}

/// Sums up what a worker's serving tasks are expected to suffer.
pub(crate) fn sum_strains(worker: &mut Worker, slopes: &Slopes) {
    worker.strains.clear();
    worker.untested = None;
    for (task, held) in &worker.runs {
        let job = task.step.job;
        if held.target.is_some() && worker.strains.iter().all(|s| s.job != job) {
            worker.strains.push(Strain {
                job,
                image: held.image.clone(),
                taken: 0.0,
            });
        }
    }
    if worker.strains.is_empty() {
        return;
    }
    let fillers: Vec<Held> = worker
        .runs
        .values()
        .filter(|h| h.best_effort)
        .cloned()
        .collect();
    for held in &fillers {
        strain(worker, held, slopes);
    }
}

/// Cost of a worker for a task; the smallest is chosen.
pub(crate) fn cost(worker: &Worker, need: &Need<'_>) -> f64 {
    let step = need.step;
    let (room, load) = (&worker.report.capacity, &worker.load);
    let cpu = room.cpu.0.max(1) as f64;
    let asked = step.size.cpu.0 as f64;
    let used = load.demand as f64 + asked;
    let counted = load.counted.cpu.0 as f64 + asked;
    let left = (cpu - counted).max(0.0) / cpu + memory_left(worker, step);
    let mut cost = match (step.best_effort, step.target.is_some()) {
        (true, _) => -(cpu - used).max(0.0) / cpu,
        (false, true) => left + DISPLACE * f64::from(load.fillers) * asked / cpu,
        (false, false) => left + OVERLAP * (used - cpu).max(0.0) / asked.max(1.0),
    };
    if step.target.is_some() {
        let image = step.image.as_deref().unwrap_or_default();
        let mut images: Vec<&str> = worker.strains.iter().map(|s| s.image.as_str()).collect();
        images.sort_unstable();
        images.dedup();
        let alike = images.contains(&image);
        if worker.strains.iter().any(|s| s.job == need.key.job) {
            cost -= SAME_JOB;
        }
        let others = images.len() - usize::from(alike);
        cost += match (alike, others) {
            (true, _) => -GATHER,
            (false, 0) => 0.0,
            (false, 1) => MIX,
            (false, _) => MIX_MORE,
        };
    }
    if let Some(data_rack) = &step.data_rack
        && worker.report.rack.as_ref() != Some(data_rack)
    {
        cost += FAR;
    }
    cost
}

/// Share of the memory that is left over.
fn memory_left(worker: &Worker, step: &Step) -> f64 {
    let room = worker.report.capacity.memory.0;
    let used = worker.load.counted.memory.0 + step.size.memory.0;
    room.saturating_sub(used) as f64 / room.max(1) as f64
}
