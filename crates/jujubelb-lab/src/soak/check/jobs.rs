//! Rules on what clients are shown of a job, and on its end: LOST and MIXED.

use std::time::Duration;

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};

use super::{CONTACT, Calm, RESOLUTION, Violation};
use crate::emulator::history::{Event, Record, RunEnd, SentJob, TaskName, What};
use crate::emulator::platform::entries::MAX_ATTEMPTS;

/// Time after its acknowledgement from which a job has to be known.
const VISIBLE: Duration = Duration::from_secs(3);

/// Time after the last run of a task that lasts from which it must not be away.
const LASTING_PAUSE: Duration = Duration::from_secs(6);

/// How long a task that lasts may be away from then on.
const AWAY: Duration = Duration::from_secs(3);

pub(super) fn check(record: &Record, calm: &Calm, found: &mut Vec<Violation>) {
    let mut jobs = Jobs::default();
    for event in &record.events {
        if let What::StateShown { job, asked, state } = &event.what {
            let span = (*asked, event.at);
            jobs.check_shown(record, calm, job, span, state.as_deref(), found);
        }
        jobs.apply(event);
    }
    let end = record.events.last().map_or(Duration::ZERO, |e| e.at);
    for (id, job) in &record.jobs {
        if job.steps.iter().any(|s| s.lasts) {
            jobs.check_lasting(job, calm, end, found);
        } else {
            jobs.check_over(id, job, end, found);
        }
    }
}

/// What is known of the jobs up to an event.
#[derive(Default)]
struct Jobs<'a> {
    /// Time at which each accepted job was acknowledged.
    accepted: IndexMap<&'a ArcStr, Duration>,
    /// Time at which the cancellation of a job was first sent.
    cancelled: IndexMap<&'a ArcStr, Duration>,
    done: IndexSet<&'a TaskName>,
    failures: IndexMap<&'a TaskName, usize>,
    /// The latest state that clients were shown of each job.
    shown: IndexMap<&'a ArcStr, &'a str>,
    /// Starts and ends of the runs of each task, as times and changes of their number.
    runs: IndexMap<&'a TaskName, Vec<(Duration, bool)>>,
    /// Tasks that run on each worker.
    on_workers: IndexMap<&'a ArcStr, Vec<&'a TaskName>>,
}

impl<'a> Jobs<'a> {
    fn apply(&mut self, event: &'a Event) {
        let at = event.at;
        match &event.what {
            What::SubmitAnswered { job, answer } if answer.is_accepted() => {
                self.accepted.entry(job).or_insert(at);
            }
            What::CancelSent { job, .. } => {
                self.cancelled.entry(job).or_insert(at);
            }
            What::StateShown { job, state, .. } => {
                self.shown
                    .insert(job, state.as_deref().unwrap_or("unknown"));
            }
            What::Started { worker, task, .. } => {
                self.runs.entry(task).or_default().push((at, true));
                self.on_workers.entry(&worker.name).or_default().push(task);
            }
            What::Ended {
                worker, task, end, ..
            } => {
                self.runs.entry(task).or_default().push((at, false));
                let on_worker = self.on_workers.entry(&worker.name).or_default();
                on_worker.retain(|t| *t != task);
                match end {
                    RunEnd::Done => {
                        self.done.insert(task);
                    }
                    RunEnd::Failed => *self.failures.entry(task).or_default() += 1,
                    _ => {}
                }
            }
            What::Died { worker } => {
                for task in self
                    .on_workers
                    .swap_remove(&worker.name)
                    .unwrap_or_default()
                {
                    self.runs.entry(task).or_default().push((at, false));
                }
            }
            _ => {}
        }
    }

    /// Checks a state that was shown to a client that asked at `span.0`, up to `span.1`.
    fn check_shown(
        &self,
        record: &Record,
        calm: &Calm,
        id: &ArcStr,
        span: (Duration, Duration),
        state: Option<&str>,
        found: &mut Vec<Violation>,
    ) {
        let mut add = |rule, text: String| {
            found.push(Violation {
                rule,
                at: span.1,
                subject: Some(id.clone()),
                text: format!("job {id}: {text}"),
            });
        };
        let Some(job) = record.jobs.get(id) else {
            return;
        };
        match state {
            None => {
                let due = self.accepted.get(id).is_some_and(|&a| span.0 > a + VISIBLE);
                let in_touch = calm.holds(span.0.saturating_sub(CONTACT), span.1);
                if due && in_touch && !self.cancelled.contains_key(id) {
                    add("LOST", "accepted, and shown as not existing".to_owned());
                }
            }
            Some("queued" | "running") => {}
            Some("completed") => {
                if let Some(task) = tasks(job).find(|t| !self.done.contains(t)) {
                    add(
                        "MIXED",
                        format!("shown as completed, and {task} is not done"),
                    );
                }
            }
            Some("failed") => {
                let failed =
                    |t: TaskName| self.failures.get(&t).is_some_and(|&f| f >= MAX_ATTEMPTS);
                if !tasks(job).any(failed) {
                    add("LOST", "shown as failed without cause".to_owned());
                }
            }
            Some("cancelled") => {
                if !self.cancelled.contains_key(id) {
                    add(
                        "LOST",
                        "shown as cancelled, and nobody has cancelled it".to_owned(),
                    );
                }
            }
            Some(other) => add("MIXED", format!("the state {other} can't be read")),
        }
    }

    /// An accepted job that nobody cancels has to be over at the end. One with best-effort tasks
    /// only has to be known: how long they take depends on the tasks beside them.
    fn check_over(&self, id: &ArcStr, job: &SentJob, end: Duration, found: &mut Vec<Violation>) {
        let Some(accepted) = self.accepted.get(id) else {
            return;
        };
        let shown = self.shown.get(id).copied().unwrap_or("nothing");
        let allowed = match shown {
            "completed" | "failed" => true,
            "queued" | "running" => job.steps.iter().any(|s| s.role.is_best_effort()),
            _ => false,
        };
        if !self.cancelled.contains_key(id) && !allowed {
            found.push(Violation {
                rule: "LOST",
                at: end,
                subject: Some(id.clone()),
                text: format!(
                    "job {id} was accepted at {:.3} s and is not over at the end; shown: {shown}",
                    accepted.as_secs_f64()
                ),
            });
        }
    }

    /// A task that lasts must not be away for long while nothing is disturbed.
    fn check_lasting(&self, job: &SentJob, calm: &Calm, end: Duration, found: &mut Vec<Violation>) {
        let Some(&accepted) = self.accepted.get(&job.id) else {
            return;
        };
        let until = self.cancelled.get(&job.id).copied().unwrap_or(end);
        for task in tasks(job) {
            let mut away_since = Some(accepted);
            let mut running = 0_usize;
            let changes = self.runs.get(&task).into_iter().flatten().copied();
            for (at, starts) in changes.chain([(until, true)]) {
                if let Some(since) = away_since {
                    let first = since + LASTING_PAUSE + AWAY + RESOLUTION;
                    let span = AWAY + CONTACT;
                    if let Some(at) = calm.first_after(span, first, at.min(until)) {
                        found.push(Violation {
                            rule: "LOST",
                            at,
                            subject: Some(job.id.clone()),
                            text: format!(
                                "{task}, which lasts, is away since {:.3} s",
                                since.as_secs_f64()
                            ),
                        });
                    }
                }
                running = match starts {
                    true => running + 1,
                    false => running.saturating_sub(1),
                };
                away_since = (running == 0).then_some(at);
            }
        }
    }
}

/// Names of all tasks of a job.
fn tasks(job: &SentJob) -> impl Iterator<Item = TaskName> {
    job.steps.iter().enumerate().flat_map(move |(step, s)| {
        (0..s.count).map(move |index| TaskName {
            job: job.id.clone(),
            occurrence: 0,
            step,
            index,
        })
    })
}
