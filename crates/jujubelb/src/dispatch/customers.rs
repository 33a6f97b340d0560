//! Weights and limits of customers.

use indexmap::IndexMap;

use super::Dispatcher;
use super::job_spec::{JobRecord, Step};
use crate::model::{CustomerName, Resources};

/// Weight and limit of a customer, from the operator's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerTerms {
    /// Share of the customer among all when the workers are full, and the jobs a second that it is
    /// expected to submit at most; at least 1.
    pub weight: u32,
    /// What its tasks may occupy on all workers together. A resource at 0 has no limit.
    pub limit: Resources,
}

impl Dispatcher {
    /// Sets the weights and limits of the customers of the configuration in force.
    pub fn set_customers(&mut self, customers: IndexMap<CustomerName, CustomerTerms>) {
        if customers != self.customers {
            log::info!(customers = customers.len(); "weights and limits of customers changed");
            self.customers = customers;
        }
    }

    /// Whether the customer of a job uses more than its share, so that its tasks go after those of
    /// other customers.
    pub(super) fn is_beyond_share(&self, _record: &JobRecord) -> bool {
        false
    }

    /// How many of these tasks of a step may start within the limit of the customer.
    pub(super) fn allowed_starts(&self, _record: &JobRecord, _step: &Step, tasks: usize) -> usize {
        tasks
    }
}
