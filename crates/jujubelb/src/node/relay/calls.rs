//! Calls that wait to be sent to a relay, and calls that wait for their results.

use std::collections::VecDeque;

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::message::{Action, Call};
use crate::dispatch::{JobKey, Order};

/// Largest number of calls in a batch.
const MAX_CALLS: usize = 400;

/// Largest total size of the payloads in a batch, in bytes. A batch of this size takes a
/// slow link of 2 Mbit/s a quarter of a second.
const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// Calls that have not been sent to a relay yet. Orders go before polls, because callers
/// wait for them, while a poll only renews a lease and reports ends.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    orders: VecDeque<Call>,
    polls: VecDeque<Call>,
}

impl Outbox {
    pub(crate) fn push(&mut self, call: Call) {
        match call.action {
            Action::Poll(..) => self.polls.push_back(call),
            Action::Order(..) => self.orders.push_back(call),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.polls.is_empty()
    }

    /// Takes the calls of the next batch, with the payloads of its start orders.
    pub(crate) fn take_batch(&mut self) -> (Vec<ArcStr>, Vec<Call>) {
        let mut payloads: IndexMap<JobKey, ArcStr> = IndexMap::new();
        let mut payload_bytes = 0;
        let mut calls = Vec::new();
        while calls.len() < MAX_CALLS && payload_bytes < MAX_PAYLOAD_BYTES {
            let Some(mut call) = self.orders.pop_front() else {
                break;
            };
            if let Action::Order(order, index) = &mut call.action
                && let Order::Start { task, payload, .. } = &mut order.order
            {
                let payload = std::mem::take(payload);
                let entry = payloads.entry(task.step.job);
                *index = u32::try_from(entry.index()).ok();
                entry.or_insert_with(|| {
                    payload_bytes += payload.len();
                    payload
                });
            }
            calls.push(call);
        }
        let room = MAX_CALLS.saturating_sub(calls.len()).min(self.polls.len());
        calls.extend(self.polls.drain(..room));
        (payloads.into_values().collect(), calls)
    }
}

/// Puts a payload that was replaced by its index back into a start order. Returns false if
/// the index is not one of the payloads.
pub(crate) fn restore_payload(action: &mut Action, payloads: &[ArcStr]) -> bool {
    let Action::Order(order, index) = action else {
        return true;
    };
    let Order::Start { payload, .. } = &mut order.order else {
        return true;
    };
    let known = index.and_then(|i| payloads.get(i as usize));
    if let Some(known) = known {
        *payload = known.clone();
    }
    known.is_some()
}
