//! Rules on what may be started, and where: UNASKED, REFUSED, ROUTE, EVAC and DRAIN.

use std::time::Duration;

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};

use super::{CONTACT, Calm, RESOLUTION, Violation};
use crate::emulator::history::{Answer, Event, Life, Record, TaskName, What};
use crate::emulator::worker::MAX_STOP;

/// Time after the acknowledgement of a cancellation from which no task of the job starts.
const CANCEL: Duration = Duration::from_secs(3);

/// Time after the acknowledgement of an evacuation from which nothing starts in the zone.
const EVACUATION: Duration = Duration::from_secs(5);

/// Time after a worker has reported that it drains from which nothing starts there.
const DRAIN: Duration = Duration::from_millis(2_500);

pub(super) fn check(record: &Record, calm: &Calm, found: &mut Vec<Violation>) {
    let refused = refused_jobs(record);
    let mut seen = Seen::default();
    for event in &record.events {
        if matches!(event.what, What::Started { .. }) {
            seen.check_start(record, calm, &refused, event, found);
        }
        seen.apply(event);
    }
    seen.check_remaining(record, calm, found);
}

/// Jobs of which every submission was rejected.
fn refused_jobs(record: &Record) -> IndexSet<&ArcStr> {
    let mut open: IndexMap<&ArcStr, usize> = IndexMap::new();
    for event in &record.events {
        match &event.what {
            What::SubmitSent { job, .. } => *open.entry(job).or_default() += 1,
            What::SubmitAnswered { job, answer } if answer.is_refused() => {
                *open.entry(job).or_default() -= 1;
            }
            _ => {}
        }
    }
    open.retain(|_, left| *left == 0);
    open.into_keys().collect()
}

/// What is known up to an event.
#[derive(Default)]
struct Seen<'a> {
    sent: IndexSet<&'a ArcStr>,
    /// Time at which the cancellation of a job was acknowledged.
    cancelled: IndexMap<&'a ArcStr, Duration>,
    evacuated: IndexMap<&'a ArcStr, Duration>,
    draining: IndexMap<&'a Life, Duration>,
    saved: IndexSet<(&'a TaskName, &'a ArcStr)>,
    /// Beginning and end of all runs, with their worker.
    runs: Vec<(&'a Life, &'a TaskName, u64, Duration, Option<Duration>)>,
}

impl<'a> Seen<'a> {
    fn apply(&mut self, event: &'a Event) {
        let at = event.at;
        match &event.what {
            What::SubmitSent { job, .. } => {
                self.sent.insert(job);
            }
            What::CancelAnswered { job, answer }
                if answer.is_accepted() || *answer == Answer::Status(410) =>
            {
                self.cancelled.entry(job).or_insert(at);
            }
            What::Evacuated { zone } => {
                self.evacuated.insert(zone, at);
            }
            What::Restored { zone } => {
                self.evacuated.shift_remove(zone);
            }
            What::Draining { worker } => {
                self.draining.insert(worker, at);
            }
            What::Saved { task, checkpoint } => {
                self.saved.insert((task, checkpoint));
            }
            What::Started {
                worker, task, run, ..
            } => {
                self.runs.push((worker, task, *run, at, None));
            }
            What::Ended {
                worker, task, run, ..
            } => {
                let ended = |r: &&mut (_, _, _, _, Option<Duration>)| {
                    (r.0, r.1, r.2) == (worker, task, *run) && r.4.is_none()
                };
                if let Some(entry) = self.runs.iter_mut().find(ended) {
                    entry.4 = Some(at);
                }
            }
            What::Died { worker } => {
                let on_worker = self.runs.iter_mut().filter(|r| r.0 == worker);
                on_worker.for_each(|r| {
                    r.4.get_or_insert(at);
                });
            }
            _ => {}
        }
    }

    fn check_start(
        &self,
        record: &Record,
        calm: &Calm,
        refused: &IndexSet<&ArcStr>,
        event: &'a Event,
        found: &mut Vec<Violation>,
    ) {
        let What::Started {
            worker,
            zone,
            service,
            task,
            run,
            payload,
            checkpoint,
            late,
            ..
        } = &event.what
        else {
            return;
        };
        let at = event.at;
        let mut add = |rule, text: String| {
            let text = format!("{task} run {run} starts on {worker}: {text}");
            let subject = Some(task.job.clone());
            found.push(Violation {
                rule,
                at,
                subject,
                text,
            });
        };
        let known = record
            .jobs
            .get(&task.job)
            .filter(|_| self.sent.contains(&task.job));
        match known {
            None => add("UNASKED", "no client has sent the job".to_owned()),
            Some(job) => {
                let step = job.steps.get(task.step);
                if step.is_none_or(|s| task.index >= s.count) || task.occurrence != 0 {
                    add("UNASKED", "the job has no such task".to_owned());
                }
                if job.payload != *payload {
                    add("UNASKED", format!("the payload is {payload:?}"));
                }
                if job.service != *service {
                    add("ROUTE", format!("the worker belongs to {service}"));
                }
            }
        }
        if let Some(checkpoint) = checkpoint
            && !self.saved.contains(&(task, checkpoint))
        {
            add(
                "UNASKED",
                format!("no run has saved the checkpoint {checkpoint}"),
            );
        }
        if refused.contains(&task.job) {
            add(
                "REFUSED",
                "all submissions of the job were rejected".to_owned(),
            );
        }
        // Orders that were carried out late and hosts that are not in touch are excepted.
        if *late || !calm.holds(at.saturating_sub(CONTACT), at) {
            return;
        }
        let mut check_bound = |rule, what, since: Option<&Duration>, bound: Duration| {
            if let Some(&since) = since.filter(|&&s| at > s + bound + RESOLUTION) {
                let passed = (at - since).as_secs_f64();
                add(rule, format!("{passed:.3} s after {what}"));
            }
        };
        let cancelled = self.cancelled.get(&task.job);
        check_bound("UNASKED", "the job was cancelled", cancelled, CANCEL);
        check_bound(
            "EVAC",
            "the zone was evacuated",
            self.evacuated.get(zone),
            EVACUATION,
        );
        check_bound(
            "DRAIN",
            "the worker drains",
            self.draining.get(worker),
            DRAIN,
        );
    }

    /// Tasks of cancelled jobs have to be gone after a calm span that is long enough.
    fn check_remaining(&self, record: &Record, calm: &Calm, found: &mut Vec<Violation>) {
        let end = record.events.last().map_or(Duration::ZERO, |e| e.at);
        let bound = CANCEL + MAX_STOP + RESOLUTION;
        for (worker, task, run, began, ended) in &self.runs {
            let Some(&cancelled) = self.cancelled.get(&task.job) else {
                continue;
            };
            let from = match *began > cancelled {
                // A start that was carried out late counts from this time on.
                true => *began + CONTACT,
                false => cancelled,
            };
            let until = ended.unwrap_or(end);
            if let Some(at) = calm.first_after(CONTACT + bound, from + bound, until) {
                found.push(Violation {
                    rule: "UNASKED",
                    at,
                    subject: Some(task.job.clone()),
                    text: format!(
                        "{task} run {run} is still on {worker}; the job was cancelled at {:.3} s",
                        cancelled.as_secs_f64()
                    ),
                });
            }
        }
    }
}
