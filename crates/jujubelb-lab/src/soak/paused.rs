//! Jobs whose runs all stand still after the traffic.

use std::time::Duration;

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};

use super::check::JUDGED_AFTER;
use crate::emulator::history::{Event, Record, What};

/// How long all runs of a job have to be at pace 0 at a stretch.
const STANDSTILL: Duration = Duration::from_secs(10);

/// Number of jobs that have runs on workers of which all are at pace 0 for more than 10 s at a
/// stretch, in the time in which LOST is judged. LOST takes such a run for one that works.
pub(crate) fn paused_jobs(record: &Record) -> usize {
    let ended = |e: &&Event| e.what == What::TrafficEnded;
    let Some(start) = record
        .events
        .iter()
        .find(ended)
        .map(|e| e.at + JUDGED_AFTER)
    else {
        return 0;
    };
    let mut runs = IndexMap::new();
    let mut since: IndexMap<&ArcStr, Duration> = IndexMap::new();
    let mut found = IndexSet::new();
    for event in &record.events {
        // What holds until this event is the result of earlier ones.
        let stands = |at: Duration| event.at.saturating_sub(at.max(start)) > STANDSTILL;
        found.extend(since.iter().filter(|(_, at)| stands(**at)).map(|(j, _)| *j));
        match &event.what {
            What::Started {
                worker, task, run, ..
            } => {
                runs.insert((worker, task, *run), false);
            }
            What::Paused {
                worker,
                task,
                run,
                paused,
            } => {
                if let Some(state) = runs.get_mut(&(worker, task, *run)) {
                    *state = *paused;
                }
            }
            What::Ended {
                worker, task, run, ..
            } => {
                runs.shift_remove(&(worker, task, *run));
            }
            What::Died { worker } => runs.retain(|(life, ..), _| *life != worker),
            _ => continue,
        }
        let mut jobs: IndexMap<&ArcStr, bool> = IndexMap::new();
        for ((_, task, _), paused) in &runs {
            *jobs.entry(&task.job).or_insert(true) &= paused;
        }
        since.retain(|job, _| jobs.get(job).is_some_and(|stands| *stands));
        for (job, _) in jobs.into_iter().filter(|(_, stands)| *stands) {
            since.entry(job).or_insert(event.at);
        }
    }
    found.len()
}

#[cfg(test)]
mod tests;
