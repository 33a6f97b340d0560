//! The router as request handlers and the control thread share it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::claim::{Holder, HostSets, holding_time};
use crate::model::{DomainName, NodeName, Span, Time};
use crate::route::{Refusal, RequestInfo, Router, Ticket};
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
    waiting: IndexMap<Ticket, Arc<Notify>>,
}

impl Desk {
    /// A desk without configuration. `key` is the lifetime of request keys.
    pub(super) fn new(node: NodeName, domain: DomainName, clock: Clock, key: Span) -> Self {
        let held = holding_time(key);
        Self {
            clock,
            state: Mutex::new(State {
                router: Router::new(node, domain),
                holder: Holder::new(clock.now(), held),
                sets: HostSets::new(held),
                waiting: IndexMap::new(),
            }),
        }
    }

    /// Makes one decision and wakes the requests that it concerns.
    pub(super) fn decide<T>(&self, decision: impl FnOnce(Time, &mut State) -> T) -> T {
        let mut state = self.lock();
        let result = decision(self.clock.now(), &mut state);
        for ticket in state.router.take_wakes() {
            if let Some(waiting) = state.waiting.get(&ticket) {
                waiting.notify_one();
            }
        }
        result
    }

    /// Admits a request. The notice wakes it before the time it waits for.
    pub(super) fn admit(&self, info: RequestInfo) -> Result<(Ticket, Arc<Notify>), Refusal> {
        self.decide(|now, state| {
            let ticket = state.router.admit(now, info)?;
            let notice = Arc::new(Notify::new());
            state.waiting.insert(ticket, notice.clone());
            Ok((ticket, notice))
        })
    }

    /// Ends a request. Returns whether its claim has to be released.
    pub(super) fn leave(&self, ticket: Ticket) -> bool {
        self.decide(|now, state| {
            state.waiting.swap_remove(&ticket);
            state.router.drop_request(now, ticket)
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
