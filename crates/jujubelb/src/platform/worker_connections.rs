//! Connections to workers.
//!
//! A worker accepts 64 connections from all hosts together. Each process has at most [`PLACES`] to
//! one worker, whatever it calls it for, as the leader or as a relay. Eight processes may then hold
//! that many at the same time: the one that calls the worker now, and earlier ones that could not
//! close theirs because they were paused or cut off. A process that stops leading closes its
//! connections to workers, and one that stops relaying lets them become idle.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use serde::Serialize;
use tokio::sync::Semaphore;

use super::client::{CallError, HttpClient, HttpRequest, HttpResponse};
use super::connections::ConnectionCounts;
use crate::model::Span;

/// Largest number of connections of one process to one worker.
pub(crate) const PLACES: usize = 8;

/// Places that only polls take, because they extend the worker's lease. A relay may make a poll for
/// a new leader while that of the former one still waits.
const POLL_PLACES: usize = 2;

/// Places for starts, stops and paces. The stops of 630 runs, each with a round trip of 25 ms, take
/// 2.6 s with all of them, which is in time for a cancelled job.
pub(crate) const ORDER_PLACES: usize = PLACES - POLL_PLACES;

/// How long an idle connection is kept. A process that calls a worker does so more often, since a
/// poll lasts 2 s at most.
const IDLE_TIMEOUT: Span = Span::from_secs(10);

/// What a call needs a place for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Poll,
    Order,
}

/// Connections of this process to workers, of its terms as the leader and as a relay.
#[derive(Debug, Clone)]
pub(crate) struct WorkerConnections {
    /// Opens a connection only for a call that finds no idle one, so that there are never more
    /// connections to a worker than calls that have had a place at the same time.
    client: HttpClient,
    places: Arc<Mutex<IndexMap<SocketAddr, Arc<Places>>>>,
}

/// Free places at one worker.
#[derive(Debug)]
struct Places {
    polls: Semaphore,
    orders: Semaphore,
}

impl Default for WorkerConnections {
    fn default() -> Self {
        Self {
            client: HttpClient::new(IDLE_TIMEOUT),
            places: Arc::default(),
        }
    }
}

impl WorkerConnections {
    /// Makes a call when there is a place for it. Calls of the same kind get places in their order.
    /// A call that gets none within its timeout is not made; one that does has its timeout from
    /// then on.
    pub(super) async fn call<B: Serialize>(
        &self,
        kind: CallKind,
        call: HttpRequest<'_, B>,
    ) -> Result<HttpResponse, CallError> {
        let (peer, timeout) = (call.peer, call.timeout);
        let places = self.places(peer);
        let places = match kind {
            CallKind::Poll => &places.polls,
            CallKind::Order => &places.orders,
        };
        let place = tokio::time::timeout(timeout.to_std(), places.acquire()).await;
        let Ok(Ok(_place)) = place else {
            log::info!(address:% = peer, call = call.path, waited:% = timeout; "call to a worker not made: all connections to it are in use");
            let reason = format!("all connections are in use for {timeout}");
            return Err(CallError::NotSent(peer, reason));
        };
        self.client.call(call).await
    }

    /// Closes all connections, those in use when their call ends.
    pub(crate) fn close_all(&self) {
        self.client.close_all();
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_unused(&self) {
        self.client.close_unused();
        // Clones belong to calls.
        self.lock().retain(|_, p| Arc::strong_count(p) > 1);
    }

    /// Numbers of connections to all workers.
    pub(crate) fn connection_counts(&self) -> ConnectionCounts {
        self.client.connection_counts()
    }

    fn places(&self, worker: SocketAddr) -> Arc<Places> {
        let new_places = || {
            Arc::new(Places {
                polls: Semaphore::new(POLL_PLACES),
                orders: Semaphore::new(ORDER_PLACES),
            })
        };
        let mut places = self.lock();
        places.entry(worker).or_insert_with(new_places).clone()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Arc<Places>>> {
        // No holder can leave the data inconsistent.
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
