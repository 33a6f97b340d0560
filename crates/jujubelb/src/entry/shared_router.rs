//! The router as shared by the request handlers and the control thread.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::claim::{Holder, HostSets, claim_retention, former_set_retention};
use crate::http::response::EndpointResponse;
use crate::model::{DomainName, NodeName, Span, Time};
use crate::route::{
    AttemptId, AttemptOutcome, Delivery, Refusal, RequestInfo, Router, Step, Ticket,
};
use crate::telemetry::Clock;

/// The router and the state of claims behind a lock, which is held only for one
/// operation at a time.
#[derive(Debug)]
pub(super) struct SharedRouter {
    clock: Clock,
    state: Mutex<RoutingState>,
}

#[derive(Debug)]
pub(super) struct RoutingState {
    pub(super) router: Router,
    pub(super) holder: Holder,
    pub(super) sets: HostSets,
    waiting: IndexMap<Ticket, WaitingRequest>,
}

/// A request whose handler waits for its next action.
#[derive(Debug)]
struct WaitingRequest {
    notify: Arc<Notify>,
    /// The response, from its delivery by the router until the handler takes it.
    response: Option<EndpointResponse>,
}

/// What a request's handler does next.
#[derive(Debug, PartialEq)]
pub(super) enum NextAction {
    /// Forward this response to the caller.
    Respond(EndpointResponse),
    /// Perform this step of the router.
    Step(Step),
}

impl SharedRouter {
    /// Creates a router without configuration. `key` is the lifetime of request keys.
    pub(super) fn new(node: NodeName, domain: DomainName, clock: Clock, key: Span) -> Self {
        Self {
            clock,
            state: Mutex::new(RoutingState {
                router: Router::new(node, domain),
                holder: Holder::new(clock.now(), claim_retention(key)),
                sets: HostSets::new(former_set_retention(key)),
                waiting: IndexMap::new(),
            }),
        }
    }

    /// Runs an operation under the lock, and then wakes the requests whose next step
    /// became due by it.
    pub(super) fn with_state<T>(&self, operation: impl FnOnce(Time, &mut RoutingState) -> T) -> T {
        let mut state = self.lock();
        let result = operation(self.clock.now(), &mut state);
        for ticket in state.router.take_wakeups() {
            if let Some(waiting) = state.waiting.get(&ticket) {
                waiting.notify.notify_one();
            }
        }
        result
    }

    /// Admits a request. The returned `Notify` wakes its handler when its next action has
    /// to be taken early.
    pub(super) fn admit(&self, info: RequestInfo) -> Result<(Ticket, Arc<Notify>), Refusal> {
        self.with_state(|now, state| {
            let ticket = state.router.admit(now, info)?;
            let notify = Arc::new(Notify::new());
            let waiting = WaitingRequest {
                notify: notify.clone(),
                response: None,
            };
            state.waiting.insert(ticket, waiting);
            Ok((ticket, notify))
        })
    }

    /// The next action of a request's handler. The router drops a request when it delivers
    /// the response, so the response is checked first, under the same lock.
    pub(super) fn next_action(&self, ticket: Ticket) -> NextAction {
        self.with_state(|now, state| {
            let waiting = state.waiting.get_mut(&ticket);
            match waiting.and_then(|w| w.response.take()) {
                Some(response) => NextAction::Respond(response),
                None => NextAction::Step(state.router.next_step(now, ticket, &mut rand::rng())),
            }
        })
    }

    /// Reports the outcome of an attempt with its response, and wakes the handler.
    pub(super) fn finish_attempt(
        &self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        response: Option<EndpointResponse>,
    ) {
        self.with_state(|now, state| {
            let delivery = state.router.attempt_finished(now, attempt, outcome);
            let (Delivery::Deliver(ticket) | Delivery::Pending(ticket)) = delivery else {
                return;
            };
            if let Some(waiting) = state.waiting.get_mut(&ticket) {
                waiting.response = response.filter(|_| matches!(delivery, Delivery::Deliver(_)));
                waiting.notify.notify_one();
            }
        });
    }

    /// Removes a request. Returns whether its claim has to be released.
    pub(super) fn end_request(&self, ticket: Ticket) -> bool {
        self.with_state(|now, state| {
            state.waiting.swap_remove(&ticket);
            state.router.cancel_request(now, ticket)
        })
    }

    fn lock(&self) -> MutexGuard<'_, RoutingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
