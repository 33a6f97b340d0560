//! Rules on the runs of a task that hold at any time: TWICE, ORDER, BUDGET and LIMIT.

use indexmap::{IndexMap, IndexSet};

use super::Violation;
use crate::emulator::history::{Event, Life, Record, RunEnd, TaskName, What};
use crate::emulator::platform::entries::MAX_ATTEMPTS;

pub(super) fn check(record: &Record, found: &mut Vec<Violation>) {
    let noted = noted_ends(record);
    let mut seen = Seen::default();
    for (index, event) in record.events.iter().enumerate() {
        if matches!(event.what, What::Started { .. }) {
            seen.check_start(record, event, found);
        }
        seen.apply(event, noted.contains(&index));
    }
}

/// Indices of the events of ends that are taken note of: an acknowledgement has reached them,
/// and the worker's lease has not run out before.
fn noted_ends(record: &Record) -> IndexSet<usize> {
    let mut pending: IndexMap<&Life, Vec<(u64, usize)>> = IndexMap::new();
    let mut noted = IndexSet::new();
    for (index, event) in record.events.iter().enumerate() {
        match &event.what {
            What::Ended { worker, number, .. } => {
                pending.entry(worker).or_default().push((*number, index));
            }
            What::Acknowledged { worker, number } => {
                let ends = pending.entry(worker).or_default();
                let reached = ends.extract_if(.., |(n, _)| *n <= *number);
                noted.extend(reached.map(|(_, index)| index));
            }
            What::Lapsed { worker } | What::Died { worker } => {
                pending.shift_remove(worker);
            }
            _ => {}
        }
    }
    noted
}

/// State of the tasks up to an event.
#[derive(Default)]
struct Seen<'a> {
    running: IndexMap<&'a TaskName, Vec<(&'a Life, u64)>>,
    done: IndexSet<&'a TaskName>,
    /// Tasks whose end as done is taken note of then or later.
    noted_done: IndexSet<&'a TaskName>,
    /// Ends as failed that are taken note of then or later.
    noted_failures: IndexMap<&'a TaskName, usize>,
}

impl<'a> Seen<'a> {
    fn apply(&mut self, event: &'a Event, noted: bool) {
        match &event.what {
            What::Started {
                worker, task, run, ..
            } => {
                self.running.entry(task).or_default().push((worker, *run));
            }
            What::Ended {
                worker,
                task,
                run,
                end,
                ..
            } => {
                if let Some(runs) = self.running.get_mut(task) {
                    runs.retain(|r| *r != (worker, *run));
                }
                match end {
                    RunEnd::Done => {
                        self.done.insert(task);
                        if noted {
                            self.noted_done.insert(task);
                        }
                    }
                    RunEnd::Failed if noted => {
                        *self.noted_failures.entry(task).or_default() += 1;
                    }
                    _ => {}
                }
            }
            What::Died { worker } => {
                for runs in self.running.values_mut() {
                    runs.retain(|(life, _)| *life != worker);
                }
            }
            _ => {}
        }
    }

    fn check_start(&self, record: &Record, event: &Event, found: &mut Vec<Violation>) {
        let What::Started {
            worker,
            task,
            run,
            over_room,
            ..
        } = &event.what
        else {
            return;
        };
        let mut add = |rule, text| {
            found.push(Violation {
                rule,
                at: event.at,
                subject: Some(task.job.clone()),
                text,
            });
        };
        if let Some((other, earlier)) = self.running.get(task).and_then(|r| r.first()) {
            add(
                "TWICE",
                format!("{task} run {run} starts on {worker} while run {earlier} is on {other}"),
            );
        }
        if self.noted_done.contains(task) {
            add(
                "TWICE",
                format!("{task} run {run} starts on {worker} after it was done"),
            );
        }
        if *over_room {
            add(
                "LIMIT",
                format!("{task} run {run} starts on {worker}, which is full"),
            );
        }
        let Some(job) = record.jobs.get(&task.job) else {
            return;
        };
        let Some(step) = job.steps.get(task.step) else {
            return;
        };
        let failures = self.noted_failures.get(task).copied().unwrap_or(0);
        if failures >= MAX_ATTEMPTS && !step.lasts {
            add(
                "BUDGET",
                format!("{task} run {run} starts after {failures} failures"),
            );
        }
        for &earlier in &step.after {
            let earlier = usize::from(earlier);
            let count = job.steps.get(earlier).map_or(0, |s| s.count);
            let missing = (0..count).find(|&index| {
                let name = TaskName {
                    step: earlier,
                    index,
                    ..task.clone()
                };
                !self.done.contains(&name)
            });
            if let Some(index) = missing {
                add(
                    "ORDER",
                    format!(
                        "{task} run {run} starts before task {index} of step {earlier} is done"
                    ),
                );
            }
        }
    }
}
