//! Jobs whose runs all stand still at the end of a soak.

use std::time::Duration;

use arcstr::ArcStr;
use indexmap::IndexMap;

use crate::emulator::history::{Record, What};

/// How long each run of a job has to have been at pace 0.
const STANDSTILL: Duration = Duration::from_secs(10);

/// Number of jobs of which at least one run is at work on a worker at the end, and each of these has
/// been at pace 0 for more than 10 s. The rule LOST takes such a run for one that works.
pub(crate) fn standing_jobs(record: &Record) -> usize {
    let end = record.events.last().map_or(Duration::ZERO, |e| e.at);
    let mut runs = IndexMap::new();
    for event in &record.events {
        match &event.what {
            What::Started {
                worker, task, run, ..
            } => {
                runs.insert((worker, task, *run), None);
            }
            What::Paused {
                worker,
                task,
                run,
                paused,
            } => {
                if let Some(since) = runs.get_mut(&(worker, task, *run)) {
                    *since = paused.then_some(event.at);
                }
            }
            What::Ended {
                worker, task, run, ..
            } => {
                runs.shift_remove(&(worker, task, *run));
            }
            What::Died { worker } => runs.retain(|(life, ..), _| *life != worker),
            _ => {}
        }
    }
    let mut jobs: IndexMap<&ArcStr, bool> = IndexMap::new();
    for ((_, task, _), since) in &runs {
        let stands = since.is_some_and(|at| end.saturating_sub(at) > STANDSTILL);
        *jobs.entry(&task.job).or_insert(true) &= stands;
    }
    jobs.values().filter(|stands| **stands).count()
}

#[cfg(test)]
mod tests;
