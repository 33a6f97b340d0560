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

/// Largest number of stop orders in a batch, so that many stops leave room for other calls.
const MAX_STOPS: usize = MAX_CALLS / 2;

/// Calls of a batch that starts leave to polls, so that leases are renewed while starts fill
/// each batch. A relay calls about 100 workers, each with one poll at a time.
const POLL_ROOM: usize = MAX_CALLS / 4;

/// Calls that have not been sent to a relay yet.
///
/// Stops go first: a cancelled task has to be gone within seconds, and a stop is small,
/// while starts with their payloads may take several batches. Starts go before polls,
/// because callers wait for them. Stops take a limited part of a batch, and starts leave
/// some room to polls, so that each kind of call is in each batch.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    stops: VecDeque<Call>,
    /// Starts, and changes of pace.
    orders: VecDeque<Call>,
    polls: VecDeque<Call>,
}

impl Outbox {
    pub(crate) fn push(&mut self, call: Call) {
        let queue = match &call.action {
            Action::Poll(..) => &mut self.polls,
            Action::Order(order, _) => match order.order {
                Order::Stop { .. } => &mut self.stops,
                Order::Start { .. } | Order::Pace { .. } => &mut self.orders,
            },
        };
        queue.push_back(call);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.stops.is_empty() && self.orders.is_empty() && self.polls.is_empty()
    }

    /// Takes the calls of the next batch, with the payloads of its start orders.
    pub(crate) fn take_batch(&mut self) -> (Vec<ArcStr>, Vec<Call>) {
        let mut payloads: IndexMap<JobKey, ArcStr> = IndexMap::new();
        let mut payload_bytes = 0;
        let stops = self.stops.len().min(MAX_STOPS);
        let mut calls: Vec<Call> = self.stops.drain(..stops).collect();
        let order_limit = MAX_CALLS - self.polls.len().min(POLL_ROOM);
        while calls.len() < order_limit && payload_bytes < MAX_PAYLOAD_BYTES {
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
