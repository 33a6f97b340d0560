//! The router as request handlers and the control thread share it.

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

/// Holds the router. Its lock is held only for one decision at a time.
#[derive(Debug)]
pub(super) struct Desk {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) router: Router,
    pub(super) holder: Holder,
    pub(super) sets: HostSets,
    waiting: IndexMap<Ticket, Waiting>,
}

/// A request in the router, as its handler waits for it.
#[derive(Debug)]
struct Waiting {
    notice: Arc<Notify>,
    /// The whole answer, from when the router delivered it until the handler takes it.
    answer: Option<EndpointResponse>,
}

/// What a request's handler does next.
#[derive(Debug, PartialEq)]
pub(super) enum Turn {
    /// Forward this answer.
    Answer(EndpointResponse),
    /// Follow the router's step.
    Step(Step),
}

impl Desk {
    /// A desk without configuration. `key` is the lifetime of request keys.
    pub(super) fn new(node: NodeName, domain: DomainName, clock: Clock, key: Span) -> Self {
        Self {
            clock,
            state: Mutex::new(State {
                router: Router::new(node, domain),
                holder: Holder::new(clock.now(), claim_retention(key)),
                sets: HostSets::new(former_set_retention(key)),
                waiting: IndexMap::new(),
            }),
        }
    }

    /// Makes one decision and wakes the requests that it concerns.
    pub(super) fn decide<T>(&self, decision: impl FnOnce(Time, &mut State) -> T) -> T {
        let mut state = self.lock();
        let result = decision(self.clock.now(), &mut state);
        for ticket in state.router.take_wakeups() {
            if let Some(waiting) = state.waiting.get(&ticket) {
                waiting.notice.notify_one();
            }
        }
        result
    }

    /// Admits a request. The notice wakes it before the time it waits for.
    pub(super) fn admit(&self, info: RequestInfo) -> Result<(Ticket, Arc<Notify>), Refusal> {
        self.decide(|now, state| {
            let ticket = state.router.admit(now, info)?;
            let notice = Arc::new(Notify::new());
            let waiting = Waiting {
                notice: notice.clone(),
                answer: None,
            };
            state.waiting.insert(ticket, waiting);
            Ok((ticket, notice))
        })
    }

    /// What a request's handler does next. The router forgets a request when it
    /// delivers the answer, so the answer is looked for first, under the same lock.
    pub(super) fn turn(&self, ticket: Ticket) -> Turn {
        self.decide(|now, state| {
            let waiting = state.waiting.get_mut(&ticket);
            match waiting.and_then(|w| w.answer.take()) {
                Some(answer) => Turn::Answer(answer),
                None => Turn::Step(state.router.next_step(now, ticket, &mut rand::rng())),
            }
        })
    }

    /// Takes the end of an attempt and its answer, and wakes the handler.
    pub(super) fn finish(
        &self,
        attempt: AttemptId,
        end: AttemptOutcome,
        answer: Option<EndpointResponse>,
    ) {
        self.decide(|now, state| {
            let delivery = state.router.attempt_finished(now, attempt, end);
            let (Delivery::Deliver(ticket) | Delivery::Pending(ticket)) = delivery else {
                return;
            };
            if let Some(waiting) = state.waiting.get_mut(&ticket) {
                waiting.answer = answer.filter(|_| matches!(delivery, Delivery::Deliver(_)));
                waiting.notice.notify_one();
            }
        });
    }

    /// Ends a request. Returns whether its claim has to be released.
    pub(super) fn leave(&self, ticket: Ticket) -> bool {
        self.decide(|now, state| {
            state.waiting.swap_remove(&ticket);
            state.router.cancel_request(now, ticket)
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
