//! Which worker a task starts on.
//!
//! Answers the load of small urgent tasks, large batches and lasting tasks that
//! share workers: tasks are packed onto the workers that they fill best, and
//! tasks that fill go where they disturb no serving task and find processor
//! time that nobody else asks for.

use arcstr::ArcStr;
use indexmap::IndexSet;

use super::work::{Step, StepKey};
use super::worker::{Held, Strain, Worker};
use crate::model::{ClassName, DomainName, ServiceName, Span, Time};
use crate::place::interference::Interference;

/// Cost of running away from the data. The room that is left over costs at most 2.
const FAR: f64 = 4.0;

/// Cost of a filling task beside serving ones, at the slowdown that they bear.
const BESIDE_SERVING: f64 = 1.0;

/// Gain of a serving task beside others of its image. A filling task disturbs
/// about a third of the images, so a worker with one image takes most of them
/// and a worker with five takes few.
const GATHER: f64 = 3.0;

/// Cost of a serving task for each other image on the worker.
const MIX: f64 = 1.0;

/// Room in percent of a worker that lasting tasks leave to short ones, which
/// couldn't start for a minute if lasting tasks took everything.
const SHORT_SHARE: u64 = 12;

/// Cost of a serving task where it displaces filling ones, for a full worker.
const DISPLACE: f64 = 2.0;

/// Cost of taking processor time that a filling task uses.
const OVERLAP: f64 = 1.0;

/// Worst tail in percent of its target up to which a filling task may start
/// beside serving ones. Their load changes within seconds.
const CALM_TAIL: u64 = 75;

/// Worst tail in percent of its target up to which serving tasks gather.
const GATHER_TAIL: u64 = 70;

/// Time after a slowdown in which no filling task starts on a worker.
const REST: Span = Span::from_millis(1_500);

/// Expected excess of a tail, in targets, below which a filling task has no
/// part in it.
pub(crate) const HARMLESS: f64 = 0.04;

/// Expected excess of a tail, in targets, that serving tasks are burdened with.
/// Known pairs have next to none or several times this.
pub(crate) const BEARABLE: f64 = 0.18;

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
        if worker.load.demand + step.size.cpu.0 > worker.report.room.cpu.0 {
            return false;
        }
    }
    let mut wanted = worker.load.counted + size;
    if step.lasting && need.patient {
        let share = worker.report.room.cpu.0 * SHORT_SHARE / 100;
        wanted.cpu.0 += share.min(step.size.cpu.0);
    }
    if !wanted.fits(&worker.report.room) {
        return false;
    }
    step.per_worker.is_none_or(|most| {
        let here = worker.runs.keys().filter(|t| t.step == need.key).count();
        here < most as usize
    })
}

/// Whether a worker's serving tasks bear another filling task. One whose effect
/// is not known is tried alone.
pub(crate) fn bears(worker: &Worker, need: &Need<'_>, known: &Interference, now: Time) -> bool {
    if worker.load.serving == 0 {
        return true;
    }
    let class = class_of(need.step.image.as_ref());
    let units = worker.units(need.step.size.cpu.0);
    let harmless = |strain: &Strain| {
        let estimate = known.estimate(&strain.image, &class);
        !estimate.is_unknown() && estimate.mean * units < HARMLESS
    };
    if worker.strains.iter().all(harmless) {
        return true;
    }
    let calm = |s: &Strain| s.tail <= CALM_TAIL || harmless(s);
    if !worker.strains.iter().all(calm) || now.since(worker.disturbed) < REST {
        return false;
    }
    worker.strains.iter().all(|strain| {
        let estimate = known.estimate(&strain.image, &class);
        if estimate.is_unknown() {
            return !worker.untested && strain.expected <= BEARABLE;
        }
        strain.expected + estimate.mean * units <= BEARABLE
    })
}

/// Adds a filling task to what a worker's serving tasks are expected to suffer.
pub(crate) fn strain(worker: &mut Worker, held: &Held, known: &Interference) {
    let class = class_of(Some(&held.image));
    let units = worker.units(held.demand());
    let mut untested = false;
    for strain in &mut worker.strains {
        let estimate = known.estimate(&strain.image, &class);
        strain.expected += estimate.mean * units;
        untested |= estimate.is_unknown();
    }
    worker.untested |= untested;
}

/// Sums up what a worker's serving tasks are expected to suffer.
pub(crate) fn sum_strains(worker: &mut Worker, known: &Interference) {
    worker.strains.clear();
    worker.untested = false;
    for held in worker.runs.values() {
        if held.target.is_none() {
            continue;
        }
        let image = ServiceName::new(held.image.clone());
        let tail = held.tail().unwrap_or(0);
        if let Some(strain) = worker.strains.iter_mut().find(|s| s.image == image) {
            strain.tail = strain.tail.max(tail);
            continue;
        }
        worker.strains.push(Strain {
            image,
            expected: 0.0,
            tail,
        });
    }
    if worker.strains.is_empty() {
        return;
    }
    let fillers: Vec<Held> = worker.runs.values().filter(|h| h.fills).cloned().collect();
    for held in &fillers {
        strain(worker, held, known);
    }
}

/// The class of a filling task in the interference model.
pub(crate) fn class_of(image: Option<&ArcStr>) -> ClassName {
    ClassName::new(image.cloned().unwrap_or_default())
}

/// Cost of a worker for a task; the smallest is chosen.
pub(crate) fn cost(worker: &Worker, need: &Need<'_>) -> f64 {
    let step = need.step;
    let (room, load) = (&worker.report.room, &worker.load);
    let cpu = room.cpu.0.max(1) as f64;
    let asked = step.size.cpu.0 as f64;
    let used = load.demand as f64 + asked;
    let counted = load.counted.cpu.0 as f64 + asked;
    let left = (cpu - counted).max(0.0) / cpu + memory_left(worker, step);
    let mut cost = match (step.fills, step.target.is_some()) {
        (true, _) => -(cpu - used).max(0.0) / cpu,
        (false, true) => left + DISPLACE * f64::from(load.fillers) * asked / cpu,
        (false, false) => left + OVERLAP * (used - cpu).max(0.0) / asked.max(1.0),
    };
    if step.fills {
        let used = |s: &Strain| s.expected / BEARABLE;
        cost += BESIDE_SERVING * worker.strains.iter().map(used).fold(0.0, f64::max);
    }
    if step.target.is_some() {
        let image = step.image.as_deref().unwrap_or_default();
        let others = worker.strains.iter().filter(|s| s.image.as_str() != image);
        cost += MIX * others.count() as f64;
        let alike = worker.strains.iter().find(|s| s.image.as_str() == image);
        if alike.is_some_and(|s| s.tail < GATHER_TAIL) {
            cost -= GATHER;
        }
    }
    if let Some(near) = &step.near
        && worker.report.rack.as_ref() != Some(near)
    {
        cost += FAR;
    }
    cost
}

/// Share of the memory that is left over.
fn memory_left(worker: &Worker, step: &Step) -> f64 {
    let room = worker.report.room.memory.0;
    let used = worker.load.counted.memory.0 + step.size.memory.0;
    room.saturating_sub(used) as f64 / room.max(1) as f64
}
