//! The rule HARM: best-effort tasks that keep a serving task over its target.

use std::time::Duration;

use indexmap::IndexMap;

use super::{CONTACT, Calm, RESOLUTION, Violation};
use crate::emulator::history::{Life, Record, TaskName, What};

/// How long a serving task may be over its target because of best-effort tasks.
const HARM: Duration = Duration::from_secs(4);

pub(super) fn check(record: &Record, calm: &Calm, found: &mut Vec<Violation>) {
    let mut disturbed: IndexMap<(&Life, &TaskName), Duration> = IndexMap::new();
    let mut close = |(worker, task): (&Life, &TaskName), since: Duration, until| {
        let first = since + HARM + RESOLUTION;
        if let Some(at) = calm.first_after(HARM + CONTACT, first, until) {
            found.push(Violation {
                rule: "HARM",
                at,
                subject: Some(task.job.clone()),
                text: format!(
                    "{task} on {worker} is over its target since {:.3} s because of best-effort \
                     tasks",
                    since.as_secs_f64()
                ),
            });
        }
    };
    for event in &record.events {
        match &event.what {
            What::Disturbed {
                worker,
                task,
                disturbed: true,
            } => {
                disturbed.entry((worker, task)).or_insert(event.at);
            }
            What::Disturbed { worker, task, .. } | What::Ended { worker, task, .. } => {
                if let Some(since) = disturbed.swap_remove(&(worker, task)) {
                    close((worker, task), since, event.at);
                }
            }
            What::Died { worker } => {
                let on_worker = disturbed.extract_if(.., |(life, _), _| *life == worker);
                on_worker.for_each(|(key, since)| close(key, since, event.at));
            }
            _ => {}
        }
    }
    let end = record.events.last().map_or(Duration::ZERO, |e| e.at);
    for (key, since) in disturbed {
        close(key, since, end);
    }
}
