//! The rule QUOTA: what a customer has running on all workers stays within its limit.

use std::time::Duration;

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::config::CONFIG;
use super::{CONTACT, Calm, RESOLUTION, Violation};
use crate::emulator::customers::Customer;
use crate::emulator::history::{Event, Life, Record, SentStep, TaskName, What};

/// Percent of its limit that a customer's tasks may occupy, beside one task more.
const MAX_PERCENT: u64 = 110;

pub(super) fn check(record: &Record, calm: &Calm, found: &mut Vec<Violation>) {
    let limits = Limits::of(record, calm);
    let mut runs: IndexMap<(&Life, &TaskName, u64), (&ArcStr, &SentStep)> = IndexMap::new();
    for event in &record.events {
        match &event.what {
            What::Started {
                worker, task, run, ..
            } => {
                let Some(job) = record.jobs.get(&task.job) else {
                    continue;
                };
                let (Some(customer), Some(step)) = (&job.customer, job.steps.get(task.step)) else {
                    continue;
                };
                let of_customer = runs.values().filter(|(name, _)| *name == customer);
                // A task may go beyond the limit, but not if others have done so before.
                let before = of_customer.fold((0, 0), |(cpu, memory), (_, step)| {
                    (cpu + step.cpu, memory + step.memory)
                });
                limits.check_start(event, task, customer, before, found);
                runs.insert((worker, task, *run), (customer, step));
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
}

/// A configuration with the time in which it may be in force.
struct InForce<'a> {
    from: Duration,
    /// `None` if a later one is not known to have replaced it.
    until: Option<Duration>,
    customers: &'a [Customer],
}

/// The limits of all configurations.
struct Limits<'a>(Vec<InForce<'a>>);

impl<'a> Limits<'a> {
    /// A configuration may be in force shortly before it is recorded, and until the next one has to
    /// be in force after a calm span. A start that is carried out late was ordered by a call that a
    /// fault delayed, by less than such a span.
    fn of(record: &'a Record, calm: &Calm) -> Self {
        let mut limits: Vec<InForce> = Vec::new();
        for event in &record.events {
            let What::Configured { customers, .. } = &event.what else {
                continue;
            };
            if let Some(last) = limits.last_mut() {
                let due = event.at + CONFIG + RESOLUTION;
                last.until = calm.first_after(CONTACT, due, Duration::MAX);
            }
            limits.push(InForce {
                from: event.at.saturating_sub(RESOLUTION),
                until: None,
                customers,
            });
        }
        Self(limits)
    }

    /// The highest limits on processor time and memory of a customer that may be in force.
    fn highest(&self, at: Duration, name: &ArcStr) -> Option<(u64, u64)> {
        let in_force = |c: &&InForce| c.from <= at && c.until.is_none_or(|until| at < until);
        let customers = self.0.iter().filter(in_force).flat_map(|c| c.customers);
        let own = customers.filter(|c| c.name == *name);
        let limit = |limit: u64| if limit == 0 { u64::MAX } else { limit };
        own.map(|c| (limit(c.max_cpu), limit(c.max_memory)))
            .reduce(|a, b| (a.0.max(b.0), a.1.max(b.1)))
    }

    /// Checks a start of a customer whose other tasks occupy `before`.
    fn check_start(
        &self,
        event: &Event,
        task: &TaskName,
        customer: &ArcStr,
        before: (u64, u64),
        found: &mut Vec<Violation>,
    ) {
        let Some((cpu, memory)) = self.highest(event.at, customer) else {
            return;
        };
        for (used, limit, unit) in [(before.0, cpu, "millicores"), (before.1, memory, "MiB")] {
            if used > limit.saturating_mul(MAX_PERCENT) / 100 {
                found.push(Violation {
                    rule: "QUOTA",
                    at: event.at,
                    subject: Some(task.job.clone()),
                    text: format!(
                        "{task} starts while {customer} has {used} of at most {limit} {unit} \
                         running"
                    ),
                });
            }
        }
    }
}
