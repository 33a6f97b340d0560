//! Weights and limits of customers.
//!
//! What a customer may have running stays within its limit on all workers together, and while the
//! workers are full its finite steps go after those of others if it uses more than its share.
//! `docs/design/customer-limits.md` explains what counts and why.

mod report;
#[cfg(test)]
mod tests;
mod usage;

use indexmap::IndexMap;

use super::Dispatcher;
use super::job::Job;
use super::job_spec::{Step, StepKey};
use crate::model::{CustomerName, FastMap, Resources, Time};
pub use report::CustomerLoad;
use usage::Usage;

/// Weight and limit of a customer, from the operator's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerPolicy {
    /// Share of the customer among all when the workers are full; at least 1.
    pub weight: u32,
    /// What its tasks may occupy on all workers together. A resource at 0 has no limit.
    pub limit: Resources,
}

/// Index of a customer in [`Customers`]; stays the same for the term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CustomerIndex(usize);

/// Customers that a configuration or a job has named in this term.
#[derive(Debug)]
pub(super) struct Customers {
    /// Version of the configuration in force; `None` until one was read.
    version: Option<u64>,
    /// Entries are never removed, since jobs hold their indices.
    entries: FastMap<CustomerName, Customer>,
    /// When a line on a customer was last logged.
    reported: Time,
}

/// A customer with its policy, and its use as of the present pass.
#[derive(Debug, Default)]
struct Customer {
    /// Last known policy, kept when a later configuration does not name the customer, whose accepted
    /// jobs still have to finish. `None` if this term knew none; it has no limit then.
    policy: Option<CustomerPolicy>,
    /// Counted anew in each pass.
    usage: Usage,
    /// Whether it uses more than its share while the workers are full.
    beyond_share: bool,
    log: report::LogState,
}

impl Customers {
    pub(super) fn new(now: Time) -> Self {
        Self {
            version: None,
            entries: FastMap::default(),
            reported: now,
        }
    }

    /// Index of a customer, which is added if it is not known.
    pub(super) fn index(&mut self, name: &CustomerName) -> CustomerIndex {
        let known = self.entries.get_index_of(name);
        CustomerIndex(known.unwrap_or_else(|| {
            let added = self.entries.insert_full(name.clone(), Customer::default());
            added.0
        }))
    }

    fn of(&self, job: &Job) -> Option<&Customer> {
        Some(&self.entries[job.customer?.0])
    }
}

impl Customer {
    fn weight(&self) -> u32 {
        self.policy.map_or(1, |p| p.weight.max(1))
    }

    fn limit(&self) -> Resources {
        self.policy.map_or(Resources::ZERO, |p| p.limit)
    }
}

impl Dispatcher {
    /// Sets the weights and limits of the customers of a version of the configuration, unless a
    /// newer one is in force.
    pub fn set_customers(
        &mut self,
        version: u64,
        customers: &IndexMap<CustomerName, CustomerPolicy>,
    ) {
        let known = &mut self.customers;
        if known.version.is_some_and(|v| version <= v) {
            return;
        }
        known.version = Some(version);
        let mut changed = 0;
        for (name, policy) in customers {
            let index = known.index(name);
            let entry = &mut known.entries[index.0];
            changed += usize::from(entry.policy.replace(*policy) != Some(*policy));
        }
        if changed > 0 {
            log::info!(version = version, customers = customers.len(), changed = changed; "weights and limits of customers changed");
        }
    }

    /// Whether the customer of a job uses more than its share, so that its tasks go after those of
    /// other customers.
    pub(super) fn is_beyond_share(&self, job: &Job) -> bool {
        self.customers.of(job).is_some_and(|c| c.beyond_share)
    }

    /// How many of these tasks of a step may start within the limit of the customer. None may before
    /// a configuration was read, since a new leader does not know the limit.
    pub(super) fn allowed_starts(&self, key: StepKey, step: &Step, tasks: usize) -> usize {
        let job = self.jobs.get(&key.job);
        job.map_or(0, |job| self.allowed_starts_of(job, step, tasks))
    }

    fn allowed_starts_of(&self, job: &Job, step: &Step, tasks: usize) -> usize {
        let Some(customer) = self.customers.of(job) else {
            return tasks;
        };
        match self.customers.version {
            Some(_) => customer.usage.allowed(&customer.limit(), step, tasks),
            None => 0,
        }
    }

    /// Whether the limit of the customer keeps the step from starting a task, or a gang as a whole.
    pub(super) fn is_limited(&self, job: &Job, step: &Step) -> bool {
        let needed = match step.gang {
            true => step.count as usize,
            false => 1,
        };
        self.allowed_starts_of(job, step, needed) < needed
    }

    /// Whether the limit of the customer keeps a ready step from starting a task, or a gang as a whole.
    pub(super) fn is_step_limited(&self, key: StepKey) -> bool {
        let job = self.jobs.get(&key.job);
        job.is_some_and(|job| {
            let step = job.record.spec.steps.get(usize::from(key.step));
            step.is_some_and(|step| self.is_limited(job, step))
        })
    }

    /// How many waiting tasks of a ready step are not held back by the limit of the customer.
    pub(super) fn unlimited_tasks(&self, key: StepKey) -> usize {
        let Some((job, state)) = self.ready_step(key) else {
            return 0;
        };
        let step = job.record.spec.steps.get(usize::from(key.step));
        let waiting = state.waiting as usize;
        step.map_or(0, |step| match step.gang {
            true if self.is_limited(job, step) => 0,
            true => waiting,
            false => self.allowed_starts_of(job, step, waiting),
        })
    }

    /// Whether a configuration was read in this term.
    pub(super) fn knows_customers(&self) -> bool {
        self.customers.version.is_some()
    }
}
