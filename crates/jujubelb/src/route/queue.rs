//! Queue of requests that wait for an endpoint.

use std::collections::BTreeMap;

use crate::model::Priority;

use super::Ticket;

/// Queue of one service; the router enforces its bound. Urgent requests precede
/// batch ones. Within a priority the order is that of admission, also for requests
/// that are queued again after a failed attempt.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestQueue {
    order: BTreeMap<(Priority, Ticket), ()>,
    urgent: usize,
}

impl RequestQueue {
    /// Adds a request; does nothing if it is queued already.
    pub(super) fn insert(&mut self, priority: Priority, ticket: Ticket) {
        let inserted = self.order.insert((priority, ticket), ()).is_none();
        if inserted && priority == Priority::Urgent {
            self.urgent += 1;
        }
    }

    /// Removes a request; does nothing if it is not queued.
    pub(super) fn remove(&mut self, priority: Priority, ticket: Ticket) {
        let existed = self.order.remove(&(priority, ticket)).is_some();
        if existed && priority == Priority::Urgent {
            self.urgent -= 1;
        }
    }

    /// The next request to send.
    pub(super) fn head(&self) -> Option<Ticket> {
        self.order
            .first_key_value()
            .map(|((_, ticket), ())| *ticket)
    }

    /// The last batch request in the queue.
    pub(super) fn last_batch(&self) -> Option<Ticket> {
        let ((priority, ticket), ()) = self.order.last_key_value()?;
        (*priority == Priority::Batch).then_some(*ticket)
    }

    /// Number of queued requests that a new one of this priority would wait for.
    pub(super) fn requests_ahead(&self, priority: Priority) -> usize {
        match priority {
            Priority::Urgent => self.urgent,
            Priority::Batch => self.order.len(),
        }
    }

    /// Number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Number of queued batch requests.
    pub(super) fn batch_len(&self) -> usize {
        self.order.len() - self.urgent
    }
}
