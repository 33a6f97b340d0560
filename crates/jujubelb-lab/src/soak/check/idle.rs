//! The rule LOST at the end: a job with nothing running although one of its tasks could run.

use std::time::Duration;

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};

use super::{CONTACT, Calm, RESOLUTION, Violation};
use crate::emulator::customers::Customer;
use crate::emulator::history::{Event, Life, Record, RunEnd, SentJob, SentStep, TaskName, What};
use crate::emulator::platform::entries::MAX_ATTEMPTS;

/// Time after the end of the traffic from which no job may be idle.
pub(crate) const FINISH: Duration = Duration::from_secs(14);

/// How long a job may be idle from then on.
const IDLE: Duration = Duration::from_secs(3);

/// How many times over there has to be capacity for a task that could run.
const COPIES: u64 = 2;

pub(super) fn check(record: &Record, calm: &Calm, found: &mut Vec<Violation>) {
    let ended = |e: &&Event| e.what == What::TrafficEnded;
    let Some(traffic_end) = record.events.iter().find(ended).map(|e| e.at) else {
        return;
    };
    let start = traffic_end + FINISH;
    let end = record.events.last().map_or(start, |e| e.at);
    let mut seen = Seen::new(record);
    let mut idle: IndexMap<&ArcStr, Idle> = IndexMap::new();
    let mut close = |job: &ArcStr, idle: Idle, until| {
        let first = idle.since + IDLE + RESOLUTION;
        if let Some(at) = calm.first_after(IDLE + CONTACT, first, until) {
            let (since, text) = (idle.since.as_secs_f64(), idle.text);
            found.push(Violation {
                rule: "LOST",
                at,
                subject: Some(job.clone()),
                text: format!("{text}, and nothing of its job runs since {since:.3} s"),
            });
        }
    };
    let mut events = record.events.iter().peekable();
    while let Some(event) = events.next() {
        let changes = seen.apply(event);
        // What holds when the bound is reached is the result of earlier events.
        let counts = match event.at < start {
            true => events.peek().is_some_and(|e| e.at >= start),
            false => changes,
        };
        if !counts {
            continue;
        }
        for (id, job) in &record.jobs {
            match seen.idle_task(job) {
                Some(text) => {
                    let since = event.at.max(start);
                    idle.entry(id).or_insert(Idle { since, text });
                }
                None => {
                    if let Some(idle) = idle.swap_remove(id) {
                        close(id, idle, event.at);
                    }
                }
            }
        }
    }
    for (id, idle) in idle {
        close(id, idle, end);
    }
}

/// A job with nothing running although a task could run.
struct Idle {
    since: Duration,
    text: String,
}

/// A worker that is up.
struct Place<'a> {
    service: &'a ArcStr,
    cpu: u64,
    memory: u64,
}

/// State of the jobs and the workers up to an event.
struct Seen<'a> {
    record: &'a Record,
    accepted: IndexSet<&'a ArcStr>,
    cancelled: IndexSet<&'a ArcStr>,
    done: IndexSet<&'a TaskName>,
    failures: IndexMap<&'a TaskName, usize>,
    /// Jobs of which a task has failed too often.
    failed: IndexSet<&'a ArcStr>,
    runs: Vec<(&'a Life, &'a TaskName, u64)>,
    places: IndexMap<&'a Life, Place<'a>>,
    /// Customers of the newest configuration.
    customers: &'a [Customer],
}

impl<'a> Seen<'a> {
    fn new(record: &'a Record) -> Self {
        Self {
            record,
            accepted: IndexSet::new(),
            cancelled: IndexSet::new(),
            done: IndexSet::new(),
            failures: IndexMap::new(),
            failed: IndexSet::new(),
            runs: Vec::new(),
            places: IndexMap::new(),
            customers: &[],
        }
    }

    /// Returns whether the event may change which jobs are idle.
    fn apply(&mut self, event: &'a Event) -> bool {
        match &event.what {
            What::SubmitAnswered { job, answer } if answer.is_accepted() => {
                self.accepted.insert(job);
            }
            What::CancelSent { job, .. } => {
                self.cancelled.insert(job);
            }
            What::Started {
                worker, task, run, ..
            } => self.runs.push((worker, task, *run)),
            What::Ended {
                worker,
                task,
                run,
                end,
                ..
            } => {
                self.runs.retain(|r| *r != (worker, task, *run));
                match end {
                    RunEnd::Done => {
                        self.done.insert(task);
                    }
                    RunEnd::Failed => {
                        let failures = self.failures.entry(task).or_default();
                        *failures += 1;
                        if *failures >= MAX_ATTEMPTS {
                            self.failed.insert(&task.job);
                        }
                    }
                    _ => {}
                }
            }
            What::Died { worker } => {
                self.runs.retain(|(life, ..)| *life != worker);
                self.places.shift_remove(worker);
            }
            What::Joined {
                worker,
                service,
                cpu,
                memory,
            } => {
                let place = Place {
                    service,
                    cpu: *cpu,
                    memory: *memory,
                };
                self.places.insert(worker, place);
            }
            What::Configured { customers, .. } => self.customers = customers,
            _ => return false,
        }
        true
    }

    /// Describes a task of the job that could run while nothing of the job does.
    fn idle_task(&self, job: &SentJob) -> Option<String> {
        let may_run = self.accepted.contains(&job.id)
            && !self.cancelled.contains(&job.id)
            && !self.failed.contains(&job.id)
            // Tasks that last have a rule of their own.
            && !job.steps.iter().any(|s| s.lasts);
        let runs = self.runs.iter().any(|(_, t, _)| t.job == job.id);
        if !may_run || runs || self.has_half_of_limit(job) {
            return None;
        }
        let name = |step, index| TaskName {
            job: job.id.clone(),
            occurrence: 0,
            step,
            index,
        };
        let waiting = |step: usize| {
            let tasks = 0..job.steps.get(step).map_or(0, |s| s.count);
            tasks
                .map(|index| name(step, index))
                .find(|t| !self.done.contains(t))
        };
        let is_due = |step: &SentStep| step.after.iter().all(|&s| waiting(s.into()).is_none());
        let due = job.steps.iter().enumerate().filter(|(_, s)| is_due(s));
        let (task, step) = due
            .filter_map(|(index, step)| Some((waiting(index)?, step)))
            .find(|(_, step)| self.has_capacity(&job.service, step))?;
        Some(format!(
            "{task} of {} millicores ({:?}) could run",
            step.cpu, step.role
        ))
    }

    /// Whether the customer of a job has half of its limit running.
    fn has_half_of_limit(&self, job: &SentJob) -> bool {
        let of_customer = |c: &&Customer| job.customer.as_ref() == Some(&c.name);
        let Some(customer) = self.customers.iter().find(of_customer) else {
            return false;
        };
        let steps = self.runs.iter().filter_map(|(_, task, _)| {
            let other = self.record.jobs.get(&task.job)?;
            let step = other.steps.get(task.step)?;
            (other.customer == job.customer).then_some(step)
        });
        let used = steps.fold((0, 0), |(cpu, memory), step| {
            (cpu + step.cpu, memory + step.memory)
        });
        let is_half = |used: u64, limit: u64| limit > 0 && used * 2 >= limit;
        is_half(used.0, customer.max_cpu) || is_half(used.1, customer.max_memory)
    }

    /// Whether there is capacity for a task twice over, and less than half is in use. As on a
    /// worker, the processor time of best-effort tasks does not count as in use. There is capacity
    /// only where processor time is left beside them, which is less strict than the rule.
    fn has_capacity(&self, service: &ArcStr, step: &SentStep) -> bool {
        let (mut copies, mut in_use, mut total) = (0, (0, 0), (0, 0));
        for (life, place) in self.places.iter().filter(|(_, p)| p.service == service) {
            let on_worker = self.runs.iter().filter(|(worker, ..)| worker == life);
            let step_of = |task: &TaskName| self.record.jobs.get(&task.job)?.steps.get(task.step);
            let mut used = (0, 0);
            for step in on_worker.filter_map(|(_, task, _)| step_of(task)) {
                used = (used.0 + step.cpu, used.1 + step.memory);
                in_use.1 += step.memory;
                if !step.role.is_best_effort() {
                    in_use.0 += step.cpu;
                }
            }
            total = (total.0 + place.cpu, total.1 + place.memory);
            let free = |room: u64, used, size: u64| room.saturating_sub(used) / size.max(1);
            copies +=
                free(place.cpu, used.0, step.cpu).min(free(place.memory, used.1, step.memory));
        }
        copies >= COPIES && in_use.0 * 2 < total.0 && in_use.1 * 2 < total.1
    }
}
