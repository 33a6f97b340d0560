//! Log lines and figures on what customers use.

use super::super::Dispatcher;
use super::Customer;
use crate::model::{CustomerName, Resources, Span, Time};
use crate::place::share;

/// Shortest time between two lines on one customer, whose use may pass its limit or share with each
/// task.
const CUSTOMER_INTERVAL: Span = Span::from_secs(5);

/// Shortest time between two lines on any customer, which bounds the log however many there are.
const REPORT_INTERVAL: Span = Span::from_millis(500);

/// Most customers with figures of their own in the metrics: those that use most.
const MAX_REPORTED_CUSTOMERS: usize = 16;

/// What was last logged of a customer.
#[derive(Debug, Default)]
pub(super) struct LogState {
    at: Option<Time>,
    limited: bool,
    beyond_share: bool,
}

/// What a customer uses, for the metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerLoad {
    /// Name of the customer.
    pub name: CustomerName,
    /// Cores by declared size of what counts against its limit.
    pub cores: f64,
    /// Cores that it may use; 0 means no limit.
    pub core_limit: f64,
    /// Waiting tasks that its limit has held back in the last pass.
    pub held: usize,
    /// Whether it uses more than its share while the workers are full.
    pub beyond_share: bool,
}

impl Dispatcher {
    /// Logs that a customer has reached its limit, uses more than its share, or no longer does: the one
    /// whose last line is oldest.
    pub(in super::super) fn report_customers(&mut self, now: Time) {
        if !self.knows_customers() || now.since(self.customers.reported) < REPORT_INTERVAL {
            return;
        }
        let changed = |c: &Customer| {
            c.log.limited != (c.usage.held > 0) || c.log.beyond_share != c.beyond_share
        };
        let is_due = |c: &Customer| {
            let at = c.log.at;
            changed(c) && at.is_none_or(|at| now.since(at) >= CUSTOMER_INTERVAL)
        };
        let due = self.customers.entries.iter_mut().filter(|(_, c)| is_due(c));
        let Some((name, customer)) = due.min_by_key(|(_, c)| c.log.at) else {
            return;
        };
        let (usage, limit) = (&customer.usage, customer.limit());
        let (limited, beyond_share) = (usage.held > 0, customer.beyond_share);
        let age = customer.log.at.map(|at| now.since(at)).unwrap_or_default();
        if customer.log.limited != limited {
            let change = match limited {
                true => "customer has reached its limit",
                false => "customer is within its limit again",
            };
            log::info!(customer:% = name, used:? = usage.tracked, unlisted:? = usage.unlisted, limit:? = limit, runs = usage.runs, held = usage.held, age:% = age; "{change}");
        }
        if customer.log.beyond_share != beyond_share {
            let change = match beyond_share {
                true => "customer uses more than its share",
                false => "customer is within its share again",
            };
            log::info!(customer:% = name, used:? = usage.tracked, weight = customer.weight(), runs = usage.runs, age:% = age; "{change}");
        }
        customer.log = LogState {
            at: Some(now),
            limited,
            beyond_share,
        };
        self.customers.reported = now;
    }

    /// What the customers that use most use, at most [`MAX_REPORTED_CUSTOMERS`].
    pub fn customer_loads(&self) -> Vec<CustomerLoad> {
        let workers = self.workers.values().filter(|w| w.fenced && w.listed);
        let capacity: Resources = workers.map(|w| w.report.capacity).sum();
        let mut entries: Vec<(&CustomerName, &Customer)> = self.customers.entries.iter().collect();
        entries.sort_by_key(|(_, c)| {
            let used = share::dominant(&c.usage.counted(), &capacity);
            std::cmp::Reverse((used, c.usage.held))
        });
        let cores = |amount: Resources| amount.cpu.0 as f64 / 1_000.0;
        let largest = entries.into_iter().take(MAX_REPORTED_CUSTOMERS);
        largest
            .map(|(name, c)| CustomerLoad {
                name: name.clone(),
                cores: cores(c.usage.counted()),
                core_limit: cores(c.limit()),
                held: c.usage.held,
                beyond_share: c.beyond_share,
            })
            .collect()
    }

    /// Number of customers whose limit held back a task in the last pass, and of those that use
    /// more than their share.
    pub fn limited_customers(&self) -> (usize, usize) {
        let entries = self.customers.entries.values();
        let limited = entries.clone().filter(|c| c.usage.held > 0).count();
        (limited, entries.filter(|c| c.beyond_share).count())
    }
}
